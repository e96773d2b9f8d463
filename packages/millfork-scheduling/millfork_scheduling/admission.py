"""
Whether a request is sent to the engine that was chosen for it, or refused.

A request is in time if its first token arrives within the target time of its route. A late
request holds a slot for as long as one that is in time, and requests that are retried after a
refusal are late already. If late requests were always sent under lasting load near or above
capacity, they would fill the engines and no request would be in time.

"""

from dataclasses import dataclass
from typing import Final

# A request counts as in time if its predicted time to the first token is at most this share of the
# time left until the target. The rest of that time covers the network, and changes of the load
# since the last reports, which are 0.15 s to 0.3 s old.
FIRST_TOKEN_SHARE: Final = 0.75
# A request that would be late is sent only to an engine with less than this share of its slots
# occupied; the other slots are kept for requests that can be in time.
LATE_MAX_OCCUPIED_SHARE: Final = 0.75


@dataclass(frozen=True, slots=True)
class StartEstimate:
    """
    When a request is expected to start at an engine, and the load of that engine.

    `expected_ms` is the expected time to the first token, `remaining_ms` the time left until the
    target (negative if the target has passed), `occupied` the number of requests at the engine,
    `slots` its number of slots, and `load_age_ms` the age of its last known load (infinity if no
    load is known).

    """

    expected_ms: float
    remaining_ms: float
    occupied: int
    slots: int
    load_age_ms: float = float('inf')


NO_START_ESTIMATE: Final = StartEstimate(0.0, 0.0, 0, 0)


def overdue_ms(start_estimate: StartEstimate) -> float:
    """
    By how much the expected time to the first token exceeds `FIRST_TOKEN_SHARE` of the time left
    until the target, in ms; 0 or less if the request would be in time. Once the target has
    passed, the time left counts as 0.

    """
    return start_estimate.expected_ms - max(start_estimate.remaining_ms, 0.0) * FIRST_TOKEN_SHARE


def is_worth_sending(start_estimate: StartEstimate) -> bool:
    """
    Whether the request would be in time, or the engine has slots to spare for late requests.

    """
    if overdue_ms(start_estimate) <= 0:
        return True
    return start_estimate.occupied < start_estimate.slots * LATE_MAX_OCCUPIED_SHARE


def depends_on_first_try(start_estimate: StartEstimate) -> bool:
    """
    Whether the decision to send the request depends on whether the request is its caller's first
    try: as a first try, which the estimate assumes, it would be in time; as a retry it may be late,
    and the engine has no slots to spare for late requests.

    """
    if overdue_ms(start_estimate) > 0:
        return False
    return start_estimate.occupied >= start_estimate.slots * LATE_MAX_OCCUPIED_SHARE
