"""
Suspicions: counts of back ends that ended while they ran a request, shared by all entries
and replicas.

A suspicion belongs to the fingerprint of a request's content, so it outlives the attempts
and the entries that made them. Two processes merge what they know: the later epoch wins,
and within an epoch both records are combined. The order and number of merges don't matter.

"""

from collections.abc import Callable
from typing import Final

import curio
import msgspec

from millfork_core.ids import Fingerprint, IncarnationKey
from millfork_core.logs import Component, logger
from millfork_registry.versioned_table import VersionedTable

# An hourly job may end one back end with each of its attempts, so records must outlive an hour.
SUSPICION_RETENTION_S: Final = 24 * 3600.0
# A caller that varies its body creates one record for each back end that it ends. 4,096 records
# take 1.5 MB; 200 engines with 16 requests each have fewer in progress if all end at once.
MAX_SUSPICIONS: Final = 4096
# More incarnations for one request would not change any decision; each takes about 40 bytes.
MAX_BROKEN_INCARNATIONS: Final = 4
# A private suspicion that is not withdrawn within this time is sent to other processes.
MAX_PRIVATE_S: Final = 1.5
EPOCH_BYTES: Final = 8

log = logger(Component.REGISTRY)


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """
    How many back ends ended one after another while they ran a request. A complete answer
    clears the suspicion: the next `epoch` starts with zero ends.

    An attempt sets `ends` to one more than the count known when the attempt was sent. Back
    ends that run the same request and end at the same moment, as in a loss of power,
    therefore count as one.

    `broken` holds the incarnations that broke off an answer to the request and either ended
    or may have ended. Once one of them is known to live on, the next epoch starts without it.

    """

    fingerprint: Fingerprint
    epoch: int = 0
    ends: int = 0
    broken: tuple[IncarnationKey, ...] = ()

    @property
    def order(self) -> tuple[int, int]:
        return (self.epoch, self.ends)

    @property
    def is_clear(self) -> bool:
        return not self.ends and not self.broken

    def with_end(self) -> 'Suspicion':
        return Suspicion(self.fingerprint, self.epoch, self.ends + 1, self.broken)

    def with_ends(self, ends: int) -> 'Suspicion':
        return Suspicion(self.fingerprint, self.epoch, ends, self.broken)

    def with_broken_answer(self, incarnation: IncarnationKey) -> 'Suspicion':
        return self.merged_with(Suspicion(self.fingerprint, self.epoch, 0, (incarnation,)))

    def without_broken(self, incarnation: IncarnationKey) -> 'Suspicion':
        """
        Return the next epoch's suspicion, once an incarnation is known to live on.

        """
        broken = tuple(key for key in self.broken if key != incarnation)
        return Suspicion(self.fingerprint, self.epoch + 1, min(self.ends, len(broken)), broken)

    def merged_with(self, other: 'Suspicion') -> 'Suspicion':
        """
        Return the suspicion that results from combining this one with another process's.

        """
        if self.epoch != other.epoch:
            return max(self, other, key=lambda item: item.epoch)
        broken = tuple(sorted({*self.broken, *other.broken})[:MAX_BROKEN_INCARNATIONS])
        return Suspicion(self.fingerprint, self.epoch, max(self.ends, other.ends), broken)

    def cleared(self) -> 'Suspicion':
        return Suspicion(self.fingerprint, self.epoch + 1)


_SUSPICIONS = msgspec.msgpack.Decoder(list[Suspicion])


def encode_suspicions(suspicions: list[Suspicion]) -> bytes:
    return msgspec.msgpack.encode(suspicions) if suspicions else b''


def decode_suspicions(data: bytes) -> list[Suspicion]:
    """
    Decode suspicions; empty data is an empty list.

    :raises msgspec.DecodeError: if the data is malformed.

    """
    return _SUSPICIONS.decode(data) if data else []


def encode_epoch(epoch: int) -> bytes:
    """
    Encode, for the replicated state, the epoch in which a request was put on the quarantine
    list.

    """
    return epoch.to_bytes(EPOCH_BYTES, 'big')


def decode_epoch(data: bytes) -> int:
    return int.from_bytes(data, 'big')


class SuspicionStore:
    """
    The suspicions known to one process, and which of them it still has to send to others.

    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        self.monotonic = monotonic
        self.table: VersionedTable[Suspicion] = VersionedTable()
        self.changed_at: dict[Fingerprint, float] = {}
        # Suspicions that the process at the other end of the feed may lack. Code that adds one
        # sets `unsent_event`.
        self.unsent: dict[Fingerprint, Suspicion] = {}
        self.unsent_event = curio.Event()
        # When each suspicion became known that is not yet sent to others, because it may be
        # withdrawn within moments.
        self.private_since: dict[Fingerprint, float] = {}

    def get(self, fingerprint: Fingerprint) -> Suspicion:
        return self.table.get(fingerprint) or Suspicion(fingerprint)

    async def record(self, suspicion: Suspicion) -> None:
        """
        Record a suspicion that this process found, and schedule it for sending.

        """
        if self._merge_one(suspicion):
            await self.mark_unsent(suspicion.fingerprint)

    def record_privately(self, suspicion: Suspicion) -> None:
        """
        Record a suspicion that this process found. It is sent only with the next change of the
        same request's suspicion.

        """
        fingerprint = suspicion.fingerprint
        if self.table.get(fingerprint) is None:
            self.private_since[fingerprint] = self.monotonic()
        self._merge_one(suspicion)

    async def publish(self, fingerprint: Fingerprint) -> None:
        """
        Schedule a private suspicion for sending.

        """
        if fingerprint in self.private_since:
            await self.mark_unsent(fingerprint)

    async def publish_overdue(self) -> None:
        """
        Schedule the private suspicions for sending that were not withdrawn in time.

        """
        since = self.monotonic() - MAX_PRIVATE_S
        for fingerprint, kept_since in list(self.private_since.items()):
            if kept_since < since:
                await self.mark_unsent(fingerprint)

    async def withdraw(self, suspicion: Suspicion) -> None:
        """
        Record that a request is less suspected, or not at all. A private suspicion that is
        cleared is dropped without sending.

        """
        if suspicion.fingerprint in self.private_since and suspicion.is_clear:
            self._forget(suspicion.fingerprint)
            return
        await self.record(suspicion)

    async def mark_unsent(self, fingerprint: Fingerprint) -> None:
        """
        Schedule the suspicion of a request for sending.

        """
        self.private_since.pop(fingerprint, None)
        self.unsent[fingerprint] = self.get(fingerprint)
        await self.unsent_event.set()

    async def merge(self, suspicions: list[Suspicion]) -> list[Fingerprint]:
        """
        Merge another process's suspicions; returns the fingerprints whose record changed.

        """
        new = []
        for suspicion in suspicions:
            if self._merge_one(suspicion):
                new.append(suspicion)
                self.private_since.pop(suspicion.fingerprint, None)
            held = self.get(suspicion.fingerprint)
            if held == suspicion:
                self.unsent.pop(suspicion.fingerprint, None)
                continue
            # The other process lacks part of the record: it, and those that learn from it, may
            # have restarted.
            await self.mark_unsent(suspicion.fingerprint)
        if new:
            log.info(
                'Suspicions received. requests={} most_ends={} most_broken={}',
                len(new),
                max(suspicion.ends for suspicion in new),
                max(len(suspicion.broken) for suspicion in new),
            )
        return [suspicion.fingerprint for suspicion in new]

    def published(self) -> list[Suspicion]:
        """
        Return all suspicions that are not private.

        """
        return [item for item in self.table.values() if item.fingerprint not in self.private_since]

    async def mark_all_unsent(self) -> None:
        """
        Schedule all suspicions that are not private for sending, because the replica that this
        process now follows may have restarted.

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
        if len(self.table) > MAX_SUSPICIONS:
            self._forget(self._oldest_dispensable())
        return True

    def _oldest_dispensable(self) -> Fingerprint:
        """
        Return the least recently changed one of the clear records, or of all if none is clear.

        """
        for suspicion in self.table.values():
            if suspicion.is_clear:
                return suspicion.fingerprint
        return next(iter(self.table.values())).fingerprint

    def forget_expired(self) -> None:
        """
        Drop records that have not changed for `SUSPICION_RETENTION_S`.

        """
        since = self.monotonic() - SUSPICION_RETENTION_S
        for suspicion in list(self.table.values()):
            if self.changed_at[suspicion.fingerprint] > since:
                # The table is ordered by last change, so all that follow are newer.
                return
            self._forget(suspicion.fingerprint)

    def _forget(self, fingerprint: Fingerprint) -> None:
        self.table.remove(fingerprint)
        self.changed_at.pop(fingerprint, None)
        self.unsent.pop(fingerprint, None)
        self.private_since.pop(fingerprint, None)
