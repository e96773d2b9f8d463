"""
One entry's share of the requests per second that a back end accepts from all entries together.

Entries don't coordinate before a request, so each keeps to an equal share. The sum of all
entries has to stay near the limit over some seconds, including requests saved up before:

- Few entries: each saves at most one request, or as many as its share allows in a second.
- Many entries: the saved requests of all would together exceed what a back end tolerates, so
  none are saved. Each second an entry draws at random, with its share as the probability,
  whether it may send a request.

"""

import math
from dataclasses import dataclass, field
from random import Random
from typing import Final

# In each window a back end tolerates this multiple of its limit plus a number of requests.
# Requests sent within the margin before a window may arrive in it.
WINDOW_S: Final = 4.0
ARRIVAL_MARGIN_S: Final = 0.4
TOLERATED_RATIO: Final = 1.5
TOLERATED_REQUESTS: Final = 5
# The share of the limit that entries use when they draw, as the sum of random draws varies.
RANDOM_PERMIT_SHARE: Final = 0.8
RANDOM_PERMIT_INTERVAL_S: Final = 1.0
# The lowest rate: a back end that receives no requests could never signal the end of its limit.
MIN_PER_S: Final = 0.1


@dataclass(slots=True)
class LimitShare:
    """
    The requests that this entry may send now to a back end that announced a limit.

    """

    random: Random
    # Requests per second from all entries together.
    limit_per_s: float
    # When `saved` was last updated, in monotonic seconds.
    counted_at: float
    saved: float = field(init=False)

    def __post_init__(self) -> None:
        self.limit_per_s = max(self.limit_per_s, MIN_PER_S)
        self.saved = 0.0
        # Spreads the draws of entries that learn of the limit at the same moment.
        self.counted_at -= self.random.random() * RANDOM_PERMIT_INTERVAL_S

    def set_limit(self, limit_per_s: float) -> bool:
        """
        Set the limit and return whether it changed; saved requests are kept.

        """
        before, self.limit_per_s = self.limit_per_s, max(limit_per_s, MIN_PER_S)
        return before != self.limit_per_s

    def can_send(self, now: float, entries: int) -> bool:
        """
        Whether a request may be sent now, with this number of entries in the fleet.

        """
        self._count(now, entries)
        return self.saved >= 1

    def consume(self, now: float, entries: int) -> bool:
        """
        Use up the permission for one request; returns False if there is none.

        """
        if not self.can_send(now, entries):
            return False
        self.saved -= 1
        return True

    def expected_wait_s(self, now: float, entries: int) -> float:
        """
        The expected time until this entry may send its next request, in seconds.

        """
        if self.can_send(now, entries):
            return 0.0
        rate = self.limit_per_s / max(entries, 1)
        if self._saves(entries):
            return (1 - self.saved) / rate
        return 1 / (rate * RANDOM_PERMIT_SHARE)

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
        if elapsed_s < RANDOM_PERMIT_INTERVAL_S:
            return
        self.counted_at += (
            math.floor(elapsed_s / RANDOM_PERMIT_INTERVAL_S) * RANDOM_PERMIT_INTERVAL_S
        )
        expected = rate * RANDOM_PERMIT_SHARE * RANDOM_PERMIT_INTERVAL_S
        guaranteed = math.floor(expected)
        self.saved = guaranteed + (self.random.random() < expected - guaranteed)
