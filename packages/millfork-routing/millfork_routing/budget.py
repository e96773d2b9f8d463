"""
The budget of repeats that all entries share, without talking about it.

Each entry may send its part: a ratio of its own requests, and an equal part
of the fixed allowance. The parts sum to less than the whole, so that entries
that come and go, or count late, do not exceed it.

"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from millfork_core.ids import ServiceName

# Of the whole budget; the rest is for entries whose number others learn late.
USED_SHARE: Final = 0.7


@dataclass(slots=True)
class _Window:
    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)


@dataclass(frozen=True, slots=True)
class BudgetPart:
    """
    One entry's part for a service: repeats sent and requests within the window, the
    repeats allowed, and the number of entries that the fixed allowance was divided by.

    """

    spent: int
    requests: int
    allowed: float
    entries: int


class SharedBudget:
    """
    One entry's part of the budget, for each service.

    """

    def __init__(
        self,
        ratio: float,
        slack: int,
        window_s: float,
        entries: Callable[[], int],
        monotonic: Callable[[], float],
    ) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.entries = entries
        self.monotonic = monotonic
        self.windows: dict[ServiceName, _Window] = {}

    def note_request(self, service: ServiceName) -> None:
        """
        Count the first sending of a request.

        """
        window = self._window(service)
        window.requests.append(self.monotonic())

    def spend(self, service: ServiceName) -> bool:
        """
        Take one repeat, if there is one left.

        """
        part = self.part(service)
        if part.spent + 1 > part.allowed:
            return False
        self.windows[service].repeats.append(self.monotonic())
        return True

    def part(self, service: ServiceName) -> BudgetPart:
        """
        This entry's part as it is now.

        """
        window = self._window(service)
        entries = max(self.entries(), 1)
        allowed = self.ratio * len(window.requests) + self.slack / entries
        return BudgetPart(len(window.repeats), len(window.requests), USED_SHARE * allowed, entries)

    def _window(self, service: ServiceName) -> _Window:
        window = self.windows.setdefault(service, _Window())
        since = self.monotonic() - self.window_s
        for times in (window.requests, window.repeats):
            while times and times[0] < since:
                times.popleft()
        return window
