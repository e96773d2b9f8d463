"""
Detects that the link to this instance is slower than configured.

On a slow link, pieces queue, and delay the engine's requests that queue behind them.

"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

# A piece counts as slow if its transfer takes more than this many times as long as expected at
# the link's rate. Below that, the reason may be the pieces for other daemons and the engine's
# answers, which share the link.
SLOW_FACTOR: Final = 2.5
# The link counts as slow if this many consecutive pieces were slow. Fewer slow pieces may have
# another reason: the first pieces of a version wait for the origin, not for this link.
RECENT_PIECES: Final = 4


@dataclass(frozen=True, slots=True)
class TransferStart:
    """
    When a piece was requested (`at`, in monotonic seconds), and how many requests for pieces
    were in flight at that time, this one included.

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
        Record that a request for a piece starts. The result must be passed to `end`.

        """
        self.in_flight += 1
        return TransferStart(self.monotonic(), self.in_flight)

    def end(self, start: TransferStart, size: int) -> None:
        """
        Record that a request has ended with a piece of `size` bytes, or without one (0).

        """
        self.in_flight -= 1
        if not size:
            return
        expected_s = start.concurrent * size / self.rate_bytes_per_s
        self.ratios.append((self.monotonic() - start.at) / expected_s)
