"""
Prints the results of one experiment as a Markdown table:
`python -m millfork_standins.bench.tables distribution`.

"""

import json
import sys
from pathlib import Path
from typing import Any

from millfork_core.status import ExitStatus
from millfork_standins.bench.results import RESULTS_FOLDER


def format_table(path: Path) -> str:
    """
    A table with a line for each case and a column for each metric. Each cell holds the median, and
    in parentheses the lowest and highest value.

    """
    rows: list[dict[str, Any]] = json.loads(path.read_text())['rows']
    metrics = list(dict.fromkeys((row['metric'], row['unit']) for row in rows))
    cases = list(dict.fromkeys(row['case'] for row in rows))
    cells = {(row['case'], row['metric']): _format_cell(row) for row in rows}
    lines = [
        '| case | ' + ' | '.join(f'{metric}, {unit}' for metric, unit in metrics) + ' |',
        '|---' * (len(metrics) + 1) + '|',
    ]
    for case in cases:
        row_cells = [cells.get((case, metric), '') for metric, _ in metrics]
        lines.append(f'| {case} | ' + ' | '.join(row_cells) + ' |')
    return '\n'.join(lines)


def _format_cell(row: dict[str, Any]) -> str:
    return f'{row["value"]:.3g} ({row["least"]:.3g} to {row["most"]:.3g})'


def main() -> int:
    if len(sys.argv) != 2:
        print('usage: python -m millfork_standins.bench.tables EXPERIMENT', file=sys.stderr)
        return ExitStatus.USAGE
    print(format_table(RESULTS_FOLDER / f'{sys.argv[1]}.json'))
    return ExitStatus.SUCCESS


if __name__ == '__main__':
    sys.exit(main())
