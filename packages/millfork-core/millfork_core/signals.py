"""
Stop signals that a task can wait for.

"""

import signal
import socket
from types import TracebackType
from typing import Self

from curio.io import Socket


def _ignore_signal(number: int, frame: object) -> None:
    """
    Replace the default action; the signal's number arrives through the wake-up descriptor.

    """


class StopSignals:
    """
    Catches SIGTERM and SIGINT, with `reloads` also SIGHUP, and lets a task wait for them.

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
        Wait for the next signal.

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
