"""
Which endpoint gets a request.

"""

from dataclasses import dataclass, field
from typing import Final

from millfork_core.ids import InstanceId, OrganisationId, ZoneId
from millfork_core.ranks import rank

# A preferred endpoint is passed over once it is this much above the mean.
BOUNDED_LOAD: Final = 1.25
UNKNOWN_LIMIT: Final = 8


@dataclass(frozen=True, slots=True)
class Busy:
    """
    An endpoint's word to one organisation that all its places are taken:
    until when to believe it, and when the caller may come back.

    """

    until: float
    retry_after_ms: int


@dataclass(slots=True)
class Backend:
    """
    One endpoint as an entry sees it.

    """

    instance: InstanceId
    zone: ZoneId
    limit: int = UNKNOWN_LIMIT
    reported: int = 0
    mine_at_report: int = 0
    mine: int = 0
    leaving: bool = False
    suspect_until: float = 0.0
    busy: dict[OrganisationId, Busy] = field(default_factory=dict)
    served: dict[str, str] = field(default_factory=dict)

    @property
    def occupied(self) -> int:
        """
        Requests in progress there: the last report, which lags, corrected
        by what this entry has begun and ended since.

        """
        return max(self.reported + self.mine - self.mine_at_report, self.mine)

    @property
    def load(self) -> float:
        return self.occupied / self.limit

    def busy_for(self, organisation: OrganisationId, now: float) -> Busy | None:
        """
        Whether it lately refused this organisation; another's flood is no
        reason to pass it over.

        """
        busy = self.busy.get(organisation)
        return busy if busy is not None and busy.until > now else None

    def take_report(self, occupied: int, limit: int) -> None:
        """
        Take a load report as of now.

        """
        self.reported = occupied
        self.limit = max(limit, 1)
        self.mine_at_report = self.mine


def usable(backend: Backend, organisation: OrganisationId, now: float) -> bool:
    """
    Whether the endpoint may be asked for this organisation's request.

    """
    if backend.leaving or backend.suspect_until > now:
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
    The endpoint for a request: in this zone while one there has room, then
    elsewhere; among those the one that the affinity key prefers, unless it
    is loaded well above the mean; without a key, the least loaded.

    """
    able = [b for b in backends if b.instance not in tried and usable(b, organisation, now)]
    if not able:
        return None
    local = [b for b in able if b.zone == zone and b.load < 1]
    free = local or [b for b in able if b.load < 1] or able
    if not affinity:
        return min(free, key=lambda b: (b.load, rank(affinity, b.instance)))
    mean = sum(b.occupied + 1 for b in free) / sum(b.limit for b in free)
    within = [b for b in free if b.load <= mean * BOUNDED_LOAD] or free
    return max(within, key=lambda b: rank(affinity, b.instance))
