"""
Limits for peers that read slowly.

What waits to be sent to a peer that doesn't read is held in memory, and its sender waits as well: a
back end that streams to a caller who doesn't read keeps the request, and engines crash under the
requests that they hold.

"""

from dataclasses import dataclass
from typing import Any, Final

import curio

# A peer that accepts no byte for this long is cut off. A sound caller reads an event within some
# milliseconds, and a lost packet is sent again within a second.
MAX_STALL_S: Final = 3.0
# A peer that accepts bytes more slowly than this, on average since `MAX_STALL_S` after the first of
# them was offered, is cut off as well: one that takes a byte a second would otherwise never stall.
MIN_BYTES_PER_S: Final = 1024
# Once more than this waits for all peers of a server together, a peer is cut off after
# `PRESSED_STALL_S` without accepting a byte. The smallest entries have 150 MB and use half of it.
MAX_TOTAL_BYTES: Final = 16 * 1024 * 1024
PRESSED_STALL_S: Final = 0.5


class SlowReader(OSError):
    """
    A peer reads too slowly.

    """


@dataclass(slots=True)
class UnsentBytes:
    """
    What waits to be sent to the peers of a server, in bytes, and how many peers were cut off.

    """

    total: int = 0
    cut_off: int = 0

    @property
    def stall_s(self) -> float:
        return PRESSED_STALL_S if self.total > MAX_TOTAL_BYTES else MAX_STALL_S

    async def send(self, sock: Any, data: bytes) -> None:
        """
        Send all bytes of `data`.

        :raises SlowReader: if the peer reads too slowly.
        :raises OSError: if the connection fails.

        """
        remaining = memoryview(data)
        self.total += len(remaining)
        started_at = await curio.clock()
        try:
            while remaining:
                sent = await self._send_some(sock, remaining)
                self.total -= sent
                remaining = remaining[sent:]
                elapsed_s = await curio.clock() - started_at
                accepted = len(data) - len(remaining)
                if remaining and accepted < (elapsed_s - MAX_STALL_S) * MIN_BYTES_PER_S:
                    self.cut_off += 1
                    raise SlowReader(f'{accepted} bytes were read in {elapsed_s:.1f} s')
        finally:
            self.total -= len(remaining)

    async def _send_some(self, sock: Any, data: memoryview) -> int:
        """
        Send what the peer accepts next; returns the number of bytes.

        """
        waited_s = 0.0
        while True:
            # The limit is asked again, as what waits for all peers changes meanwhile.
            try:
                async with curio.timeout_after(PRESSED_STALL_S):
                    sent: int = await sock.send(data)
                    return sent
            except curio.TaskTimeout:
                waited_s += PRESSED_STALL_S
            if waited_s >= self.stall_s:
                self.cut_off += 1
                raise SlowReader(f'nothing was read for {waited_s:.1f} s')
