"""
The quarantine of parts of prompts: blocks prompts with a part that crashes the back ends which
answer it, whatever else the prompts contain.

"""

from collections.abc import Iterable

from millfork_adapter.exchange import CallerRequest
from millfork_core.ids import Fingerprint, ServiceName
from millfork_registry.suspicion_store import SuspicionStore
from millfork_registry.suspicions import Suspicion
from millfork_scheduling.quarantine import is_at_fault_among
from millforkd.proxy.fingerprints import Fingerprints
from millforkd.proxy.job import Job
from millforkd.proxy.part_trials import PartTrials
from millforkd.quarantine import QuarantineListing


class PartQuarantine:
    """
    Decides which parts are blocked, from the suspicions in memory (records of the back ends that
    ended one after another while they ran prompts with the part) and from the quarantine list in
    the replicated state. `trials` schedules the trials of blocked parts.

    """

    def __init__(
        self,
        suspicion_store: SuspicionStore,
        listing: QuarantineListing,
        fingerprints: Fingerprints,
        trials: PartTrials,
    ) -> None:
        self.suspicion_store = suspicion_store
        self.fingerprints = fingerprints
        self.trials = trials
        self.listing = listing

    def suspicions_of(self, job: Job) -> tuple[Suspicion, ...]:
        """
        Return the suspicions of the parts of a job's prompt; clear ones of parts of which none is
        known.

        """
        fingerprints = self.fingerprints.compute_parts(job)
        return tuple(self.suspicion_store.get(fingerprint) for fingerprint in fingerprints)

    def blocked_parts(self, job: Job) -> tuple[Fingerprint, ...]:
        """
        Return the fingerprints of the parts for which a job is blocked; empty if it may be sent.

        """
        self.listing.refresh()
        if not self.suspicion_store.table and not self.listing.epochs:
            return ()
        return self._blocked_among(self.suspicions_of(job))

    def blocked_shared_parts(
        self, service: ServiceName, caller: CallerRequest
    ) -> tuple[Fingerprint, ...]:
        """
        Return the fingerprints of the parts for which a request would be blocked, without a job.

        """
        self.listing.refresh()
        fingerprints = self.fingerprints.for_shared_parts(service, caller)
        return self._blocked_among(self.suspicion_store.get(found) for found in fingerprints)

    def _blocked_among(self, suspicions: Iterable[Suspicion]) -> tuple[Fingerprint, ...]:
        return tuple(
            suspicion.fingerprint
            for suspicion in suspicions
            if self.listing.includes(suspicion)
            or is_at_fault_among(suspicion, self.suspicion_store)
        )

    async def clear(self, job: Job) -> None:
        """
        Clear the parts of a job that a back end answered completely.

        """
        self.listing.refresh()
        for fingerprint in self.fingerprints.compute_parts(job):
            await self.suspicion_store.clear_part(fingerprint, self.listing.epochs.get(fingerprint))
