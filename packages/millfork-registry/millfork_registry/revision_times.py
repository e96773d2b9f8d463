"""
When replicas last answered that the configuration was at a revision.

A change that a follower doesn't know yet is acknowledged after the last time at which a replica was
up to date without it. Followers use this lower limit if no replica can tell when a change was made,
as after all replicas restarted.

"""

from typing import Final

from millfork_core.clocks import LONG_AGO
from millfork_core.ids import ClusterId, Revision
from millfork_registry.version_cutoffs import MS_PER_S
from millfork_wire.messages import Replicas

# The most revisions that are kept, the latest ones. A follower that lacks more revisions than this
# takes a change for older than it is.
MAX_REVISIONS: Final = 32


class RevisionTimes:
    """
    By revision of one cluster's configuration: the latest time (monotonic seconds) at which no
    later revision had been acknowledged.

    """

    def __init__(self) -> None:
        self.cluster = ClusterId('')
        self.times: dict[int, float] = {}

    def record_answer(self, asked_at: float, answer: Replicas) -> None:
        """
        Record the revision in a replica's answer to a question asked at `asked_at` (monotonic
        seconds). The time counts from the question, as an answer may be read much later than it
        was sent, and is earlier by the age of the replica's configuration.

        """
        if not answer.revision:
            return
        if answer.cluster != self.cluster:
            self.cluster = ClusterId(answer.cluster)
            self.times.clear()
        at = asked_at - answer.age_ms / MS_PER_S
        if at <= self.up_to_date_at(self.cluster, Revision(answer.revision)):
            return
        self.times[answer.revision] = at
        if len(self.times) > MAX_REVISIONS:
            del self.times[min(self.times)]

    def up_to_date_at(self, cluster: ClusterId, revision: Revision) -> float:
        """
        Return the latest known time (monotonic seconds) at which no revision later than `revision`
        had been acknowledged; `LONG_AGO` if there is none.

        """
        if cluster != self.cluster:
            return LONG_AGO
        times = [at for known, at in self.times.items() if known <= revision]
        return max(times, default=LONG_AGO)
