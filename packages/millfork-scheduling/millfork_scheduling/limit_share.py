"""
One entry's share of the requests a second that a back end takes from all entries together.

Entries don't ask one another before a request, so each keeps to an equal share. The sum has
to stay near the limit also over some seconds, whoever saved up before:

- Few entries: each saves at most one request, or what its share allows in a second.
- Many: what all of them may have saved would together exceed what a back end tolerates, so
  nothing is saved. Each second an entry draws whether it may send one, at odds of its share.

"""

import math
from dataclasses import dataclass, field
from random import Random
from typing import Final

# What a back end tolerates in a window: this much of its limit, and some requests. Those sent
# within the margin before a window may arrive in it.
WINDOW_S: Final = 4.0
ARRIVAL_MARGIN_S: Final = 0.4
TOLERATED_RATIO: Final = 1.5
TOLERATED_REQUESTS: Final = 5
# Of the limit, what entries that draw share out: sums of draws vary.
DRAWN_SHARE: Final = 0.8
DRAW_INTERVAL_S: Final = 1.0
# A back end that takes nothing at all could never tell that its limit is over.
MIN_PER_S: Final = 0.1


@dataclass(slots=True)
class LimitShare:
    """
    The requests that this entry may send now to a back end that named a limit.

    """

    random: Random
    # Requests a second, from all entries together.
    limit_per_s: float
    # Monotonic seconds of the last look.
    counted_at: float
    saved: float = field(init=False)

    def __post_init__(self) -> None:
        self.limit_per_s = max(self.limit_per_s, MIN_PER_S)
        self.saved = 0.0
        # Draws of entries that hear of the limit at the same moment are spread.
        self.counted_at -= self.random.random() * DRAW_INTERVAL_S

    def set_limit(self, limit_per_s: float) -> bool:
        """
        Take another limit, whether it differs; what is saved stays.

        """
        before, self.limit_per_s = self.limit_per_s, max(limit_per_s, MIN_PER_S)
        return before != self.limit_per_s

    def can_send(self, now: float, entries: int) -> bool:
        """
        Whether a request may be sent now, with so many entries in the fleet.

        """
        self._count(now, entries)
        return self.saved >= 1

    def consume(self, now: float, entries: int) -> bool:
        """
        Take the place of one request, if there is one.

        """
        if not self.can_send(now, entries):
            return False
        self.saved -= 1
        return True

    def expected_wait_s(self, now: float, entries: int) -> float:
        """
        Seconds until this entry may send the next request, as expected.

        """
        if self.can_send(now, entries):
            return 0.0
        rate = self.limit_per_s / max(entries, 1)
        if self._saves(entries):
            return (1 - self.saved) / rate
        return 1 / (rate * DRAWN_SHARE)

    def _saves(self, entries: int) -> bool:
        rate = self.limit_per_s / max(entries, 1)
        each = math.floor(max(rate, 1.0) + rate * (WINDOW_S + ARRIVAL_MARGIN_S))
        tolerated = TOLERATED_RATIO * self.limit_per_s * WINDOW_S + TOLERATED_REQUESTS
        return entries * each <= tolerated

    def _count(self, now: float, entries: int) -> None:
        rate = self.limit_per_s / max(entries, 1)
        elapsed_s = now - self.counted_at
        if self._saves(entries):
            self.counted_at = now
            self.saved = min(self.saved + elapsed_s * rate, max(rate, 1.0))
            return
        if elapsed_s < DRAW_INTERVAL_S:
            return
        self.counted_at += math.floor(elapsed_s / DRAW_INTERVAL_S) * DRAW_INTERVAL_S
        expected = rate * DRAWN_SHARE * DRAW_INTERVAL_S
        guaranteed = math.floor(expected)
        self.saved = guaranteed + (self.random.random() < expected - guaranteed)
