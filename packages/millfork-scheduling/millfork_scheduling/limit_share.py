"""
One entry's share of the requests per second that a back end accepts from all entries together.

Entries don't coordinate before they send a request, so each keeps to an equal share of the limit
and sends only while it has a permit. All entries together have to stay near the limit over a few
seconds, even if they use permits that they saved earlier:

- Few entries: each saves up to one permit, or up to as many as its share gives in a second if
  that is more.
- Many entries: the saved permits of all would together exceed the number of requests that a back
  end tolerates, so none are saved. Once per second each entry gets a random number of permits,
  whose mean is proportional to its share; these replace unused permits.

"""

import math
from dataclasses import dataclass, field
from random import Random
from typing import Final

# In any window of `WINDOW_S` a back end tolerates `TOLERATED_RATIO` times as many requests as its
# limit allows in that time, plus `TOLERATED_REQUESTS`. Requests that are sent up to
# `ARRIVAL_MARGIN_S` before a window may arrive in that window.
WINDOW_S: Final = 4.0
ARRIVAL_MARGIN_S: Final = 0.4
TOLERATED_RATIO: Final = 1.5
TOLERATED_REQUESTS: Final = 5
# The random permits of all entries together use this share of the limit on average. The rest is
# left free, as the sum of the permits varies.
RANDOM_PERMIT_SHARE: Final = 0.8
# The interval at which an entry that saves no permits gets random ones.
RANDOM_PERMIT_INTERVAL_S: Final = 1.0
# Lower limits are raised to this many requests per second: a back end that receives no requests
# could never signal the end of its limit.
MIN_PER_S: Final = 0.1


@dataclass(slots=True)
class LimitShare:
    """
    How many requests this entry may send now to a back end that announced a limit: one for each
    whole permit.

    """

    random: Random
    # The requests per second that the back end accepts from all entries together.
    limit_per_s: float
    # When `permits` was last updated, in monotonic seconds.
    refilled_at: float
    permits: float = field(init=False)

    def __post_init__(self) -> None:
        self.limit_per_s = max(self.limit_per_s, MIN_PER_S)
        self.permits = 0.0
        # Spreads the first random permits of entries that learn of the limit at the same moment.
        self.refilled_at -= self.random.random() * RANDOM_PERMIT_INTERVAL_S

    def set_limit(self, limit_per_s: float) -> bool:
        """
        Set the limit and return whether it changed; unused permits are kept.

        """
        before, self.limit_per_s = self.limit_per_s, max(limit_per_s, MIN_PER_S)
        return before != self.limit_per_s

    def can_send(self, now: float, entries: int) -> bool:
        """
        Whether a request may be sent now, with this number of entries in the fleet.

        """
        self._refill(now, entries)
        return self.permits >= 1

    def consume(self, now: float, entries: int) -> bool:
        """
        Use one permit; returns False if there is none.

        """
        if not self.can_send(now, entries):
            return False
        self.permits -= 1
        return True

    def expected_wait_s(self, now: float, entries: int) -> float:
        """
        The expected time until this entry may send its next request, in seconds.

        """
        if self.can_send(now, entries):
            return 0.0
        rate = self.limit_per_s / max(entries, 1)
        if self._saves_permits(entries):
            return (1 - self.permits) / rate
        return 1 / (rate * RANDOM_PERMIT_SHARE)

    def _saves_permits(self, entries: int) -> bool:
        """
        Whether entries save unused permits. They do so only if the back end tolerates the most
        requests from all entries together that could arrive in one window with saved permits.

        """
        rate = self.limit_per_s / max(entries, 1)
        max_per_entry = math.floor(max(rate, 1.0) + rate * (WINDOW_S + ARRIVAL_MARGIN_S))
        tolerated = TOLERATED_RATIO * self.limit_per_s * WINDOW_S + TOLERATED_REQUESTS
        return entries * max_per_entry <= tolerated

    def _refill(self, now: float, entries: int) -> None:
        rate = self.limit_per_s / max(entries, 1)
        elapsed_s = now - self.refilled_at
        if self._saves_permits(entries):
            self.refilled_at = now
            self.permits = min(self.permits + elapsed_s * rate, max(rate, 1.0))
            return
        if elapsed_s < RANDOM_PERMIT_INTERVAL_S:
            return
        self.refilled_at += (
            math.floor(elapsed_s / RANDOM_PERMIT_INTERVAL_S) * RANDOM_PERMIT_INTERVAL_S
        )
        expected = rate * RANDOM_PERMIT_SHARE * RANDOM_PERMIT_INTERVAL_S
        guaranteed = math.floor(expected)
        self.permits = guaranteed + (self.random.random() < expected - guaranteed)
