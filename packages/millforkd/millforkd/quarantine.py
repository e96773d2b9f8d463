"""
What one entry knows of requests that ended back ends: what may not be sent, and what is cleared.

"""

from typing import Generic, Protocol, TypeVar

from millfork_core.ids import Fingerprint, Revision
from millfork_core.logs import Part, logger
from millfork_registry.suspects import Suspects, Suspicion, decode_epoch
from millfork_scheduling.quarantine import Standing, Trials, standing_of
from millfork_state.commands import decode_versioned
from millfork_state.keys import QUARANTINE_PREFIX
from millfork_state.view import View

Item = TypeVar('Item')
AnyItem = TypeVar('AnyItem', contravariant=True)

log = logger(Part.PROXY)


class FingerprintsOf(Protocol[AnyItem]):
    """
    Tells what a request says, whatever carries it here.

    """

    def of(self, item: AnyItem, /) -> Fingerprint: ...


class Quarantine(Generic[Item]):
    """
    Goes by suspicions, and by the list in the replicated state, which outlives a loss of
    power of the whole fleet.

    """

    def __init__(
        self,
        suspects: Suspects,
        view: View,
        fingerprints: FingerprintsOf[Item],
        trials: Trials | None = None,
    ) -> None:
        self.suspects = suspects
        self.view = view
        self.fingerprints = fingerprints
        self.trials = trials
        self.revision = Revision(-1)
        # By fingerprint: the epoch in which it was put on the list.
        self.listed: dict[Fingerprint, int] = {}

    def known(self, item: Item) -> Suspicion:
        """
        What is known of a request at this moment.

        """
        return self.suspects.of(self.fingerprints.of(item))

    def bars(self, item: Item) -> Standing | None:
        """
        Why a request may not be sent, if so.

        """
        self._refresh()
        if not self.suspects.table and not self.listed:
            return None
        suspicion = self.known(item)
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
            for key, value in self.view.values_with_prefix(QUARANTINE_PREFIX).items()
        }

    async def clear(self, item: Item) -> None:
        """
        An answer came whole: the request does not end what runs it.

        """
        if not self.suspects.table:
            return
        suspicion = self.known(item)
        if not suspicion.is_clear:
            await self.suspects.withdraw(suspicion.cleared())
