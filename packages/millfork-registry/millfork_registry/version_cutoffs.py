"""
When requests may no longer begin on what came before a version, as it was told.

The leader of the replicas knows when a version was named; the other replicas ask it, and
followers ask their replica. An answer can't have been given before its question was asked,
so the time that is left, as an answer tells it, is counted from when the question was asked:
a process that stood still, or reads behind a slow link, takes the end for earlier at most.
Counted from when a message was read, an end was late by as long as the reader had stood
still (3.4 s in a process that was stopped for 3.4 s).

"""

from collections.abc import Iterable, Iterator
from typing import Final

from millfork_wire.messages import VersionSwitch

MS_PER_S: Final = 1000


class VersionCutoffs:
    """
    The ends by model and version, in monotonic seconds.

    """

    def __init__(self) -> None:
        self.cutoffs: dict[tuple[str, int], float] = {}

    def record_answer(self, asked_at: float, switches: Iterable[VersionSwitch]) -> bool:
        """
        Take the answer to a question of `asked_at`; True if it changed an end.

        """
        moved = [self._record_switch(switch, asked_at) for switch in switches]
        return any(moved)

    def _record_switch(self, switch: VersionSwitch, asked_at: float) -> bool:
        key = (switch.model, switch.version)
        cutoff = asked_at + switch.left_ms / MS_PER_S
        known = self.cutoffs.get(key)
        # Each answer is early by the time that it took, so the latest is the best; but
        # what has ended does not come back by the word of a replica that was away.
        if known is not None and (known <= asked_at or cutoff <= known):
            return False
        self.cutoffs[key] = cutoff
        return True

    def cutoff_of(self, model: str, version: int) -> float | None:
        """
        When requests may no longer begin on what came before a version, if that was told.

        """
        return self.cutoffs.get((model, version))

    def known_versions(self, model: str) -> Iterator[int]:
        """
        The versions of a model that were told of.

        """
        return (version for name, version in self.cutoffs if name == model)
