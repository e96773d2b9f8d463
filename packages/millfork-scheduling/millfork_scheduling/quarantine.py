"""
Which requests are quarantined because they crash the back ends that run them.

A request that crashes back ends is retried by its caller, at any entry. Each send costs a back
end for seconds and breaks off all other requests that run there. Those other requests must not
be refused for that: one complete answer clears a request of suspicion.

If back ends end late, or all together as in a loss of power, crashing requests are recognised
only after a while. Until then a suspected request is refused, apart from occasional trials.

"""

from collections.abc import Callable
from enum import Enum
from random import Random
from typing import Final

from millfork_core.ids import Fingerprint, IncarnationKey
from millfork_registry.suspicion_store import Suspicion

# After this many ends of back ends a request is at fault. A single end proves nothing, as every
# request that ran on the back end is suspected.
MIN_ENDS_AT_FAULT: Final = 3
# A suspected request is tried again this long after its suspicion last changed. By then most
# back ends whose answers broke off are known to have ended or to live on.
TRIAL_AFTER_S: Final = 2.0
# Entries spread their trials at random over this time multiplied by the number of entries, so
# that most learn the outcome of the first trial. The fleet makes at most two trials a second.
TRIAL_SPREAD_S: Final = 1.0
MAX_TRIALS: Final = 4096


class SuspicionLevel(Enum):
    """
    How strongly a request is suspected of crashing back ends, and so whether it may be sent.

    """

    FREE = 'free'
    # Its answers broke off at so many back ends that it may be at fault.
    SUSPECTED = 'suspected'
    AT_FAULT = 'at_fault'


def is_at_fault(suspicion: Suspicion) -> bool:
    """
    Whether a request is considered to crash every back end that runs it.

    """
    return suspicion.ends >= MIN_ENDS_AT_FAULT


def suspicion_level_of(suspicion: Suspicion) -> SuspicionLevel:
    if is_at_fault(suspicion):
        return SuspicionLevel.AT_FAULT
    return (
        SuspicionLevel.SUSPECTED
        if len(suspicion.broken) >= MIN_ENDS_AT_FAULT
        else SuspicionLevel.FREE
    )


def count_ends(before: Suspicion, now: Suspicion, ended: IncarnationKey) -> int:
    """
    The number of back ends that ended one after another while they ran a request, including
    `ended`.

    `before` is the suspicion when the request was sent there, `now` the present one.
    Incarnations whose answers broke off before but that are known to live on don't count.

    """
    earlier = set(before.broken) & set(now.broken)
    if ended in earlier:
        # This incarnation is counted already.
        return max(before.ends, len(earlier))
    return max(before.ends, len(earlier)) + 1


class TrialSchedule:
    """
    When one entry sends suspected requests again as trials.

    """

    def __init__(
        self, random: Random, monotonic: Callable[[], float], entries: Callable[[], int]
    ) -> None:
        self.random = random
        self.monotonic = monotonic
        self.entries = entries
        # By request: its last known suspicion, and when it may be tried (monotonic seconds).
        self.due: dict[Fingerprint, tuple[Suspicion, float]] = {}

    def start_trial(self, suspicion: Suspicion) -> bool:
        """
        Whether a suspected request may be sent now as a trial; its next trial is scheduled then.
        A request whose suspicion is new or has changed isn't sent; only its trial is scheduled.

        """
        now = self.monotonic()
        known, due_at = self.due.get(suspicion.fingerprint, (None, 0.0))
        if known == suspicion and now < due_at:
            return False
        if len(self.due) >= MAX_TRIALS:
            self.due.clear()
        spread_s = TRIAL_SPREAD_S * self.entries() * self.random.random()
        self.due[suspicion.fingerprint] = (suspicion, now + TRIAL_AFTER_S + spread_s)
        return known == suspicion
