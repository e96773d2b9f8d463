"""
Whether an attempt may be followed by another.

"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from millfork_core.ids import OrganisationId
from millfork_core.verdicts import Reason, Refusal, Verdict

WINDOW_S: Final = 10.0

# Refusals of a single endpoint, which another may not share.
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
    began: float
    requests: int = 0
    retries: int = 0


class RetryBudget:
    """
    Retries allowed for each organisation and service: a floor for each
    window of ten seconds, plus a ratio of the requests.

    """

    def __init__(self, ratio: float, floor: int, monotonic: Callable[[], float]) -> None:
        self.ratio = ratio
        self.floor = floor
        self.monotonic = monotonic
        self.windows: dict[tuple[OrganisationId, str], _Window] = {}

    def _window(self, organisation: OrganisationId, service: str) -> _Window:
        now = self.monotonic()
        window = self.windows.get((organisation, service))
        if window is None or now - window.began > WINDOW_S:
            window = _Window(now)
            self.windows[(organisation, service)] = window
        return window

    def note_request(self, organisation: OrganisationId, service: str) -> None:
        """
        A first attempt earns a part of a retry.

        """
        self._window(organisation, service).requests += 1

    def spend(self, organisation: OrganisationId, service: str) -> bool:
        """
        Take one retry from the budget, if there is one.

        """
        window = self._window(organisation, service)
        if window.retries + 1 > self.floor + self.ratio * window.requests:
            return False
        window.retries += 1
        return True


def may_retry(refusal: Refusal, repeatable: bool) -> bool:
    """
    Whether the verdict allows another attempt: always where the request did
    not run, else only if it may be repeated.

    """
    if refusal.reason not in RETRIABLE_REASONS:
        return False
    return refusal.verdict is Verdict.NOT_RUN or repeatable
