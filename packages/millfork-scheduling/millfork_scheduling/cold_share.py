"""
One entry's share of the requests that a cold back end bears.

A back end is cold for some seconds after it has started or returned. It then bears few requests a
second, and crashes if it gets many more. All entries together may send it a fixed number of
requests within any second, but they don't coordinate, learn of the coldness at different times, and
send at the moment at which callers come, which may be the same for all.

So each entry keeps to a part that holds however the sends of the others coincide:

- Few entries: each sends at most its equal part of the number, rounded down, within any
  `SPAN_S`.
- More entries than requests: whether an entry may use a cold back end at all is drawn once for each
  incarnation of the back end. Those that may send one request within any `SPAN_S`. The probability
  is such that the number of entries that may exceeds the number of requests only with
  `MAX_EXCESS_DEVIATIONS` standard deviations. Were it drawn anew every second, a rush could use a
  permission just before and one just after the next draw.

"""

import math
from collections import deque
from dataclasses import dataclass, field
from random import Random
from typing import Final

# The number of requests is bounded within each second, both as they are sent and as they arrive. A
# request may arrive up to `ARRIVAL_MARGIN_S` later than another one that was sent at the same time.
WINDOW_S: Final = 1.0
ARRIVAL_MARGIN_S: Final = 0.4
SPAN_S: Final = WINDOW_S + ARRIVAL_MARGIN_S
# 3.5 standard deviations are exceeded in 1 of 4,000 draws, and only if all of these entries send at
# once as well.
MAX_EXCESS_DEVIATIONS: Final = 3.5
# A back end that keeps saying that it is cold is believed for this many times the cold time of its
# service: it would otherwise get few requests for ever.
MAX_COLD_TIMES: Final = 10
# The shortest time for which such a back end is believed, in seconds, whatever its service names.
MIN_BELIEVED_S: Final = 30.0


@dataclass(frozen=True, slots=True)
class ColdBounds:
    """
    What the back ends of a service bear while they are cold.

    `max_requests` is the number of requests that all entries together may send within any second,
    `start_s` for how many seconds a back end is usually cold.

    """

    max_requests: int
    start_s: float

    @property
    def believed_s(self) -> float:
        """
        For how many seconds a back end that stays cold is believed.

        """
        return max(MAX_COLD_TIMES * self.start_s, MIN_BELIEVED_S)


def cold_bounds(per_s: float, start_s: float, over: float, slack: float) -> ColdBounds | None:
    """
    The bounds of a service whose back ends bear `per_s` requests a second while they are cold,
    where `over` times as many and `slack` more are tolerated; None if the service names none.

    """
    if per_s <= 0:
        return None
    return ColdBounds(math.floor(per_s * over + slack), start_s)


def allowed_probability(max_requests: int, entries: int) -> float:
    """
    The probability with which an entry may use a cold back end if there are more `entries` than
    requests that the back end bears: the number of entries that may, plus `MAX_EXCESS_DEVIATIONS`
    standard deviations of it, is at most `max_requests`.

    """
    if max_requests <= 0:
        return 0.0
    # p * entries + d * sqrt(entries * p * (1 - p)) = max_requests, solved for p.
    squared = MAX_EXCESS_DEVIATIONS**2
    a = entries + squared
    b = 2 * max_requests + squared
    c = max_requests**2 / entries
    return (b - math.sqrt(b * b - 4 * a * c)) / (2 * a)


@dataclass(slots=True)
class ColdShare:
    """
    Whether one incarnation of a back end is cold, and the requests that this entry has sent it.
    Moments are monotonic seconds.

    """

    random: Random
    bounds: ColdBounds
    # The end of the coldness that is known, when this period of coldness began, and when the last
    # notice of it came.
    cold_until: float = float('-inf')
    cold_since: float = float('-inf')
    noticed_at: float = float('-inf')
    # Until when notices that the back end is warm may be older than a doubt about it.
    doubted_until: float = float('-inf')
    # The latest sends, oldest first.
    sent: deque[float] = field(default_factory=deque)
    draw: float = field(init=False)

    def __post_init__(self) -> None:
        self.draw = self.random.random()

    def record_notice(self, left_s: float, now: float) -> bool:
        """
        Record a notice that the back end is cold for `left_s` more seconds, or warm if that is 0;
        returns whether this begins or ends a period of coldness.

        """
        was_cold = self.is_cold(now)
        if left_s <= 0 and now < self.doubted_until:
            self.cold_until = self.doubted_until
            return False
        if left_s <= 0:
            self.cold_until = float('-inf')
            self.noticed_at = float('-inf')
            return was_cold
        if now - max(self.noticed_at, self.cold_until) > self.bounds.start_s:
            self.cold_since = now
        self.noticed_at = now
        latest = self.cold_since + self.bounds.believed_s
        self.cold_until = min(max(self.cold_until, now + left_s), latest)
        return self.is_cold(now) and not was_cold

    def doubt(self, seconds: float, now: float) -> bool:
        """
        Treat the back end as cold for `seconds`, as it may have become cold unnoticed; returns
        whether this begins a period of coldness. Notices that it is warm don't end this: they may
        have been sent before, as leases don't tell when their heartbeats were sent.

        """
        if seconds <= 0:
            return False
        began = self.record_notice(seconds, now)
        self.doubted_until = min(now + seconds, self.cold_until)
        return began

    def is_cold(self, now: float) -> bool:
        return now < self.cold_until

    def opens_in_s(self, now: float, entries: int) -> float:
        """
        The time until this entry, one of `entries`, may send the back end a request, in seconds; 0
        if it may send one now.

        """
        if not self.is_cold(now):
            return 0.0
        remaining_s = self.cold_until - now
        allowed = self._allowed_within_span(entries)
        if not allowed:
            return remaining_s
        self._forget_old(now)
        if len(self.sent) < allowed:
            return 0.0
        return min(self.sent[-allowed] + SPAN_S - now, remaining_s)

    def _allowed_within_span(self, entries: int) -> int:
        share = self.bounds.max_requests // max(entries, 1)
        if share:
            return share
        return int(self.draw < allowed_probability(self.bounds.max_requests, entries))

    def record_sent(self, now: float) -> None:
        """
        Record that a request is sent to the back end. Sends to a warm back end count as well, as it
        may become cold within the second.

        """
        self._forget_old(now)
        self.sent.append(now)

    def _forget_old(self, now: float) -> None:
        while self.sent and now - self.sent[0] >= SPAN_S:
            self.sent.popleft()
