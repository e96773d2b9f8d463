"""
Whether the link to this instance is slower than its settings say.

Pieces that wait in a slow link stand in front of the engine's requests.

"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

# A piece may take this many times as long as the link's rate says: others'
# pieces and the engine's answers share it.
SLOW_TIMES: Final = 2.5
# All of the last pieces must have been slow: the first of a version wait for the
# origin, not for this link.
LAST_PIECES: Final = 4


@dataclass(frozen=True, slots=True)
class Begun:
    """
    When a piece was asked for, and how many were then on their way with it.

    """

    at: float
    together: int


class Transit:
    """
    The time that pieces take, against the link's rate in bytes/s.

    """

    def __init__(self, rate: float, monotonic: Callable[[], float]) -> None:
        self.rate = rate
        self.monotonic = monotonic
        self.on_their_way = 0
        self.times: deque[float] = deque(maxlen=LAST_PIECES)

    @property
    def is_slow(self) -> bool:
        return len(self.times) == LAST_PIECES and min(self.times) > SLOW_TIMES

    def begin(self) -> Begun:
        """
        Count a piece that is asked for.

        """
        self.on_their_way += 1
        return Begun(self.monotonic(), self.on_their_way)

    def end(self, begun: Begun, size: int) -> None:
        """
        Count a piece of `size` bytes that came; 0 if none did.

        """
        self.on_their_way -= 1
        if not size:
            return
        usual_s = begun.together * size / self.rate
        self.times.append((self.monotonic() - begun.at) / usual_s)
