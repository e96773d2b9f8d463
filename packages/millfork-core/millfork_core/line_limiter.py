"""
Limits how often a log line about a recurring event is written.

"""

from collections import Counter
from collections.abc import Hashable
from typing import Final

LOG_PERIOD_S: Final = 1.0


class LineLimiter:
    """
    Counts events by key, and allows at most one line for each key in `period_s` seconds.

    """

    def __init__(self, period_s: float = LOG_PERIOD_S) -> None:
        self.period_s = period_s
        # By key: when a line was last written (monotonic seconds).
        self.logged_at: dict[Hashable, float] = {}
        self.unlogged: Counter[Hashable] = Counter()

    def count(self, key: Hashable, now: float) -> int:
        """
        Count one event. If a line may be written, return the number of events since the last line,
        else 0.

        """
        self.unlogged[key] += 1
        if now - self.logged_at.get(key, float('-inf')) < self.period_s:
            return 0
        self.logged_at[key] = now
        return self.unlogged.pop(key)
