"""
The backpressure signals of one incarnation (process life) of a back end, and whether these signals
allow requests to be sent to that back end.

An overloaded back end announces how many requests a second it accepts. Without a daemon beside
the back end, only answers show when the limit is over, so some requests must still be sent. A back
end that is leaving may say so in an answer before a replica learns it from a heartbeat, for
example during a partition.

"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Final

from millfork_adapter.exchange import Backpressure
from millfork_core.ids import Incarnation, InstanceId
from millfork_scheduling.cold_share import ColdBounds, ColdShare
from millfork_scheduling.limit_share import LimitShare

# A daemon's report is up to this old when it arrives. A report without a limit may therefore have
# been made before the back end announced a limit in an answer.
REPORT_LAG_S: Final = 0.6
# The longest rest that a back end may ask for. Longer ones are cut to this, as the back end could
# otherwise stay closed forever.
MAX_REST_S: Final = 300.0
# If the request that probes whether a rest is over has no answer after this time, another request
# may be sent as a probe.
PROBE_TIMEOUT_S: Final = 1.0
# How long the signals of an incarnation are kept after its lease is gone. An incarnation that
# leaves usually ends within seconds, but after a long partition its lease may come back.
REMEMBERED_S: Final = 3600.0
# The maximum number of incarnations whose signals are kept after their lease is gone: three times
# the number of back ends at the size planned for two years ahead.
MAX_REMEMBERED: Final = 10_000


class SignalSource(Enum):
    """
    Whether a signal came in a back end's answer or in a report of the daemon beside it.

    """

    ANSWER = 'answer'
    DAEMON = 'daemon'


class Signal(Enum):
    """
    A kind of backpressure signal: the back end limits the requests per second, is leaving, or
    asks for a rest.

    """

    LIMIT = 'limit'
    LEAVING = 'leaving'
    REST = 'rest'


class SignalEvent(Enum):
    """
    A change in the state of a signal.

    """

    BEGAN = 'began'
    CHANGED = 'changed'
    ENDED = 'ended'


@dataclass(slots=True)
class RestPeriod:
    """
    The period in which a back end asked this entry to send it no requests.

    `until` is the end of the period, `probed_at` when the last probe was sent (monotonic seconds).
    Once the period is over, a single request probes whether the back end accepts requests again.
    No other request is sent until the probe is answered or `PROBE_TIMEOUT_S` has passed.

    """

    until: float
    probed_at: float = float('-inf')

    def extend(self, rest_s: float, now: float) -> None:
        """
        Extend the period so that it ends `rest_s` from now, or `MAX_REST_S` from now if that is
        sooner, and forget the last probe. The period is never shortened, as the back end may have
        sent the answer that asks for this rest before an answer that was already applied.

        """
        self.until = max(self.until, now + min(rest_s, MAX_REST_S))
        self.probed_at = float('-inf')

    def opens_in_s(self, now: float) -> float:
        """
        The time until a request may be sent to the back end, in seconds; 0 if one may be sent now.

        """
        return max(self.until - now, self.probed_at + PROBE_TIMEOUT_S - now, 0.0)

    def record_sent(self, now: float) -> None:
        """
        Record that a request was sent, which probes whether the rest is over.

        """
        self.probed_at = now

    def is_ended_by(self, sent_at: float) -> bool:
        """
        Whether the back end's acceptance of a request that was sent at `sent_at` shows that the
        rest is over: only if the request was not sent before the end of the period.

        """
        return sent_at >= self.until


class ClosureReason(Enum):
    """
    Which signal of a back end, or which state of it, forbids sending requests to it now.

    """

    LEAVING = 'leaving'
    RESTING = 'resting'
    LIMITED = 'limited'
    COLD = 'cold'
    EVACUATED = 'evacuated'


@dataclass(frozen=True, slots=True)
class Closure:
    """
    Why no request may be sent to a back end, and the expected time until one may, in seconds
    (infinity if the back end is leaving or in an evacuated zone).

    """

    closure_reason: ClosureReason
    opens_in_s: float


@dataclass(frozen=True, slots=True)
class SignalChange:
    """
    A signal that began, changed or ended.

    `value` is the rate of a limit in requests a second, or the length of a rest in seconds. For
    an ended rest it is the time from the end of the requested period to the answer that showed
    that the rest is over, for `LEAVING` it is 0.

    """

    signal: Signal
    event: SignalEvent
    value: float


@dataclass(slots=True)
class Availability:
    """
    The last signals of one incarnation of a back end. Moments are monotonic seconds.

    """

    random: Random = field(default_factory=Random)
    limit: LimitShare | None = None
    limit_announced_at: float = float('-inf')
    # None if the service of the back end names no bounds for cold back ends.
    cold: ColdShare | None = None
    rest: RestPeriod | None = None
    # Whether an answer said that the back end is leaving. This stays set: an incarnation that
    # leaves never comes back, whatever its heartbeats say.
    leaving: bool = False
    # Whether the last report of the daemon beside the back end said that the back end is leaving. A
    # later report can revoke this: if engines have no incarnation, a report may describe the
    # previous engine at the address.
    reported_leaving: bool = False

    def apply_answer(
        self, backpressure: Backpressure, sent_at: float, now: float, turned_away: bool = False
    ) -> list[SignalChange]:
        """
        Apply the signals in the answer to a request sent at `sent_at`; returns the changes.
        `turned_away` says that the answer rejects the request; such an answer doesn't end a rest.

        """
        changes = self._apply_leaving(backpressure.leaving)
        changes += self._apply_rest(backpressure.rest_s or 0.0, sent_at, now, turned_away)
        if backpressure.limit_per_s is not None:
            return changes + self._start_or_change_limit(backpressure.limit_per_s, now)
        if sent_at <= self.limit_announced_at:
            # The back end may have answered before it announced the limit.
            return changes
        return changes + self._end_limit()

    def _apply_rest(
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

    def _apply_leaving(self, leaving: bool) -> list[SignalChange]:
        if not leaving or self.leaving:
            return []
        self.leaving = True
        return [SignalChange(Signal.LEAVING, SignalEvent.BEGAN, 0.0)]

    def apply_report(self, backpressure: Backpressure, now: float) -> list[SignalChange]:
        """
        Apply the signals reported by the daemon beside the back end; returns the changes.

        """
        changes = self._report_leaving(backpressure.leaving)
        if backpressure.limit_per_s is not None:
            return changes + self._start_or_change_limit(backpressure.limit_per_s, now)
        if now - self.limit_announced_at < REPORT_LAG_S:
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
        Why this entry, one of `entries`, may send the back end no request now; None if it may.

        """
        if self.leaving or self.reported_leaving:
            return Closure(ClosureReason.LEAVING, float('inf'))
        rest_s = self.rest.opens_in_s(now) if self.rest is not None else 0.0
        if rest_s:
            return Closure(ClosureReason.RESTING, rest_s)
        if self.limit is not None and not self.limit.can_send(now, entries):
            return Closure(ClosureReason.LIMITED, self.limit.expected_wait_s(now, entries))
        cold_s = self.cold.opens_in_s(now, entries) if self.cold is not None else 0.0
        return Closure(ClosureReason.COLD, cold_s) if cold_s else None

    def record_sent(self, now: float, entries: int) -> None:
        """
        Record that a request is sent to the back end. The request probes whether a rest is over,
        uses one of this entry's permits if the back end announced a limit, and counts as one of
        those that a cold back end bears.

        """
        if self.rest is not None:
            self.rest.record_sent(now)
        if self.limit is not None:
            self.limit.consume(now, entries)
        if self.cold is not None:
            self.cold.record_sent(now)

    def set_cold_bounds(self, bounds: ColdBounds | None) -> None:
        """
        Set the bounds for the time in which the back end is cold; None: there are none.

        """
        if bounds is None:
            self.cold = None
            return
        if self.cold is None:
            self.cold = ColdShare(self.random, bounds)
        self.cold.bounds = bounds

    def is_cold(self, now: float) -> bool:
        return self.cold is not None and self.cold.is_cold(now)

    def _start_or_change_limit(self, limit_per_s: float, now: float) -> list[SignalChange]:
        self.limit_announced_at = now
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
    The availabilities (last signals) of incarnations whose lease is gone. An availability is
    still valid if the lease of its incarnation comes back.

    """

    def __init__(self, random: Random, monotonic: Callable[[], float]) -> None:
        self.random = random
        self.monotonic = monotonic
        # By incarnation: when its lease was lost (monotonic seconds), and its availability; in the
        # order of these times.
        self.kept: dict[tuple[InstanceId, Incarnation], tuple[float, Availability]] = {}

    def store(self, key: tuple[InstanceId, Incarnation], availability: Availability) -> None:
        """
        Store the availability of an incarnation that lost its lease. Those stored longer than
        `REMEMBERED_S` ago, and the oldest above `MAX_REMEMBERED`, are dropped.

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
        Remove and return the stored availability of an incarnation that has a lease again; return
        a new one if none is stored.

        """
        _, availability = self.kept.pop(key, (0.0, Availability(self.random)))
        return availability
