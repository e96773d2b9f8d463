"""
Whether a request is its caller's first try, estimated from its deadline (the time for which the
caller still waits for an answer, in ms).

Under lasting load above capacity, many requests are retries of callers that were turned away.
The first token of a retry is late in any case, and a slot given to a retry is lost to a request
that could be in time. A retry has a shorter deadline than its caller began with. But on some
fleets callers begin with very different deadlines, so a short deadline alone proves nothing.
Therefore the deadlines of first tries are learned while no caller is turned away, and a request
counts as a retry only if its deadline is outside their range.

"""

from collections import deque
from dataclasses import dataclass, field
from typing import Final

# A deadline that is shorter than the longest one of its route by at most this counts as that of a
# first try, as transit takes some ms of each deadline. The deadline of a retry is shorter than that
# of its caller's first try by more than this.
DEADLINE_TOLERANCE_MS: Final = 120
# For this time after a caller was turned away, requests may be retries, as callers keep retrying
# for 6 s.
RETRIES_POSSIBLE_S: Final = 8.0
# The number of first-try deadlines that are kept for each route: the latest ones.
MAX_DEADLINES_KEPT: Final = 128
# The range of a route's first-try deadlines is used for estimates once at least this many of them
# are known.
MIN_FIRST_TRIES: Final = 20
# The maximum number of routes whose deadlines are kept (2 KB each). Configurations replace routes,
# so the number of routes seen is not bounded.
MAX_ROUTES: Final = 2000
# The number of latest deadlines that are kept for each route, including those of retries. Estimates
# use them until `MIN_FIRST_TRIES` first tries of the route were seen, as after a start under load.
MAX_LATEST_DEADLINES: Final = 16
# Callers of a route are assumed to begin with one common deadline if at least this share of the
# latest deadlines (see `MAX_LATEST_DEADLINES`) are close to the longest one.
COMMON_DEADLINE_SHARE: Final = 0.4
# Callers are assumed to begin with one common deadline only if at least this many of the latest
# deadlines are close to the longest one. Two or three may be close by chance: when so few were
# enough, 1 in 14 first tries counted as retries if callers began with 0.85 to 1 times the usual
# deadline.
MIN_COMMON_DEADLINES: Final = 4
# A deadline is close to the longest one if it is shorter by at most this, the time that transit
# takes.
SAME_DEADLINE_MS: Final = 20
# This share of a route's first-try deadlines, the shortest ones, is ignored: they may come from
# probes, or from retries that were mistaken for first tries.
OUTLIER_SHARE: Final = 0.05
# The shortest deadline that callers begin with may not have been observed yet. It is assumed to lie
# below the observed ones by at most this share of their range (or `DEADLINE_TOLERANCE_MS` if that
# is more).
UNSEEN_MARGIN_SHARE: Final = 0.2


@dataclass(frozen=True, slots=True)
class FirstTryEstimate:
    """
    The estimated time from the caller's first try to the present request, in ms (0: the request
    is the first try, or the estimate is undecided).

    `is_undecided` is set if the deadline doesn't show whether the request is the first try. Then
    the directory of turned-away requests, which the entries of a zone share, should be asked.

    """

    elapsed_ms: int = 0
    is_undecided: bool = False


@dataclass(slots=True)
class RouteDeadlines:
    """
    The deadlines of one route's requests in ms: the longest of all, those of the latest requests,
    and those of the latest first tries.

    """

    longest_ms: int = 0
    latest_ms: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_LATEST_DEADLINES))
    first_tries_ms: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_DEADLINES_KEPT))

    def share_one_deadline(self) -> bool:
        """
        Whether callers seem to begin with the same deadline, judged by the latest requests.

        """
        matching = sum(
            deadline_ms >= self.longest_ms - SAME_DEADLINE_MS for deadline_ms in self.latest_ms
        )
        return matching >= max(MIN_COMMON_DEADLINES, COMMON_DEADLINE_SHARE * len(self.latest_ms))


class FirstTryDetector:
    """
    Learns the deadlines of first tries by route, and recognises retries by them.

    """

    def __init__(self) -> None:
        self.deadlines_by_route: dict[str, RouteDeadlines] = {}
        self.turned_away_at = float('-inf')

    def record_turned_away(self, now: float) -> None:
        """
        Record that a caller was turned away and may retry.

        """
        self.turned_away_at = now

    def estimate(self, route: str, deadline_ms: int, now: float) -> FirstTryEstimate:
        """
        Estimate from the deadline of a request whether the request is a first try. The deadline
        is learned as that of a first try if no caller was turned away in the last
        `RETRIES_POSSIBLE_S`.

        """
        deadlines = self._deadlines_of(route)
        deadlines.longest_ms = max(deadlines.longest_ms, deadline_ms)
        deadlines.latest_ms.append(deadline_ms)
        if now - self.turned_away_at > RETRIES_POSSIBLE_S:
            deadlines.first_tries_ms.append(deadline_ms)
        if deadline_ms >= deadlines.longest_ms - DEADLINE_TOLERANCE_MS:
            return FirstTryEstimate()
        if len(deadlines.first_tries_ms) < MIN_FIRST_TRIES:
            share_one = deadlines.share_one_deadline()
            return (
                FirstTryEstimate(deadlines.longest_ms - deadline_ms)
                if share_one
                else FirstTryEstimate(is_undecided=True)
            )
        ordered = sorted(deadlines.first_tries_ms)
        shortest_ms = ordered[int(len(ordered) * OUTLIER_SHARE)]
        margin_ms = max(
            DEADLINE_TOLERANCE_MS, UNSEEN_MARGIN_SHARE * (deadlines.longest_ms - shortest_ms)
        )
        if deadline_ms >= shortest_ms - margin_ms:
            return FirstTryEstimate(is_undecided=True)
        median_ms = ordered[len(ordered) // 2]
        return FirstTryEstimate(median_ms - deadline_ms)

    def _deadlines_of(self, route: str) -> RouteDeadlines:
        deadlines = self.deadlines_by_route.get(route)
        if deadlines is None:
            if len(self.deadlines_by_route) >= MAX_ROUTES:
                del self.deadlines_by_route[next(iter(self.deadlines_by_route))]
            deadlines = self.deadlines_by_route[route] = RouteDeadlines()
        return deadlines
