"""
Load balancing: the choice of the endpoint for a request.

"""

from dataclasses import dataclass, field
from typing import Final

from millfork_core.ids import InstanceId, OrganisationId, ZoneId
from millfork_core.ranks import rank

# The preferred endpoint is skipped once its load exceeds the mean by this factor.
BOUNDED_LOAD: Final = 1.25
# The number of requests that an endpoint is assumed to take before its first load report.
DEFAULT_LIMIT: Final = 8
# An endpoint that turns a request away is skipped for this time, doubled with each rejection in a
# row: it may be full for a moment, or reject everything.
FIRST_PASSED_OVER_S: Final = 0.05
MAX_PASSED_OVER_S: Final = 2.0


@dataclass(frozen=True, slots=True)
class BusyNotice:
    """
    An endpoint's notice that it has no place for an organisation: until when it is considered
    valid (monotonic seconds), and the wait until the caller may retry.

    """

    until: float
    retry_after_ms: int


@dataclass(slots=True)
class Backend:
    """
    One endpoint as known to an entry; times are monotonic seconds.

    """

    instance: InstanceId
    zone: ZoneId
    limit: int = DEFAULT_LIMIT
    reported: int = 0
    own_at_report: int = 0
    own_requests: int = 0
    leaving: bool = False
    avoided_until: float = 0.0
    # The number of requests that its back end turned away in a row, when the last one was, and
    # until when other endpoints are preferred.
    turned_away: int = 0
    turned_away_at: float = float('-inf')
    passed_over_until: float = float('-inf')
    busy: dict[OrganisationId, BusyNotice] = field(default_factory=dict)
    # The version that it serves of each service, from its last load report.
    served: dict[str, str] = field(default_factory=dict)
    # When its process started, in ns since 1970; 0 if unknown.
    start: int = 0

    @property
    def occupied(self) -> int:
        """
        The estimated number of requests in progress: the last report, which lags, corrected by
        the requests that this entry has begun and ended since.

        """
        return max(self.reported + self.own_requests - self.own_at_report, self.own_requests)

    @property
    def load(self) -> float:
        return self.occupied / self.limit

    def busy_for(self, organisation: OrganisationId, now: float) -> BusyNotice | None:
        """
        The valid busy notice for this organisation, if any. Notices are kept by organisation, as
        the flood of one must not close the endpoint to the others.

        """
        busy = self.busy.get(organisation)
        return busy if busy is not None and busy.until > now else None

    def record_turned_away(self, sent_at: float, now: float) -> None:
        """
        Record that its back end turned away a request sent at `sent_at`. Rejected requests
        occupy no place, so the endpoint would otherwise look the least loaded.

        """
        if sent_at < self.turned_away_at:
            # Sent before the last rejection was known, so it is no further evidence.
            return
        wait_s = min(FIRST_PASSED_OVER_S * 2.0**self.turned_away, MAX_PASSED_OVER_S)
        self.passed_over_until = now + wait_s
        self.turned_away += 1
        self.turned_away_at = now

    def record_accepted(self, sent_at: float) -> None:
        """
        Record that its back end accepted a request sent at `sent_at`.

        """
        if sent_at >= self.turned_away_at:
            self.turned_away = 0

    def apply_report(self, occupied: int, limit: int) -> None:
        """
        Apply a load report that describes the present moment.

        """
        self.reported = occupied
        self.limit = max(limit, 1)
        self.own_at_report = self.own_requests


def is_usable(backend: Backend, organisation: OrganisationId, now: float) -> bool:
    """
    Whether a request of this organisation may be sent to the endpoint.

    """
    if backend.leaving or backend.avoided_until > now:
        return False
    return backend.busy_for(organisation, now) is None


def choose(
    backends: list[Backend],
    zone: ZoneId,
    organisation: OrganisationId,
    affinity: str,
    tried: set[InstanceId],
    now: float,
) -> Backend | None:
    """
    The endpoint for a request; None if no endpoint is usable.

    Endpoints with free capacity in this zone are preferred, then those with free capacity in any
    zone. Among them the affinity key decides, except that endpoints loaded well above the mean
    are skipped; without a key, the least loaded is chosen.

    """
    able = [b for b in backends if b.instance not in tried and is_usable(b, organisation, now)]
    if not able:
        return None
    # If all endpoints turned requests away recently, they are used nevertheless.
    able = [b for b in able if b.passed_over_until <= now] or able
    local = [b for b in able if b.zone == zone and b.load < 1]
    free = local or [b for b in able if b.load < 1] or able
    if not affinity:
        return min(free, key=lambda b: (b.load, rank(affinity, b.instance)))
    mean = sum(b.occupied + 1 for b in free) / sum(b.limit for b in free)
    within = [b for b in free if b.load <= mean * BOUNDED_LOAD] or free
    return max(within, key=lambda b: rank(affinity, b.instance))
