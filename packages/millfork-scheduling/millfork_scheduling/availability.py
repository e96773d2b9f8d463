"""
What one incarnation of a back end said of itself, and whether it may be sent to.

It answers a back end in need that names how many requests a second it takes. Only its answers
tell when that is over, so some requests go on reaching it. One that leaves may say so to
entries before any replica takes its heartbeat, as behind a cut.

"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Final

from millfork_adapter.exchange import Backpressure
from millfork_core.ids import Incarnation, InstanceId
from millfork_scheduling.limit_share import LimitShare

# A daemon's report is up to this old when it comes: it may have been made before an answer
# that named a limit.
REPORT_LAG_S: Final = 0.6
# Beyond this a rest is not believed: the back end would be closed for good.
MAX_REST_S: Final = 300.0
# A request that asks whether a rest is over has its answer by then, or says nothing.
PROBE_TIMEOUT_S: Final = 1.0
# An incarnation that leaves is gone within seconds; a lease behind a long cut may come back.
REMEMBERED_S: Final = 3600.0
# Three times as many as there are back ends at the two-year size.
MAX_REMEMBERED: Final = 10_000


class SignalSource(Enum):
    """
    How an entry was told.

    """

    ANSWER = 'answer'
    DAEMON = 'daemon'


class Signal(Enum):
    """
    What a back end can say of itself.

    """

    LIMIT = 'limit'
    LEAVING = 'leaving'
    REST = 'rest'


class SignalEvent(Enum):
    """
    What becomes of a signal.

    """

    BEGAN = 'began'
    CHANGED = 'changed'
    ENDED = 'ended'


@dataclass(slots=True)
class RestPeriod:
    """
    The rests that a back end asked this entry for. Once one is over, a single request asks
    whether it takes more; the others wait for its answer. Times are monotonic seconds.

    """

    until: float
    probed_at: float = float('-inf')

    def extend(self, rest_s: float, now: float) -> None:
        """
        Take another rest; an answer that was under way shortens none.

        """
        self.until = max(self.until, now + min(rest_s, MAX_REST_S))
        self.probed_at = float('-inf')

    def opens_in_s(self, now: float) -> float:
        """
        Seconds until a request may be sent, 0 if one may now.

        """
        return max(self.until - now, self.probed_at + PROBE_TIMEOUT_S - now, 0.0)

    def note_sent(self, now: float) -> None:
        """
        A request is sent after the rest, to ask.

        """
        self.probed_at = now

    def is_ended_by(self, sent_at: float) -> bool:
        """
        Whether the answer to what was sent at a moment, not turned away, ends it.

        """
        return sent_at >= self.until


class ClosureReason(Enum):
    """
    Why a back end may not be sent to now, by its own word.

    """

    LEAVING = 'leaving'
    RESTING = 'resting'
    LIMITED = 'limited'


@dataclass(frozen=True, slots=True)
class Closure:
    """
    Why a back end may not be sent to, and in how many seconds it may be, as expected.

    """

    closure_reason: ClosureReason
    opens_in_s: float


@dataclass(frozen=True, slots=True)
class SignalChange:
    """
    A signal that began, changed or ended, and its value: of a limit, requests a second; of a
    rest, its seconds, and how long ago it was over when an answer ended it.

    """

    signal: Signal
    event: SignalEvent
    value: float


@dataclass(slots=True)
class Availability:
    """
    What one incarnation of a back end said of itself last. Times are monotonic seconds.

    """

    random: Random = field(default_factory=Random)
    limit: LimitShare | None = None
    limit_named_at: float = float('-inf')
    rest: RestPeriod | None = None
    # An incarnation that leaves comes back no more, whatever its heartbeats say.
    leaving: bool = False
    # What the daemon beside it said last: where incarnations are not told, its word may be
    # of the engine before this one.
    reported_leaving: bool = False

    def apply_answer(
        self, backpressure: Backpressure, sent_at: float, now: float, turned_away: bool = False
    ) -> list[SignalChange]:
        """
        Take what the answer to a request says that was sent at a moment; returns what changed.

        """
        changes = self._take_leaving(backpressure.leaving)
        changes += self._take_rest(backpressure.rest_s or 0.0, sent_at, now, turned_away)
        if backpressure.limit_per_s is not None:
            return changes + self._start_or_change_limit(backpressure.limit_per_s, now)
        if sent_at <= self.limit_named_at:
            # The back end may have answered before it named the limit.
            return changes
        return changes + self._end_limit()

    def _take_rest(
        self, rest_s: float, sent_at: float, now: float, turned_away: bool
    ) -> list[SignalChange]:
        rest = self.rest
        if rest_s:
            event = SignalEvent.BEGAN if rest is None else SignalEvent.CHANGED
            self.rest = rest or RestPeriod(now)
            self.rest.extend(rest_s, now)
            return [SignalChange(Signal.REST, event, rest_s)]
        if rest is None or turned_away or not rest.is_ended_by(sent_at):
            return []
        self.rest = None
        return [SignalChange(Signal.REST, SignalEvent.ENDED, now - rest.until)]

    def _take_leaving(self, leaving: bool) -> list[SignalChange]:
        if not leaving or self.leaving:
            return []
        self.leaving = True
        return [SignalChange(Signal.LEAVING, SignalEvent.BEGAN, 0.0)]

    def apply_report(self, backpressure: Backpressure, now: float) -> list[SignalChange]:
        """
        Take what the daemon beside a back end was told; returns what changed.

        """
        changes = self._report_leaving(backpressure.leaving)
        if backpressure.limit_per_s is not None:
            return changes + self._start_or_change_limit(backpressure.limit_per_s, now)
        if now - self.limit_named_at < REPORT_LAG_S:
            return changes
        return changes + self._end_limit()

    def _report_leaving(self, leaving: bool) -> list[SignalChange]:
        before, self.reported_leaving = self.reported_leaving, leaving
        if before == leaving or self.leaving:
            return []
        return [
            SignalChange(Signal.LEAVING, SignalEvent.BEGAN if leaving else SignalEvent.ENDED, 0.0)
        ]

    def closure(self, now: float, entries: int) -> Closure | None:
        """
        Why nothing may be sent now by this entry, one of so many; None if something may.

        """
        if self.leaving or self.reported_leaving:
            return Closure(ClosureReason.LEAVING, float('inf'))
        rest_s = self.rest.opens_in_s(now) if self.rest is not None else 0.0
        if rest_s:
            return Closure(ClosureReason.RESTING, rest_s)
        if self.limit is None or self.limit.can_send(now, entries):
            return None
        return Closure(ClosureReason.LIMITED, self.limit.expected_wait_s(now, entries))

    def note_sent(self, now: float, entries: int) -> None:
        """
        Count a request that is sent.

        """
        if self.rest is not None:
            self.rest.note_sent(now)
        if self.limit is not None:
            self.limit.consume(now, entries)

    def _start_or_change_limit(self, limit_per_s: float, now: float) -> list[SignalChange]:
        self.limit_named_at = now
        if self.limit is None:
            self.limit = LimitShare(self.random, limit_per_s, now)
            return [SignalChange(Signal.LIMIT, SignalEvent.BEGAN, limit_per_s)]
        if not self.limit.set_limit(limit_per_s):
            return []
        return [SignalChange(Signal.LIMIT, SignalEvent.CHANGED, limit_per_s)]

    def _end_limit(self) -> list[SignalChange]:
        if self.limit is None:
            return []
        ended, self.limit = self.limit, None
        return [SignalChange(Signal.LIMIT, SignalEvent.ENDED, ended.limit_per_s)]


class LapsedAvailabilities:
    """
    What incarnations said of themselves whose lease is away: when it comes back, nothing of
    that has changed.

    """

    def __init__(self, random: Random, monotonic: Callable[[], float]) -> None:
        self.random = random
        self.monotonic = monotonic
        # With the moment at which the lease went, the latest last.
        self.kept: dict[tuple[InstanceId, Incarnation], tuple[float, Availability]] = {}

    def store(self, key: tuple[InstanceId, Incarnation], availability: Availability) -> None:
        """
        The lease of an incarnation goes.

        """
        now = self.monotonic()
        self.kept.pop(key, None)
        self.kept[key] = (now, availability)
        for other, (lapsed_at, _) in list(self.kept.items()):
            if now - lapsed_at < REMEMBERED_S and len(self.kept) <= MAX_REMEMBERED:
                return
            del self.kept[other]

    def restore(self, key: tuple[InstanceId, Incarnation]) -> Availability:
        """
        The lease of an incarnation comes, for the first time or again.

        """
        _, availability = self.kept.pop(key, (0.0, Availability(self.random)))
        return availability
