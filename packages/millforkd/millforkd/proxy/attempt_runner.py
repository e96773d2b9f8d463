"""
Makes the attempts of jobs: chooses back ends, sends, and hedges while a back end is silent.

"""

import curio

from millfork_adapter.adapter import Adapter
from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_core.verdicts import Reason, Verdict
from millfork_routing.shared_budget import SharedBudget
from millfork_scheduling.placement import Choice, Requirements
from millfork_scheduling.quarantine import SuspicionLevel
from millfork_scheduling.server_table import ServerTable
from millfork_scheduling.slow_answers import SecondAttemptSite, SlowAnswers, has_room, may_add
from millfork_web.exchange import CallerGone
from millfork_web.framing import Framing
from millforkd.proxy.admission import Admission
from millforkd.proxy.attempts import Attempt, FailedAttempt, Superseded
from millforkd.proxy.backpressure import BackpressureRecorder
from millforkd.proxy.connections import Pools
from millforkd.proxy.end_detection import EndDetector
from millforkd.proxy.job import Job
from millforkd.proxy.load_queries import LoadQueries
from millforkd.proxy.part_quarantine import PartQuarantine
from millforkd.proxy.request_sender import CONNECTION_FAILURES, REFUSAL_MARGIN_S, RequestSender
from millforkd.proxy.response_monitor import SILENT_SERVER_S, ResponseMonitor
from millforkd.proxy.response_relay import ResponseRelay
from millforkd.quarantine import Quarantine

log = logger(Component.PROXY)


class AttemptRunner:
    """
    Makes the attempts of all jobs of an entry.

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
        load_queries: LoadQueries,
        slow_answers: SlowAnswers,
    ) -> None:
        self.env = env
        self.admission = admission
        self.slow_answers = slow_answers
        self.server_table = server_table
        self.budget = budget
        self.quarantine = quarantine
        self.part_quarantine = part_quarantine
        self.load_queries = load_queries
        self.backpressure = BackpressureRecorder(env)
        self.end_detector = EndDetector(
            env, quarantine.suspicion_store, server_table.incarnation_status
        )
        response_monitor = ResponseMonitor(
            env,
            admission,
            self._hedge,
            self.reserve_attempt,
            slow_answers,
            self._send_second,
        )
        self.response_relay = ResponseRelay(env, adapter, server_table, response_monitor)
        self.request_sender = RequestSender(
            env,
            adapter,
            admission,
            server_table,
            pools,
            budget,
            quarantine,
            part_quarantine,
            response_monitor,
            self.response_relay,
            self.backpressure,
        )

    def spend_retry(self, job: Job) -> bool:
        """
        Take a retry from the budget, unless one was reserved, or taken for an attempt that then
        sent nothing. Returns False if the budget is used up.

        """
        return job.retry_paid or self.budget.spend(job.requirements.service)

    def reserve_attempt(self, job: Job) -> bool:
        """
        Take a retry from the budget for the next attempt of a job. Returns False if there is none,
        the job may not be sent again, no back end can serve it now, or another attempt is in
        progress.

        """
        if not (job.race.may_hedge and self._may_send_again(job)):
            return False
        if self.server_table.choose(self.current_requirements(job), set(job.tried)) is None:
            return False
        job.retry_paid = self.spend_retry(job)
        return job.retry_paid

    def current_requirements(self, job: Job) -> Requirements:
        last_send = len(job.tried) + 1 >= job.route.max_attempts
        return self.admission.with_current_versions(job.requirements, last_send)

    def begin(self, job: Job, choice: Choice) -> Attempt:
        job.retry_paid = False
        attempt = Attempt(
            choice,
            self.env.monotonic(),
            self.quarantine.suspicion_of(job),
            self.part_quarantine.suspicions_of(job),
        )
        job.race.begin(attempt)
        return attempt

    async def run(self, job: Job, attempt: Attempt) -> bool:
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
            if attempt.connection is not None and attempt.connection.framing is Framing.CONNECTION:
                parts = attempt.parts_before if attempt.has_written_answer else ()
                for server in attempt.choice.servers:
                    await self.end_detector.record_closed(server, attempt.before, parts)
            return True
        if failed.verdict is not Verdict.NOT_RUN and failed.reason in CONNECTION_FAILURES:
            parts = attempt.suspect_parts(self.env.monotonic())
            for server in attempt.choice.servers:
                await self.end_detector.record_broken_connection(server, attempt.before, parts)
        if failed.reason is Reason.TIMED_OUT:
            await self._record_caller_left(job, attempt)
        self._record_failed(job, attempt, failed)
        return False

    def _record_failed(self, job: Job, attempt: Attempt, failed: FailedAttempt) -> None:
        job.retry_paid = job.retry_paid or not failed.sent
        job.failures.append(failed)
        self.env.metrics.retried(failed.reason)
        now = self.env.monotonic()
        began_at = attempt.answer_began_at
        log.info(
            'Attempt failed. id={} server={} reason={} verdict={} detail={} ms={:.0f} '
            'fingerprint={} ends={} answer_ms={:.0f} parts={}',
            job.caller.request_id,
            attempt.server.instance,
            failed.reason.value,
            failed.verdict.value,
            failed.detail,
            (now - job.received_at) * 1000,
            attempt.before.fingerprint,
            self.quarantine.suspicion_of(job).ends,
            (now - began_at) * 1000 if began_at is not None else -1,
            job.logged_parts,
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
            parts = attempt.suspect_parts(self.env.monotonic())
            await self.end_detector.record_caller_left(servers, attempt.before, parts)

    async def _hedge(self, job: Job, attempt: Attempt) -> None:
        """
        Start another attempt beside one whose back end is silent, if the job may be sent again and
        a back end can serve it now. Called again and again while the silence lasts.

        """
        await self._record_silence(job, attempt)
        if not job.race.may_hedge or not self._may_send_again(job):
            return
        job.requirements = self.current_requirements(job)
        choice = await self.choose(job)
        if choice is None or not job.race.may_hedge or not self.spend_retry(job):
            return
        log.info(
            'Hedged. id={} silent={} server={} ms={:.0f}',
            job.caller.request_id,
            attempt.server.instance,
            choice.server.instance,
            (self.env.monotonic() - job.received_at) * 1000,
        )
        await self._start_beside(job, choice)

    async def _start_beside(self, job: Job, choice: Choice, is_second: bool = False) -> None:
        hedge = self.begin(job, choice)
        hedge.is_second = is_second
        job.race.hedges.append(await self.env.spawn(self.run, job, hedge))

    async def _send_second(self, job: Job, attempt: Attempt) -> None:
        """
        Send a second attempt beside one whose answer is slow, if the job may be sent again and a
        back end has room. Called again and again until one is sent.

        """
        may_send = job.race.may_hedge and self._may_send_again(job)
        if not (may_send and self._may_add(job)):
            return
        requirements = self.current_requirements(job)
        tried = {*job.tried, attempt.server.instance}
        choice = self.server_table.choose(requirements, tried)
        if choice is None or not has_room(self._site_of(choice), self.env.monotonic()):
            return
        if not self.spend_retry(job):
            return
        job.requirements = requirements
        job.had_second_attempt = True
        self.slow_answers.record_extra(job.route.name)
        self.env.metrics.count(self.env.metrics.second_attempts, event='sent')
        log.info(
            'Second attempt. id={} slow={} server={} ms={:.0f}',
            job.caller.request_id,
            attempt.server.instance,
            choice.server.instance,
            (self.env.monotonic() - job.received_at) * 1000,
        )
        await self._start_beside(job, choice, is_second=True)

    def _may_add(self, job: Job) -> bool:
        share = self.budget.current_share(job.requirements.service)
        turned_away_at = self.admission.first_tries.turned_away_at
        return may_add(share.spent, share.allowed, turned_away_at, self.env.monotonic())

    def _site_of(self, choice: Choice) -> SecondAttemptSite:
        now = self.env.monotonic()
        server = choice.server
        share = self.budget.current_share(server.service)
        return SecondAttemptSite(
            server.likely_occupied(now, self.admission.entry_count()),
            server.slots,
            any(
                member.is_avoided(now) or member.changes_version or member.availability.is_cold(now)
                for member in choice.servers
            ),
            share.spent,
            share.allowed,
            self.admission.first_tries.turned_away_at,
        )

    def _may_send_again(self, job: Job) -> bool:
        return (
            job.may_be_repeated
            and len(job.tried) < job.route.max_attempts
            and job.remaining_s(self.env.monotonic()) > REFUSAL_MARGIN_S
            and self.quarantine.level_of(job) is SuspicionLevel.FREE
            and not self.part_quarantine.blocked_parts(job)
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
            await self.end_detector.record_silence(
                server, attempt.before, attempt.suspect_parts(now)
            )

    async def choose(self, job: Job) -> Choice | None:
        """
        Choose a back end; None if none can serve the job. Where the choice may depend on the
        current loads of engines, their daemons are queried first.

        """
        tried = set(job.tried)
        candidates = self.server_table.sample_candidates(job.requirements, tried)
        await self.load_queries.refresh(candidates)
        return self.server_table.choose(job.requirements, tried, candidates or None)
