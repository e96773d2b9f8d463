"""
Logs: one logger for each part, with the part's fixed prefix.

"""

import logging
import os
import sys
import time
from collections.abc import Callable
from enum import Enum
from typing import Final

from logbook import Handler, Logger, LogRecord, StreamHandler, StringFormatter
from logbook.compat import RedirectLoggingHandler

FORMAT: Final = (
    '{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} {record.channel}: {record.message}'
)


# Lines that a process may write in a second, and at once; above the requests
# that one entry serves in a second, below what would cost it noticeable time.
MAX_LINES_PER_S: Final = 150
MAX_BURST_LINES: Final = 300


class Component(Enum):
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
    REGISTRY = 'registry'
    CONTROL = 'control'
    PROXY = 'proxy'


def logger(component: Component) -> Logger:
    """
    The logger of one part.

    """
    return Logger(component.value)


class BoundedHandler(Handler):  # type: ignore[misc]
    """
    Writes lines to a descriptor without ever waiting for it, up to a rate.

    A line that the rate or a full pipe leaves no room for is dropped and
    counted; the next one that gets through says how many were.

    """

    def __init__(self, fd: int, level: str, on_line: Callable[[str], None]) -> None:
        super().__init__(level=level)
        self.fd = fd
        self.on_line = on_line
        self.formatter = StringFormatter(FORMAT)
        self.room = float(MAX_BURST_LINES)
        self.filled_at = time.monotonic()
        self.dropped = 0
        os.set_blocking(fd, False)

    def emit(self, record: LogRecord) -> None:
        """
        Write one record, or count it as dropped.

        """
        if not self._has_room():
            self._drop()
            return
        line = self.format(record)
        if self.dropped:
            line = f'{line} dropped_before={self.dropped}'
        try:
            os.write(self.fd, f'{line}\n'.encode())
        except OSError:
            self._drop()
            return
        self.dropped = 0
        self.on_line('written')

    def _has_room(self) -> bool:
        now = time.monotonic()
        self.room += (now - self.filled_at) * MAX_LINES_PER_S
        self.room = min(self.room, float(MAX_BURST_LINES))
        self.filled_at = now
        if self.room < 1:
            return False
        self.room -= 1
        return True

    def _drop(self) -> None:
        self.dropped += 1
        self.on_line('dropped')


def set_up_bounded(level: str, on_line: Callable[[str], None]) -> None:
    """
    Send log lines at or above `level` to standard output, bounded.

    """
    BoundedHandler(sys.stdout.fileno(), level.upper(), on_line).push_application()
    _redirect_event_loop_logs()


def set_up(level: str) -> None:
    """
    Send log lines at or above `level` (`INFO`, ...) to standard error.

    """
    StreamHandler(sys.stderr, level=level.upper(), format_string=FORMAT).push_application()
    _redirect_event_loop_logs()


def _redirect_event_loop_logs() -> None:
    # The event loop logs by the standard library; its warnings are of late
    # time-outs and tasks that nobody joins, which are meant.
    logging.getLogger('curio').addHandler(RedirectLoggingHandler())
    logging.getLogger('curio').setLevel(logging.ERROR)
    logging.getLogger('curio').propagate = False
