"""
The requests that were turned away lately, by what they say.

It answers callers that come back to another entry than the one that turned them away,
with a new request id and, on some fleets, with times that tell nothing.

"""

from typing import Final

# As long as a caller comes back, and some: they wait 6 s.
REMEMBERED_S: Final = 8.0
# A hundred bytes each. At the two-year size a zone of 35 entries turns away 300 a second
# when one request in ten is; this keeps ten times as many.
MAX_REMEMBERED: Final = 25_000


class TurnedAwayRequests:
    """
    When each was first tried, in monotonic seconds; the ones noted last come last.

    """

    def __init__(self) -> None:
        self.first_tried: dict[bytes, float] = {}
        self.noted_at: dict[bytes, float] = {}

    def note(self, fingerprint: bytes, elapsed_ms: int, now: float) -> None:
        """
        A request was turned away so long after its first try.

        """
        self._forget_old(now)
        first = now - elapsed_ms / 1000
        known = self.first_tried.pop(fingerprint, first)
        self.noted_at.pop(fingerprint, None)
        self.first_tried[fingerprint] = min(first, known)
        self.noted_at[fingerprint] = now

    def elapsed_ms(self, fingerprint: bytes, now: float) -> int | None:
        """
        Milliseconds since a request's first try; None if it was not turned away lately.

        """
        self._forget_old(now)
        first = self.first_tried.get(fingerprint)
        return int((now - first) * 1000) if first is not None else None

    def _forget_old(self, now: float) -> None:
        while self.noted_at:
            oldest = next(iter(self.noted_at))
            if now - self.noted_at[oldest] <= REMEMBERED_S and len(self.noted_at) < MAX_REMEMBERED:
                return
            del self.noted_at[oldest], self.first_tried[oldest]
