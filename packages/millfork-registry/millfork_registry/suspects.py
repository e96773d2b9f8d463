"""
Requests under which back ends ended, as all entries and replicas know them.

The count is of what a request says, so it outlives the tries and the entries that made
them. What two processes know is joined: of two epochs the later one, within an epoch what
either knows, in whatever order and however often it comes.

"""

from collections.abc import Callable
from typing import Final

import curio
import msgspec

from millfork_core.ids import Fingerprint, IncarnationKey
from millfork_core.logs import Part, logger
from millfork_registry.versioned_table import VersionedTable

# A job that runs each hour may end one back end with each of its tries.
SUSPICION_RETENTION_S: Final = 24 * 3600.0
# A caller that varies its body makes a record with each back end that it ends; 4,096 take
# 1.5 MB, and are more than 200 engines of 16 requests have under way when all end at once.
MAX_SUSPICIONS: Final = 4096
# More incarnations under one request change nothing; each takes some 40 bytes.
MAX_BROKEN_INCARNATIONS: Final = 4
# What may prove to be nothing is kept from others for this long.
MAX_PRIVATE_S: Final = 1.5
EPOCH_BYTES: Final = 8

log = logger(Part.REGISTRY)


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """
    How many back ends ended one after another under a request. An answer that came whole
    clears it: the next `epoch` begins with none.

    Ends count by sequence, not by number: a try adds one to what was known when it was
    sent. Back ends that end at the same moment with the same request on each, as in a
    loss of power, count as one.

    `broken` are the incarnations under which an answer to it broke off and that are not
    known to live on: of those it is not yet known, or known, that they ended. Once one lives
    on, the next epoch begins without it.

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
        After it is known that an incarnation lives on.

        """
        left = tuple(key for key in self.broken if key != incarnation)
        return Suspicion(self.fingerprint, self.epoch + 1, min(self.ends, len(left)), left)

    def merged_with(self, other: 'Suspicion') -> 'Suspicion':
        """
        What is known where both are.

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
    The suspicions in `data`; none in an empty text.

    :raises msgspec.DecodeError: if there are none to be had.

    """
    return _SUSPICIONS.decode(data) if data else []


def encode_epoch(epoch: int) -> bytes:
    """
    The epoch in which a request was put on the quarantine list, as the replicated state
    holds it.

    """
    return epoch.to_bytes(EPOCH_BYTES, 'big')


def decode_epoch(data: bytes) -> int:
    return int.from_bytes(data, 'big')


class Suspects:
    """
    The suspicions that one process knows.

    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        self.monotonic = monotonic
        self.table: VersionedTable[Suspicion] = VersionedTable()
        self.changed_at: dict[Fingerprint, float] = {}
        # What those that this process hears from do not know; set `news` with it.
        self.unsent: dict[Fingerprint, Suspicion] = {}
        self.unsent_event = curio.Event()
        # What this process keeps to itself, as it may prove to be nothing within moments, and
        # since when.
        self.private_since: dict[Fingerprint, float] = {}

    def get(self, fingerprint: Fingerprint) -> Suspicion:
        return self.table.get(fingerprint) or Suspicion(fingerprint)

    async def record(self, suspicion: Suspicion) -> None:
        """
        Take what this process found out itself, and tell others.

        """
        if self._merge_one(suspicion):
            await self.mark_unsent(suspicion.fingerprint)

    def record_privately(self, suspicion: Suspicion) -> None:
        """
        Take what this process found out itself; others hear of it with what is told next
        of the same request.

        """
        fingerprint = suspicion.fingerprint
        if self.table.get(fingerprint) is None:
            self.private_since[fingerprint] = self.monotonic()
        self._merge_one(suspicion)

    async def publish(self, fingerprint: Fingerprint) -> None:
        """
        Tell others what was kept from them.

        """
        if fingerprint in self.private_since:
            await self.mark_unsent(fingerprint)

    async def publish_overdue(self) -> None:
        """
        Tell others what did not prove to be nothing.

        """
        since = self.monotonic() - MAX_PRIVATE_S
        for fingerprint, kept_since in list(self.private_since.items()):
            if kept_since < since:
                await self.mark_unsent(fingerprint)

    async def withdraw(self, suspicion: Suspicion) -> None:
        """
        Take that a request is not, or less, suspected. Where nobody was told, nobody needs
        to hear of it.

        """
        if suspicion.fingerprint in self.private_since and suspicion.is_clear:
            self._forget(suspicion.fingerprint)
            return
        await self.record(suspicion)

    async def mark_unsent(self, fingerprint: Fingerprint) -> None:
        """
        Tell others what is known of a request.

        """
        self.private_since.pop(fingerprint, None)
        self.unsent[fingerprint] = self.get(fingerprint)
        await self.unsent_event.set()

    async def merge(self, suspicions: list[Suspicion]) -> list[Fingerprint]:
        """
        Take what another process knows; returns of which requests anything was new.

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
            # The other may have started anew, and others who hear from it too.
            await self.mark_unsent(suspicion.fingerprint)
        if new:
            log.info(
                'Heard of suspects. requests={} most_ends={} most_broken={}',
                len(new),
                max(suspicion.ends for suspicion in new),
                max(len(suspicion.broken) for suspicion in new),
            )
        return [suspicion.fingerprint for suspicion in new]

    def published(self) -> list[Suspicion]:
        """
        All that others may hear of.

        """
        return [item for item in self.table.values() if item.fingerprint not in self.private_since]

    async def mark_all_unsent(self) -> None:
        """
        Tell all, as whoever is heard from now on may have started anew.

        """
        for suspicion in self.published():
            self.unsent[suspicion.fingerprint] = suspicion
        if self.unsent:
            await self.unsent_event.set()

    def _merge_one(self, suspicion: Suspicion) -> bool:
        held = self.get(suspicion.fingerprint)
        joined = held.merged_with(suspicion)
        if joined == held:
            return False
        self.table.put(suspicion.fingerprint, joined)
        self.changed_at[suspicion.fingerprint] = self.monotonic()
        if len(self.table) > MAX_SUSPICIONS:
            self._forget(self._oldest_dispensable())
        return True

    def _oldest_dispensable(self) -> Fingerprint:
        """
        The oldest record that suspects nothing, or else the oldest one.

        """
        for suspicion in self.table.values():
            if suspicion.is_clear:
                return suspicion.fingerprint
        return next(iter(self.table.values())).fingerprint

    def forget_expired(self) -> None:
        """
        Drop what has not changed for long.

        """
        since = self.monotonic() - SUSPICION_RETENTION_S
        for suspicion in list(self.table.values()):
            if self.changed_at[suspicion.fingerprint] > since:
                # The table is in the order of changes.
                return
            self._forget(suspicion.fingerprint)

    def _forget(self, fingerprint: Fingerprint) -> None:
        self.table.remove(fingerprint)
        self.changed_at.pop(fingerprint, None)
        self.unsent.pop(fingerprint, None)
        self.private_since.pop(fingerprint, None)
