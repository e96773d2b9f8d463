"""
The budget of retries that all entries share without communicating about it.

Each entry may use its share: a ratio of its own requests, and an equal share of the fixed
allowance. The shares sum to less than the whole budget, even if entries know little of each
other:

- The previous process of this entry may have spent the entry's share, so in its first window a
  process has little of the ratio and none of the fixed allowance.
- The allowance is divided by the highest recent number of entries: entries that are
  partitioned off or restarting use their share of it nevertheless.
- An entry has no share of the allowance until it was in contact with a majority of the replicas
  for a whole window. Only one side of a partition has that contact, so the two sides can't both
  divide the whole allowance by the entries that they see. Without this rule, two halves of 40
  entries that all started during a partition sent 320 retries of 272 allowed.

Without these rules, 40 entries that were killed three times in 10 s sent 844 retries of 736
allowed, while servers turned four of five requests away.

"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from millfork_core.ids import ServiceName
from millfork_core.windows import ENTRIES_REMEMBERED_S, WindowMax

# The share of the whole budget that is used. The rest covers entries that were just added, and
# sends that reach their back end later than others within one window.
USED_SHARE: Final = 0.7
# The share of the ratio that is used in a process's first window. The previous process may have
# spent `USED_SHARE` in the same window; both together stay below the whole.
FIRST_WINDOW_SHARE: Final = 0.2


@dataclass(slots=True)
class _Window:
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


@dataclass(frozen=True, slots=True)
class BudgetShare:
    """
    One entry's share of the budget for a service: retries sent and requests within the window,
    the retries allowed, and the number of entries that the fixed allowance was divided by (0:
    this process has no share of it).

    """

    spent: int
    requests: int
    allowed: float
    entries: int


def without_quorum() -> bool:
    """
    The default for entries that don't know whether they reach a majority of the replicas.

    """
    return False


class SharedBudget:
    """
    One entry's share of the budget, for each service: `ratio` of its requests within `window_s`
    seconds, and its part of `slack`, the fixed allowance.

    `entries` returns the number of entries known to the entry's replica, `has_quorum` whether
    that replica is in contact with a majority of the replicas now.

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
        self.started_at = monotonic()
        # Since when there has been contact with a majority. Once that has lasted a whole window,
        # a loss of contact no longer resets it.
        self.quorum_since: float | None = None
        self.peak_entries = WindowMax(ENTRIES_REMEMBERED_S)
        self.windows: dict[ServiceName, _Window] = {}

    def record_request(self, service: ServiceName) -> None:
        """
        Count a request when it is sent for the first time.

        """
        self.count_entries()
        window = self._window(service)
        window.requests.append(self.monotonic())

    def spend(self, service: ServiceName) -> bool:
        """
        Take one retry from the budget; returns False if none is left.

        """
        share = self.current_share(service)
        if share.spent + 1 > share.allowed:
            return False
        self.windows[service].retries.append(self.monotonic())
        return True

    def current_share(self, service: ServiceName) -> BudgetShare:
        """
        This entry's present share for a service.

        """
        window = self._window(service)
        entries = self.count_entries()
        allowed = self.ratio * len(window.requests)
        if self.monotonic() - self.started_at < self.window_s:
            allowed *= FIRST_WINDOW_SHARE
        else:
            allowed *= USED_SHARE
        if self._knows_all_entries():
            allowed += USED_SHARE * self.slack / entries
        else:
            entries = 0
        return BudgetShare(len(window.retries), len(window.requests), allowed, entries)

    def count_entries(self) -> int:
        """
        The highest recent number of entries. This method must be called regularly, so that
        entries that are out of reach now are remembered.

        """
        now = self.monotonic()
        entries = max(self.entries(), 1)
        if not self.has_quorum():
            if not self._knows_all_entries():
                self.quorum_since = None
            # Entries behind the partition use the allowance for as long as it lasts.
            return max(self.peak_entries.maximum, entries)
        if self.quorum_since is None:
            self.quorum_since = now
        return self.peak_entries.add(entries, now)

    def _knows_all_entries(self) -> bool:
        """
        Whether this entry knows all entries that use the fixed allowance.

        """
        since = self.quorum_since
        return since is not None and self.monotonic() - since >= self.window_s

    def _window(self, service: ServiceName) -> _Window:
        window = self.windows.setdefault(service, _Window())
        since = self.monotonic() - self.window_s
        for times in (window.requests, window.retries):
            while times and times[0] < since:
                times.popleft()
        return window
