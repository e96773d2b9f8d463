"""
Admits requests: finds the route, organisation, service and deadline of each request, and decides
whether the request is worth sending to the chosen back end.

"""

from collections.abc import Callable
from dataclasses import replace
from typing import Final

import curio

from millfork_adapter.exchange import CallerRequest
from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_core.verdicts import Reason, Refusal, Refused
from millfork_routing.documents import Organisation, Route
from millfork_routing.regions import regions_of_request
from millfork_routing.routes import RouteTable, pick_service, priority_of
from millfork_scheduling.admission import (
    StartEstimate,
    depends_on_first_try,
    is_worth_sending,
    overdue_ms,
)
from millfork_scheduling.first_tries import FirstTryDetector, FirstTryEstimate
from millfork_scheduling.placement import Choice, Requirements
from millfork_scheduling.retry_after import full_engines_wait_ms, no_server_wait_ms
from millfork_web.exchange import Exchange
from millforkd.proxy.document_age import DocumentAge
from millforkd.proxy.job import Job
from millforkd.versions import VersionTracker

# A request with less than this time left until its deadline is refused, as no answer would reach
# the caller in time.
MIN_REMAINING_MS: Final = 20
# For this long after its start, an entry lets requests wait for the first document (the replicated
# configuration) and the first leases of back ends. Both arrive after 0.5 s to 0.8 s, the time that
# replicas that start together need to discover each other. If the requests were refused instead,
# all callers would retry at the same time, and each caller retries only once.
STARTUP_WAIT_S: Final = 1.0
# While the entry starts, a request waits for at most this share of its caller's deadline.
STARTUP_WAIT_SHARE: Final = 0.25
# Refusals of requests that a newer document may allow.
REASONS_OF_DOCUMENT: Final = frozenset({Reason.NOT_FOUND, Reason.UNAUTHENTICATED})

log = logger(Component.PROXY)


class Admission:
    """
    Creates the jobs of requests from the current document (routes, services, keys), and decides
    which jobs are worth sending.

    """

    def __init__(
        self,
        env: Environment,
        versions: VersionTracker,
        entry_count: Callable[[], int] = lambda: 1,
        document_age: DocumentAge | None = None,
    ) -> None:
        self.env = env
        self.versions = versions
        # Returns the number of entries in the fleet, as far as this entry knows it.
        self.entry_count = entry_count
        # None: the document is always the newest one.
        self.document_age = document_age
        self.table: RouteTable | None = None
        # Set once the entry has received a document and the lease of a back end.
        self.ready_event = curio.Event()
        self.created_at = env.monotonic()
        self.first_tries = FirstTryDetector()

    async def wait_until_ready(self, caller: CallerRequest) -> None:
        """
        Wait until the entry has a document and back ends, but only until STARTUP_WAIT_S after the
        start of the entry, and for at most STARTUP_WAIT_SHARE of the caller's deadline.

        """
        if self.ready_event.is_set():
            return
        wait_s = self.created_at + STARTUP_WAIT_S - self.env.monotonic()
        if caller.deadline_ms is not None:
            wait_s = min(wait_s, caller.deadline_ms * STARTUP_WAIT_SHARE / 1000)
        try:
            async with curio.timeout_after(max(wait_s, 0.0)):
                await self.ready_event.wait()
        except curio.TaskTimeout:
            log.debug('Not ready in {:.2f} s. id={}', wait_s, caller.request_id)

    async def admit_by_recent_document(
        self, exchange: Exchange, caller: CallerRequest, received_at: float
    ) -> Job:
        """
        The same as `admit`, but a request is refused because of what the document lacks only if
        the document is recent enough, which a replica is asked for if necessary.

        :raises Refused: as `admit` does; with the reason `OUTDATED` if the document may lack a
            change that allows the request.

        """
        try:
            return self.admit(exchange, caller, received_at)
        except Refused as error:
            if self.document_age is None or error.refusal.reason not in REASONS_OF_DOCUMENT:
                raise
            await self.document_age.confirm(received_at)
        try:
            return self.admit(exchange, caller, received_at)
        except Refused as error:
            wait_ms = no_server_wait_ms(self.env.random)
            raise Refused(self.qualify(error.refusal, received_at, wait_ms)) from None

    def qualify(self, refusal: Refusal, received_at: float, wait_ms: int = 0) -> Refusal:
        """
        A refusal with the reason `OUTDATED` in place of one for what the document lacks, if the
        document may lack a change that was in force when the request arrived; otherwise the refusal
        itself.

        """
        if self.document_age is None or refusal.reason not in REASONS_OF_DOCUMENT:
            return refusal
        if self.document_age.is_recent(received_at):
            return refusal
        detail = f'{refusal.detail} in a document that may lack changes'
        return Refusal(Reason.OUTDATED, detail=detail, retry_after_ms=wait_ms)

    def document_age_ms(self) -> int:
        """
        Milliseconds since the document was last known to be the newest one.

        """
        if self.document_age is None:
            return 0
        return self.document_age.age_ms(self.env.monotonic())

    def admit(self, exchange: Exchange, caller: CallerRequest, received_at: float) -> Job:
        """
        The job of a request that arrived at `received_at` (monotonic seconds). The deadline
        counts from that moment, so it includes the time spent in `wait_until_ready`.

        :raises Refused: if no document is in force, no route matches the request, the route
            requires a valid key that the request lacks, or less than MIN_REMAINING_MS remains
            until the deadline.

        """
        table = self.table
        if table is None:
            raise Refused(Refusal(Reason.NOT_READY, detail='no document in force yet'))
        route = table.find(caller.host, caller.path)
        if route is None:
            raise Refused(Refusal(Reason.NOT_FOUND, detail='no route'))
        organisation = self._organisation(table, route, caller)
        name = pick_service(route, self.env.random.random())
        service = table.services[name]
        limit_ms = route.timeout_ms
        if caller.deadline_ms is not None:
            limit_ms = min(limit_ms, caller.deadline_ms)
        deadline = received_at + limit_ms / 1000
        if (deadline - self.env.monotonic()) * 1000 < MIN_REMAINING_MS:
            raise Refused(Refusal(Reason.EXPIRED, detail='no time remains'))
        first_try_estimate = self._estimate_first_try(route, caller)
        return Job(
            exchange,
            caller,
            route,
            organisation,
            Requirements(
                name,
                service.engine,
                prompt_tokens=caller.prompt_tokens,
                regions=regions_of_request(route, organisation),
            ),
            priority_of(route, organisation),
            received_at,
            deadline,
            table.version,
            first_try_estimate.elapsed_ms,
            first_try_estimate.is_undecided,
        )

    def with_current_versions(self, requirements: Requirements, last_send: bool) -> Requirements:
        """
        A copy of a request's requirements with the versions of the weights that the request may be
        sent to now, as a version may have ended since the request arrived. `last_send` is set if
        the route allows no further attempt. Requirements without an engine are returned unchanged.

        """
        if requirements.engine is None:
            return requirements
        model = requirements.engine.model
        return replace(
            requirements,
            min_version=self.versions.oldest_usable(model),
            newest_version=self.versions.newest(model),
            last_send=last_send,
            cancel_times=self.versions.upcoming_ends(model),
        )

    def _estimate_first_try(self, route: Route, caller: CallerRequest) -> FirstTryEstimate:
        if caller.deadline_ms is None:
            return FirstTryEstimate()
        return self.first_tries.estimate(route.name, caller.deadline_ms, self.env.monotonic())

    def depends_on_first_try(self, job: Job, choice: Choice) -> bool:
        """
        Whether the turned-away directory (the requests that entries of this zone refused recently)
        must be asked about a job: the deadline doesn't show whether the job is its caller's first
        try, the directory wasn't asked yet, and the decision to send the job depends on the answer.

        """
        if job.requirements.engine is None or not job.needs_first_try_lookup:
            return False
        return depends_on_first_try(self._start_estimate(job, choice))

    def _start_estimate(self, job: Job, choice: Choice) -> StartEstimate:
        now = self.env.monotonic()
        remaining_ms = job.route.target_ms - job.elapsed_ms - (now - job.received_at) * 1000
        occupied = choice.server.likely_occupied(now, self.entry_count())
        age_ms = (now - choice.server.reported_at) * 1000
        return StartEstimate(
            choice.first_token_ms, remaining_ms, occupied, choice.server.slots, age_ms
        )

    def retry_after_ms(self, job: Job, choice: Choice) -> int:
        """
        0 if a job is worth sending to the chosen back end, otherwise the milliseconds until the
        caller may retry. The estimate behind the decision is stored in the job. A job for a service
        without engines is always worth sending.

        """
        if job.requirements.engine is None:
            return 0
        server = choice.server
        start_estimate = self._start_estimate(job, choice)
        job.start_estimate = start_estimate
        log.debug(
            'Admission decided. id={} server={} expected_ms={:.0f} figures_ms={:.0f} '
            'left_ms={:.0f} occupied={} reported={} unread={} mine={} report_age_ms={:.0f} '
            'pace={:.2f}',
            job.caller.request_id,
            server.instance,
            start_estimate.expected_ms,
            choice.spec_first_token_ms,
            start_estimate.remaining_ms,
            start_estimate.occupied,
            server.reported,
            server.reported_awaiting_first_token,
            server.own_requests,
            start_estimate.load_age_ms,
            server.pace,
        )
        if is_worth_sending(start_estimate):
            return 0
        return full_engines_wait_ms(overdue_ms(start_estimate), self.env.random)

    def _organisation(
        self, table: RouteTable, route: Route, caller: CallerRequest
    ) -> Organisation | None:
        if not table.needs_keys:
            return None
        holder = table.organisation_of_key(caller.key)
        if holder is None and not route.public:
            raise Refused(Refusal(Reason.UNAUTHENTICATED, detail='unknown key'))
        return holder
