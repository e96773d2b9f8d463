"""
The maximum of values and the rate of events over a sliding window of time.

"""

from collections import deque
from typing import Final

# Retry budgets and the limits of back ends are divided by the greatest number of entries (front
# proxies) that a replica or entry has counted within this time (in seconds). So an entry without
# contact with a majority of the replicas still counts the other entries. After a loss of power a
# zone's machines return within minutes, and regions lose contact with each other for about as long.
ENTRIES_REMEMBERED_S: Final = 600.0


class WindowMax:
    """
    The maximum of the values added within the last `window_s` seconds.

    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        # Times and values, oldest first, of the values that are or may become the maximum; the
        # values decrease.
        self.candidates: deque[tuple[float, int]] = deque()

    @property
    def maximum(self) -> int:
        """
        The maximum as of the last `add`; 0 if there was none.

        """
        return self.candidates[0][1] if self.candidates else 0

    def add(self, value: int, now: float) -> int:
        """
        Add a value at the time `now` and return the maximum of the window that ends at `now`.

        """
        while self.candidates and self.candidates[-1][1] <= value:
            self.candidates.pop()
        self.candidates.append((now, value))
        while now - self.candidates[0][0] > self.window_s:
            self.candidates.popleft()
        return self.maximum


class RateLimit:
    """
    Allows at most `limit` events within any `window_s` seconds.

    """

    def __init__(self, limit: int, window_s: float) -> None:
        self.limit = limit
        self.window_s = window_s
        self.acquired_at: deque[float] = deque()

    def try_acquire(self, now: float) -> bool:
        """
        Count an event at the time `now` if the limit allows it; return whether it was counted.

        """
        while self.acquired_at and now - self.acquired_at[0] > self.window_s:
            self.acquired_at.popleft()
        if len(self.acquired_at) >= self.limit:
            return False
        self.acquired_at.append(now)
        return True
