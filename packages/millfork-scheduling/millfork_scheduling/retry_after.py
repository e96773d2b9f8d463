"""
When a caller that is turned away is told to come back.

It answers callers that all return at once, at the moment at which what turned them away
is not over yet: they are spread, and sent away for as long as a place takes to come free.
Callers heed a third of the time they have left, 2 s of the usual 6 s.

"""

from random import Random
from typing import Final

from millfork_core.verdicts import Reason
from millfork_scheduling.availability import Closure, ClosureReason

# A place comes free in about a tenth of a second; spread over more than that.
MIN_WAIT_MS: Final = 150
MAX_WAIT_MS: Final = 600
SPREAD_WAIT_MS: Final = 250
# Where nothing can serve a request at the moment: engines change their weights within
# two seconds, servers are replaced within some.
NOTHING_SERVES_MS: Final = 1500
# The longest wait for back ends that rest; others may have come by then.
MAX_REST_MS: Final = 10_000
NOTHING_SERVES_SPREAD_MS: Final = 400
# After other refusals, by reason: short, as a place comes free in a fraction of a second.
AFTER_REFUSAL_MS: Final[dict[Reason, int]] = {
    Reason.NOT_READY: 500,
    Reason.UNREACHABLE: 300,
    Reason.BUSY: 300,
    Reason.RETRY_BUDGET: 500,
    Reason.EXPIRED: 0,
    # By then most of what broke off is known to have ended, or to live.
    Reason.SUSPECTED: 2000,
    # Waiting changes nothing.
    Reason.QUARANTINED: 0,
}
DEFAULT_WAIT_MS: Final = 300


def full_engines_wait_ms(overdue_ms: float, random: Random) -> int:
    """
    Milliseconds until a caller may come back whose first token would have been this late.

    """
    late_ms = min(max(overdue_ms, 0.0), MAX_WAIT_MS)
    return int(MIN_WAIT_MS + late_ms + random.random() * SPREAD_WAIT_MS)


def nothing_serves_wait_ms(random: Random) -> int:
    """
    Milliseconds until a caller may come back where no back end can serve it.

    """
    return NOTHING_SERVES_MS + int(random.random() * NOTHING_SERVES_SPREAD_MS)


def closed_wait_ms(closure: Closure, random: Random) -> int:
    """
    Milliseconds until a caller may come back where all back ends that could serve it are
    closed by their own word: when the first of them opens. Only a rest has an end that is
    told; otherwise others may begin to serve, or another entry may have a place, before.

    """
    most_ms = MAX_REST_MS if closure.closure_reason is ClosureReason.RESTING else NOTHING_SERVES_MS
    wait_ms = min(max(closure.opens_in_s * 1000, MIN_WAIT_MS), most_ms)
    return int(wait_ms + random.random() * SPREAD_WAIT_MS)


def refusal_wait_ms(reason: Reason) -> int:
    """
    Milliseconds until a caller may come back after another refusal.

    """
    return AFTER_REFUSAL_MS.get(reason, DEFAULT_WAIT_MS)
