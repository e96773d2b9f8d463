"""
Detection of a caller's first try by the deadline of its request.

Under lasting load above capacity, many callers were turned away before. Their first token is
late in any case, and a slot given to one of them is lost to a request that could be in time. A
returning caller has a shorter deadline left than callers begin with. But on some fleets callers
begin with very different deadlines, so a short one proves nothing by itself. Therefore the
deadlines of first tries are learned while no caller is turned away, and a request counts as a
retry only if its deadline is outside their range.

"""

from collections import deque
from dataclasses import dataclass, field
from typing import Final

# Deadlines that differ by less count as equal, as transit takes some ms of each. A caller that
# was turned away has lost more.
DEADLINE_TOLERANCE_MS: Final = 120
# For this time after a caller was turned away, requests may come from returning callers, as
# callers wait 6 s.
RETURN_WINDOW_S: Final = 8.0
# The number of first-try deadlines kept for each route, and the number needed for a judgement.
MAX_DEADLINES_KEPT: Final = 128
MIN_FIRST_TRIES: Final = 20
# Routes come and go with configurations; deadlines are kept for this many, 2 KB each.
MAX_ROUTES: Final = 2000
# Used before enough first tries were seen, as after a start under load. Callers are assumed to
# begin with one common deadline if this share of the latest requests, including retries, have
# the longest deadline within the ms that transit takes. Two or three that lie so close by chance
# are no evidence: they made 1 in 14 first tries of callers that begin with 0.85 to 1 times the
# usual deadline count as retries.
LATEST_KEPT: Final = 16
COMMON_DEADLINE_SHARE: Final = 0.4
MIN_COMMON_DEADLINES: Final = 4
SAME_DEADLINE_MS: Final = 20
# The share of a route's shortest first-try deadlines that is ignored: probes, and retries that
# were mistaken for first tries.
OUTLIER_SHARE: Final = 0.05
# The observed first tries may not include the shortest deadline. It may lie below them by this
# share of their range.
UNSEEN_MARGIN_SHARE: Final = 0.2


@dataclass(frozen=True, slots=True)
class Judgement:
    """
    The estimated time since the caller's first try in ms (0: this is the first try).

    `is_undecided` if the deadline doesn't show it, so that other entries should be asked.

    """

    elapsed_ms: int = 0
    is_undecided: bool = False


@dataclass(slots=True)
class RouteDeadlines:
    """
    The deadlines of one route's requests in ms: the longest of all, the latest ones, and those
    of first tries.

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
    Learns the deadlines of first tries by route, and judges requests by them.

    """

    def __init__(self) -> None:
        self.deadlines_by_route: dict[str, RouteDeadlines] = {}
        self.turned_away_at = float('-inf')

    def record_turned_away(self, now: float) -> None:
        """
        Record that a caller was turned away and may come back.

        """
        self.turned_away_at = now

    def judge(self, route: str, deadline_ms: int, now: float) -> Judgement:
        """
        Judge a request by its deadline; the deadline is learned while no caller may be returning.

        """
        deadlines = self._deadlines_of(route)
        deadlines.longest = max(deadlines.longest, deadline_ms)
        deadlines.latest.append(deadline_ms)
        if now - self.turned_away_at > RETURN_WINDOW_S:
            deadlines.first.append(deadline_ms)
        if deadline_ms >= deadlines.longest - DEADLINE_TOLERANCE_MS:
            return Judgement()
        if len(deadlines.first) < MIN_FIRST_TRIES:
            share_one = deadlines.share_one_deadline()
            return (
                Judgement(deadlines.longest - deadline_ms)
                if share_one
                else Judgement(is_undecided=True)
            )
        ordered = sorted(deadlines.first)
        shortest = ordered[int(len(ordered) * OUTLIER_SHARE)]
        margin_ms = max(DEADLINE_TOLERANCE_MS, UNSEEN_MARGIN_SHARE * (deadlines.longest - shortest))
        if deadline_ms >= shortest - margin_ms:
            return Judgement(is_undecided=True)
        usual = ordered[len(ordered) // 2]
        return Judgement(usual - deadline_ms)

    def _deadlines_of(self, route: str) -> RouteDeadlines:
        deadlines = self.deadlines_by_route.get(route)
        if deadlines is None:
            if len(self.deadlines_by_route) >= MAX_ROUTES:
                del self.deadlines_by_route[next(iter(self.deadlines_by_route))]
            deadlines = self.deadlines_by_route[route] = RouteDeadlines()
        return deadlines
