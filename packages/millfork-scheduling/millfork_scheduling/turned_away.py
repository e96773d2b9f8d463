"""
A record of the requests that were turned away recently, by the fingerprint of their content.
Entries use it to recognise retries.

A caller may retry at another entry than the one that turned it away. A retry has a new request id,
and on some fleets its deadline doesn't show that the request was turned away before.

"""

from typing import Final

# How long a request is remembered: slightly longer than callers keep retrying, which is 6 s.
REMEMBERED_S: Final = 8.0
# At most this many requests are remembered, at about 100 bytes each. At the size planned for two
# years ahead, a zone of 35 entries that rejects one request in ten turns away 300 a second, so
# 2,400 within `REMEMBERED_S`; this is about ten times as many.
MAX_REMEMBERED: Final = 25_000


class TurnedAwayRequests:
    """
    When each recently turned away request was first tried (monotonic seconds), in the order in
    which the requests were last turned away.

    """

    def __init__(self) -> None:
        self.first_tried_at: dict[bytes, float] = {}
        self.recorded_at: dict[bytes, float] = {}

    def record(self, fingerprint: bytes, elapsed_ms: int, now: float) -> None:
        """
        Record that a request was turned away now, `elapsed_ms` after its first try.

        """
        self._evict_old(now)
        first = now - elapsed_ms / 1000
        known = self.first_tried_at.pop(fingerprint, first)
        self.recorded_at.pop(fingerprint, None)
        self.first_tried_at[fingerprint] = min(first, known)
        self.recorded_at[fingerprint] = now

    def elapsed_ms(self, fingerprint: bytes, now: float) -> int | None:
        """
        The time since a request's first try, in ms; None if it was not turned away recently.

        """
        self._evict_old(now)
        first = self.first_tried_at.get(fingerprint)
        return int((now - first) * 1000) if first is not None else None

    def _evict_old(self, now: float) -> None:
        while self.recorded_at:
            oldest = next(iter(self.recorded_at))
            if (
                now - self.recorded_at[oldest] <= REMEMBERED_S
                and len(self.recorded_at) < MAX_REMEMBERED
            ):
                return
            del self.recorded_at[oldest], self.first_tried_at[oldest]
