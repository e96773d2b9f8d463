"""
The quarantine of an entry (front proxy): blocks requests that are suspected of crashing the back
ends that run them, until a complete answer clears the suspicion.

"""

from typing import Generic, Protocol, TypeVar

from millfork_core.ids import Fingerprint, Revision
from millfork_core.logs import Component, logger
from millfork_registry.suspicion_store import SuspicionStore
from millfork_registry.suspicions import Suspicion, decode_epoch
from millfork_scheduling.quarantine import SuspicionLevel, TrialSchedule, suspicion_level_of
from millfork_state.commands import decode_versioned
from millfork_state.keys import QUARANTINE_PREFIX
from millfork_state.view import View

RequestT = TypeVar('RequestT')
RequestContraT = TypeVar('RequestContraT', contravariant=True)

log = logger(Component.PROXY)


class FingerprintSource(Protocol[RequestContraT]):
    """
    Computes the fingerprint of a request: a keyed hash of its content and caller.

    """

    def compute(self, request: RequestContraT, /) -> Fingerprint: ...


class QuarantineListing:
    """
    The quarantine list in the replicated state, as this process knows it. The list survives a loss
    of power of the whole fleet.

    """

    def __init__(self, view: View) -> None:
        self.view = view
        # The revision of the view from which `epochs` was read.
        self.revision = Revision(-1)
        # By fingerprint of each listed request or part of prompts: the epoch of its suspicion when
        # it was put on the list. A new epoch begins whenever the suspicion is cleared or reduced.
        self.epochs: dict[Fingerprint, int] = {}

    def refresh(self) -> None:
        if self.view.revision == self.revision:
            return
        self.revision = self.view.revision
        self.epochs = {
            Fingerprint(key.removeprefix(QUARANTINE_PREFIX)): decode_epoch(
                decode_versioned(value).body
            )
            for key, value in self.view.values_with_prefix(QUARANTINE_PREFIX).items()
        }

    def includes(self, suspicion: Suspicion) -> bool:
        """
        Whether what the suspicion is about is on the list and was not cleared since. Call `refresh`
        before.

        """
        listed_epoch = self.epochs.get(suspicion.fingerprint)
        return listed_epoch is not None and listed_epoch >= suspicion.epoch


class Quarantine(Generic[RequestT]):
    """
    Decides which requests are blocked, from the suspicions in memory (records of the back ends
    that ended one after another while they ran the same request) and from the quarantine list in
    the replicated state. `trials` schedules the trials of suspected requests (None: suspected
    requests are never sent).

    """

    def __init__(
        self,
        suspicion_store: SuspicionStore,
        view: View,
        fingerprints: FingerprintSource[RequestT],
        trials: TrialSchedule | None = None,
    ) -> None:
        self.suspicion_store = suspicion_store
        self.fingerprints = fingerprints
        self.trials = trials
        self.listing = QuarantineListing(view)

    def suspicion_of(self, request: RequestT) -> Suspicion:
        """
        Return the suspicion known for a request; a clear one if none is known.

        """
        return self.suspicion_store.get(self.fingerprints.compute(request))

    def blocking_level(self, request: RequestT) -> SuspicionLevel | None:
        """
        Return the suspicion level for which a request is blocked; None if the request may be
        sent. A suspected request (one not yet found to be at fault) may be sent once when its
        trial is due; its next trial is then scheduled.

        """
        level = self.level_of(request)
        if level is SuspicionLevel.FREE:
            return None
        if level is SuspicionLevel.SUSPECTED and self._begin_trial(self.suspicion_of(request)):
            log.info(
                'Suspected request sent on trial. fingerprint={}',
                self.fingerprints.compute(request),
            )
            return None
        return level

    def level_of(self, request: RequestT) -> SuspicionLevel:
        """
        Return the suspicion level of a request; starts no trial.

        """
        self.listing.refresh()
        if not self.suspicion_store.table and not self.listing.epochs:
            return SuspicionLevel.FREE
        suspicion = self.suspicion_of(request)
        if self.listing.includes(suspicion):
            return SuspicionLevel.AT_FAULT
        return suspicion_level_of(suspicion)

    def _begin_trial(self, suspicion: Suspicion) -> bool:
        return self.trials is not None and self.trials.start_trial(suspicion)

    async def clear_suspicion(self, request: RequestT) -> None:
        """
        Clear the suspicion of a request that got a complete answer, which shows that the
        request doesn't crash back ends.

        """
        self.listing.refresh()
        if not self.suspicion_store.table and not self.listing.epochs:
            return
        fingerprint = self.fingerprints.compute(request)
        await self.suspicion_store.clear(fingerprint, self.listing.epochs.get(fingerprint))
