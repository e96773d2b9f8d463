"""
What one incarnation of a back end said of itself: what it takes, and for how long.

"""

from dataclasses import dataclass
from enum import Enum

from millfork_adapter.exchange import Backpressure


class ToldBy(Enum):
    """
    How an entry was told.

    """

    ANSWER = 'answer'
    DAEMON = 'daemon'


class Signal(Enum):
    """
    What a back end can say of itself.

    """

    LIMIT = 'limit'


class Turn(Enum):
    """
    What becomes of a signal.

    """

    BEGAN = 'began'
    CHANGED = 'changed'
    ENDED = 'ended'


@dataclass(frozen=True, slots=True)
class SignalChange:
    """
    A signal that began, changed or ended, and its value: of a limit, requests a second.

    """

    signal: Signal
    turn: Turn
    value: float


@dataclass(slots=True)
class Availability:
    """
    What one incarnation of a back end said of itself last.

    """

    limit_per_s: float | None = None

    def take_answer(self, told: Backpressure) -> list[SignalChange]:
        """
        Take what the head of an answer says; returns what changed.

        """
        before, self.limit_per_s = self.limit_per_s, told.limit_per_s
        return _limit_changes(before, told.limit_per_s)


def _limit_changes(before: float | None, now: float | None) -> list[SignalChange]:
    if before == now:
        return []
    if now is None:
        return [SignalChange(Signal.LIMIT, Turn.ENDED, before or 0.0)]
    turn = Turn.BEGAN if before is None else Turn.CHANGED
    return [SignalChange(Signal.LIMIT, turn, now)]
