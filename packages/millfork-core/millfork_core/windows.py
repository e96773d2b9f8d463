"""
Figures over a window of time.

"""

from collections import deque
from typing import Final

# Entries count for so long after they were last seen, in seconds, at replicas and at each
# other (there: of touch with a majority of the replicas): a zone's machines come back within
# minutes of a loss of power, and regions lose each other for as long.
ENTRIES_REMEMBERED_S: Final = 600.0


class MostLately:
    """
    The highest of the numbers seen within a time, in seconds.

    """

    def __init__(self, within_s: float) -> None:
        self.within_s = within_s
        # Falling numbers, and when each was last seen.
        self.seen: deque[tuple[float, int]] = deque()

    @property
    def most(self) -> int:
        """
        The highest as of the last `note`; 0 if there was none.

        """
        return self.seen[0][1] if self.seen else 0

    def note(self, number: int, now: float) -> int:
        """
        Take the number as it is now; returns the highest.

        """
        while self.seen and self.seen[-1][1] <= number:
            self.seen.pop()
        self.seen.append((now, number))
        while now - self.seen[0][0] > self.within_s:
            self.seen.popleft()
        return self.most


class Allowance:
    """
    So many of something within any time, in seconds, and no more.

    """

    def __init__(self, most: int, within_s: float) -> None:
        self.most = most
        self.within_s = within_s
        self.spent_at: deque[float] = deque()

    def spend(self, now: float) -> bool:
        """
        Take one, if one is left.

        """
        while self.spent_at and now - self.spent_at[0] > self.within_s:
            self.spent_at.popleft()
        if len(self.spent_at) >= self.most:
            return False
        self.spent_at.append(now)
        return True
