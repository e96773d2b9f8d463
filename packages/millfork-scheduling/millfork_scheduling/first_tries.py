"""
Whether a request is its caller's first try, by the time that its caller gives it.

It answers lasting load above what the engines carry, where many of those who come were
turned away before: their first token is late whatever is done, and a slot for one of them
is one that somebody in time can't have. What is left to such a caller is less than others
begin with; but on some fleets callers begin with very different times, and there a short
one says nothing by itself. So the times that first tries come with are learned while nobody
is turned away, and a request is only judged where its time lies outside of them.

"""

from collections import deque
from dataclasses import dataclass, field
from typing import Final

# Times that differ by less are alike: the way takes some ms of each. Who was turned away
# has lost more.
DEADLINE_TOLERANCE_MS: Final = 120
# After somebody was turned away, those who come may be returning for so long: callers wait
# 6 s.
RETURN_WINDOW_S: Final = 8.0
# Times kept for each route, and how many say enough.
MAX_DEADLINES_KEPT: Final = 128
MIN_FIRST_TRIES: Final = 20
# Routes come and go with configurations; of so many the times are kept, 2 KB each.
MAX_ROUTES: Final = 2000
# Before so much was seen, as after a start under load: callers begin alike where so many of
# the latest, returns among them, have the longest time but for the ms that their way takes.
# Two or three that happen to lie so close are no evidence: by them, 1 in 14 first tries of
# callers with 0.85 to all of the usual time was taken for a return.
LATEST_KEPT: Final = 16
COMMON_DEADLINE_SHARE: Final = 0.4
MIN_COMMON_DEADLINES: Final = 4
SAME_DEADLINE_MS: Final = 20
# Below the shortest of a route's first tries but for these: calls for probing, and returns
# that were taken for first ones.
OUTLIER_SHARE: Final = 0.05
# A few first tries don't show the shortest there is: how far below it may lie, as a share of
# what they differ by.
UNSEEN_MARGIN_SHARE: Final = 0.2


@dataclass(frozen=True, slots=True)
class Judgement:
    """
    The time since the caller's first try as far as is known, in ms (0: this is it), and
    whether its time can't tell, so that it is worth asking who remembers.

    """

    elapsed_ms: int = 0
    is_undecided: bool = False


@dataclass(slots=True)
class RouteDeadlines:
    """
    The times that callers gave the requests of one route, in ms: the longest of all, the
    latest, and those of first tries.

    """

    longest: int = 0
    latest: deque[int] = field(default_factory=lambda: deque(maxlen=LATEST_KEPT))
    first: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_DEADLINES_KEPT))

    def share_one_deadline(self) -> bool:
        """
        Whether callers seem to begin with the same time, by the latest of them.

        """
        longest = sum(time_ms >= self.longest - SAME_DEADLINE_MS for time_ms in self.latest)
        return longest >= max(MIN_COMMON_DEADLINES, COMMON_DEADLINE_SHARE * len(self.latest))


class FirstTryDetector:
    """
    What one entry learned of the times that callers give, by route.

    """

    def __init__(self) -> None:
        self.times: dict[str, RouteDeadlines] = {}
        self.turned_away_at = float('-inf')

    def note_turned_away(self, now: float) -> None:
        """
        A caller was turned away, and may come back.

        """
        self.turned_away_at = now

    def judge(self, route: str, deadline_ms: int, now: float) -> Judgement:
        """
        Judge a request by its deadline, and learn from it while nobody returns.

        """
        times = self._deadlines_of(route)
        times.longest = max(times.longest, deadline_ms)
        times.latest.append(deadline_ms)
        if now - self.turned_away_at > RETURN_WINDOW_S:
            times.first.append(deadline_ms)
        if deadline_ms >= times.longest - DEADLINE_TOLERANCE_MS:
            return Judgement()
        if len(times.first) < MIN_FIRST_TRIES:
            alike = times.share_one_deadline()
            return Judgement(times.longest - deadline_ms) if alike else Judgement(is_undecided=True)
        ordered = sorted(times.first)
        shortest = ordered[int(len(ordered) * OUTLIER_SHARE)]
        margin_ms = max(DEADLINE_TOLERANCE_MS, UNSEEN_MARGIN_SHARE * (times.longest - shortest))
        if deadline_ms >= shortest - margin_ms:
            return Judgement(is_undecided=True)
        usual = ordered[len(ordered) // 2]
        return Judgement(usual - deadline_ms)

    def _deadlines_of(self, route: str) -> RouteDeadlines:
        times = self.times.get(route)
        if times is None:
            if len(self.times) >= MAX_ROUTES:
                del self.times[next(iter(self.times))]
            times = self.times[route] = RouteDeadlines()
        return times
