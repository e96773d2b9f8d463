"""
Requests that reach back ends although all entries must know by then that a part of their prompts
crashes back ends.

"""

from collections.abc import Iterable
from typing import Final

# So many back ends show which part crashes them.
ENDS_TO_KNOW: Final = 5
# How soon after these ends all entries must know (`contact_ms` of a deployment).
KNOWN_AFTER_S: Final = 3.0


def find_late_sends(ends: Iterable[float], sent_at: Iterable[float]) -> list[float]:
    """
    Return the late ones of the times at which requests with the part were sent, given the times at
    which it ended back ends. All are in seconds, of one clock.

    """
    ended = sorted(ends)
    if len(ended) < ENDS_TO_KNOW:
        return []
    known_at = ended[ENDS_TO_KNOW - 1] + KNOWN_AFTER_S
    return [at for at in sent_at if at > known_at]
