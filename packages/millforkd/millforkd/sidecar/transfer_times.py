"""
Detects that the link to this instance is slower than configured.

Pieces that queue in a slow link delay the engine's requests behind them.

"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

# A piece may take this many times as long as expected at the link's rate, because pieces
# for others and the engine's answers share the link.
SLOW_FACTOR: Final = 2.5
# The link is slow if this many consecutive pieces were slow: the first pieces of a version
# wait for the origin, not for this link.
RECENT_PIECES: Final = 4


@dataclass(frozen=True, slots=True)
class TransferStart:
    """
    When a piece was requested, and how many pieces were in flight then, itself included.

    """

    at: float
    concurrent: int


class TransferTimes:
    """
    Compares the transfer times of recent pieces with those expected at the link's rate.

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
        Record the start of a request for a piece.

        """
        self.in_flight += 1
        return TransferStart(self.monotonic(), self.in_flight)

    def end(self, start: TransferStart, size: int) -> None:
        """
        Record the end of a request that returned `size` bytes, 0 if it returned no piece.

        """
        self.in_flight -= 1
        if not size:
            return
        expected_s = start.concurrent * size / self.rate_bytes_per_s
        self.ratios.append((self.monotonic() - start.at) / expected_s)
