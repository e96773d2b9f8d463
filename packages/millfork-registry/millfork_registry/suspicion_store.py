"""
The suspicions (records of the back ends that ended while they ran requests with the same
fingerprint) that one process knows.

"""

from collections.abc import Callable
from typing import Final

import curio
import msgspec

from millfork_core.ids import Fingerprint
from millfork_core.logs import Component, logger
from millfork_registry.answered_parts import AnsweredParts
from millfork_registry.suspicion_index import Rivals, SuspicionIndex
from millfork_registry.suspicions import Suspicion
from millfork_registry.versioned_table import VersionedTable

# A suspicion is dropped this long after its last change. An hourly job may crash one back end
# with each of its attempts, so suspicions must be kept for more than an hour.
SUSPICION_RETENTION_S: Final = 24 * 3600.0
# The greatest number of suspicions that one process keeps. A caller that varies the body of its
# request causes one suspicion for each back end that the request crashes. 200 engines that end at
# once while each runs 16 requests cause fewer than this. 4,096 suspicions take 1.5 MB.
MAX_SUSPICIONS: Final = 4096
# A private suspicion is one that this process doesn't send to others yet, because the suspicion may
# be withdrawn within moments. A suspicion that is still private after this time is sent.
MAX_PRIVATE_S: Final = 1.5

log = logger(Component.REGISTRY)


class SuspicionStore:
    """
    The suspicions known to one process, and which of them must still be sent to others.

    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        self.monotonic = monotonic
        self.table: VersionedTable[Suspicion] = VersionedTable()
        # When each suspicion last changed (monotonic seconds).
        self.changed_at: dict[Fingerprint, float] = {}
        # Suspicions that other processes may lack. Code that adds one sets `unsent_event`.
        self.unsent: dict[Fingerprint, Suspicion] = {}
        self.unsent_event = curio.Event()
        # When each private suspicion became known (monotonic seconds).
        self.private_since: dict[Fingerprint, float] = {}
        # The parts of prompts that back ends answered lately, as seen by this process.
        self.answered_parts = AnsweredParts(monotonic)
        self.index = SuspicionIndex()

    def get(self, fingerprint: Fingerprint) -> Suspicion:
        return self.table.get(fingerprint) or Suspicion(fingerprint)

    def count_rivals(self, suspicion: Suspicion) -> Rivals:
        """
        Return how many other parts are as suspicious as this one, which must be known.

        """
        return self.index.count_rivals(suspicion)

    async def record(self, suspicion: Suspicion) -> None:
        """
        Merge a suspicion that this process found into the known one, and schedule the result for
        sending if it differs from the known one.

        """
        if self._merge_one(suspicion):
            await self.mark_unsent(suspicion.fingerprint)

    async def record_part(self, suspicion: Suspicion) -> None:
        """
        Merge a suspicion of a part of prompts that this process found. If back ends answered the
        part lately and nothing is known against it, an answer is likely to clear it within moments,
        so the suspicion is private at first.

        """
        fingerprint = suspicion.fingerprint
        if not self.answered_parts.contains(fingerprint):
            await self.record(suspicion)
            return
        suspicion = suspicion.as_answered_before()
        if self.get(fingerprint).is_clear or fingerprint in self.private_since:
            self.record_privately(suspicion)
            return
        await self.record(suspicion)

    async def clear(self, fingerprint: Fingerprint, listed_epoch: int | None = None) -> None:
        """
        Clear the suspicion of a request or part that got a complete answer. `listed_epoch` is the
        epoch in which it was put on the quarantine list, None if it is not on the list. The list
        outlives the suspicions, so what is listed may be unknown here.

        """
        known = self.get(fingerprint)
        if listed_epoch is not None and known.epoch <= listed_epoch:
            known = msgspec.structs.replace(known, epoch=listed_epoch)
            await self.withdraw(known.cleared())
            return
        if not known.is_clear:
            await self.withdraw(known.cleared())

    async def clear_part(self, fingerprint: Fingerprint, listed_epoch: int | None = None) -> None:
        """
        Record that a back end answered a prompt with a part completely, which clears the part.

        """
        self.answered_parts.record(fingerprint)
        await self.clear(fingerprint, listed_epoch)

    def record_privately(self, suspicion: Suspicion) -> None:
        """
        Merge a suspicion that this process found into the known one, without scheduling the
        result for sending. If no suspicion of the request was known, or it was clear, the new one
        is private until a call of `publish`, `publish_overdue`, `record`, `withdraw` or `merge`
        changes that.

        """
        fingerprint = suspicion.fingerprint
        if self.get(fingerprint).is_clear:
            self.private_since[fingerprint] = self.monotonic()
        self._merge_one(suspicion)

    async def publish(self, fingerprint: Fingerprint) -> None:
        """
        Schedule the suspicion of a request for sending, if it is private.

        """
        if fingerprint in self.private_since:
            await self.mark_unsent(fingerprint)

    async def publish_overdue(self) -> None:
        """
        Schedule for sending the suspicions that have been private for longer than
        `MAX_PRIVATE_S`.

        """
        overdue_before = self.monotonic() - MAX_PRIVATE_S
        for fingerprint, since in list(self.private_since.items()):
            if since < overdue_before:
                await self.mark_unsent(fingerprint)

    async def withdraw(self, suspicion: Suspicion) -> None:
        """
        Record a suspicion that was reduced or cleared. If this suspicion is clear and the known one
        is private, nothing is sent; if other processes have no earlier record either, the known one
        is dropped.

        """
        if not suspicion.is_clear or suspicion.fingerprint not in self.private_since:
            await self.record(suspicion)
            return
        if self.get(suspicion.fingerprint).epoch == 0:
            self._forget(suspicion.fingerprint)
            return
        del self.private_since[suspicion.fingerprint]
        self._merge_one(suspicion)

    async def mark_unsent(self, fingerprint: Fingerprint) -> None:
        """
        Schedule the suspicion of a request for sending, so that it is no longer private.

        """
        self.private_since.pop(fingerprint, None)
        self.unsent[fingerprint] = self.get(fingerprint)
        await self.unsent_event.set()

    async def merge(self, suspicions: list[Suspicion]) -> list[Fingerprint]:
        """
        Merge another process's suspicions, and schedule for sending each merged record that
        differs from the received one. Returns the fingerprints whose records changed here.

        """
        changed = []
        for suspicion in suspicions:
            if self._merge_one(suspicion):
                changed.append(suspicion)
                self.private_since.pop(suspicion.fingerprint, None)
            if suspicion.witnesses and self.answered_parts.contains(suspicion.fingerprint):
                self._merge_one(self.get(suspicion.fingerprint).as_answered_before())
            held = self.get(suspicion.fingerprint)
            if held == suspicion:
                self.unsent.pop(suspicion.fingerprint, None)
                continue
            # The other process lacks part of the merged record. Processes to which it sends
            # suspicions may lack that part too, as any of these processes may have restarted.
            await self.mark_unsent(suspicion.fingerprint)
        if changed:
            log.info(
                'Suspicions received. requests={} most_ends={} most_broken={}',
                len(changed),
                max(suspicion.ends for suspicion in changed),
                max(len(suspicion.broken) for suspicion in changed),
            )
        return [suspicion.fingerprint for suspicion in changed]

    def published(self) -> list[Suspicion]:
        """
        Return all suspicions that are not private.

        """
        return [item for item in self.table.values() if item.fingerprint not in self.private_since]

    async def mark_all_unsent(self) -> None:
        """
        Schedule for sending all suspicions except the private ones. A process that starts to
        follow a replica does this, because the replica may have restarted.

        """
        for suspicion in self.published():
            self.unsent[suspicion.fingerprint] = suspicion
        if self.unsent:
            await self.unsent_event.set()

    def _merge_one(self, suspicion: Suspicion) -> bool:
        held = self.get(suspicion.fingerprint)
        merged = held.merged_with(suspicion)
        if merged == held:
            return False
        self.table.put(suspicion.fingerprint, merged)
        self.changed_at[suspicion.fingerprint] = self.monotonic()
        self.index.remove(held)
        self.index.add(merged)
        if len(self.table) > MAX_SUSPICIONS:
            self._forget(self.index.oldest_dispensable())
        return True

    def forget_expired(self) -> None:
        """
        Drop the suspicions that have not changed for `SUSPICION_RETENTION_S`.

        """
        oldest_kept = self.monotonic() - SUSPICION_RETENTION_S
        for suspicion in list(self.table.values()):
            if self.changed_at[suspicion.fingerprint] > oldest_kept:
                # The table is ordered by last change, so the remaining suspicions changed later.
                return
            self._forget(suspicion.fingerprint)

    def _forget(self, fingerprint: Fingerprint) -> None:
        self.index.remove(self.get(fingerprint))
        self.table.remove(fingerprint)
        self.changed_at.pop(fingerprint, None)
        self.unsent.pop(fingerprint, None)
        self.private_since.pop(fingerprint, None)
