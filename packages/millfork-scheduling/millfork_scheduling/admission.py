"""
Whether a request is worth sending to the engine that was chosen for it.

It answers lasting load near and above what the engines carry. There each request that is
served late holds a slot for as long as one in time would, and those that came back after
a refusal are late already: sent alike, they fill the engines, and nobody is in time.

"""

from dataclasses import dataclass
from typing import Final

# Of the time left for the first token, what a prediction may take. The rest is for the way
# and for what reports 0.15 s to 0.3 s old can't tell, which is more where many entries
# choose alike: so the share is learned from how many of those that were to be in time came
# late. It holds still where one in twenty does. Model at 1.2 times the capacity, in time:
# 0.71 (six engines) and 0.62 (23) with it, 0.67 and 0.42 with 0.75 for all.
FIRST_SHARE: Final = 0.75
LEAST_SHARE: Final = 0.4
MOST_SHARE: Final = 0.9
RAISED_IN_TIME: Final = 0.004
LOWERED_WHEN_LATE: Final = 0.076
# What would be late goes only to an engine with at most this share of its slots taken;
# the rest is kept for those who can be in time. Model, 1.2 times the capacity: 0.74 in
# time, 0.07 where they take any slot.
LATE_SHARE: Final = 0.75


@dataclass(frozen=True, slots=True)
class Prospect:
    """
    What is expected of a request at an engine: the time to its first token and the time
    left in which one is wanted (ms; none left: below 0), the requests there and its slots.

    """

    expected_ms: float
    left_ms: float
    occupied: int
    slots: int


NO_PROSPECT: Final = Prospect(0.0, 0.0, 0, 0)


class Confidence:
    """
    How much of the time left a prediction may take, by what came of earlier ones.

    """

    def __init__(self) -> None:
        self.share = FIRST_SHARE

    def note(self, in_time: bool) -> None:
        """
        Take what came of a request that was expected to be in time.

        """
        step = RAISED_IN_TIME if in_time else -LOWERED_WHEN_LATE
        self.share = min(max(self.share + step, LEAST_SHARE), MOST_SHARE)


def overdue_ms(prospect: Prospect, share: float) -> float:
    """
    By how much the first token is expected too late, in ms; 0 or less: in time. `share`
    is how much of the time left a prediction may take.

    """
    return prospect.expected_ms - max(prospect.left_ms, 0.0) * share


def is_worth_sending(prospect: Prospect, share: float) -> bool:
    """
    Whether it would be in time, or takes a slot that nobody in time is likely to want.

    """
    if overdue_ms(prospect, share) <= 0:
        return True
    return prospect.occupied < prospect.slots * LATE_SHARE
