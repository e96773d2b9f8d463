"""
Which requests are quarantined because they crash the back ends that run them.

A request that crashes back ends is retried by its caller, at any entry. Each attempt takes a back
end down for seconds and breaks off all other requests that run there. The suspicion of a request
records how many back ends ended one after another while they ran a request with its fingerprint.
Requests that only ran beside a crashing one must not be refused, so one complete answer clears a
request of suspicion.

The cause may also be a part of prompts that many requests have in common, in which case no two
requests need to be alike. Parts have suspicions of their own. As the parts of all requests that ran
on a back end share its end, and a part may be that of all requests of an organisation, a part needs
more evidence than a request: the ends of several requests and, if it was answered before, more ends
or more back ends than other parts.

If back ends end long after they broke off answers, or all at once as in a loss of power, crashing
requests are recognised only after a while. Until then a suspected request is refused, apart from
occasional trials.

"""

from collections.abc import Callable
from enum import Enum
from random import Random
from typing import Final

from millfork_core.ids import Fingerprint, IncarnationKey
from millfork_registry.suspicion_index import Rivals
from millfork_registry.suspicion_store import SuspicionStore
from millfork_registry.suspicions import Suspicion

# A request is at fault once this many back ends ended one after another while they ran it, and
# suspected once its answers broke off at this many. A single back end proves nothing, as any
# of the requests that ran on it may have been the cause.
MIN_ENDS_AT_FAULT: Final = 3
# A part of prompts is at fault once this many back ends ended one after another while they ran
# prompts with the part.
MIN_ENDS_OF_PART: Final = 3
# One request that is sent again and again while back ends end is a single witness.
MIN_WITNESSES: Final = 2
# If back ends end faster than one after another, a part is also at fault after two ends in a row
# with this many different requests and back ends. In a loss of power, all ends count as one.
MIN_ENDS_IN_A_ROW: Final = 2
MIN_WITNESSES_OF_FAST_ENDS: Final = 5
# A part that back ends answered completely within a minute before needs this many ends: that it
# ends them now is less likely than that it ran beside what does. It must also stand out, with at
# most MAX_RIVALS other parts as suspicious. If back ends end one after another of another cause,
# the parts of most requests are.
MIN_ENDS_OF_ANSWERED_PART: Final = 5
MAX_RIVALS: Final = 1
# After this many ends it need not stand out.
MIN_ENDS_DESPITE_RIVALS: Final = 12
# If back ends end faster than one after another, an answered part is also at fault if this many
# ended with it, and no other part has as many.
MIN_BACK_ENDS_OF_ANSWERED_PART: Final = 8
# A back end that ends later than this after an answer began ended of something else than the begin
# of the answer.
MAX_CRASH_DELAY_S: Final = 3.0
NO_RIVALS: Final = Rivals()
# The shortest wait before a suspected request is sent as a trial. The wait starts when the entry
# notices that the suspicion of the request is new or has changed, and again with each trial. After
# this time most back ends whose answers broke off are known to have ended or to live on.
TRIAL_AFTER_S: Final = 2.0
# Each entry adds a random time to `TRIAL_AFTER_S`, of up to this multiplied by the number of
# entries, so that most entries learn the outcome of the first trial before their own is due. All
# entries together make at most two trials of a request a second.
TRIAL_SPREAD_S: Final = 1.0
# All scheduled trials are forgotten once there are this many.
MAX_TRIALS: Final = 4096


class SuspicionLevel(Enum):
    """
    How strongly a request is suspected of crashing back ends, and so whether it may be sent.

    """

    FREE = 'free'
    # The request's answers broke off at so many back ends that it may be at fault; it is sent only
    # as a trial.
    SUSPECTED = 'suspected'
    AT_FAULT = 'at_fault'


def is_at_fault(suspicion: Suspicion, rivals: Rivals = NO_RIVALS) -> bool:
    """
    Whether a request, or each prompt with a part, is considered to crash every back end that runs
    it. `rivals` counts the other parts that are as suspicious.

    """
    if suspicion.witnesses:
        return _is_part_at_fault(suspicion, rivals)
    return suspicion.ends >= MIN_ENDS_AT_FAULT


def is_at_fault_among(suspicion: Suspicion, suspicion_store: SuspicionStore) -> bool:
    """
    Whether a request or part is considered at fault, given all suspicions that a process knows.

    """
    if not suspicion.witnesses:
        # Not a part with known ends, so that nothing is its rival.
        return is_at_fault(suspicion)
    return is_at_fault(suspicion, suspicion_store.count_rivals(suspicion))


def _is_part_at_fault(suspicion: Suspicion, rivals: Rivals) -> bool:
    requests = len({witness.request for witness in suspicion.witnesses})
    back_ends = len(suspicion.witnesses)
    if requests < MIN_WITNESSES:
        return False
    if suspicion.answered_before:
        return _is_answered_part_at_fault(suspicion, min(requests, back_ends), rivals)
    if suspicion.ends >= MIN_ENDS_OF_PART:
        return True
    return (
        suspicion.ends >= MIN_ENDS_IN_A_ROW
        and min(requests, back_ends) >= MIN_WITNESSES_OF_FAST_ENDS
    )


def _is_answered_part_at_fault(suspicion: Suspicion, witnesses: int, rivals: Rivals) -> bool:
    if suspicion.ends >= MIN_ENDS_OF_ANSWERED_PART and rivals.by_ends <= MAX_RIVALS:
        return True
    if suspicion.ends >= MIN_ENDS_DESPITE_RIVALS:
        return True
    return (
        suspicion.ends >= MIN_ENDS_OF_PART
        and witnesses >= MIN_BACK_ENDS_OF_ANSWERED_PART
        and rivals.by_back_ends == 0
    )


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

    `before` is the suspicion of the request when it was sent to `ended`, `now` its present
    suspicion. Incarnations in `before.broken` that are now known to live on don't count.

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
        # By the fingerprint of a request: its last known suspicion, and when its next trial is due
        # (monotonic seconds).
        self.due: dict[Fingerprint, tuple[Suspicion, float]] = {}

    def start_trial(self, suspicion: Suspicion) -> bool:
        """
        Whether a suspected request may be sent now as a trial, because its trial is due; if so,
        the next trial is scheduled. If the suspicion is new or has changed, the request may not
        be sent yet, and its first trial is scheduled.

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
