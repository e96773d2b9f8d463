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
# choose alike. Model of 23 engines at 1.2 times their capacity: 0.57 in time, 0.43 with
# 0.75.
FIRST_SHARE: Final = 0.6
# What would be late takes any slot that is free, but for a part of them that is kept for
# those who can be in time. That part grows with the pressure, the share of first tries
# that full engines kept from being in time lately. Model of 6 engines at 1.2 times their
# capacity: 0.73 in time, 0.43 where it takes any free slot, 0.06 where it queues.
KEPT_BY_PRESSURE: Final = 3.0
LEAST_LATE_SHARE: Final = 0.4
# One first try's weight in the pressure: an entry sees some ten a second.
PRESSURE_WEIGHT: Final = 0.1


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

    @property
    def full(self) -> bool:
        """
        Whether all slots are taken.

        """
        return self.occupied >= self.slots


NO_PROSPECT: Final = Prospect(0.0, 0.0, 0, 0)


class Pressure:
    """
    The share of first tries that full engines kept from being in time, lately.

    """

    def __init__(self) -> None:
        self.level = 0.0

    def note(self, kept: bool) -> None:
        """
        Take one first try: whether full engines kept it from being in time.

        """
        self.level += PRESSURE_WEIGHT * (float(kept) - self.level)

    @property
    def late_share(self) -> float:
        """
        The share of an engine's slots that what would be late may take.

        """
        return max(1.0 - KEPT_BY_PRESSURE * self.level, LEAST_LATE_SHARE)


def overdue_ms(prospect: Prospect) -> float:
    """
    By how much the first token is expected too late, in ms; 0 or less: in time.

    """
    return prospect.expected_ms - max(prospect.left_ms, 0.0) * FIRST_SHARE


def is_worth_sending(prospect: Prospect, pressure: Pressure) -> bool:
    """
    Whether it would be in time, or takes a slot that nobody in time is likely to want.

    """
    if overdue_ms(prospect) <= 0:
        return True
    return prospect.occupied < prospect.slots * pressure.late_share
