"""
Exit statuses of the programs.

"""

from enum import IntEnum, unique


@unique
class ExitStatus(IntEnum):
    """
    Exit statuses of `millforkd` and `millfork`.

    """

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    BAD_SETTINGS = 3
    BAD_DECLARATION = 4
    CONFLICT = 5
    REFUSED = 6
    UNREACHABLE = 7
    TIMED_OUT = 8
    INTERRUPTED = 130
