"""
The staging area of a simulated engine, and the layers that were taken from it.

"""

import time
from dataclasses import dataclass
from typing import Final

from millfork_standins.weights_origin import SimulatedWeights

# A layer may be taken from a piece that turned bad at most this many seconds before.
MAX_BAD_S: Final = 3.0


@dataclass(frozen=True, slots=True)
class TakenLayer:
    """
    A layer that an engine took from its staging area at `taken_at` (monotonic seconds), when its
    worst piece had not been the right one for `bad_s` seconds (infinity: it never was).

    """

    version: int
    number: int
    bad_s: float
    taken_at: float

    @property
    def is_bad(self) -> bool:
        return self.bad_s > MAX_BAD_S


@dataclass(frozen=True, slots=True)
class Write:
    """
    A write to the staging area at `at` (monotonic seconds); `version` is None for bad data.

    """

    index: int
    version: int | None
    at: float


class StagedPieces:
    """
    The staged pieces, one for each index, with the time until which each piece was the right one
    for each version. The staging area checks nothing.

    """

    def __init__(self, weights: SimulatedWeights) -> None:
        self.weights = weights
        self.data: dict[int, bytes] = {}
        # By version and index: when the right piece was replaced, in monotonic seconds.
        self.right_until: dict[tuple[int, int], float] = {}
        # All writes that were accepted, also those that stored nothing.
        self.writes: list[Write] = []
        # The number of pieces that were read back.
        self.read_count = 0
        # How many of the next writes are accepted and store nothing.
        self.ignored_writes = 0

    def fill(self, version: int) -> None:
        """
        Stage all pieces of a version.

        """
        for index in range(self.weights.pieces):
            self._store(index, self.weights.piece(version, index))

    def write(self, index: int, data: bytes) -> None:
        """
        Carry out a daemon's write, unless it is to store nothing.

        """
        self.writes.append(Write(index, self.weights.version_of(index, data), time.monotonic()))
        if self.ignored_writes:
            self.ignored_writes -= 1
            return
        self._store(index, data)

    def read(self, index: int) -> bytes | None:
        """
        Carry out a daemon's read of a piece; None if there is none with this index.

        """
        self.read_count += 1
        return self.data.get(index)

    def spoil(self, index: int) -> None:
        """
        Make the piece with this index bad.

        """
        self._store(index, b'bad' * self.weights.piece_bytes)

    def lose(self, index: int) -> None:
        """
        Remove the piece with this index.

        """
        self._record_replacement(index)
        self.data.pop(index, None)

    def _store(self, index: int, data: bytes) -> None:
        self._record_replacement(index)
        self.data[index] = data

    def _record_replacement(self, index: int) -> None:
        version = self._staged_version(index)
        if version is not None:
            self.right_until[version, index] = time.monotonic()

    def _staged_version(self, index: int) -> int | None:
        data = self.data.get(index)
        return None if data is None else self.weights.version_of(index, data)

    def holds(self, version: int, index: int) -> bool:
        """
        Whether the right piece of a version is staged.

        """
        return self._staged_version(index) == version

    def take_layer(self, version: int, number: int) -> TakenLayer:
        """
        Take a layer of a version from what is staged now.

        """
        now = time.monotonic()
        bad_s = max(
            self._bad_s(version, index, now) for index in self.weights.pieces_of_layer(number)
        )
        return TakenLayer(version, number, bad_s, now)

    def _bad_s(self, version: int, index: int, now: float) -> float:
        if self.holds(version, index):
            return 0.0
        return now - self.right_until.get((version, index), float('-inf'))
