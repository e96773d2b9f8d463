"""
Whether a request is its caller's first try, estimated from its deadline.

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

# Deadlines that differ by at most this count as equal, as transit takes some ms of each. A caller
# that was turned away has lost more than this.
DEADLINE_TOLERANCE_MS: Final = 120
# For this time after a caller was turned away, requests may be retries, as callers keep retrying
# for 6 s.
RETURN_WINDOW_S: Final = 8.0
# How many first-try deadlines are kept for each route, and how many the estimate needs.
MAX_DEADLINES_KEPT: Final = 128
MIN_FIRST_TRIES: Final = 20
# Deadlines are kept for at most this many routes (2 KB each), as configurations replace routes.
MAX_ROUTES: Final = 2000
# These are used until `MIN_FIRST_TRIES` first tries were seen, as after a start under load. Callers
# are assumed to begin with one common deadline if, among the last `LATEST_KEPT` requests (including
# retries), a share of `COMMON_DEADLINE_SHARE` and at least `MIN_COMMON_DEADLINES` differ from the
# longest deadline by at most `SAME_DEADLINE_MS`, the time that transit takes. Two or three so close
# by chance are no evidence: with them, 1 in 14 first tries counted as retries if callers begin with
# 0.85 to 1 times the usual deadline.
LATEST_KEPT: Final = 16
COMMON_DEADLINE_SHARE: Final = 0.4
MIN_COMMON_DEADLINES: Final = 4
SAME_DEADLINE_MS: Final = 20
# This share of a route's first-try deadlines, the shortest ones, is ignored: they may come from
# probes, or from retries that were mistaken for first tries.
OUTLIER_SHARE: Final = 0.05
# The shortest deadline that callers begin with may not have been observed yet. It is assumed to lie
# below the observed ones by at most this share of their range.
UNSEEN_MARGIN_SHARE: Final = 0.2


@dataclass(frozen=True, slots=True)
class FirstTryEstimate:
    """
    The estimated time from the caller's first try to a request, in ms (0: the request is the
    first try).

    `is_undecided` is set if the deadline doesn't show whether the request is the first try, so
    that other entries should be asked.

    """

    elapsed_ms: int = 0
    is_undecided: bool = False


@dataclass(slots=True)
class RouteDeadlines:
    """
    The deadlines of one route's requests in ms: the longest of all, those of the latest requests,
    and those of the latest first tries.

    """

    longest: int = 0
    latest: deque[int] = field(default_factory=lambda: deque(maxlen=LATEST_KEPT))
    first: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_DEADLINES_KEPT))

    def share_one_deadline(self) -> bool:
        """
        Whether callers seem to begin with the same deadline, judged by the latest requests.

        """
        with_longest = sum(time_ms >= self.longest - SAME_DEADLINE_MS for time_ms in self.latest)
        return with_longest >= max(MIN_COMMON_DEADLINES, COMMON_DEADLINE_SHARE * len(self.latest))


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
        Estimate from its deadline whether a request is a first try. The deadline is learned as
        that of a first try if no caller was turned away in the last `RETURN_WINDOW_S`.

        """
        deadlines = self._deadlines_of(route)
        deadlines.longest = max(deadlines.longest, deadline_ms)
        deadlines.latest.append(deadline_ms)
        if now - self.turned_away_at > RETURN_WINDOW_S:
            deadlines.first.append(deadline_ms)
        if deadline_ms >= deadlines.longest - DEADLINE_TOLERANCE_MS:
            return FirstTryEstimate()
        if len(deadlines.first) < MIN_FIRST_TRIES:
            share_one = deadlines.share_one_deadline()
            return (
                FirstTryEstimate(deadlines.longest - deadline_ms)
                if share_one
                else FirstTryEstimate(is_undecided=True)
            )
        ordered = sorted(deadlines.first)
        shortest = ordered[int(len(ordered) * OUTLIER_SHARE)]
        margin_ms = max(DEADLINE_TOLERANCE_MS, UNSEEN_MARGIN_SHARE * (deadlines.longest - shortest))
        if deadline_ms >= shortest - margin_ms:
            return FirstTryEstimate(is_undecided=True)
        usual = ordered[len(ordered) // 2]
        return FirstTryEstimate(usual - deadline_ms)

    def _deadlines_of(self, route: str) -> RouteDeadlines:
        deadlines = self.deadlines_by_route.get(route)
        if deadlines is None:
            if len(self.deadlines_by_route) >= MAX_ROUTES:
                del self.deadlines_by_route[next(iter(self.deadlines_by_route))]
            deadlines = self.deadlines_by_route[route] = RouteDeadlines()
        return deadlines
