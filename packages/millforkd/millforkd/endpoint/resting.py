"""
The rest that the back end of an endpoint asks for.

"""

import math

from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_core.verdicts import Reason, Refusal
from millfork_scheduling.availability import RestPeriod
from millfork_web.client import Reply
from millfork_web.retry_after import REJECTION_STATUSES, read_retry_after

log = logger(Component.ENDPOINT)


class Resting:
    """
    Takes what answers say of rest. Requests that come meanwhile are refused at once; one
    request asks whether it is over.

    """

    def __init__(self, env: Environment) -> None:
        self.env = env
        self.rest: RestPeriod | None = None

    def refusal(self) -> Refusal | None:
        """
        A refusal while the back end rests.

        """
        rest_s = self.rest.opens_in_s(self.env.monotonic()) if self.rest is not None else 0.0
        if not rest_s:
            return None
        detail = 'the back end asked for rest'
        return Refusal(Reason.RESTING, detail=detail, retry_after_ms=math.ceil(rest_s * 1000))

    def note_sent(self, now: float) -> None:
        """
        A request is sent.

        """
        if self.rest is not None:
            self.rest.note_sent(now)

    def note_answer(self, reply: Reply, sent_at: float) -> None:
        """
        The answer to a request begins that was sent at a moment (monotonic seconds).

        """
        if reply.status not in REJECTION_STATUSES:
            if self.rest is not None and self.rest.is_ended_by(sent_at):
                log.info('The back end takes requests again.')
                self.rest = None
            return
        asked = read_retry_after(reply.headers)
        if asked.invalid_values:
            log.warning(
                'The back end asks for rest in a way that can not be read: {}', asked.invalid_values
            )
        if not asked.seconds:
            return
        now = self.env.monotonic()
        self.rest = self.rest or RestPeriod(now)
        self.rest.extend(asked.seconds, now)
        self.env.metrics.count(
            self.env.metrics.backpressure, signal='rest', event='began', told_by='answer'
        )
        log.info('The back end asks for rest. rest_s={:g} status={}', asked.seconds, reply.status)
