"""
Load balancing: the choice of the endpoint that an entry sends a request to.

"""

from dataclasses import dataclass, field
from typing import Final

from millfork_core.ids import InstanceId, OrganisationId, ZoneId
from millfork_core.ranks import rank

# The endpoint that the affinity key of a request prefers is skipped while the endpoint's load is
# above this multiple of the mean load. Requests that should reach one endpoint have equal keys.
BOUNDED_LOAD: Final = 1.25
# Until its first load report, an endpoint is assumed to run this many requests at a time.
DEFAULT_LIMIT: Final = 8
# Other endpoints are preferred for this time to one that turned a request away. The time doubles
# with each further rejection in a row, up to `MAX_PASSED_OVER_S`: the endpoint may be full for a
# moment, or reject everything.
FIRST_PASSED_OVER_S: Final = 0.05
MAX_PASSED_OVER_S: Final = 2.0


@dataclass(frozen=True, slots=True)
class BusyNotice:
    """
    An endpoint's notice that it accepts no requests of an organisation for now.

    `until` is when the notice stops being valid (monotonic seconds), `retry_after_ms` how long
    the caller should wait before it retries.

    """

    until: float
    retry_after_ms: int


@dataclass(slots=True)
class Backend:
    """
    One endpoint as known to an entry. Moments are monotonic seconds, except for `start`.

    """

    instance: InstanceId
    zone: ZoneId
    limit: int = DEFAULT_LIMIT
    # The requests in progress by the last load report, and how many of this entry's own requests
    # were in progress when the report arrived.
    reported: int = 0
    own_at_report: int = 0
    # The number of this entry's own requests in progress now.
    own_requests: int = 0
    leaving: bool = False
    avoided_until: float = 0.0
    # How many requests the endpoint's back end turned away in a row, when this entry learned of
    # the last of these, and until when other endpoints are preferred for that or after a silence.
    turned_away: int = 0
    turned_away_at: float = float('-inf')
    passed_over_until: float = float('-inf')
    busy: dict[OrganisationId, BusyNotice] = field(default_factory=dict)
    # By service: the version that the endpoint serves, from its last load report.
    served: dict[str, str] = field(default_factory=dict)
    # When the endpoint daemon started, in ns since 1970; 0 if unknown.
    start: int = 0

    @property
    def occupied(self) -> int:
        """
        The estimated number of requests in progress: the number in the last load report,
        corrected by the requests that this entry has begun and ended since that report.

        """
        return max(self.reported + self.own_requests - self.own_at_report, self.own_requests)

    @property
    def load(self) -> float:
        return self.occupied / self.limit

    def busy_for(self, organisation: OrganisationId, now: float) -> BusyNotice | None:
        """
        The busy notice for an organisation; None if there is no valid one. Notices are kept by
        organisation, so that a flood of one doesn't close the endpoint to the others.

        """
        busy = self.busy.get(organisation)
        return busy if busy is not None and busy.until > now else None

    def record_turned_away(self, sent_at: float, now: float) -> None:
        """
        Record that the endpoint's back end turned away a request sent at `sent_at`; other
        endpoints are preferred for a while. As rejected requests occupy no slots, this endpoint
        would otherwise seem to be the least loaded.

        """
        if sent_at < self.turned_away_at:
            # The request was sent before the last rejection was known: no further evidence.
            return
        wait_s = min(FIRST_PASSED_OVER_S * 2.0**self.turned_away, MAX_PASSED_OVER_S)
        self.passed_over_until = now + wait_s
        self.turned_away += 1
        self.turned_away_at = now

    def record_silence(self, until: float) -> None:
        """
        Record that the endpoint or its back end did not answer in time. It may only have paused, so
        other endpoints are preferred until `until`, but it is not excluded.

        """
        self.passed_over_until = max(self.passed_over_until, until)

    def record_accepted(self, sent_at: float) -> None:
        """
        Record that the endpoint's back end accepted a request sent at `sent_at`. This resets
        `turned_away`, unless the request was sent before the last rejection was known.

        """
        if sent_at >= self.turned_away_at:
            self.turned_away = 0

    def apply_report(self, occupied: int, limit: int) -> None:
        """
        Apply a load report that has just arrived.

        """
        self.reported = occupied
        self.limit = max(limit, 1)
        self.own_at_report = self.own_requests


def is_usable(backend: Backend, organisation: OrganisationId, now: float) -> bool:
    """
    Whether a request of this organisation may be sent to the endpoint: the endpoint is not
    leaving, not avoided, and not busy for the organisation.

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
    Choose the endpoint for a request; None if all endpoints were tried or are unusable.

    Endpoints that turned no request away and were not silent recently come first; of these, those
    with free capacity in `zone`, then those with free capacity in any zone, then the full ones.
    Within the first of these groups that isn't empty, the key `affinity` decides, but endpoints
    loaded above `BOUNDED_LOAD` times the mean are skipped. If the key is empty, the least loaded
    endpoint is chosen.

    """
    usable = [b for b in backends if b.instance not in tried and is_usable(b, organisation, now)]
    if not usable:
        return None
    # If all endpoints turned requests away or were silent recently, they are used nevertheless.
    usable = [b for b in usable if b.passed_over_until <= now] or usable
    local = [b for b in usable if b.zone == zone and b.load < 1]
    candidates = local or [b for b in usable if b.load < 1] or usable
    if not affinity:
        return min(candidates, key=lambda b: (b.load, rank(affinity, b.instance)))
    mean = sum(b.occupied + 1 for b in candidates) / sum(b.limit for b in candidates)
    not_overloaded = [b for b in candidates if b.load <= mean * BOUNDED_LOAD] or candidates
    return max(not_overloaded, key=lambda b: rank(affinity, b.instance))
