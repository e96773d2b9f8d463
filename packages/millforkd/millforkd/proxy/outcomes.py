"""
Sends refusals, and logs and counts the outcomes of requests.

"""

from typing import Final

from millfork_adapter.adapter import Adapter
from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_core.verdicts import Reason, Refusal, Verdict
from millfork_web.exchange import Exchange
from millfork_web.models import without_header
from millfork_web.problem import problem
from millforkd.proxy.job import MAX_LOGGED_PARTS, Job

NOT_RUN_STATUS: Final = 503
TIMED_OUT_STATUS: Final = 504
LOST_STATUS: Final = 502
CLIENT_ERRORS: Final = frozenset(
    {Reason.BAD_REQUEST, Reason.UNAUTHENTICATED, Reason.NOT_FOUND, Reason.TOO_LARGE}
)
QUARANTINE_REASONS: Final = frozenset({Reason.QUARANTINED, Reason.QUARANTINED_PART})

log = logger(Component.PROXY)


class RequestOutcomes:
    """
    Sends the entry's refusals, and logs and counts the outcomes of requests.

    """

    def __init__(self, env: Environment, adapter: Adapter) -> None:
        self.env = env
        self.adapter = adapter

    async def refuse(self, exchange: Exchange, request_id: str, refusal: Refusal) -> None:
        """
        Answer a request with a refusal by the entry itself.

        """
        self.env.metrics.refused(refusal.reason, 'proxy')
        response = problem(refusal)
        response.status = status_of(refusal)
        wait_ms = refusal.wait_ms if response.status == NOT_RUN_STATUS else 0
        headers = without_header(response.headers, 'retry-after')
        response.headers = headers + self.adapter.refusal_headers(request_id, wait_ms)
        await exchange.respond(response)

    def record(self, job: Job, outcome: str, refusal: Refusal | None = None) -> None:
        """
        Log and count the outcome of a job.

        """
        now = self.env.monotonic()
        kind = job.route.kind.value
        metrics = self.env.metrics
        metrics.count(metrics.requests, outcome=outcome)
        if job.race.won_beside:
            metrics.count(metrics.second_attempts, event='answered')
        metrics.request_seconds.add({'kind': kind}, now - job.received_at)
        first_ms = -1.0
        if job.first_byte_at is not None:
            first_ms = (job.first_byte_at - job.received_at) * 1000
            metrics.first_seconds.add({'kind': kind}, first_ms / 1000)
        log.info(
            'Request ended. id={} outcome={} status={} route={} service={} organisation={} '
            'document={} servers={} first_ms={:.0f} ms={:.0f} reason={} verdict={} '
            'expected_ms={:.0f} left_ms={:.0f} occupied={} load_age_ms={:.0f} elapsed_ms={} '
            'deadline_ms={} version={} before_end_ms={:.0f} fingerprint={} framing={} '
            'unfinished_bytes={} parts={} quarantined_parts={}',
            job.caller.request_id,
            outcome,
            job.status,
            job.route.name,
            job.requirements.service,
            job.organisation.name if job.organisation is not None else '',
            job.document_version,
            ','.join(job.tried),
            first_ms,
            (now - job.received_at) * 1000,
            refusal.reason.value if refusal is not None else '',
            refusal.verdict.value if refusal is not None else '',
            job.start_estimate.expected_ms,
            job.start_estimate.remaining_ms,
            job.start_estimate.occupied,
            job.start_estimate.load_age_ms,
            job.elapsed_ms,
            job.caller.deadline_ms,
            job.sent_version,
            job.version_remaining_ms,
            job.fingerprint or '',
            job.framing.value if job.framing is not None else '',
            job.unfinished_bytes,
            job.logged_parts,
            ','.join(job.quarantined_parts[:MAX_LOGGED_PARTS]),
        )


def status_of(refusal: Refusal) -> int:
    """
    The HTTP status of a refusal. NOT_RUN_STATUS promises that the request has not run, so it is
    used only if that is certain.

    """
    if refusal.reason in CLIENT_ERRORS:
        return refusal.http_status
    if refusal.reason in QUARANTINE_REASONS:
        # Callers retry after NOT_RUN_STATUS, but a request in quarantine would be refused again.
        return LOST_STATUS
    if refusal.verdict is Verdict.NOT_RUN:
        return NOT_RUN_STATUS
    return TIMED_OUT_STATUS if refusal.reason is Reason.TIMED_OUT else LOST_STATUS
