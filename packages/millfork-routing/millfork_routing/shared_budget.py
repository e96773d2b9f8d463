"""
The budget of retries that all entries share without communicating about it.

Each entry may use its share: a ratio of its own requests, and an equal share of the fixed
allowance. The shares sum to less than the whole budget, even if entries know little of each
other:

- The previous process of an entry may have just spent the entry's share. So in its first window
  a process gets only a small part of the ratio and none of the fixed allowance.
- The allowance is divided by the highest recent number of entries, as entries that restart or are
  out of reach in a partition still use their shares.
- An entry has no share of the allowance until its replica has been in contact with a majority of
  the replicas for a whole window. Only one side of a partition has that contact, so the two sides
  can't both divide the whole allowance by the entries that they see. Without this rule, two
  halves of 40 entries that all started during a partition sent 320 retries; 272 were allowed.

Without these rules, 40 entries that were killed three times in 10 s sent 844 retries, while
servers turned four of five requests away; 736 were allowed.

"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from millfork_core.ids import ServiceName
from millfork_core.windows import ENTRIES_REMEMBERED_S, WindowMax

# The entries together use this share of the whole budget. The rest covers entries that were just
# added, and retries that arrive late and so count in the back end's next window.
USED_SHARE: Final = 0.7
# The share of the ratio that a process uses in its first window. The entry's previous process may
# have spent `USED_SHARE` in the same window; both together stay below the whole ratio.
FIRST_WINDOW_SHARE: Final = 0.2


@dataclass(slots=True)
class _Window:
    """
    When a service's requests and retries within the last window were sent (monotonic seconds).

    """

    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


@dataclass(frozen=True, slots=True)
class BudgetShare:
    """
    One entry's share of the budget for a service: the retries `spent` and the `requests` within
    the window, the retries `allowed`, and the number of `entries` that the fixed allowance was
    divided by (0: this process has no share of the allowance).

    """

    spent: int
    requests: int
    allowed: float
    entries: int


def assume_no_quorum() -> bool:
    """
    The default of `has_quorum`: the entry's replica is never known to be in contact with a
    majority of the replicas.

    """
    return False


class SharedBudget:
    """
    Limits one entry's retries to its share of the budget: for each service, a part of `ratio` times
    its requests within `window_s` seconds, and its part of the fixed allowance `slack`.

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
        has_quorum: Callable[[], bool] = assume_no_quorum,
    ) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.entries = entries
        self.monotonic = monotonic
        self.has_quorum = has_quorum
        self.started_at = monotonic()
        # Since when the entry's replica has been in contact with a majority of the replicas; None
        # without contact. Once the contact has lasted a whole window, losing it no longer resets
        # this to None.
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
        This entry's present share of the budget for a service.

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
        Return the highest recent number of entries. Must be called regularly: while there is a
        quorum, it records the number known now, so that entries that go out of reach later are
        still counted.

        """
        now = self.monotonic()
        entries = max(self.entries(), 1)
        if not self.has_quorum():
            if not self._knows_all_entries():
                self.quorum_since = None
            # While a partition lasts, the entries on its other side use their shares of the
            # allowance, so the numbers recorded before must not expire.
            return max(self.peak_entries.maximum, entries)
        if self.quorum_since is None:
            self.quorum_since = now
        return self.peak_entries.add(entries, now)

    def _knows_all_entries(self) -> bool:
        """
        Whether this entry knows all entries that use the fixed allowance: its replica has been in
        contact with a majority for a whole window.

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
