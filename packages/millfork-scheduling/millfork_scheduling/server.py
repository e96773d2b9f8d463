"""
One back end that an entry sends requests to directly: its load, failures and pace.

"""

import math
from dataclasses import dataclass, field
from typing import Final

from millfork_core.ids import (
    UNKNOWN_INCARNATION,
    Incarnation,
    InstanceId,
    ServiceName,
    ZoneId,
)
from millfork_registry.records import ServedVersion
from millfork_routing.documents import EngineSpec
from millfork_scheduling.availability import Availability
from millfork_scheduling.prediction import first_token_ms, usual_service_s

# A back end that failed is avoided for this time, doubled with each further failure in a row up to
# `MAX_AVOIDANCE_S`.
FIRST_AVOIDANCE_S: Final = 0.5
MAX_AVOIDANCE_S: Final = 4.0
# A back end that turns a request away is avoided for this time, doubled with each further rejection
# in a row up to `MAX_TURNED_AWAY_S`: the back end may be full for a moment, or reject everything.
FIRST_TURNED_AWAY_S: Final = 0.05
MAX_TURNED_AWAY_S: Final = 2.0
# A sound back end may send nothing for this long. A silent one is avoided for this time.
MAX_PAUSE_S: Final = 2.0
# Weight of the latest request in a back end's failure rate (an exponential moving average).
FAILURE_WEIGHT: Final = 0.1
# Weight of the latest request in the mean service time of a back end.
SERVICE_TIME_WEIGHT: Final = 0.1
# The mean lateness halves in this time while no first token arrives.
LATENESS_HALF_LIFE_S: Final = 0.7
# Weight of the latest first token in a back end's mean lateness. An entry sees about one a second
# from each back end, so a slow back end has to be recognised by a single late first token.
SERVER_LATENESS_WEIGHT: Final = 0.5
# The lateness of one first token (or its earliness) counts as at most this, as a stuck engine says
# nothing about the other engines of its service.
MAX_LATENESS_MS: Final = 800.0
# Daemons report every 0.15 s. One that is silent for this time is gone, frozen or cut off.
DAEMON_SILENT_S: Final = 0.6
# An announced change of an engine's weights lapses if the daemon beside the engine has sent no
# report for this long, as it may never announce the end. A daemon whose engine is silent reports
# every 2.7 s.
CHANGE_LAPSES_S: Final = 6.0
# A load report that is older than this says nothing about the present load.
REPORT_VALID_S: Final = 2.0


@dataclass(slots=True)
class Lateness:
    """
    The mean delay of first tokens relative to the prediction from the engine spec, in ms.

    The mean decays while no first token arrives. Otherwise a high mean would keep away the
    requests that could show that the delay is over.

    """

    weight: float
    mean_ms: float = 0.0
    updated_at: float = 0.0

    def mean_ms_at(self, now: float) -> float:
        """
        The mean after its decay from the last update until `now`.

        """
        return self.mean_ms * math.exp2((self.updated_at - now) / LATENESS_HALF_LIFE_S)

    def record(self, late_ms: float, now: float) -> None:
        """
        Add the lateness of one first token to the mean.

        """
        late_ms = min(max(late_ms, -MAX_LATENESS_MS), MAX_LATENESS_MS)
        mean_ms = self.mean_ms_at(now)
        self.mean_ms = mean_ms + self.weight * (late_ms - mean_ms)
        self.updated_at = now


@dataclass(frozen=True, slots=True)
class Load:
    """
    The requests running and queued at an engine, and its pace (above 1: slower than usual).

    `own_requests` counts this entry's own requests at the engine when the load was determined,
    `own_awaiting_first_token` those without a first token.

    """

    running: int
    queued: int
    pace: float
    own_requests: int
    own_awaiting_first_token: int


@dataclass(slots=True, eq=False)
class Server:
    """
    One back end as this entry sees it. Moments (`..._at`, `..._since`, `..._until`) are monotonic
    seconds.

    """

    instance: InstanceId
    service: ServiceName
    host: str
    port: int
    zone: ZoneId
    slots: int
    served: tuple[ServedVersion, ...] = ()
    incarnation: Incarnation = UNKNOWN_INCARNATION
    # Whether another incarnation has replaced this one; requests sent to this one are lost.
    replaced: bool = False
    # The backpressure signals that the back end sent.
    availability: Availability = field(default_factory=Availability)
    # The versions in the back end's lease; those in `served` may come from a newer daemon report.
    lease_served: tuple[ServedVersion, ...] = ()
    # The sequence number of the last lease whose coldness was applied (-1: none), and until when
    # the back end is cold by it.
    lease_sequence: int = -1
    lease_cold_until: float = float('-inf')
    # Whether the engine is about to change version, by the last report of its daemon.
    changes_version: bool = False
    # When the last report of the daemon arrived, also one which says that the engine is silent.
    daemon_heard_at: float = float('-inf')
    # The sequence number of the last report that was applied; -1: none.
    report_sequence: int = -1
    # The instance of the endpoint daemon beside the back end; empty before the first report.
    daemon: str = ''
    # When this entry first received the back end's lease.
    known_since: float = float('inf')
    # Random but fixed: in large fleets an entry uses only the back ends with the lowest values.
    draw_order: float = 0.0
    # The number of this entry's own requests at the back end, and of those without a first token.
    own_requests: int = 0
    own_awaiting_first_token: int = 0
    # The last report of the load: the number of requests of all entries and of those without a
    # first token, and the values of `own_requests` and `own_awaiting_first_token` that belong to
    # that report.
    reported: int = 0
    reported_awaiting_first_token: int = 0
    own_at_report: int = 0
    own_awaiting_at_report: int = 0
    pace: float = 1.0
    # The mean time of this entry's requests at the back end, in seconds; None before one has ended.
    service_s: float | None = None
    reported_at: float = float('-inf')
    failures: int = 0
    failure_rate: float = 0.0
    # How many requests were turned away in a row, and when this entry learned of the last one.
    turned_away: int = 0
    turned_away_at: float = float('-inf')
    avoided_until: float = float('-inf')
    # The back end is avoided until then because it was silent; reset when it sends something.
    silent_until: float = float('-inf')
    # When this entry last received data from the back end.
    last_received_at: float = float('-inf')
    # By urgency (queue rank at the engine): when the latest of the requests that the back end has
    # begun to answer was sent.
    answered: dict[int | None, float] = field(default_factory=dict)
    # The mean delay of first tokens relative to the prediction from the engine spec.
    lateness: 'Lateness' = field(default_factory=lambda: Lateness(SERVER_LATENESS_WEIGHT))
    # Versions for which the back end recently refused requests, and until when each refusal counts.
    refused: dict[int, float] = field(default_factory=dict)

    def is_other_incarnation(self, incarnation: Incarnation) -> bool:
        """
        Whether `incarnation` differs from that of this back end; False if either is unknown.

        """
        if not incarnation or not self.incarnation:
            return False
        return incarnation != self.incarnation

    def lacks_daemon_reports(self, now: float) -> bool:
        """
        Whether this entry received no load report about the back end in the last
        `DAEMON_SILENT_S`. False if the entry has not known the back end for that long.

        """
        return now - max(self.reported_at, self.known_since) > DAEMON_SILENT_S

    def set_load(self, load: Load, now: float) -> None:
        """
        Set the load from a report that arrived at the moment `now`.

        """
        self.reported = load.running + load.queued
        self.reported_awaiting_first_token = load.queued
        self.own_at_report = load.own_requests
        self.own_awaiting_at_report = load.own_awaiting_first_token
        self.pace = load.pace
        self.reported_at = now

    def occupied(self, now: float, entries: int = 1) -> int:
        """
        The estimated number of requests at the back end.

        The number in the last report is corrected by the requests that this entry has begun and
        ended since. The other entries see the same report and choose alike, so if this entry has
        more requests there than at the report, the increase is multiplied by `entries`. Without
        a recent report, every entry is assumed to have as many requests there as this one.

        """
        if now - self.reported_at > REPORT_VALID_S:
            return self.own_requests * entries
        new = self.own_requests - self.own_at_report
        return max(self.reported + new * (entries if new > 0 else 1), self.own_requests)

    def likely_occupied(self, now: float, entries: int) -> int:
        """
        The estimated number of requests at the back end; lower than `occupied` if this entry has
        begun requests since the report.

        If this entry began only one request, the other entries may have begun none; assuming
        otherwise would turn callers away from free slots. If it began more, there is a rush, and
        each other entry is assumed to have begun one fewer.

        """
        if now - self.reported_at > REPORT_VALID_S:
            return self.occupied(now, entries)
        rush = max(self.own_requests - self.own_at_report - 1, 0)
        return self.occupied(now) + rush * (entries - 1)

    def awaiting_first_token(self, now: float, entries: int = 1) -> int:
        """
        The number of requests at the back end without a first token, estimated like `occupied`.

        """
        if now - self.reported_at > REPORT_VALID_S:
            return self.own_awaiting_first_token * entries
        new = self.own_awaiting_first_token - self.own_awaiting_at_report
        return max(
            self.reported_awaiting_first_token + new * (entries if new > 0 else 1),
            self.own_awaiting_first_token,
        )

    def first_token_ms(
        self, engine: EngineSpec, prompt_tokens: int, now: float, entries: int
    ) -> float:
        """
        The predicted time to the first token of a request that is sent now, in ms.

        """
        service_s = self.service_s if self.service_s is not None else usual_service_s(engine)
        return first_token_ms(
            engine,
            prompt_tokens,
            self.occupied(now, entries),
            self.awaiting_first_token(now, entries),
            service_s,
            self.pace,
        )

    def record_service_time(self, seconds: float) -> None:
        """
        Update `service_s`, an exponential moving average, with the seconds that one request of this
        entry took at the back end. The first request sets the average.

        """
        if self.service_s is None:
            self.service_s = seconds
            return
        self.service_s += SERVICE_TIME_WEIGHT * (seconds - self.service_s)

    def record_failure(self, now: float) -> None:
        """
        Record a failed request; the back end is avoided for longer with each failure in a row.

        """
        wait = min(FIRST_AVOIDANCE_S * 2**self.failures, MAX_AVOIDANCE_S)
        self.failures += 1
        self.avoided_until = now + wait
        self.record_outcome(failed=True)

    def is_avoided(self, now: float) -> bool:
        return now < max(self.avoided_until, self.silent_until)

    def record_silence(self, now: float) -> None:
        """
        Record that the back end has sent nothing for a while. It may only pause, so this counts
        as no failure.

        """
        self.silent_until = now + MAX_PAUSE_S

    def record_received(self, now: float) -> None:
        """
        Record that the back end has sent data.

        """
        self.last_received_at = now
        self.silent_until = float('-inf')

    def record_turned_away(self, sent_at: float, now: float) -> None:
        """
        Record that a request sent at `sent_at` was turned away; the back end is avoided for a
        while. As rejected requests occupy no slots, this back end would otherwise seem to be the
        freest.

        """
        if sent_at < self.turned_away_at:
            # The request was sent before the last rejection was known: no further evidence.
            return
        wait = min(FIRST_TURNED_AWAY_S * 2**self.turned_away, MAX_TURNED_AWAY_S)
        self.turned_away += 1
        self.turned_away_at = now
        self.avoided_until = max(self.avoided_until, now + wait)

    def record_accepted(self, sent_at: float) -> None:
        """
        Record that the back end accepted a request sent at `sent_at`. This resets `turned_away`,
        unless the request was sent before the last rejection was known.

        """
        if sent_at >= self.turned_away_at:
            self.turned_away = 0

    def record_outcome(self, failed: bool) -> None:
        """
        Add the outcome of one request to the failure rate; a success resets `failures`.

        """
        self.failure_rate += FAILURE_WEIGHT * (float(failed) - self.failure_rate)
        if not failed:
            self.failures = 0

    def record_answered(self, urgency: int | None, sent_at: float) -> None:
        """
        Record that the back end began to answer a request of this urgency that was sent at
        `sent_at`.

        """
        self.answered[urgency] = max(sent_at, self.answered.get(urgency, sent_at))

    def answered_since(self, urgency: int | None, moment: float) -> bool:
        """
        Whether the back end began to answer a request of this urgency that was sent after
        `moment`.

        """
        return self.answered.get(urgency, float('-inf')) > moment

    def newest_complete_version(self, layers: int) -> int | None:
        """
        The newest version of which the back end holds all layers; None if there is none.

        """
        complete = [item.version for item in self.served if item.is_complete(layers)]
        return max(complete, default=None)
