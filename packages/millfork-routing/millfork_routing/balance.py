"""
Which endpoint gets a request.

"""

from dataclasses import dataclass, field
from typing import Final

from millfork_core.ids import InstanceId, OrganisationId, ZoneId
from millfork_core.ranks import rank

# A preferred endpoint is passed over once it is this much above the mean.
BOUNDED_LOAD: Final = 1.25
DEFAULT_LIMIT: Final = 8
# One that turns a request away is passed over this long, doubling with each one in a row: it
# may be full for a moment, or turn all away.
FIRST_PASSED_OVER_S: Final = 0.05
MAX_PASSED_OVER_S: Final = 2.0


@dataclass(frozen=True, slots=True)
class BusyNotice:
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
    limit: int = DEFAULT_LIMIT
    reported: int = 0
    mine_at_report: int = 0
    mine: int = 0
    leaving: bool = False
    suspect_until: float = 0.0
    # Requests that its back end turned away one after another, when it last did, and until
    # when others are asked first.
    turned_away: int = 0
    turned_away_at: float = float('-inf')
    passed_over_until: float = float('-inf')
    busy: dict[OrganisationId, BusyNotice] = field(default_factory=dict)
    served: dict[str, str] = field(default_factory=dict)
    # When its process started, in ns since 1970; 0 where it was not told.
    start: int = 0

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

    def busy_for(self, organisation: OrganisationId, now: float) -> BusyNotice | None:
        """
        Whether it lately refused this organisation; another's flood is no
        reason to pass it over.

        """
        busy = self.busy.get(organisation)
        return busy if busy is not None and busy.until > now else None

    def note_turned_away(self, sent_at: float, now: float) -> None:
        """
        Its back end turned away what was sent at a moment: what it does not run takes no
        place there, and it would look the least loaded of all.

        """
        if sent_at < self.turned_away_at:
            # Sent before the last one was known to be turned away: that says nothing more.
            return
        wait_s = min(FIRST_PASSED_OVER_S * 2.0**self.turned_away, MAX_PASSED_OVER_S)
        self.passed_over_until = now + wait_s
        self.turned_away += 1
        self.turned_away_at = now

    def note_accepted(self, sent_at: float) -> None:
        """
        Its back end took what was sent at a moment.

        """
        if sent_at >= self.turned_away_at:
            self.turned_away = 0

    def apply_report(self, occupied: int, limit: int) -> None:
        """
        Take a load report as of now.

        """
        self.reported = occupied
        self.limit = max(limit, 1)
        self.mine_at_report = self.mine


def is_usable(backend: Backend, organisation: OrganisationId, now: float) -> bool:
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
    able = [b for b in backends if b.instance not in tried and is_usable(b, organisation, now)]
    if not able:
        return None
    # Where all turn away, they are asked all the same.
    able = [b for b in able if b.passed_over_until <= now] or able
    local = [b for b in able if b.zone == zone and b.load < 1]
    free = local or [b for b in able if b.load < 1] or able
    if not affinity:
        return min(free, key=lambda b: (b.load, rank(affinity, b.instance)))
    mean = sum(b.occupied + 1 for b in free) / sum(b.limit for b in free)
    within = [b for b in free if b.load <= mean * BOUNDED_LOAD] or free
    return max(within, key=lambda b: rank(affinity, b.instance))
