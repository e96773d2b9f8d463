"""
Lets a task wait for stop and reload signals.

"""

import signal
import socket
from types import TracebackType
from typing import Self

from curio.io import Socket


def _ignore_signal(number: int, frame: object) -> None:
    """
    A signal handler that does nothing, installed in place of a signal's default action.
    `StopSignals` receives the signal's number through the wake-up descriptor.

    """


class StopSignals:
    """
    Catches SIGTERM, SIGINT and, with `reloads`, SIGHUP, so that a task can wait for them.

    """

    def __init__(self, reloads: bool = False) -> None:
        self.numbers = [signal.SIGTERM, signal.SIGINT]
        if reloads:
            self.numbers.append(signal.SIGHUP)
        reader, self.writer = socket.socketpair()
        self.writer.setblocking(False)
        self.reader = Socket(reader)

    async def __aenter__(self) -> Self:
        for number in self.numbers:
            signal.signal(number, _ignore_signal)
        signal.set_wakeup_fd(self.writer.fileno(), warn_on_full_buffer=False)
        return self

    async def get(self) -> signal.Signals:
        """
        Wait for the next caught signal and return it.

        """
        data = await self.reader.recv(1)
        return signal.Signals(data[0])

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        signal.set_wakeup_fd(-1)
        await self.reader.close()
        self.writer.close()
