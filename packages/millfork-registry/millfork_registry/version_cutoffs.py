"""
Cutoffs of model versions: the times from which no request may begin on an older version.

The leader of the replicas knows when a version was set in the configuration. The other replicas
ask the leader, and followers ask their replica. An answer gives the time that remains until the
cutoff. This time is counted from the moment of the question, so a process that was paused, or
that reads from a slow link, can only compute a cutoff that is too early. When the time was
counted from the reading of the answer, a process stopped for 3.4 s computed a cutoff 3.4 s too
late.

"""

from collections.abc import Iterable, Iterator
from typing import Final

from millfork_wire.messages import VersionSwitch

MS_PER_S: Final = 1000


class VersionCutoffs:
    """
    The known cutoffs by model and version, in monotonic seconds.

    """

    def __init__(self) -> None:
        self.cutoffs: dict[tuple[str, int], float] = {}

    def record_answer(self, asked_at: float, switches: Iterable[VersionSwitch]) -> bool:
        """
        Record the cutoffs in an answer to a question asked at `asked_at` (monotonic seconds).
        Returns whether a known cutoff changed or a new one was added.

        """
        changes = [self._record_switch(switch, asked_at) for switch in switches]
        return any(changes)

    def _record_switch(self, switch: VersionSwitch, asked_at: float) -> bool:
        key = (switch.model, switch.version)
        cutoff = asked_at + switch.left_ms / MS_PER_S
        known = self.cutoffs.get(key)
        # The cutoff computed from an answer is early by the time that the answer took, so the
        # latest cutoff is the most accurate. A cutoff that had passed when the question was asked
        # stays, because a replica that was cut off may report a later one.
        if known is not None and (known <= asked_at or cutoff <= known):
            return False
        self.cutoffs[key] = cutoff
        return True

    def cutoff_of(self, model: str, version: int) -> float | None:
        """
        Return the time (monotonic seconds) from which requests may no longer begin on versions
        older than `version`, or None if that time isn't known.

        """
        return self.cutoffs.get((model, version))

    def known_versions(self, model: str) -> Iterator[int]:
        """
        Return the versions of a model with a known cutoff.

        """
        return (version for name, version in self.cutoffs if name == model)
