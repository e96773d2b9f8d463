"""
Peers that did not answer lately, so that nobody waits for them again at once.

"""

from collections.abc import Callable
from typing import Final

# A frozen or cut-off instance is back after some seconds; until then each question
# to it would cost its whole time-out.
SKIP_SILENT_PEER_S: Final = 2.0


class SilentPeers:
    """
    Who is passed over, and until when (monotonic seconds).

    """

    def __init__(self, monotonic: Callable[[], float], skip_s: float = SKIP_SILENT_PEER_S) -> None:
        self.monotonic = monotonic
        self.skip_s = skip_s
        self.skipped_until: dict[str, float] = {}

    def mark_silent(self, instance: str) -> None:
        """
        Pass over a peer that did not answer.

        """
        self.skipped_until[instance] = self.monotonic() + self.skip_s

    def is_silent(self, instance: str) -> bool:
        """
        Whether a peer is passed over now.

        """
        until = self.skipped_until.get(instance)
        if until is None:
            return False
        if until > self.monotonic():
            return True
        del self.skipped_until[instance]
        return False
