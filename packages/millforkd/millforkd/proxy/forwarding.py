"""
Handles a request: admits it, sends it to back ends, and answers or refuses it.

"""

from dataclasses import replace

import curio

from millfork_adapter.adapter import Adapter
from millfork_adapter.calls import InvalidMessage
from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_core.verdicts import Reason, Refusal, Refused, Verdict
from millfork_routing.shared_budget import SharedBudget
from millfork_scheduling.placement import Choice, Requirements
from millfork_scheduling.quarantine import SuspicionLevel
from millfork_scheduling.retry_after import closed_wait_ms, no_server_wait_ms, refusal_wait_ms
from millfork_scheduling.server_table import ServerTable
from millfork_web.exchange import CallerGone, Exchange
from millforkd.proxy.admission import Admission
from millforkd.proxy.attempts import Attempt, FailedAttempt, Superseded
from millforkd.proxy.backpressure import BackpressureRecorder
from millforkd.proxy.connections import Pools
from millforkd.proxy.end_detection import EndDetector
from millforkd.proxy.job import Job
from millforkd.proxy.load_queries import LoadQueries
from millforkd.proxy.outcomes import RequestOutcomes
from millforkd.proxy.request_sender import CONNECTION_FAILURES, REFUSAL_MARGIN_S, RequestSender
from millforkd.proxy.response_monitor import SILENT_SERVER_S, ResponseMonitor
from millforkd.proxy.response_relay import ResponseRelay
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
        turned_away: TurnedAwayDirectory,
        load_queries: LoadQueries,
    ) -> None:
        self.env = env
        self.adapter = adapter
        self.admission = admission
        self.server_table = server_table
        self.pools = pools
        self.budget = budget
        self.quarantine = quarantine
        self.turned_away = turned_away
        self.load_queries = load_queries
        self.backpressure = BackpressureRecorder(env)
        self.end_detector = EndDetector(
            env, quarantine.suspicion_store, server_table.incarnation_status
        )
        response_monitor = ResponseMonitor(env, admission, self._hedge, self._reserve_attempt)
        self.response_relay = ResponseRelay(env, adapter, server_table, response_monitor)
        self.request_sender = RequestSender(
            env,
            adapter,
            admission,
            server_table,
            pools,
            budget,
            quarantine,
            response_monitor,
            self.response_relay,
            self.backpressure,
        )
        self.outcomes = RequestOutcomes(env, adapter)

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
            job = self.admission.admit(exchange, caller, received_at)
        except Refused as error:
            log.info(
                'Refused. id={} reason={} detail={}',
                caller.request_id,
                error.refusal.reason.value,
                error.refusal.detail,
            )
            await self.outcomes.refuse(exchange, caller.request_id, error.refusal)
            return
        await self._serve_until_caller_leaves(job)

    async def _serve_until_caller_leaves(self, job: Job) -> None:
        """
        Serve a job; stop at once if its caller disconnects.

        """
        current = await curio.current_task()
        watcher = await self.env.spawn(self._watch_caller, job, current)
        try:
            await self._serve(job)
        except curio.TaskCancelled:
            if not job.caller_gone:
                raise
            self.outcomes.record(job, 'caller_gone')
            raise CallerGone('the caller disconnected') from None
        except CallerGone:
            self.outcomes.record(job, 'caller_gone')
            raise
        finally:
            await job.race.cancel_hedges()
            # The caller's socket is closed next, so the watcher must no longer wait on it.
            await watcher.cancel()

    async def _watch_caller(self, job: Job, task: curio.Task) -> None:
        try:
            await job.exchange.wait_for_disconnect()
        except OSError:
            pass
        job.caller_gone = True
        await task.cancel(blocking=False)

    async def _serve(self, job: Job) -> None:
        refusal = await self._send_until_answered(job)
        if refusal is None:
            self.outcomes.record(job, 'served')
            return
        await self._record_turned_away(job)
        if job.answer_started:
            await job.exchange.abort()
            self.outcomes.record(job, 'broken_off', refusal)
            return
        if job.held_answer is not None:
            await self.response_relay.relay_held(job, job.held_answer)
            self.outcomes.record(job, 'served_failure', refusal)
            return
        await self.outcomes.refuse(job.exchange, job.caller.request_id, refusal)
        self.outcomes.record(job, 'refused', refusal)

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
            job.requirements = self._current_requirements(job)
            choice = await self._choose(job)
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
            if job.tried and not self._spend_retry(job):
                return self._final_refusal(job, Reason.RETRY_BUDGET)
            if await self._run_attempt(job, self._begin_attempt(job, choice)):
                return None
            if await job.race.wait_for_hedges():
                return None

    def _spend_retry(self, job: Job) -> bool:
        """
        Take a retry from the budget, unless one was reserved, or taken for an attempt that then
        sent nothing. Returns False if the budget is used up.

        """
        return job.retry_paid or self.budget.spend(job.requirements.service)

    def _reserve_attempt(self, job: Job) -> bool:
        """
        Take a retry from the budget for the next attempt of a job. Returns False if there is none,
        the job may not be sent again, no back end can serve it now, or another attempt is in
        progress.

        """
        if len(job.race.running) > 1 or not self._may_send_again(job):
            return False
        if self.server_table.choose(self._current_requirements(job), set(job.tried)) is None:
            return False
        job.retry_paid = self._spend_retry(job)
        return job.retry_paid

    def _current_requirements(self, job: Job) -> Requirements:
        last_send = len(job.tried) + 1 >= job.route.max_attempts
        return self.admission.with_current_versions(job.requirements, last_send)

    def _begin_attempt(self, job: Job, choice: Choice) -> Attempt:
        job.retry_paid = False
        attempt = Attempt(choice, self.env.monotonic(), self.quarantine.suspicion_of(job))
        job.race.begin(attempt)
        return attempt

    async def _run_attempt(self, job: Job, attempt: Attempt) -> bool:
        """
        Make one attempt, and record the back ends that may have ended during the attempt. Returns
        whether the caller received an answer; if not, the failed attempt is added to the job.

        """
        try:
            failed = await self.request_sender.send(job, attempt)
        except (curio.TaskCancelled, CallerGone):
            if not attempt.superseded:
                await self._record_caller_left(job, attempt)
            raise
        except Superseded:
            failed = FailedAttempt(
                Reason.SUPERSEDED, Verdict.MAY_HAVE_RUN, 'another back end answered first'
            )
        finally:
            job.race.running.remove(attempt)
        if failed is None:
            return True
        if failed.verdict is not Verdict.NOT_RUN and failed.reason in CONNECTION_FAILURES:
            for server in attempt.choice.servers:
                await self.end_detector.record_broken_connection(server, attempt.before)
        if failed.reason is Reason.TIMED_OUT:
            await self._record_caller_left(job, attempt)
        self._record_failed(job, attempt, failed)
        return False

    def _record_failed(self, job: Job, attempt: Attempt, failed: FailedAttempt) -> None:
        job.retry_paid = job.retry_paid or not failed.sent
        job.failures.append(failed)
        self.env.metrics.retried(failed.reason)
        log.info(
            'Attempt failed. id={} server={} reason={} verdict={} detail={} ms={:.0f} '
            'fingerprint={} ends={}',
            job.caller.request_id,
            attempt.server.instance,
            failed.reason.value,
            failed.verdict.value,
            failed.detail,
            (self.env.monotonic() - job.received_at) * 1000,
            attempt.before.fingerprint,
            self.quarantine.suspicion_of(job).ends,
        )

    async def _record_caller_left(self, job: Job, attempt: Attempt) -> None:
        """
        Record once for a job that its caller left, or that its deadline passed, while back ends of
        this attempt or of the one beside it had not answered.

        """
        if job.left_recorded:
            return
        job.left_recorded = True
        attempts = {attempt, *job.race.running}
        servers = [server for other in attempts for server in other.pending_servers]
        if servers:
            await self.end_detector.record_caller_left(servers, attempt.before)

    async def _hedge(self, job: Job, attempt: Attempt) -> None:
        """
        Start another attempt beside one whose back end is silent, if the job may be sent again and
        a back end can serve it now. Called again and again while the silence lasts.

        """
        await self._record_silence(job, attempt)
        if not job.race.may_hedge or not self._may_send_again(job):
            return
        job.requirements = self._current_requirements(job)
        choice = await self._choose(job)
        if choice is None or not job.race.may_hedge or not self._spend_retry(job):
            return
        log.info(
            'Hedged. id={} silent={} server={} ms={:.0f}',
            job.caller.request_id,
            attempt.server.instance,
            choice.server.instance,
            (self.env.monotonic() - job.received_at) * 1000,
        )
        hedge = self._begin_attempt(job, choice)
        job.race.hedges.append(await self.env.spawn(self._run_attempt, job, hedge))

    def _may_send_again(self, job: Job) -> bool:
        return (
            job.may_be_repeated
            and len(job.tried) < job.route.max_attempts
            and job.remaining_s(self.env.monotonic()) > REFUSAL_MARGIN_S
            and self.quarantine.level_of(job) is SuspicionLevel.FREE
        )

    async def _record_silence(self, job: Job, attempt: Attempt) -> None:
        """
        Record that the back end of an attempt is silent. It may only pause, so it is avoided for
        new requests (unless it answers others) and watched for its end, but the request is not
        suspected.

        """
        now = self.env.monotonic()
        if now - attempt.server.last_received_at > SILENT_SERVER_S:
            attempt.server.record_silence(now)
        if attempt.was_silent:
            return
        attempt.was_silent = True
        log.info(
            'Back end silent. id={} server={} answer_started={} ms={:.0f} fingerprint={}',
            job.caller.request_id,
            attempt.server.instance,
            job.answer_started,
            (now - job.received_at) * 1000,
            attempt.before.fingerprint,
        )
        for server in attempt.choice.servers:
            await self.end_detector.record_silence(server, attempt.before)

    async def _choose(self, job: Job) -> Choice | None:
        """
        Choose a back end; None if none can serve the job. Where the choice may depend on the
        current loads of engines, their daemons are queried first.

        """
        tried = set(job.tried)
        candidates = self.server_table.sample_candidates(job.requirements, tried)
        await self.load_queries.refresh(candidates)
        return self.server_table.choose(job.requirements, tried, candidates or None)

    def _choose_among_freest(self, job: Job) -> Choice | None:
        """
        Choose among the engines with the lowest share of occupied slots, after the engines that
        `_choose` compared were too busy for a job. None if almost all slots are occupied, or if
        no back end can serve the job.

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
        if not job.failures:
            return None
        last = job.failures[-1]
        if job.may_have_run and not job.may_be_repeated:
            return self._final_refusal(job, last.reason)
        if len(job.tried) >= job.route.max_attempts:
            return self._final_refusal(job, last.reason)
        return None

    def _no_server_refusal(self, job: Job) -> Refusal:
        """
        The refusal of a job that no back end can serve now. If back ends closed themselves by
        backpressure signals and the request has certainly not run, the caller is told to wait until
        the first of these back ends opens; that wait has a maximum.

        """
        closure = self.server_table.first_to_open(job.requirements)
        if job.tried:
            refusal = self._final_refusal(job, job.failures[-1].reason)
            if closure is None or refusal.verdict is not Verdict.NOT_RUN:
                return refusal
            return replace(refusal, retry_after_ms=closed_wait_ms(closure, self.env.random))
        if closure is not None:
            wait_ms = closed_wait_ms(closure, self.env.random)
            reason = Reason(closure.closure_reason.value)
            return Refusal(reason, Verdict.NOT_RUN, 'no server takes more requests', wait_ms)
        wait_ms = no_server_wait_ms(self.env.random)
        return Refusal(Reason.NO_ENDPOINT, Verdict.NOT_RUN, 'no server is available', wait_ms)

    def _final_refusal(self, job: Job, reason: Reason, explanation: str = '') -> Refusal:
        """
        The refusal of a job, with a verdict that covers all attempts so far.

        """
        detail = explanation or '; '.join(failed.detail for failed in job.failures)
        if job.may_have_run:
            return Refusal(reason, Verdict.MAY_HAVE_RUN, detail)
        return Refusal(reason, Verdict.NOT_RUN, detail, refusal_wait_ms(reason))
