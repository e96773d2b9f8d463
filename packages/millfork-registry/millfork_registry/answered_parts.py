"""
The parts of prompts that back ends answered lately.

A part that crashes each back end which begins to write an answer is in no complete answer. So it
takes more to suspect a part that was answered a moment before.

"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Final

from millfork_core.ids import Fingerprint

# For how long a complete answer is remembered.
ANSWERED_MEMORY_S: Final = 60.0
# The greatest number of parts that are remembered; each takes about 0.2 kB.
MAX_ANSWERED_PARTS: Final = 8192


class AnsweredParts:
    """
    When each part was last in a complete answer, as far as this process saw the answers.

    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        self.monotonic = monotonic
        # By fingerprint, least recently answered first (monotonic seconds).
        self.answered_at: OrderedDict[Fingerprint, float] = OrderedDict()

    def record(self, fingerprint: Fingerprint) -> None:
        self.answered_at[fingerprint] = self.monotonic()
        self.answered_at.move_to_end(fingerprint)
        if len(self.answered_at) > MAX_ANSWERED_PARTS:
            self.answered_at.popitem(last=False)

    def contains(self, fingerprint: Fingerprint) -> bool:
        """
        Whether the part was answered within the last `ANSWERED_MEMORY_S`.

        """
        answered_at = self.answered_at.get(fingerprint)
        return answered_at is not None and self.monotonic() - answered_at < ANSWERED_MEMORY_S
