"""
From a caller's request to a job: route, organisation, service, deadline.

"""

from collections.abc import Callable
from dataclasses import replace
from typing import Final

import curio

from millfork_adapter.exchange import CallerRequest
from millfork_core.environment import Environment
from millfork_core.logs import Part, logger
from millfork_core.verdicts import Reason, Refusal, Refused
from millfork_routing.documents import Organisation, Route
from millfork_routing.routes import RouteTable, pick_service, priority_of
from millfork_scheduling.admission import (
    StartEstimate,
    depends_on_first_try,
    is_worth_sending,
    overdue_ms,
)
from millfork_scheduling.first_tries import FirstTryDetector, Judgement
from millfork_scheduling.placement import Choice, Requirements
from millfork_scheduling.retry_after import full_engines_wait_ms
from millfork_web.server import Exchange
from millforkd.proxy.job import Job
from millforkd.versions import Versions

# A back end that answers at the last moment still needs the way back.
MIN_SENT_MS: Final = 20
# An entry that starts has its first document and leases 0.5 s to 0.8 s later, as long as
# replicas that start with it take to hear of each other. Those who come meanwhile wait:
# turned away, all of them would come back together, for the only other try they have.
BEGINNING_S: Final = 1.0
# Of a caller's time, what it waits then at most.
BEGINNING_SHARE: Final = 0.25

log = logger(Part.PROXY)


class Admission:
    """
    Decides what a request is, by the document in force.

    """

    def __init__(
        self, env: Environment, versions: Versions, entries: Callable[[], int] = lambda: 1
    ) -> None:
        self.env = env
        self.versions = versions
        # How many entries there are, as far as is known.
        self.entries = entries
        self.table: RouteTable | None = None
        # Set once there are a document and back ends.
        self.begun = curio.Event()
        self.began = env.monotonic()
        self.first_tries = FirstTryDetector()

    async def until_begun(self, caller: CallerRequest) -> None:
        """
        Wait for a document and back ends, while they may come any moment.

        """
        if self.begun.is_set():
            return
        wait_s = self.began + BEGINNING_S - self.env.monotonic()
        if caller.deadline_ms is not None:
            wait_s = min(wait_s, caller.deadline_ms * BEGINNING_SHARE / 1000)
        try:
            async with curio.timeout_after(max(wait_s, 0.0)):
                await self.begun.wait()
        except curio.TaskTimeout:
            log.debug('Not ready in {:.2f} s. id={}', wait_s, caller.request_id)

    def admit(self, exchange: Exchange, caller: CallerRequest, came_at: float) -> Job:
        """
        The job of a request that came at a moment (monotonic seconds): its time counts
        from there, also where it waited since.

        :raises Refused: if no document allows it.

        """
        table = self.table
        if table is None:
            raise Refused(Refusal(Reason.NOT_READY, detail='no document yet'))
        route = table.find(caller.host, caller.path)
        if route is None:
            raise Refused(Refusal(Reason.NOT_FOUND, detail='no route'))
        organisation = self._organisation(table, route, caller)
        name = pick_service(route, self.env.random.random())
        service = table.services[name]
        limit_ms = route.timeout_ms
        if caller.deadline_ms is not None:
            limit_ms = min(limit_ms, caller.deadline_ms)
        deadline = came_at + limit_ms / 1000
        if (deadline - self.env.monotonic()) * 1000 < MIN_SENT_MS:
            raise Refused(Refusal(Reason.EXPIRED, detail='no time is left'))
        judgement = self._judge(route, caller)
        return Job(
            exchange,
            caller,
            route,
            organisation,
            Requirements(name, service.engine, prompt_tokens=caller.prompt_tokens),
            priority_of(route, organisation),
            came_at,
            deadline,
            table.version,
            judgement.elapsed_ms,
            judgement.is_undecided,
        )

    def as_of_now(self, requirements: Requirements, last_send: bool) -> Requirements:
        """
        What a request needs at this moment: a version that was good when it
        came may have ended since.

        """
        if requirements.engine is None:
            return requirements
        model = requirements.engine.model
        return replace(
            requirements,
            least_version=self.versions.least(model),
            newest_version=self.versions.newest(model),
            last_send=last_send,
            endings=self.versions.endings(model),
        )

    def _judge(self, route: Route, caller: CallerRequest) -> Judgement:
        if caller.deadline_ms is None:
            return Judgement()
        return self.first_tries.judge(route.name, caller.deadline_ms, self.env.monotonic())

    def depends_on_first_try(self, job: Job, choice: Choice) -> bool:
        """
        Whether a request is sent only if this is its caller's first try, and its time
        does not tell.

        """
        if job.requirements.engine is None or not job.is_undecided:
            return False
        return depends_on_first_try(self._start_estimate(job, choice))

    def _start_estimate(self, job: Job, choice: Choice) -> StartEstimate:
        now = self.env.monotonic()
        left_ms = job.route.target_ms - job.elapsed_ms - (now - job.began) * 1000
        occupied = choice.server.likely_occupied(now, self.entries())
        age_ms = (now - choice.server.reported_at) * 1000
        return StartEstimate(choice.first_token_ms, left_ms, occupied, choice.server.slots, age_ms)

    def wait_ms(self, job: Job, choice: Choice) -> int:
        """
        0 if a request is worth sending; else when its caller may come back.

        """
        if job.requirements.engine is None:
            return 0
        server = choice.server
        start_estimate = self._start_estimate(job, choice)
        job.start_estimate = start_estimate
        log.debug(
            'Weighed. id={} server={} expected_ms={:.0f} figures_ms={:.0f} left_ms={:.0f} '
            'occupied={} reported={} unread={} mine={} report_age_ms={:.0f} pace={:.2f}',
            job.caller.request_id,
            server.instance,
            start_estimate.expected_ms,
            choice.spec_first_token_ms,
            start_estimate.remaining_ms,
            start_estimate.occupied,
            server.reported,
            server.reported_unread,
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
