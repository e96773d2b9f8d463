"""
The budget of repeats that all entries share, without talking about it.

Each entry may send its part: a ratio of its own requests, and an equal part
of the fixed allowance. The parts sum to less than the whole, also where entries
know little of each other:

- The process before this one may have spent the part of this entry, so a process
  has little of the ratio and none of the fixed allowance in its first window.
- The allowance is divided by the most entries known lately: those that can't be
  seen now, behind a cut or because they start again, draw on it all the same.
- An entry has none of the allowance before it was in touch with a majority of the
  replicas for a whole window. Only one side of a cut is, so the sides can't both divide
  the whole allowance by the entries that they see: two halves of 40 entries, all begun
  during a cut, sent 320 repeats of 272 allowed.

Without these, 40 entries that were killed three times in 10 s sent 844 repeats of
736 allowed, while servers turned four of five requests away.

"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from millfork_core.ids import ServiceName
from millfork_core.windows import ENTRIES_REMEMBERED_S, MostLately

# Of the whole budget; the rest is for entries that were just added, and for sends that
# reach their back end later than others, within one window.
USED_SHARE: Final = 0.7
# Of the ratio, in a process's first window: the one before it may have spent the share
# above in the same window, and both together are less than the whole.
FIRST_WINDOW_SHARE: Final = 0.2


@dataclass(slots=True)
class _Window:
    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)


@dataclass(frozen=True, slots=True)
class BudgetShare:
    """
    One entry's part for a service: repeats sent and requests within the window, the
    repeats allowed, and the number of entries that the fixed allowance was divided by (0:
    this process has none of it).

    """

    spent: int
    requests: int
    allowed: float
    entries: int


def without_quorum() -> bool:
    """
    The case of an entry that knows nothing of a majority of the replicas.

    """
    return False


class SharedBudget:
    """
    One entry's part of the budget, for each service.

    `entries` tells how many entries there are as far as a replica knows, `has_quorum`
    whether that replica is in touch with a majority of them now.

    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        entries: Callable[[], int],
        monotonic: Callable[[], float],
        has_quorum: Callable[[], bool] = without_quorum,
    ) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.entries = entries
        self.monotonic = monotonic
        self.has_quorum = has_quorum
        self.began = monotonic()
        # Since when it has been in touch; once that was a whole window, a loss of touch
        # no longer changes it.
        self.quorum_since: float | None = None
        self.most_entries = MostLately(ENTRIES_REMEMBERED_S)
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
        part = self.current_share(service)
        if part.spent + 1 > part.allowed:
            return False
        self.windows[service].repeats.append(self.monotonic())
        return True

    def current_share(self, service: ServiceName) -> BudgetShare:
        """
        This entry's part as it is now.

        """
        window = self._window(service)
        entries = self.count_entries()
        allowed = self.ratio * len(window.requests)
        if self.monotonic() - self.began < self.window_s:
            allowed *= FIRST_WINDOW_SHARE
        else:
            allowed *= USED_SHARE
        if self._knows_all_entries():
            allowed += USED_SHARE * self.slack / entries
        else:
            entries = 0
        return BudgetShare(len(window.repeats), len(window.requests), allowed, entries)

    def count_entries(self) -> int:
        """
        The most entries known lately; to be called now and then, so that those are
        remembered that can't be seen any more.

        """
        now = self.monotonic()
        entries = max(self.entries(), 1)
        if not self.has_quorum():
            if not self._knows_all_entries():
                self.quorum_since = None
            # Those behind the cut draw on the allowance for as long as it lasts.
            return max(self.most_entries.most, entries)
        if self.quorum_since is None:
            self.quorum_since = now
        return self.most_entries.note(entries, now)

    def _knows_all_entries(self) -> bool:
        """
        Whether this entry knows of all that draw on the fixed allowance.

        """
        since = self.quorum_since
        return since is not None and self.monotonic() - since >= self.window_s

    def _window(self, service: ServiceName) -> _Window:
        window = self.windows.setdefault(service, _Window())
        since = self.monotonic() - self.window_s
        for times in (window.requests, window.repeats):
            while times and times[0] < since:
                times.popleft()
        return window
