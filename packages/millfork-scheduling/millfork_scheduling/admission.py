"""
Whether a request is worth sending to the engine that was chosen for it.

It answers lasting load near and above what the engines carry. There each request that is
served late holds a slot for as long as one in time would, and those that came back after
a refusal are late already: sent alike, they fill the engines, and nobody is in time.

"""

from dataclasses import dataclass
from typing import Final

# Of the time left for the first token, what a prediction may take. The rest is for the way
# and for what reports 0.15 s to 0.3 s old can't tell.
FIRST_TOKEN_SHARE: Final = 0.75
# What would be late goes only to an engine with fewer of its slots taken than this share;
# the rest is kept for those who can be in time.
LATE_MAX_OCCUPIED_SHARE: Final = 0.75


@dataclass(frozen=True, slots=True)
class StartEstimate:
    """
    What is expected of a request at an engine: the time to its first token and the time
    left in which one is wanted (ms; none left: below 0), the requests there and its slots,
    and how old what is known of them is, in ms (infinity: nothing was told).

    """

    expected_ms: float
    remaining_ms: float
    occupied: int
    slots: int
    load_age_ms: float = float('inf')


NO_START_ESTIMATE: Final = StartEstimate(0.0, 0.0, 0, 0)


def overdue_ms(start_estimate: StartEstimate) -> float:
    """
    By how much the first token is expected too late, in ms; 0 or less: in time.

    """
    return start_estimate.expected_ms - max(start_estimate.remaining_ms, 0.0) * FIRST_TOKEN_SHARE


def is_worth_sending(start_estimate: StartEstimate) -> bool:
    """
    Whether it would be in time, or takes a slot that nobody in time is likely to want.

    """
    if overdue_ms(start_estimate) <= 0:
        return True
    return start_estimate.occupied < start_estimate.slots * LATE_MAX_OCCUPIED_SHARE


def depends_on_first_try(start_estimate: StartEstimate) -> bool:
    """
    Whether it is sent if it is a first try, as the prospect takes it, and is not if its
    caller was turned away before.

    """
    if overdue_ms(start_estimate) > 0:
        return False
    return start_estimate.occupied >= start_estimate.slots * LATE_MAX_OCCUPIED_SHARE
