"""
Figures over a window of time.

"""

from collections import deque
from typing import Final

# Entries count for so long after they were last seen, in seconds, at replicas and at each
# other (there: of touch with a majority of the replicas): a zone's machines come back within
# minutes of a loss of power, and regions lose each other for as long.
ENTRIES_REMEMBERED_S: Final = 600.0


class WindowMax:
    """
    The highest of the numbers seen within a time, in seconds.

    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        # Falling numbers, and when each was last seen.
        self.seen: deque[tuple[float, int]] = deque()

    @property
    def maximum(self) -> int:
        """
        The highest as of the last `note`; 0 if there was none.

        """
        return self.seen[0][1] if self.seen else 0

    def add(self, number: int, now: float) -> int:
        """
        Take the number as it is now; returns the highest.

        """
        while self.seen and self.seen[-1][1] <= number:
            self.seen.pop()
        self.seen.append((now, number))
        while now - self.seen[0][0] > self.window_s:
            self.seen.popleft()
        return self.maximum


class RateLimit:
    """
    So many of something within any time, in seconds, and no more.

    """

    def __init__(self, limit: int, window_s: float) -> None:
        self.limit = limit
        self.window_s = window_s
        self.acquired_at: deque[float] = deque()

    def try_acquire(self, now: float) -> bool:
        """
        Take one, if one is left.

        """
        while self.acquired_at and now - self.acquired_at[0] > self.window_s:
            self.acquired_at.popleft()
        if len(self.acquired_at) >= self.limit:
            return False
        self.acquired_at.append(now)
        return True
