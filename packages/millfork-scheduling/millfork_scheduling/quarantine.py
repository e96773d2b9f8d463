"""
Which requests are sent no more, as they end the back ends that run them.

It answers a request that is at fault itself and whose callers come back, to any entry:
each send costs a back end for seconds and breaks off all that runs there. Others that ran
there are not to be refused for it: one answer that comes whole clears a request.

Where back ends end late, or all at the same moment as in a loss of power, it takes a while to
tell the two apart: such a request is sent again now and then, and refused meanwhile.

"""

from collections.abc import Callable
from enum import Enum
from random import Random
from typing import Final

from millfork_core.ids import Fingerprint, IncarnationKey
from millfork_registry.suspicion_store import Suspicion

# One end tells nothing, as all that ran there is under suspicion.
ENDS: Final = 3
# A suspected request is tried again this long after the last that was learned of it: by then
# most back ends that broke off are known to have ended, or to live.
TRIAL_AFTER_S: Final = 2.0
# Entries try at different moments, so that the others hear what became of the first trial: up
# to this time later for each entry that there is, which makes two trials a second at most.
TRIAL_SPREAD_S: Final = 1.0
MOST_TRIALS: Final = 4096


class Standing(Enum):
    """
    Whether a request may be sent.

    """

    FREE = 'free'
    # It broke off at so many back ends that it may be at fault.
    SUSPECTED = 'suspected'
    AT_FAULT = 'at_fault'


def is_at_fault(suspicion: Suspicion) -> bool:
    """
    Whether a request is taken to end whatever runs it.

    """
    return suspicion.ends >= ENDS


def standing_of(suspicion: Suspicion) -> Standing:
    if is_at_fault(suspicion):
        return Standing.AT_FAULT
    return Standing.SUSPECTED if len(suspicion.broken) >= ENDS else Standing.FREE


def ends_after(before: Suspicion, now: Suspicion, ended: IncarnationKey) -> int:
    """
    The ends one after another under a request with one more, by what was known when it was
    sent there and what is known now: of what had broken off before, what lives on is no end.

    """
    earlier = set(before.broken) & set(now.broken)
    if ended in earlier:
        # It broke off there before, so this is no other end.
        return max(before.ends, len(earlier))
    return max(before.ends, len(earlier)) + 1


class Trials:
    """
    When one entry sends suspected requests again.

    """

    def __init__(
        self, random: Random, monotonic: Callable[[], float], entries: Callable[[], int]
    ) -> None:
        self.random = random
        self.monotonic = monotonic
        self.entries = entries
        # By request: what was known of it, and from when on it may be tried, in monotonic s.
        self.due: dict[Fingerprint, tuple[Suspicion, float]] = {}

    def begin(self, suspicion: Suspicion) -> bool:
        """
        Whether a suspected request may be sent now; if so, no other one for a while.

        """
        now = self.monotonic()
        known, due_at = self.due.get(suspicion.fingerprint, (None, 0.0))
        if known == suspicion and now < due_at:
            return False
        if len(self.due) >= MOST_TRIALS:
            self.due.clear()
        spread_s = TRIAL_SPREAD_S * self.entries() * self.random.random()
        self.due[suspicion.fingerprint] = (suspicion, now + TRIAL_AFTER_S + spread_s)
        return known == suspicion
