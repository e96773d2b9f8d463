"""
Log output, and a logger for each component that writes the component's name in each line.

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


# The highest sustained rate of log lines of a process: more than an entry serves requests per
# second, and low enough to cost no noticeable time.
MAX_LINES_PER_S: Final = 150
# The number of log lines that a process may write at once after a period of few log lines.
MAX_BURST_LINES: Final = 300


class Component(Enum):
    """
    The components that write logs. The value is the component's name in log lines.

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
    Create a logger for one component.

    """
    return Logger(component.value)


class BoundedHandler(Handler):  # type: ignore[misc]
    """
    Writes log lines to a file descriptor without blocking, up to a rate (token bucket).

    A line beyond the rate, or one that can't be written (for example to a full pipe), is dropped
    and counted. The next line that is written says how many lines were dropped before it. For each
    line, `on_line` is called with 'written' or 'dropped'.

    """

    def __init__(self, fd: int, level: str, on_line: Callable[[str], None]) -> None:
        super().__init__(level=level)
        self.fd = fd
        self.on_line = on_line
        self.formatter = StringFormatter(FORMAT)
        self.tokens = float(MAX_BURST_LINES)
        self.refilled_at = time.monotonic()
        self.dropped = 0
        os.set_blocking(fd, False)

    def emit(self, record: LogRecord) -> None:
        """
        Write one record, or count it as dropped.

        """
        if not self._take_token():
            self._count_dropped()
            return
        line = self.format(record)
        if self.dropped:
            line = f'{line} dropped_before={self.dropped}'
        try:
            os.write(self.fd, f'{line}\n'.encode())
        except OSError:
            self._count_dropped()
            return
        self.dropped = 0
        self.on_line('written')

    def _take_token(self) -> bool:
        now = time.monotonic()
        self.tokens += (now - self.refilled_at) * MAX_LINES_PER_S
        self.tokens = min(self.tokens, float(MAX_BURST_LINES))
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def _count_dropped(self) -> None:
        self.dropped += 1
        self.on_line('dropped')


def set_up_bounded(level: str, on_line: Callable[[str], None]) -> None:
    """
    Send log lines at or above `level` to standard output, through a `BoundedHandler`.

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
    # Curio logs through the standard library. Its warnings are left out: they report late
    # timeouts and tasks that are never joined, both of which are intended here.
    logging.getLogger('curio').addHandler(RedirectLoggingHandler())
    logging.getLogger('curio').setLevel(logging.ERROR)
    logging.getLogger('curio').propagate = False
