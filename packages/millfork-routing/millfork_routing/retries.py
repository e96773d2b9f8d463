"""
Whether a refused request may be retried, which depends on the reason of its refusal and on the
verdict (whether the request may have run), and the budget that limits the number of retries.

"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from millfork_core.ids import OrganisationId
from millfork_core.verdicts import Reason, Refusal, Verdict

# Requests and retries are counted in windows of this length.
WINDOW_S: Final = 10.0

# Reasons of a refusal that concern a single endpoint; another endpoint may accept the request.
RETRIABLE_REASONS: Final = frozenset(
    {
        Reason.UNREACHABLE,
        Reason.TIMED_OUT,
        Reason.BUSY,
        Reason.LEAVING,
        Reason.RESTING,
        Reason.NOT_SERVABLE,
        Reason.ENGINE_EMPTY,
        Reason.VERSION_MISMATCH,
        Reason.CONNECTION_LOST,
        Reason.BACKEND_FAILED,
        Reason.TRUNCATED,
    }
)


@dataclass(slots=True)
class _Window:
    started_at: float
    requests: int = 0
    retries: int = 0


class RetryBudget:
    """
    Limits the retries of each organisation at each service: in a window of `WINDOW_S`, to
    `floor` plus `ratio` times the number of requests in that window.

    """

    def __init__(self, ratio: float, floor: int, monotonic: Callable[[], float]) -> None:
        self.ratio = ratio
        self.floor = floor
        self.monotonic = monotonic
        self.windows: dict[tuple[OrganisationId, str], _Window] = {}

    def _window(self, organisation: OrganisationId, service: str) -> _Window:
        now = self.monotonic()
        window = self.windows.get((organisation, service))
        if window is None or now - window.started_at > WINDOW_S:
            window = _Window(now)
            self.windows[(organisation, service)] = window
        return window

    def record_request(self, organisation: OrganisationId, service: str) -> None:
        """
        Count a first attempt, which adds `ratio` to the allowed retries.

        """
        self._window(organisation, service).requests += 1

    def spend(self, organisation: OrganisationId, service: str) -> bool:
        """
        Take one retry from the budget; returns False if none is left.

        """
        window = self._window(organisation, service)
        if window.retries + 1 > self.floor + self.ratio * window.requests:
            return False
        window.retries += 1
        return True


def may_retry(refusal: Refusal, repeatable: bool) -> bool:
    """
    Whether a refused request may be sent again: the reason must be retriable, and the request
    must either not have run or be repeatable.

    """
    if refusal.reason not in RETRIABLE_REASONS:
        return False
    return refusal.verdict is Verdict.NOT_RUN or repeatable
