"""
Suspicions: records of the back ends that ended one after another while they ran requests with
the same fingerprint, shared by all entries (front proxies) and replicas.

A fingerprint is a hash of a request's content and caller, or of a part of prompts that many
requests may have in common. So a suspicion outlives the attempts to send a request, and the entries
that made these attempts. Two processes merge their records of a fingerprint: the record of the
later epoch (a counter in the record) wins, and records of the same epoch are combined. The order
and number of merges don't matter.

"""

from typing import Final

import msgspec

from millfork_core.ids import Fingerprint, IncarnationKey

# The greatest number of incarnations kept in a suspicion's `broken`. More would not change any
# decision about the request; each takes about 40 bytes.
MAX_BROKEN_INCARNATIONS: Final = 4
# The greatest number of witnesses kept in the suspicion of a part; each takes about 40 bytes.
MAX_WITNESSES: Final = 16
# The number of characters of its fingerprint that identify a request among the witnesses of a part.
WITNESS_LENGTH: Final = 8
# Size of a suspicion's epoch in the replicated state.
EPOCH_BYTES: Final = 8


class Witness(msgspec.Struct, frozen=True, array_like=True, order=True):
    """
    A request, by the first characters of its fingerprint, that ran on an incarnation of a back end
    when the incarnation ended.

    """

    request: str
    incarnation: IncarnationKey


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """
    The record of the requests with one fingerprint, called the request here: `ends` is the number
    of back ends that ended one after another while they ran the request. A complete answer to the
    request clears the suspicion: the next `epoch` starts with zero ends and an empty `broken`.

    If a back end ends while it runs the request, `ends` becomes one more than the count known when
    the request was sent to that back end. Back ends that run the request and end at the same
    moment, as in a loss of power, therefore count as one.

    `broken` holds the incarnations that broke off an answer to the request and either ended
    or may have ended. Once one of them is known to be alive, the next epoch starts without that
    incarnation.

    The suspicion of a part of prompts has the `witnesses` of the ends, one for each incarnation and
    at most `MAX_WITNESSES`, and nothing in `broken`. `answered_before` is set if a back end had
    answered a prompt with the part completely within a minute before, or has since the first end.

    """

    fingerprint: Fingerprint
    epoch: int = 0
    ends: int = 0
    broken: tuple[IncarnationKey, ...] = ()
    witnesses: tuple[Witness, ...] = ()
    answered_before: bool = False

    @property
    def sort_key(self) -> tuple[int, int]:
        return (self.epoch, self.ends)

    @property
    def is_clear(self) -> bool:
        return not self.ends and not self.broken

    def with_end(self) -> 'Suspicion':
        return self.with_ends(self.ends + 1)

    def with_ends(self, ends: int) -> 'Suspicion':
        return msgspec.structs.replace(self, ends=ends)

    def with_witnessed_end(self, request: Fingerprint, incarnation: IncarnationKey) -> 'Suspicion':
        """
        Return the suspicion of a part after an incarnation ended while it ran this request.

        """
        witness = Witness(request[:WITNESS_LENGTH], incarnation)
        return self.merged_with(
            Suspicion(self.fingerprint, self.epoch, self.ends + 1, (), (witness,))
        )

    def as_answered_before(self) -> 'Suspicion':
        return msgspec.structs.replace(self, answered_before=True)

    def with_broken_answer(self, incarnation: IncarnationKey) -> 'Suspicion':
        return self.merged_with(Suspicion(self.fingerprint, self.epoch, 0, (incarnation,)))

    def without_broken(self, incarnation: IncarnationKey) -> 'Suspicion':
        """
        Return the suspicion of the next epoch, which starts because this incarnation is known
        to be alive. `ends` becomes at most the number of incarnations that remain in `broken`.

        """
        broken = tuple(key for key in self.broken if key != incarnation)
        return Suspicion(self.fingerprint, self.epoch + 1, min(self.ends, len(broken)), broken)

    def merged_with(self, other: 'Suspicion') -> 'Suspicion':
        """
        Return this suspicion merged with another one of the same request: the one of the later
        epoch or, within one epoch, the greater `ends` with the incarnations in either `broken`, at
        most `MAX_BROKEN_INCARNATIONS`, and the witnesses of both. Of two witnesses of the end of
        one incarnation, the lesser request is kept.

        """
        if self.epoch != other.epoch:
            return max(self, other, key=lambda item: item.epoch)
        broken = tuple(sorted({*self.broken, *other.broken})[:MAX_BROKEN_INCARNATIONS])
        # Later items replace earlier ones.
        by_incarnation = {
            witness.incarnation: witness
            for witness in sorted({*self.witnesses, *other.witnesses}, reverse=True)
        }
        witnesses = tuple(by_incarnation[key] for key in sorted(by_incarnation)[:MAX_WITNESSES])
        return Suspicion(
            self.fingerprint,
            self.epoch,
            max(self.ends, other.ends),
            broken,
            witnesses,
            self.answered_before or other.answered_before,
        )

    def cleared(self) -> 'Suspicion':
        is_part = bool(self.witnesses)
        return Suspicion(self.fingerprint, self.epoch + 1, answered_before=is_part)


_SUSPICIONS_DECODER = msgspec.msgpack.Decoder(list[Suspicion])


def encode_suspicions(suspicions: list[Suspicion]) -> bytes:
    return msgspec.msgpack.encode(suspicions) if suspicions else b''


def decode_suspicions(data: bytes) -> list[Suspicion]:
    """
    Decode suspicions; empty data is an empty list.

    :raises msgspec.DecodeError: if the data is malformed.

    """
    return _SUSPICIONS_DECODER.decode(data) if data else []


def encode_epoch(epoch: int) -> bytes:
    """
    Encode the epoch in which a request was put on the quarantine list, as the replicated state
    stores it.

    """
    return epoch.to_bytes(EPOCH_BYTES, 'big')


def decode_epoch(data: bytes) -> int:
    return int.from_bytes(data, 'big')
