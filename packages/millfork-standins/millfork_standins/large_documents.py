"""
Route prefixes that give a document a certain size in the replicated log.

"""

from random import Random
from typing import Final

# Hexadecimal digits of one prefix; they take half as many bytes in the log, where documents are
# compressed.
PREFIX_DIGITS: Final = 200


def filler_prefixes(version: int, size: int) -> list[str]:
    """
    Return route prefixes that take about `size` bytes in the log; each version has others.

    """
    random = Random(version)
    return [
        f'/{random.randbytes(PREFIX_DIGITS // 2).hex()}/' for _ in range(2 * size // PREFIX_DIGITS)
    ]
