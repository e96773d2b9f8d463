"""
Formats rows as a table of text.

"""

from collections.abc import Iterable, Sequence
from typing import Final

GAP: Final = '  '


def format_rows(titles: Sequence[str], rows: Iterable[Sequence[object]]) -> list[str]:
    """
    Format rows under their titles, one line each, with columns of equal width. None is shown as a
    dash.

    """
    lines = [list(titles)] + [
        ['-' if value is None else str(value) for value in row] for row in rows
    ]
    widths = [max(len(line[column]) for line in lines) for column in range(len(titles))]
    return [
        GAP.join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    ]
