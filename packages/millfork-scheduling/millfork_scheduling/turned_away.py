"""
The recently turned away requests, by fingerprint of their content.

A caller may retry at another entry than the one that turned it away, with a new request id
and, on some fleets, with a deadline that doesn't show that it was turned away before.

"""

from typing import Final

# Slightly longer than callers keep retrying, as they wait 6 s.
REMEMBERED_S: Final = 8.0
# About 100 bytes each. At the size planned for two years ahead, a zone of 35 entries that
# rejects one request in ten turns away 300 a second; this limit holds ten times as many.
MAX_REMEMBERED: Final = 25_000


class TurnedAwayRequests:
    """
    When each request was first tried, in monotonic seconds, ordered by when it was last recorded.

    """

    def __init__(self) -> None:
        self.first_tried: dict[bytes, float] = {}
        self.recorded_at: dict[bytes, float] = {}

    def record(self, fingerprint: bytes, elapsed_ms: int, now: float) -> None:
        """
        Record a request that was turned away `elapsed_ms` after its first try.

        """
        self._forget_old(now)
        first = now - elapsed_ms / 1000
        known = self.first_tried.pop(fingerprint, first)
        self.recorded_at.pop(fingerprint, None)
        self.first_tried[fingerprint] = min(first, known)
        self.recorded_at[fingerprint] = now

    def elapsed_ms(self, fingerprint: bytes, now: float) -> int | None:
        """
        The time since a request's first try, in ms; None if it was not turned away recently.

        """
        self._forget_old(now)
        first = self.first_tried.get(fingerprint)
        return int((now - first) * 1000) if first is not None else None

    def _forget_old(self, now: float) -> None:
        while self.recorded_at:
            oldest = next(iter(self.recorded_at))
            if (
                now - self.recorded_at[oldest] <= REMEMBERED_S
                and len(self.recorded_at) < MAX_REMEMBERED
            ):
                return
            del self.recorded_at[oldest], self.first_tried[oldest]
