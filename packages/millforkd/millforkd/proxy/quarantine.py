"""
An entry's side of the quarantine: what may not be sent, and what is cleared.

"""

from millfork_core.ids import Fingerprint, Revision
from millfork_core.logs import Part, logger
from millfork_registry.suspects import Suspects, Suspicion, decode_epoch
from millfork_scheduling.quarantine import Standing, Trials, standing_of
from millfork_state.commands import decode_versioned
from millfork_state.keys import QUARANTINE_PREFIX
from millfork_state.view import View
from millforkd.proxy.fingerprints import Fingerprints
from millforkd.proxy.job import Job

log = logger(Part.PROXY)


class Quarantine:
    """
    What this entry knows of requests that ended back ends: by suspicions, and by the list
    in the replicated state, which outlives a loss of power of the whole fleet.

    """

    def __init__(
        self,
        suspects: Suspects,
        view: View,
        fingerprints: Fingerprints,
        trials: Trials | None = None,
    ) -> None:
        self.suspects = suspects
        self.trials = trials
        self.view = view
        self.fingerprints = fingerprints
        self.revision = Revision(-1)
        # By fingerprint: the epoch in which it was put on the list.
        self.listed: dict[Fingerprint, int] = {}

    def known(self, job: Job) -> Suspicion:
        """
        What is known of a job's request at this moment.

        """
        return self.suspects.of(self.fingerprints.of(job))

    def bars(self, job: Job) -> Standing | None:
        """
        Why a job may not be sent, if so.

        """
        self._refresh()
        if not self.suspects.table and not self.listed:
            return None
        suspicion = self.known(job)
        listed_epoch = self.listed.get(suspicion.fingerprint)
        if listed_epoch is not None and listed_epoch >= suspicion.epoch:
            return Standing.AT_FAULT
        standing = standing_of(suspicion)
        if standing is Standing.SUSPECTED and self._may_try(suspicion):
            log.info('Suspected request tried again. fingerprint={}', suspicion.fingerprint)
            return None
        return standing if standing is not Standing.FREE else None

    def _may_try(self, suspicion: Suspicion) -> bool:
        return self.trials is not None and self.trials.begin(suspicion)

    def _refresh(self) -> None:
        if self.view.revision == self.revision:
            return
        self.revision = self.view.revision
        self.listed = {
            Fingerprint(key.removeprefix(QUARANTINE_PREFIX)): decode_epoch(
                decode_versioned(value).body
            )
            for key, value in self.view.prefixed(QUARANTINE_PREFIX).items()
        }

    async def clear(self, job: Job) -> None:
        """
        A job's answer came whole: its request does not end what runs it.

        """
        if not self.suspects.table:
            return
        suspicion = self.known(job)
        if not suspicion.is_clear:
            await self.suspects.withdraw(suspicion.cleared())
