"""
Verdicts and reasons: whether a request may have run on a back end, and why it was refused.

"""

from dataclasses import dataclass
from enum import Enum
from typing import Final


class Verdict(Enum):
    """
    Whether a request may have run on a back end.

    """

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'


class Reason(Enum):
    """
    Why a request was refused or an attempt was retried. Metrics count each reason separately.

    """

    BAD_REQUEST = 'bad_request'
    REQUEST_TIMEOUT = 'request_timeout'
    TOO_LARGE = 'too_large'
    BODY_MEMORY = 'body_memory'
    UNAUTHENTICATED = 'unauthenticated'
    NOT_FOUND = 'not_found'
    NOT_READY = 'not_ready'
    OUTDATED = 'outdated'
    NO_ENDPOINT = 'no_endpoint'
    UNREACHABLE = 'unreachable'
    TIMED_OUT = 'timed_out'
    BUSY = 'busy'
    OVER_SHARE = 'over_share'
    LEAVING = 'leaving'
    RESTING = 'resting'
    LIMITED = 'limited'
    COLD = 'cold'
    EVACUATED = 'evacuated'
    OUT_OF_REGION = 'out_of_region'
    NOT_SERVABLE = 'not_servable'
    ENGINE_EMPTY = 'engine_empty'
    VERSION_MISMATCH = 'version_mismatch'
    CONNECTION_LOST = 'connection_lost'
    SUPERSEDED = 'superseded'
    BACKEND_FAILED = 'backend_failed'
    TRUNCATED = 'truncated'
    INVALID_ANSWER = 'invalid_answer'
    EXPIRED = 'expired'
    RETRY_BUDGET = 'retry_budget'
    SUSPECTED = 'suspected'
    QUARANTINED = 'quarantined'
    QUARANTINED_PART = 'quarantined_part'
    KEY_IN_PROGRESS = 'key_in_progress'
    KEY_REUSED = 'key_reused'
    KEY_MAY_HAVE_RUN = 'key_may_have_run'
    CLAIM_UNAVAILABLE = 'claim_unavailable'
    STOPPING = 'stopping'
    CONFLICT = 'conflict'
    FORBIDDEN = 'forbidden'
    NO_QUORUM = 'no_quorum'
    INVALID = 'invalid'
    INTERNAL = 'internal'


HTTP_STATUS: Final[dict[Reason, int]] = {
    Reason.BAD_REQUEST: 400,
    Reason.REQUEST_TIMEOUT: 408,
    Reason.INVALID: 422,
    Reason.TOO_LARGE: 413,
    Reason.UNAUTHENTICATED: 401,
    Reason.FORBIDDEN: 403,
    Reason.NOT_FOUND: 404,
    Reason.CONFLICT: 409,
    Reason.KEY_IN_PROGRESS: 409,
    Reason.KEY_MAY_HAVE_RUN: 409,
    Reason.KEY_REUSED: 422,
    Reason.OVER_SHARE: 429,
    Reason.INTERNAL: 500,
    Reason.TIMED_OUT: 504,
    Reason.CONNECTION_LOST: 502,
    Reason.SUPERSEDED: 502,
    Reason.BACKEND_FAILED: 502,
    Reason.TRUNCATED: 502,
    Reason.INVALID_ANSWER: 502,
    Reason.QUARANTINED: 502,
    Reason.QUARANTINED_PART: 502,
    Reason.VERSION_MISMATCH: 502,
}
DEFAULT_HTTP_STATUS: Final = 503
# By reason: the statuses of requests that may have run, where they differ. Clients repeat requests
# that were answered with 503.
MAY_HAVE_RUN_HTTP_STATUS: Final[dict[Reason, int]] = {Reason.STOPPING: 502}

# By reason: after how many milliseconds a caller may try again, if the component that refuses the
# request gives no time. Reasons for which waiting doesn't help are missing.
DEFAULT_RETRY_AFTER_MS: Final[dict[Reason, int]] = {
    Reason.NOT_READY: 1000,
    Reason.OUTDATED: 2000,
    Reason.NO_ENDPOINT: 2000,
    Reason.UNREACHABLE: 1000,
    Reason.TIMED_OUT: 1000,
    Reason.BUSY: 1000,
    Reason.BODY_MEMORY: 1000,
    Reason.OVER_SHARE: 1000,
    Reason.LEAVING: 1000,
    Reason.RESTING: 1000,
    Reason.LIMITED: 1000,
    Reason.COLD: 1000,
    Reason.EVACUATED: 2000,
    Reason.OUT_OF_REGION: 2000,
    Reason.NOT_SERVABLE: 2000,
    Reason.ENGINE_EMPTY: 2000,
    Reason.EXPIRED: 1000,
    Reason.RETRY_BUDGET: 2000,
    Reason.SUSPECTED: 2000,
    Reason.KEY_IN_PROGRESS: 1000,
    Reason.CLAIM_UNAVAILABLE: 2000,
    Reason.STOPPING: 1000,
    Reason.NO_QUORUM: 2000,
}


@dataclass(frozen=True, slots=True)
class Refusal:
    """
    The refusal of a request or attempt. `verdict` says whether the request may have run;
    `retry_after_ms` is the time after which the caller may try again (0: the default for the
    reason).

    """

    reason: Reason
    verdict: Verdict = Verdict.NOT_RUN
    detail: str = ''
    retry_after_ms: int = 0

    @property
    def wait_ms(self) -> int:
        """
        After how many milliseconds the caller may try again; 0 if waiting doesn't help.

        """
        return self.retry_after_ms or DEFAULT_RETRY_AFTER_MS.get(self.reason, 0)

    @property
    def http_status(self) -> int:
        status = HTTP_STATUS.get(self.reason, DEFAULT_HTTP_STATUS)
        if self.verdict is Verdict.MAY_HAVE_RUN:
            return MAY_HAVE_RUN_HTTP_STATUS.get(self.reason, status)
        return status


class Refused(Exception):
    """
    Raised by functions that don't return a refusal as a value. `log_context` tells the log why, and
    is not sent to the caller.

    """

    def __init__(self, refusal: Refusal, log_context: str = '') -> None:
        super().__init__(f'{refusal.reason.value}: {refusal.detail}')
        self.refusal = refusal
        self.log_context = log_context
