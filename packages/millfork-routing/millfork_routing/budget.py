"""
The budget of repeats that all entries share, without talking about it.

Each entry may send its part: a ratio of its own requests, and an equal part
of the fixed allowance. The parts sum to less than the whole, also where entries
know little of each other:

- The process before this one may have spent the part of this entry, so a process
  has little of the ratio and none of the fixed allowance in its first window.
- The allowance is divided by the most entries known lately: those that can't be
  seen now, behind a cut or because they start again, draw on it all the same.

Without these, 40 entries that were killed three times in 10 s sent 844 repeats of
736 allowed, while servers turned four of five requests away.

"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from millfork_core.ids import ServiceName

# Of the whole budget; the rest is for entries that were just added, and for sends that
# reach their back end later than others, within one window.
USED_SHARE: Final = 0.7
# Of the ratio, in a process's first window: the one before it may have spent the share
# above in the same window, and both together are less than the whole.
FIRST_SHARE: Final = 0.2
# Entries count for so long after they were last seen, in seconds: regions lose each
# other for minutes.
ENTRIES_REMEMBERED_S: Final = 600.0


@dataclass(slots=True)
class _Window:
    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)


@dataclass(frozen=True, slots=True)
class BudgetPart:
    """
    One entry's part for a service: repeats sent and requests within the window, the
    repeats allowed, and the number of entries that the fixed allowance was divided by (0:
    this process has none of it yet).

    """

    spent: int
    requests: int
    allowed: float
    entries: int


class _MostLately:
    """
    The highest of the numbers seen within a time.

    """

    def __init__(self, within_s: float) -> None:
        self.within_s = within_s
        # Falling numbers, and when each was last seen.
        self.seen: deque[tuple[float, int]] = deque()

    def note(self, number: int, now: float) -> int:
        """
        Take the number as it is now; returns the highest.

        """
        while self.seen and self.seen[-1][1] <= number:
            self.seen.pop()
        self.seen.append((now, number))
        while now - self.seen[0][0] > self.within_s:
            self.seen.popleft()
        return self.seen[0][1]


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
        self.began = monotonic()
        self.most_entries = _MostLately(ENTRIES_REMEMBERED_S)
        self.windows: dict[ServiceName, _Window] = {}

    def note_request(self, service: ServiceName) -> None:
        """
        Count the first sending of a request.

        """
        self.count_entries()
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
        entries = self.count_entries()
        allowed = self.ratio * len(window.requests)
        if self.monotonic() - self.began < self.window_s:
            return BudgetPart(len(window.repeats), len(window.requests), FIRST_SHARE * allowed, 0)
        allowed += self.slack / entries
        return BudgetPart(len(window.repeats), len(window.requests), USED_SHARE * allowed, entries)

    def count_entries(self) -> int:
        """
        The most entries known lately; to be called now and then, so that those are
        remembered that can't be seen any more.

        """
        return self.most_entries.note(max(self.entries(), 1), self.monotonic())

    def _window(self, service: ServiceName) -> _Window:
        window = self.windows.setdefault(service, _Window())
        since = self.monotonic() - self.window_s
        for times in (window.requests, window.repeats):
            while times and times[0] < since:
                times.popleft()
        return window
