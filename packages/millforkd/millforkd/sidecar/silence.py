"""
Peers that did not answer lately, so that nobody waits for them again at once.

"""

from collections.abc import Callable
from typing import Final

# A frozen or cut-off instance is back after some seconds; until then each question
# to it would cost its whole time-out.
PASSED_OVER_S: Final = 2.0


class SilentPeers:
    """
    Who is passed over, and until when (monotonic seconds).

    """

    def __init__(
        self, monotonic: Callable[[], float], passed_over_s: float = PASSED_OVER_S
    ) -> None:
        self.monotonic = monotonic
        self.passed_over_s = passed_over_s
        self.until: dict[str, float] = {}

    def note(self, instance: str) -> None:
        """
        Pass over a peer that did not answer.

        """
        self.until[instance] = self.monotonic() + self.passed_over_s

    def is_silent(self, instance: str) -> bool:
        """
        Whether a peer is passed over now.

        """
        until = self.until.get(instance)
        if until is None:
            return False
        if until > self.monotonic():
            return True
        del self.until[instance]
        return False
