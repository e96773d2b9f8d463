"""
Logs: one logger for each part, with the part's fixed prefix.

"""

import logging
import sys
from enum import Enum
from typing import Final

from logbook import Logger, StreamHandler
from logbook.compat import RedirectLoggingHandler

FORMAT: Final = (
    '{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} {record.channel}: {record.message}'
)


class Part(Enum):
    """
    The parts of the product; the value is the prefix of each log line.

    """

    DAEMON = 'daemon'
    ENTRY = 'entry'
    ENDPOINT = 'endpoint'
    ENGINE = 'engine'
    STATE = 'state'
    SUBSCRIPTION = 'subscription'
    WEIGHTS = 'weights'
    WIRE = 'wire'
    PLATFORM = 'platform'


def logger(part: Part) -> Logger:
    """
    The logger of one part.

    """
    return Logger(part.value)


def set_up(level: str) -> None:
    """
    Send log lines at or above `level` (`INFO`, ...) to standard error.

    """
    StreamHandler(sys.stderr, level=level.upper(), format_string=FORMAT).push_application()
    # The event loop logs by the standard library; its warnings are of late
    # time-outs and tasks that nobody joins, which are meant.
    logging.getLogger('curio').addHandler(RedirectLoggingHandler())
    logging.getLogger('curio').setLevel(logging.ERROR)
    logging.getLogger('curio').propagate = False
