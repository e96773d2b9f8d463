"""
The wait that a rejected caller is asked for before it retries.

If all callers retried at the same moment, or before the reason for the rejection is over, they
would be rejected again. So the waits are spread at random, and last about as long as a slot
takes to come free. Whatever wait is asked for, callers wait at most a third of their remaining
time: 2 s of the usual 6 s.

"""

from random import Random
from typing import Final

from millfork_core.verdicts import Reason
from millfork_scheduling.availability import Closure, ClosureReason

# The shortest wait of a caller that was refused because all suitable back ends are full or closed.
# A slot comes free in about 0.1 s.
MIN_WAIT_MS: Final = 150
# If the engines are full, the time by which the first token would have been late is added to
# `MIN_WAIT_MS`, up to this.
MAX_OVERDUE_WAIT_MS: Final = 600
# The maximum random addition to the waits of callers that were refused because all suitable back
# ends are full or closed. It spreads retries over more than the 0.1 s in which a slot comes free.
SPREAD_WAIT_MS: Final = 250
# The wait while no back end can serve a request: engines change their weights within two
# seconds, and servers are replaced within a few seconds. Also the longest wait, before the random
# addition, for back ends that limit requests or are leaving.
NO_SERVER_WAIT_MS: Final = 1500
# The longest wait, before the random addition, for back ends that asked for a rest; others may have
# joined by then.
MAX_REST_MS: Final = 10_000
# The maximum random addition to `NO_SERVER_WAIT_MS`.
NO_SERVER_SPREAD_MS: Final = 400
# Waits by the reason of a refusal, in ms, for callers whose wait is not determined by full engines,
# missing back ends or closures. Most are short, as a slot comes free in a fraction of a second.
AFTER_REFUSAL_MS: Final[dict[Reason, int]] = {
    Reason.NOT_READY: 500,
    Reason.UNREACHABLE: 300,
    Reason.BUSY: 300,
    Reason.RETRY_BUDGET: 500,
    Reason.EXPIRED: 0,
    # After this time most back ends whose answers broke off are known to have ended or to live on.
    Reason.SUSPECTED: 2000,
    # A quarantined request is refused however long its caller waits.
    Reason.QUARANTINED: 0,
    Reason.QUARANTINED_PART: 0,
}
# The wait after a refusal for a reason that is not in `AFTER_REFUSAL_MS`, in ms.
DEFAULT_WAIT_MS: Final = 300


def full_engines_wait_ms(overdue_ms: float, random: Random) -> int:
    """
    The wait, in ms, of a caller that was refused because the engines are so full that the first
    token would have been late by `overdue_ms`.

    """
    late_ms = min(max(overdue_ms, 0.0), MAX_OVERDUE_WAIT_MS)
    return int(MIN_WAIT_MS + late_ms + random.random() * SPREAD_WAIT_MS)


def no_server_wait_ms(random: Random) -> int:
    """
    The wait, in ms, of a caller whose request no back end can serve.

    """
    return NO_SERVER_WAIT_MS + int(random.random() * NO_SERVER_SPREAD_MS)


def closed_wait_ms(closure: Closure, random: Random) -> int:
    """
    The wait, in ms, of a caller whose suitable back ends are all closed by their own signals:
    until the first of them, which has the given `closure`, opens. Only the end of a rest is
    announced. The wait for other closures has a lower maximum, as other back ends may start to
    serve, or another entry may be able to send the request.

    """
    max_ms = MAX_REST_MS if closure.closure_reason is ClosureReason.RESTING else NO_SERVER_WAIT_MS
    wait_ms = min(max(closure.opens_in_s * 1000, MIN_WAIT_MS), max_ms)
    return int(wait_ms + random.random() * SPREAD_WAIT_MS)


def refusal_wait_ms(reason: Reason) -> int:
    """
    The wait of a caller after a refusal for the given reason alone, in ms.

    """
    return AFTER_REFUSAL_MS.get(reason, DEFAULT_WAIT_MS)
