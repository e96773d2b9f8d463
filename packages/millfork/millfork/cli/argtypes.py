"""
Parsers for command-line arguments.

"""

import re
from typing import Final

LABEL: Final = re.compile(r'([a-z0-9][a-z0-9.-]{0,62})=([A-Za-z0-9._-]{1,63})')


class BadArgument(Exception):
    """
    A command-line argument is missing or malformed.

    """


def parse_entries(text: str, flag: str = '--entries') -> list[tuple[str, int]]:
    """
    Parse the value of a flag, `HOST:PORT,HOST:PORT`, into pairs of host and port.

    :raises BadArgument: if `text` has another form.

    """
    pairs = []
    for item in text.split(','):
        host, colon, port = item.strip().rpartition(':')
        if not colon or not host or not port.isdecimal():
            raise BadArgument(f'{flag}: HOST:PORT expected, not {item!r}')
        pairs.append((host, int(port)))
    return pairs


def parse_labels(items: list[str]) -> dict[str, str]:
    """
    Parse `KEY=VALUE` arguments into a mapping.

    :raises BadArgument: if an argument has another form.

    """
    labels = {}
    for item in items:
        found = LABEL.fullmatch(item)
        if found is None:
            raise BadArgument(f'KEY=VALUE expected, not {item!r}')
        labels[found[1]] = found[2]
    return labels
