"""
When requests may no longer begin on what came before a version, as replicas answered.

An answer can't have been given before its question was asked. So the time that is left, as
an answer tells it, is counted from when the question was asked: a process that stood still,
or reads behind a slow link, takes the end for earlier at most. Counted from when a message
was read, an end was late by as long as the reader had stood still (3.4 s in a process that
was stopped for 3.4 s).

"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from millfork_wire.messages import VersionSwitch

MS_PER_S: Final = 1000
# Replicas learn of a version a few ms apart; so much is no other end, as requests are
# taken back 0.15 s before it.
AGREE_S: Final = 0.1


@dataclass(frozen=True, slots=True)
class Answer:
    """
    One answer: who gave it, between which moments (monotonic seconds), the revision of
    the configuration that it covers, and the versions named lately.

    """

    source: str
    asked_at: float
    answered_at: float
    revision: int
    switches: list[VersionSwitch]


@dataclass(slots=True)
class _End:
    at: float
    source: str


class SwitchEnds:
    """
    The ends by model and version, in monotonic seconds.

    """

    def __init__(self) -> None:
        self.ends: dict[tuple[str, int], _End] = {}
        # When the last question was asked that was answered; None: none was.
        self.asked_at: float | None = None
        # The revision of the configuration that its answer covers.
        self.revision = 0

    def note(self, answer: Answer) -> bool:
        """
        Take an answer; True if it changed an end.

        """
        self.asked_at = answer.asked_at
        self.revision = answer.revision
        moved = [self._take(switch, answer) for switch in answer.switches]
        return any(moved)

    def _take(self, switch: VersionSwitch, answer: Answer) -> bool:
        key = (switch.model, switch.version)
        left_s = switch.left_ms / MS_PER_S
        earliest = answer.asked_at + left_s
        latest = answer.answered_at + left_s
        known = self.ends.get(key)
        # Lower by anyone's word, as a replica may have heard of a version late; higher
        # only by the same one's, whose earlier answer was slower.
        if (
            known is not None
            and known.at <= latest + AGREE_S
            and (known.source != answer.source or known.at >= earliest)
        ):
            return False
        self.ends[key] = _End(earliest, answer.source)
        return True

    def covers(self, revision: int) -> bool:
        """
        Whether the last answer was of a replica that knew of a revision.

        """
        return self.asked_at is not None and self.revision >= revision

    def at(self, model: str, version: int) -> float | None:
        """
        When requests may no longer begin on what came before a version, if that was told.

        """
        end = self.ends.get((model, version))
        return end.at if end is not None else None

    def versions(self, model: str) -> Iterator[int]:
        """
        The versions of a model that were told of.

        """
        return (version for name, version in self.ends if name == model)
