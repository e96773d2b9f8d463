"""
One back end that an entry reaches directly: its load, its failures, its pace.

"""

import math
from dataclasses import dataclass, field
from typing import Final

from millfork_core.ids import (
    UNTOLD_INCARNATION,
    Incarnation,
    InstanceId,
    ServiceName,
    ZoneId,
)
from millfork_registry.records import ServedVersion
from millfork_routing.documents import EngineSpec
from millfork_scheduling.availability import Availability
from millfork_scheduling.prediction import first_token_ms, usual_service_s

# A back end that failed is left alone this long, doubling with each failure.
FIRST_SUSPICION_S: Final = 0.5
MAX_SUSPICION_S: Final = 4.0
# One that turns a request away is left alone this long, doubling with each one in a row: it
# may be full for a moment, or turn all away.
FIRST_TURNED_AWAY_S: Final = 0.05
MAX_TURNED_AWAY_S: Final = 2.0
# One request's weight in a back end's failure rate.
FAILURE_WEIGHT: Final = 0.1
# One request's weight in the mean time of requests at an engine.
SERVICE_TIME_WEIGHT: Final = 0.1
LATENESS_HALF_LIFE_S: Final = 0.7
# The same for one back end, of which an entry sees about one a second: a slow
# one is known after its first.
SERVER_LATENESS_WEIGHT: Final = 0.5
# A stuck engine's lateness says nothing of the others.
MAX_LATENESS_MS: Final = 800.0
# A daemon reports each 0.15 s; one that doesn't for so long is gone, stands still, or is cut off.
DAEMON_SILENT_S: Final = 0.6
# A report older than this says nothing about the load now.
REPORT_VALID_S: Final = 2.0


@dataclass(slots=True)
class Lateness:
    """
    A mean of how much later than by the figures first tokens came, in ms.

    It fades while no first token comes: it would else keep out the requests
    that could tell that it is over.

    """

    weight: float
    mean_ms: float = 0.0
    at: float = 0.0

    def now_ms(self, now: float) -> float:
        return self.mean_ms * math.exp2((self.at - now) / LATENESS_HALF_LIFE_S)

    def note(self, late_ms: float, now: float) -> None:
        """
        Take one first token's lateness into the mean.

        """
        late_ms = min(max(late_ms, -MAX_LATENESS_MS), MAX_LATENESS_MS)
        mean_ms = self.now_ms(now)
        self.mean_ms = mean_ms + self.weight * (late_ms - mean_ms)
        self.at = now


@dataclass(frozen=True, slots=True)
class Load:
    """
    The requests that run and wait at an engine, its pace (over 1: slower than usual), and how
    many of the requests are this entry's: all of them, and those without a first token.

    """

    running: int
    queued: int
    pace: float
    mine: int
    mine_unread: int


@dataclass(slots=True, eq=False)
class Server:
    """
    One back end as this entry sees it.

    """

    instance: InstanceId
    service: ServiceName
    host: str
    port: int
    zone: ZoneId
    slots: int
    served: tuple[ServedVersion, ...] = ()
    incarnation: Incarnation = UNTOLD_INCARNATION
    # Whether another incarnation has taken its place: what was sent here is lost.
    replaced: bool = False
    # What it said of itself.
    availability: Availability = field(default_factory=Availability)
    # What its last heartbeat said; an endpoint's report is newer.
    lease_served: tuple[ServedVersion, ...] = ()
    changing: bool = False
    report_sequence: int = -1
    # The instance of the endpoint daemon beside it; empty until it reported.
    daemon: str = ''
    # When this entry first heard of its lease.
    known_since: float = float('inf')
    # Which ones are drawn where there are many: those with the least, the same ones always.
    draw_order: float = 0.0
    # Requests of this entry there, and those of them without a first token.
    mine: int = 0
    mine_unread: int = 0
    reported: int = 0
    reported_unread: int = 0
    mine_at_report: int = 0
    mine_unread_at_report: int = 0
    pace: float = 1.0
    # How long a request of this entry took there, in seconds; None: no
    # request was seen through yet.
    service_s: float | None = None
    reported_at: float = float('-inf')
    failures: int = 0
    failure_rate: float = 0.0
    # Requests that it turned away one after another, and when it last did.
    turned_away: int = 0
    turned_away_at: float = float('-inf')
    suspect_until: float = float('-inf')
    # When this entry last received anything from it.
    last_received_at: float = float('-inf')
    # When the latest of the requests was sent whose answer began, by rank.
    answered: dict[int | None, float] = field(default_factory=dict)
    # How much later than by the figures its first tokens come.
    lateness: 'Lateness' = field(default_factory=lambda: Lateness(SERVER_LATENESS_WEIGHT))
    # Versions that it refused lately, and until when to believe that.
    refused: dict[int, float] = field(default_factory=dict)

    def is_other_incarnation(self, incarnation: Incarnation) -> bool:
        """
        Whether what was told is of another incarnation than this one, as far as is known.

        """
        if not incarnation or not self.incarnation:
            return False
        return incarnation != self.incarnation

    def lacks_daemon_reports(self, now: float) -> bool:
        """
        Whether the daemon beside it does not report, or does so no more.

        """
        return now - max(self.reported_at, self.known_since) > DAEMON_SILENT_S

    def set_load(self, load: Load, now: float) -> None:
        """
        Take what runs and waits there, as told at this moment.

        """
        self.reported = load.running + load.queued
        self.reported_unread = load.queued
        self.mine_at_report = load.mine
        self.mine_unread_at_report = load.mine_unread
        self.pace = load.pace
        self.reported_at = now

    def occupied(self, now: float, entries: int = 1) -> int:
        """
        Requests there: the last report, which lags, corrected by what this
        entry has begun and ended since, and by what the others will have:
        they see the same report and choose alike. Without a report the others are
        taken to have as many.

        """
        if now - self.reported_at > REPORT_VALID_S:
            return self.mine * entries
        begun = self.mine - self.mine_at_report
        return max(self.reported + begun * (entries if begun > 0 else 1), self.mine)

    def likely_occupied(self, now: float, entries: int) -> int:
        """
        Requests there as `occupied` tells, but where this entry began only one since the
        report, that says nothing of the others: callers would be turned away from free
        slots. Where it began more, there is a rush, and the others do alike.

        """
        if now - self.reported_at > REPORT_VALID_S:
            return self.occupied(now, entries)
        rush = max(self.mine - self.mine_at_report - 1, 0)
        return self.occupied(now) + rush * (entries - 1)

    def unread(self, now: float, entries: int = 1) -> int:
        """
        Requests there that have no first token yet, as `occupied` is known.

        """
        if now - self.reported_at > REPORT_VALID_S:
            return self.mine_unread * entries
        begun = self.mine_unread - self.mine_unread_at_report
        return max(self.reported_unread + begun * (entries if begun > 0 else 1), self.mine_unread)

    def first_token_ms(
        self, engine: EngineSpec, prompt_tokens: int, now: float, entries: int
    ) -> float:
        """
        The time to the first token that a request sent now would have.

        """
        service_s = self.service_s if self.service_s is not None else usual_service_s(engine)
        return first_token_ms(
            engine,
            prompt_tokens,
            self.occupied(now, entries),
            self.unread(now, entries),
            service_s,
            self.pace,
        )

    def note_service_time(self, seconds: float) -> None:
        """
        Take one request's time there into the mean.

        """
        if self.service_s is None:
            self.service_s = seconds
            return
        self.service_s += SERVICE_TIME_WEIGHT * (seconds - self.service_s)

    def note_failure(self, now: float) -> None:
        """
        It did not answer as it should: leave it alone for a while.

        """
        wait = min(FIRST_SUSPICION_S * 2**self.failures, MAX_SUSPICION_S)
        self.failures += 1
        self.suspect_until = now + wait
        self.note_outcome(failed=True)

    def note_turned_away(self, sent_at: float, now: float) -> None:
        """
        It turned away what was sent at a moment: leave it alone for a while, as what it does
        not run takes no place there, and it would look the freest of all.

        """
        if sent_at < self.turned_away_at:
            # Sent before the last one was known to be turned away: that says nothing more.
            return
        wait = min(FIRST_TURNED_AWAY_S * 2**self.turned_away, MAX_TURNED_AWAY_S)
        self.turned_away += 1
        self.turned_away_at = now
        self.suspect_until = max(self.suspect_until, now + wait)

    def note_accepted(self, sent_at: float) -> None:
        """
        It took what was sent at a moment.

        """
        if sent_at >= self.turned_away_at:
            self.turned_away = 0

    def note_outcome(self, failed: bool) -> None:
        """
        Count one request's outcome into the failure rate.

        """
        self.failure_rate += FAILURE_WEIGHT * (float(failed) - self.failure_rate)
        if not failed:
            self.failures = 0

    def note_answered(self, urgency: int | None, began: float) -> None:
        """
        The answer begins to a request of a rank that was sent at `began`.

        """
        self.answered[urgency] = max(began, self.answered.get(urgency, began))

    def answered_since(self, urgency: int | None, began: float) -> bool:
        """
        Whether it answered a request of the same rank that was sent after `began`.

        """
        return self.answered.get(urgency, float('-inf')) > began

    def newest_complete_version(self, layers: int) -> int | None:
        """
        The newest version of which it holds all layers, if any.

        """
        whole = [item.version for item in self.served if item.is_whole(layers)]
        return max(whole, default=None)
