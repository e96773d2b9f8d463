"""
Tells from the recorded faults when the replicas were undisturbed and which entries were in touch
with them.

"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from millfork_standins.soak.checks import CONTACT_S, Period

# Without events at the replicas for this time, a majority of them must confirm reads.
CALM_S: Final = 5.0


@dataclass(frozen=True, slots=True)
class Disturbances:
    """
    What happened to the processes of a run: `core` has the faults, stops and starts of replicas,
    `entries` those of entries. Of `replica_count` replicas, less than half may be away.

    """

    core: Sequence[Period]
    entries: Sequence[Period]
    replica_count: int

    def is_core_stable(self, began_at: float, ended_at: float, since_s: float) -> bool:
        """
        Return whether more than half of the replicas ran throughout, and nothing happened to any
        of them from `since_s` before `began_at` until `ended_at`. A replica that is away all that
        time does not disturb the others.

        """
        away = set()
        for period in self.core:
            if _is_within((period.began_at, period.ended_at), began_at - since_s, ended_at):
                return False
            if period.began_at < began_at < period.ended_at:
                away.add(period.target)
        return 2 * len(away) < self.replica_count

    def is_in_touch(self, entry: str, began_at: float, ended_at: float) -> bool:
        """
        Return whether an entry must have known all changes while it handled a request.

        """
        if not self.is_core_stable(began_at, ended_at, CONTACT_S):
            return False
        return not any(
            period.began_at <= ended_at and began_at - CONTACT_S <= period.ended_at
            for period in self.entries
            if period.target == entry
        )


def _is_within(times: Iterable[float], first: float, last: float) -> bool:
    return any(first <= at <= last for at in times)
