"""
Arguments as types.

"""

import re
from typing import Final

LABEL: Final = re.compile(r'([a-z0-9][a-z0-9.-]{0,62})=([A-Za-z0-9._-]{1,63})')


class BadArgument(Exception):
    """
    An argument of the command line that can't be used.

    """


def parse_entries(text: str) -> list[tuple[str, int]]:
    """
    `HOST:PORT,HOST:PORT` as pairs.

    :raises BadArgument: if it is something else.

    """
    pairs = []
    for item in text.split(','):
        host, colon, port = item.strip().rpartition(':')
        if not colon or not host or not port.isdecimal():
            raise BadArgument(f'--entries: HOST:PORT expected, not {item!r}')
        pairs.append((host, int(port)))
    return pairs


def parse_labels(items: list[str]) -> dict[str, str]:
    """
    `KEY=VALUE` arguments as a mapping.

    :raises BadArgument: if one is something else.

    """
    labels = {}
    for item in items:
        found = LABEL.fullmatch(item)
        if found is None:
            raise BadArgument(f'KEY=VALUE expected, not {item!r}')
        labels[found[1]] = found[2]
    return labels
