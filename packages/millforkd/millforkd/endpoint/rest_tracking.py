"""
Tracks the rest period that the back end of an endpoint asks for with Retry-After.

"""

import math

from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_core.verdicts import Reason, Refusal
from millfork_scheduling.availability import RestPeriod
from millfork_web.client import Reply
from millfork_web.retry_after import REJECTION_STATUSES, read_retry_after

log = logger(Component.ENDPOINT)


class RestTracker:
    """
    Reads rest periods from answers. Requests are refused at once during a rest period. After the
    period, one request is sent as a probe, to find out whether the back end accepts requests again.

    """

    def __init__(self, env: Environment) -> None:
        self.env = env
        self.rest_period: RestPeriod | None = None

    def current_refusal(self) -> Refusal | None:
        """
        Return a refusal during a rest period and, after the period, while the probe is unanswered
        (for at most `PROBE_TIMEOUT_S` of the module `availability`); else None.

        """
        wait_s = (
            self.rest_period.opens_in_s(self.env.monotonic())
            if self.rest_period is not None
            else 0.0
        )
        if not wait_s:
            return None
        detail = 'the back end asked for a rest period'
        return Refusal(Reason.RESTING, detail=detail, retry_after_ms=math.ceil(wait_s * 1000))

    def record_sent(self, now: float) -> None:
        """
        Record that a request is sent at `now` (monotonic seconds). After a rest period, that
        request is the probe.

        """
        if self.rest_period is not None:
            self.rest_period.record_sent(now)

    def record_answer(self, reply: Reply, sent_at: float) -> None:
        """
        Begin, extend or end the rest period, as the answer to a request sent at `sent_at`
        (monotonic seconds) says. Only an accepted request that was sent after the period ends it.

        """
        if reply.status not in REJECTION_STATUSES:
            if self.rest_period is not None and self.rest_period.is_ended_by(sent_at):
                log.info('The back end accepts requests again.')
                self.rest_period = None
            return
        requested = read_retry_after(reply.headers)
        if requested.invalid_values:
            log.warning(
                'Could not parse the rest period that the back end asked for: {}',
                requested.invalid_values,
            )
        if not requested.seconds:
            return
        now = self.env.monotonic()
        self.rest_period = self.rest_period or RestPeriod(now)
        self.rest_period.extend(requested.seconds, now)
        self.env.metrics.count(
            self.env.metrics.backpressure, signal='rest', event='began', told_by='answer'
        )
        log.info(
            'The back end asked for a rest period. rest_s={:g} status={}',
            requested.seconds,
            reply.status,
        )
