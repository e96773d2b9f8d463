"""
Pieces of weights in memory, each verified by its digest.

"""

import hashlib
from dataclasses import dataclass, field
from typing import Final

import curio
import msgspec

from millforkd.sidecar.digest_checks import DigestChecks

# Pieces of this many versions are kept: the one that is served and the one being fetched.
KEPT_VERSIONS: Final = 2


@dataclass(frozen=True, slots=True)
class WeightsId:
    """
    One version of a model's weights.

    """

    model: str
    version: int

    def __str__(self) -> str:
        return f'{self.model}@{self.version}'


def parse_weights_id(text: str) -> WeightsId:
    """
    Parse a weights id of the form `MODEL@VERSION`.

    :raises ValueError: if the version is not a number.

    """
    model, _, version = text.rpartition('@')
    return WeightsId(model, int(version))


def encode_digests(digests: tuple[str, ...]) -> bytes:
    return msgspec.msgpack.encode([bytes.fromhex(digest) for digest in digests])


def decode_digests(data: bytes) -> tuple[str, ...]:
    """
    Decode the output of `encode_digests` to digests in hex.

    :raises msgspec.DecodeError: if the data is not a list of digests.

    """
    return tuple(digest.hex() for digest in msgspec.msgpack.decode(data, type=list[bytes]))


@dataclass(slots=True)
class PieceSet:
    """
    The pieces of one version that this process holds, and the digests of all pieces of that
    version (empty until they have been received).

    """

    weights: WeightsId
    digests: tuple[str, ...] = ()
    pieces: dict[int, bytes] = field(default_factory=dict)
    # Pieces that arrived before the digests, and are not verified yet.
    unchecked: dict[int, bytes] = field(default_factory=dict)
    digest_checks: DigestChecks = field(default_factory=DigestChecks)
    # Set, and replaced by a new event, when a piece or the digests arrive.
    arrived: curio.Event = field(default_factory=curio.Event)

    @property
    def whole(self) -> bool:
        return bool(self.digests) and len(self.pieces) == len(self.digests)

    def proven_digests(self) -> tuple[str, ...]:
        """
        The digests of all pieces, with an empty text for each piece that is not held.

        """
        return tuple(
            digest if index in self.pieces else '' for index, digest in enumerate(self.digests)
        )

    def missing(self, wanted: range | None = None) -> list[int]:
        """
        The indexes in `wanted` whose pieces are not held; if `wanted` is None or empty, the
        indexes of all pieces of the version that are not held.

        """
        everything = range(len(self.digests))
        return [index for index in wanted or everything if index not in self.pieces]

    def longest_run(self) -> tuple[int, int]:
        """
        The longest run of consecutive held pieces, as the index of the first piece and the index
        after the last one; (0, 0) if no piece is held or the digests are not known.

        """
        best = (0, 0)
        first = 0
        for index in range(len(self.digests) + 1):
            if index < len(self.digests) and index in self.pieces:
                continue
            if index - first > best[1] - best[0]:
                best = (first, index)
            first = index + 1
        return best

    async def set_digests(self, digests: tuple[str, ...]) -> bool:
        """
        Set the digests, and store the pieces that arrived before them if they match. An empty list
        is ignored (False).

        """
        if not digests:
            return False
        self.digests = digests
        unchecked, self.unchecked = self.unchecked, {}
        for index, data in unchecked.items():
            await self.put(index, data)
        await self.notify_waiters()
        return True

    async def put(self, index: int, data: bytes) -> bool:
        """
        Store a piece; False if the piece does not match its digest. A piece that arrives
        before the digests is set aside (True), and verified by `set_digests`.

        """
        if not self.digests:
            self.unchecked[index] = data
            return True
        if not 0 <= index < len(self.digests):
            return False
        if not self.matches_digest(index, data):
            self.digest_checks.record_rejected(index, data)
            return False
        self.digest_checks.record_accepted(index)
        self.pieces[index] = data
        await self.notify_waiters()
        return True

    def correct_digests(self, digests: tuple[str, ...]) -> list[int]:
        """
        Replace the digests that pieces did not match by those of another list that they match.
        Returns the indexes of the corrected digests.

        """
        corrections = self.digest_checks.corrections(digests)
        self.digests = tuple(
            corrections.get(index, digest) for index, digest in enumerate(self.digests)
        )
        return sorted(corrections)

    def matches_digest(self, index: int, data: bytes) -> bool:
        if not 0 <= index < len(self.digests):
            return False
        return hashlib.sha256(data).hexdigest() == self.digests[index]

    def is_piece(self, index: int, data: bytes) -> bool:
        """
        Whether `data` is the piece with this index, also if that piece is not held.

        """
        return self.pieces.get(index) == data or self.matches_digest(index, data)

    async def notify_waiters(self) -> None:
        """
        Wake the tasks that wait for a piece or for the digests.

        """
        arrived, self.arrived = self.arrived, curio.Event()
        await arrived.set()


class PieceStore:
    """
    The piece sets of the newest `KEPT_VERSIONS` versions.

    """

    def __init__(self) -> None:
        self.sets: dict[WeightsId, PieceSet] = {}

    def get_or_create(self, weights: WeightsId) -> PieceSet:
        """
        The piece set of a version. If there is none, an empty one is created, and the oldest
        versions beyond `KEPT_VERSIONS` are removed, but never the requested one.

        """
        held = self.sets.get(weights)
        if held is None:
            held = PieceSet(weights)
            self.sets[weights] = held
            for old in sorted(self.sets, key=lambda item: item.version)[:-KEPT_VERSIONS]:
                if old != weights:
                    del self.sets[old]
        return held

    def find(self, weights: WeightsId) -> PieceSet | None:
        return self.sets.get(weights)
