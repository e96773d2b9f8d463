"""
When a second attempt is sent beside a slow one.

Answers a load with room to spare in which a few requests are slow: their engine is reading long
prompts, pauses, or shares its machine. For requests that may be repeated, operators accept a share
of extra attempts if that cuts the slowest answers.

Under rising load a second attempt takes the place of another caller's first one, and makes all
slower. So none is sent where the chosen back end is more than half full, or callers were turned
away a moment ago. The limit is a share of each entry's own requests of a route, so all entries
together keep to it without messages, and it also draws on the shared budget of repeats, of which a
part stays reserved for requests that failed.

"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

# Times of a route are kept for the latest requests, enough to tell its slowest twentieth.
KEPT_TIMES: Final = 256
MIN_TIMES: Final = 40
# Each request of a route earns its share of a second attempt; at most this many are saved up, so
# that a pause doesn't pay for a burst.
MAX_SAVED: Final = 5.0
# The quantile of the recent times is computed again after this time.
REFRESH_S: Final = 0.5
# A second attempt is sent only to a back end with less than this share of its slots occupied.
MAX_OCCUPIED_SHARE: Final = 0.5
# None is sent for this long after a caller was turned away.
QUIET_AFTER_TURNED_AWAY_S: Final = 1.0
# The share of this entry's part of the retry budget that second attempts may use.
MAX_BUDGET_SHARE: Final = 0.5


@dataclass(frozen=True, slots=True)
class SecondAttemptSite:
    """
    The back end that a second attempt would be sent to, and the state of the service.

    `occupied` of its `slots` are taken. `avoided` says that it failed or was silent lately, is
    cold, or is changing its weights. `budget_spent` of the retries in `budget_allowed` are used.
    `turned_away_at` is when a caller was last turned away (monotonic seconds).

    """

    occupied: int
    slots: int
    avoided: bool
    budget_spent: int
    budget_allowed: float
    turned_away_at: float = float('-inf')


def has_room(site: SecondAttemptSite, now: float) -> bool:
    """
    Whether a second attempt takes no place that a first one needs.

    """
    if site.avoided or site.occupied >= site.slots * MAX_OCCUPIED_SHARE:
        return False
    return may_add(site.budget_spent, site.budget_allowed, site.turned_away_at, now)


def may_add(budget_spent: int, budget_allowed: float, turned_away_at: float, now: float) -> bool:
    """
    Whether the load and the retry budget allow a second attempt, whatever back end it would be sent
    to; for the arguments see `SecondAttemptSite`. This costs less than the choice of a back end.

    """
    if now - turned_away_at < QUIET_AFTER_TURNED_AWAY_S:
        return False
    return budget_spent + 1 <= budget_allowed * MAX_BUDGET_SHARE


@dataclass(slots=True)
class RouteTimes:
    """
    The recent requests of one route at this entry: the times to their first bytes in seconds, and
    the second attempts that they have earned (`saved`).

    """

    times: deque[float] = field(default_factory=lambda: deque(maxlen=KEPT_TIMES))
    saved: float = 0.0
    slow_s: float | None = None
    refreshed_at: float = float('-inf')

    def slow_after_s(self, extra_share: float, now: float) -> float | None:
        """
        The time to the first byte that only `extra_share` of the recent requests exceeded; None if
        too few requests are known.

        """
        if len(self.times) < MIN_TIMES:
            return None
        if self.slow_s is None or now - self.refreshed_at >= REFRESH_S:
            ordered = sorted(self.times)
            rank = min(int(len(ordered) * (1 - extra_share)), len(ordered) - 1)
            while rank and ordered[rank] == float('inf'):
                rank -= 1
            self.slow_s = ordered[rank]
            self.refreshed_at = now
        return self.slow_s


class SlowAnswers:
    """
    Decides for one entry when second attempts are sent. With an `extra_share` of 0 none is.

    """

    def __init__(
        self, extra_share: float, min_delay_s: float, monotonic: Callable[[], float]
    ) -> None:
        self.extra_share = extra_share
        self.min_delay_s = min_delay_s
        self.monotonic = monotonic
        self.routes: dict[str, RouteTimes] = {}

    def record_request(self, route: str) -> None:
        """
        Count a request of a route when it is sent for the first time.

        """
        if not self.extra_share:
            return
        recent = self.routes.setdefault(route, RouteTimes())
        recent.saved = min(recent.saved + self.extra_share, MAX_SAVED)

    def record_first_byte(self, route: str, seconds: float) -> None:
        """
        Record the time until the first byte of an answer; infinity if a second attempt was sent, as
        the first one alone would have taken longer.

        """
        if self.extra_share:
            self.routes.setdefault(route, RouteTimes()).times.append(seconds)

    def delay_s(self, route: str) -> float | None:
        """
        How long after its first attempt a request of the route counts as slow, in seconds; None if
        there is no second attempt: it is turned off, too few times are known, or the share is used.

        """
        recent = self.routes.get(route)
        if recent is None or not self.extra_share:
            return None
        if recent.saved < 1:
            return None
        slow_s = recent.slow_after_s(self.extra_share, self.monotonic())
        return max(slow_s, self.min_delay_s) if slow_s is not None else None

    def record_extra(self, route: str) -> None:
        """
        Count a second attempt.

        """
        self.routes.setdefault(route, RouteTimes()).saved -= 1

    def forget_routes(self, current: set[str]) -> None:
        """
        Drop the times of routes that are not in the document any more.

        """
        for route in self.routes.keys() - current:
            del self.routes[route]
