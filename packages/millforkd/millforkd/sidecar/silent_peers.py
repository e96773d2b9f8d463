"""
Remembers peers that recently did not answer, so that they are not asked again at once.

"""

from collections.abc import Callable
from typing import Final

# A peer that did not answer is skipped for this many seconds. A frozen or partitioned instance
# is back after some seconds; until then, each request to it would cost a full timeout.
SKIP_SILENT_PEER_S: Final = 2.0


class SilentPeers:
    """
    The peers to skip, and until when (monotonic seconds).

    """

    def __init__(self, monotonic: Callable[[], float], skip_s: float = SKIP_SILENT_PEER_S) -> None:
        self.monotonic = monotonic
        self.skip_s = skip_s
        self.skipped_until: dict[str, float] = {}

    def mark_silent(self, instance: str) -> None:
        """
        Record that a peer did not answer, so that it is skipped for the next `skip_s` seconds.

        """
        self.skipped_until[instance] = self.monotonic() + self.skip_s

    def is_silent(self, instance: str) -> bool:
        """
        Whether a peer must be skipped now.

        """
        until = self.skipped_until.get(instance)
        if until is None:
            return False
        if until > self.monotonic():
            return True
        del self.skipped_until[instance]
        return False
