"""
Handles a request: admits it, sends it to back ends, and answers or refuses it.

"""

from dataclasses import replace

import curio

from millfork_adapter.adapter import Adapter
from millfork_adapter.calls import InvalidMessage
from millfork_core.environment import Environment
from millfork_core.ids import Fingerprint, RequestId
from millfork_core.logs import Component, logger
from millfork_core.verdicts import Reason, Refusal, Refused, Verdict
from millfork_routing.shared_budget import SharedBudget
from millfork_scheduling.no_server import no_server_refusal
from millfork_scheduling.placement import Choice
from millfork_scheduling.quarantine import SuspicionLevel
from millfork_scheduling.retry_after import closed_wait_ms, refusal_wait_ms
from millfork_scheduling.server_table import ServerTable
from millfork_scheduling.slow_answers import SlowAnswers
from millfork_web.exchange import CallerGone, Exchange
from millforkd.proxy.admission import Admission
from millforkd.proxy.attempt_runner import AttemptRunner
from millforkd.proxy.connections import Pools
from millforkd.proxy.job import Job
from millforkd.proxy.load_queries import LoadQueries
from millforkd.proxy.outcomes import RequestOutcomes
from millforkd.proxy.part_quarantine import PartQuarantine
from millforkd.proxy.planned_stop import PlannedStop
from millforkd.proxy.request_sender import REFUSAL_MARGIN_S
from millforkd.proxy.turned_away_directory import TurnedAwayDirectory
from millforkd.quarantine import Quarantine

log = logger(Component.PROXY)


class Forwarding:
    """
    Serves callers' requests with the back ends of the fleet.

    """

    def __init__(
        self,
        env: Environment,
        adapter: Adapter,
        admission: Admission,
        server_table: ServerTable,
        pools: Pools,
        budget: SharedBudget,
        quarantine: Quarantine[Job],
        part_quarantine: PartQuarantine,
        turned_away: TurnedAwayDirectory,
        load_queries: LoadQueries,
        slow_answers: SlowAnswers,
    ) -> None:
        self.env = env
        self.adapter = adapter
        self.admission = admission
        self.server_table = server_table
        self.quarantine = quarantine
        self.part_quarantine = part_quarantine
        self.turned_away = turned_away
        self.slow_answers = slow_answers
        self.attempt_runner = AttemptRunner(
            env,
            adapter,
            admission,
            server_table,
            pools,
            budget,
            quarantine,
            part_quarantine,
            load_queries,
            slow_answers,
        )
        self.outcomes = RequestOutcomes(env, adapter)
        # The jobs in progress, by their tasks.
        self.jobs: dict[curio.Task, Job] = {}
        self.stop = PlannedStop(env)

    async def answer(self, exchange: Exchange) -> None:
        """
        Answer one caller's request, or refuse it.

        """
        received_at = self.env.monotonic()
        try:
            caller = self.adapter.read_caller_request(exchange.request)
        except InvalidMessage as error:
            await self.outcomes.refuse(exchange, '', Refusal(Reason.BAD_REQUEST, detail=str(error)))
            return
        try:
            await self.admission.wait_until_ready(caller)
            job = await self.admission.admit_by_recent_document(exchange, caller, received_at)
        except Refused as error:
            table = self.admission.table
            log.info(
                'Refused. id={} reason={} detail={} document={} age_ms={}',
                caller.request_id,
                error.refusal.reason.value,
                error.refusal.detail,
                table.version if table is not None else '',
                self.admission.document_age_ms(),
            )
            await self.outcomes.refuse(exchange, caller.request_id, error.refusal)
            return
        if self.stop.may_cut_off(job):
            refusal = self.stop.late_refusal()
            await self.outcomes.refuse(exchange, caller.request_id, refusal)
            self.outcomes.record(job, 'refused', refusal)
            return
        await self._serve_until_caller_leaves(job)

    async def end_all(self) -> None:
        """
        End all jobs, because the process stops. Each caller whose answer hasn't begun is told
        whether the request may have run.

        """
        for task, job in list(self.jobs.items()):
            job.ended_by_stop = True
            await task.cancel(blocking=False)

    async def _serve_until_caller_leaves(self, job: Job) -> None:
        """
        Serve a job; stop at once if its caller disconnects, or if the process stops.

        """
        current = await curio.current_task()
        watcher = await self.env.spawn(self._watch_caller, job, current)
        self.jobs[current] = job
        try:
            await self._serve(job)
        except curio.TaskCancelled:
            if job.ended_by_stop:
                await self._end_unanswered(job, self.stop.final_refusal(job))
                return
            if not job.caller_gone:
                raise
            self.outcomes.record(job, 'caller_gone')
            raise CallerGone('the caller disconnected') from None
        except CallerGone:
            self.outcomes.record(job, 'caller_gone')
            raise
        finally:
            del self.jobs[current]
            await job.race.cancel_hedges()
            # The caller's socket is closed next, so the watcher must no longer wait on it.
            await watcher.cancel()

    async def _watch_caller(self, job: Job, task: curio.Task) -> None:
        await job.exchange.wait_for_disconnect()
        job.caller_gone = True
        await task.cancel(blocking=False)

    async def _serve(self, job: Job) -> None:
        refusal = await self._send_until_answered(job)
        if refusal is None:
            self._record_first_byte(job)
            self.outcomes.record(job, 'served')
            return
        await self._record_turned_away(job)
        await self._end_unanswered(job, refusal)

    async def _end_unanswered(self, job: Job, refusal: Refusal) -> None:
        if job.answer_started:
            await job.exchange.abort()
            self.outcomes.record(job, 'broken_off', refusal)
            return
        if job.held_answer is not None:
            await self.attempt_runner.response_relay.relay_held(job, job.held_answer)
            self.outcomes.record(job, 'served_failure', refusal)
            return
        await self.outcomes.refuse(job.exchange, job.caller.request_id, refusal)
        self.outcomes.record(job, 'refused', refusal)

    def _record_first_byte(self, job: Job) -> None:
        if job.first_byte_at is not None and job.route.repeatable:
            seconds = job.first_byte_at - job.received_at
            self.slow_answers.record_first_byte(
                job.route.name, float('inf') if job.had_second_attempt else seconds
            )

    async def _record_turned_away(self, job: Job) -> None:
        """
        Record that a job was not served, so that its caller's retry is recognised: by the shorter
        deadline of the retry, and for services with engines by the turned-away directory (shared by
        the entries of a zone).

        """
        self.admission.first_tries.record_turned_away(self.env.monotonic())
        if job.requirements.engine is not None:
            await self.turned_away.record(job)

    async def _send_until_answered(self, job: Job) -> Refusal | None:
        """
        Send a job to one back end after another until the caller has received an answer; returns
        None then. Returns a refusal once the job may not be sent (again), or no back end can serve
        the job now.

        """
        while True:
            refusal = self._refusal_before_send(job)
            if refusal is not None:
                return refusal
            job.requirements = self.attempt_runner.current_requirements(job)
            choice = await self.attempt_runner.choose(job)
            if choice is None:
                return self._no_server_refusal(job)
            if not job.tried and not job.answer_started:
                await self._look_up_first_try(job, choice)
                wait_ms = self.admission.retry_after_ms(job, choice)
                if wait_ms:
                    choice = self._choose_among_freest(job) or choice
                    wait_ms = self.admission.retry_after_ms(job, choice)
                if wait_ms:
                    return Refusal(Reason.BUSY, Verdict.NOT_RUN, 'all servers are busy', wait_ms)
            if job.tried and not self.attempt_runner.spend_retry(job):
                return self._final_refusal(job, Reason.RETRY_BUDGET)
            blocked_parts = self.part_quarantine.blocked_parts(job)
            if blocked_parts and not await self._claim_trial(job, blocked_parts):
                return self._blocked_parts_refusal(job, blocked_parts)
            job.unsent_trial = ()
            attempt = self.attempt_runner.begin(job, choice)
            if await self.attempt_runner.run(job, attempt):
                return None
            if job.failures and not job.failures[-1].sent:
                job.unsent_trial = blocked_parts
            if await job.race.wait_for_hedges():
                return None

    def _choose_among_freest(self, job: Job) -> Choice | None:
        """
        Choose among the engines with the lowest share of occupied slots, after the engines that
        `AttemptRunner.choose` compared were too busy for a job. None if almost all slots are
        occupied, or if no back end can serve the job.

        """
        tried = set(job.tried)
        freest = self.server_table.freest_candidates(job.requirements, tried)
        return self.server_table.choose(job.requirements, tried, freest) if freest else None

    async def _look_up_first_try(self, job: Job, choice: Choice) -> None:
        """
        If the admission of a job depends on whether the job is its caller's first try, ask the
        turned-away directory (the requests that entries of this zone refused recently) for the time
        since the first try, and store that time in the job.

        """
        if not self.admission.depends_on_first_try(job, choice):
            return
        job.needs_first_try_lookup = False
        job.elapsed_ms = await self.turned_away.elapsed_ms(job)

    def _refusal_before_send(self, job: Job) -> Refusal | None:
        """
        The refusal of a job that may not be sent to any back end, or not to another one; None if
        the job may be sent.

        """
        if job.remaining_s(self.env.monotonic()) < REFUSAL_MARGIN_S:
            return self._final_refusal(job, Reason.TIMED_OUT if job.tried else Reason.EXPIRED)
        suspicion_level = self.quarantine.blocking_level(job)
        if suspicion_level is SuspicionLevel.AT_FAULT:
            detail = 'back ends ended while running this request'
            return self._final_refusal(job, Reason.QUARANTINED, detail)
        if suspicion_level is SuspicionLevel.SUSPECTED:
            detail = 'back ends broke off while running this request'
            return self._final_refusal(job, Reason.SUSPECTED, detail)
        blocked_parts = self.part_quarantine.blocked_parts(job)
        if blocked_parts and not self._may_try(job, blocked_parts):
            return self._blocked_parts_refusal(job, blocked_parts)
        if not job.failures:
            return None
        last = job.failures[-1]
        if job.may_have_run and not job.may_be_repeated:
            return self._final_refusal(job, last.reason)
        if len(job.tried) >= job.route.max_attempts:
            return self._final_refusal(job, last.reason)
        return None

    def _may_try(self, job: Job, parts: tuple[Fingerprint, ...]) -> bool:
        return job.unsent_trial == parts or self.part_quarantine.trials.is_due(parts)

    async def _claim_trial(self, job: Job, parts: tuple[Fingerprint, ...]) -> bool:
        if job.unsent_trial == parts:
            return True
        return await self.part_quarantine.trials.claim(parts, RequestId(job.caller.request_id))

    def _blocked_parts_refusal(self, job: Job, parts: tuple[Fingerprint, ...]) -> Refusal:
        job.quarantined_parts = parts
        detail = f'back ends ended while running prompts with these parts: {", ".join(parts)}'
        return self._final_refusal(job, Reason.QUARANTINED_PART, detail)

    def _no_server_refusal(self, job: Job) -> Refusal:
        """
        The refusal of a job that no back end can serve now. If back ends closed themselves by
        backpressure signals and the request has certainly not run, the caller is told to wait until
        the first of these back ends opens; that wait has a maximum.

        """
        if job.tried:
            closure = self.server_table.first_to_open(job.requirements)
            refusal = self._final_refusal(job, job.failures[-1].reason)
            if closure is None or refusal.verdict is not Verdict.NOT_RUN:
                return refusal
            return replace(refusal, retry_after_ms=closed_wait_ms(closure, self.env.random))
        return no_server_refusal(self.server_table, job.requirements, self.env.random)

    def _final_refusal(self, job: Job, reason: Reason, explanation: str = '') -> Refusal:
        """
        The refusal of a job, with a verdict that covers all attempts so far.

        """
        detail = explanation or '; '.join(failed.detail for failed in job.failures)
        if job.may_have_run:
            return Refusal(reason, Verdict.MAY_HAVE_RUN, detail)
        return Refusal(reason, Verdict.NOT_RUN, detail, refusal_wait_ms(reason))
