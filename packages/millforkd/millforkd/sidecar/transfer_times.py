"""
Whether the link to this instance is slower than its settings say.

Pieces that wait in a slow link stand in front of the engine's requests.

"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

# A piece may take this many times as long as the link's rate says: others'
# pieces and the engine's answers share it.
SLOW_FACTOR: Final = 2.5
# All of the last pieces must have been slow: the first of a version wait for the
# origin, not for this link.
RECENT_PIECES: Final = 4


@dataclass(frozen=True, slots=True)
class TransferStart:
    """
    When a piece was asked for, and how many were then on their way with it.

    """

    at: float
    concurrent: int


class TransferTimes:
    """
    The time that pieces take, against the link's rate in bytes/s.

    """

    def __init__(self, rate_bytes_per_s: float, monotonic: Callable[[], float]) -> None:
        self.rate_bytes_per_s = rate_bytes_per_s
        self.monotonic = monotonic
        self.in_flight = 0
        self.ratios: deque[float] = deque(maxlen=RECENT_PIECES)

    @property
    def is_slow(self) -> bool:
        return len(self.ratios) == RECENT_PIECES and min(self.ratios) > SLOW_FACTOR

    def begin(self) -> TransferStart:
        """
        Count a piece that is asked for.

        """
        self.in_flight += 1
        return TransferStart(self.monotonic(), self.in_flight)

    def end(self, start: TransferStart, size: int) -> None:
        """
        Count a piece of `size` bytes that came; 0 if none did.

        """
        self.in_flight -= 1
        if not size:
            return
        expected_s = start.concurrent * size / self.rate_bytes_per_s
        self.ratios.append((self.monotonic() - start.at) / expected_s)
