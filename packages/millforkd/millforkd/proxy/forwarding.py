"""
The path of a request: admitted, sent to a back end, answered or refused.

"""

from dataclasses import replace

import curio

from millfork_adapter.adapter import Adapter
from millfork_adapter.calls import BadCall
from millfork_core.environment import Environment
from millfork_core.logs import Part, logger
from millfork_core.verdicts import Reason, Refusal, Refused, Verdict
from millfork_registry.suspicion_store import Suspicion
from millfork_routing.budget import SharedBudget
from millfork_scheduling.book import ServerBook
from millfork_scheduling.placement import Choice
from millfork_scheduling.quarantine import Standing
from millfork_scheduling.returning import after_refusal, while_closed, while_nothing_serves
from millfork_web.server import CallerGone, Exchange
from millforkd.proxy.admission import Admission
from millforkd.proxy.asking import LoadQuestions
from millforkd.proxy.backpressure import BackpressureIntake
from millforkd.proxy.connections import Pools
from millforkd.proxy.endings import Endings
from millforkd.proxy.ends import Ends
from millforkd.proxy.job import Failed, Job
from millforkd.proxy.recall import Recall
from millforkd.proxy.relaying import Relaying
from millforkd.proxy.sending import BROKEN, LAST_WORD_S, Sending
from millforkd.quarantine import Quarantine

log = logger(Part.PROXY)


class Forwarding:
    """
    Serves callers' requests.

    """

    def __init__(
        self,
        env: Environment,
        adapter: Adapter,
        admission: Admission,
        book: ServerBook,
        pools: Pools,
        budget: SharedBudget,
        quarantine: Quarantine[Job],
        recall: Recall,
        loads: LoadQuestions,
    ) -> None:
        self.env = env
        self.adapter = adapter
        self.admission = admission
        self.book = book
        self.pools = pools
        self.budget = budget
        self.quarantine = quarantine
        self.recall = recall
        self.loads = loads
        self.backpressure = BackpressureIntake(env)
        self.ends = Ends(env, quarantine.suspects, book.fate)
        self.relaying = Relaying(env, adapter, book)
        self.sending = Sending(
            env,
            adapter,
            admission,
            book,
            pools,
            budget,
            quarantine,
            self.relaying,
            self.backpressure,
        )
        self.endings = Endings(env, adapter)

    async def answer(self, exchange: Exchange) -> None:
        """
        Answer one request.

        """
        came_at = self.env.monotonic()
        try:
            caller = self.adapter.read_caller(exchange.request)
        except BadCall as error:
            await self.endings.refuse(exchange, '', Refusal(Reason.BAD_REQUEST, detail=str(error)))
            return
        try:
            await self.admission.until_begun(caller)
            job = self.admission.admit(exchange, caller, came_at)
        except Refused as error:
            log.info(
                'Refused. id={} reason={} detail={}',
                caller.request_id,
                error.refusal.reason.value,
                error.refusal.detail,
            )
            await self.endings.refuse(exchange, caller.request_id, error.refusal)
            return
        await self._serve_watched(job)

    async def _serve_watched(self, job: Job) -> None:
        """
        Serve a job; should its caller leave, stop at once.

        """
        current = await curio.current_task()
        watcher = await self.env.spawn(self._watch, job, current)
        try:
            await self._serve(job)
        except curio.TaskCancelled:
            if not job.caller_gone:
                raise
            self.endings.note(job, 'caller_gone')
            raise CallerGone('the caller left') from None
        except CallerGone:
            self.endings.note(job, 'caller_gone')
            raise
        finally:
            # Whole: the socket is closed next, and the event loop must not hold it
            # for the watcher then.
            await watcher.cancel()

    async def _watch(self, job: Job, task: curio.Task) -> None:
        try:
            await job.exchange.until_caller_gone()
        except OSError:
            pass
        job.caller_gone = True
        await task.cancel(blocking=False)

    async def _serve(self, job: Job) -> None:
        refusal = await self._attempt(job)
        if refusal is None:
            self.endings.note(job, 'served')
            return
        await self._note_turned_away(job)
        if job.started:
            await job.exchange.break_off()
            self.endings.note(job, 'broken_off', refusal)
            return
        if job.held is not None:
            await self.relaying.held(job, job.held)
            self.endings.note(job, 'served_failure', refusal)
            return
        await self.endings.refuse(job.exchange, job.caller.request_id, refusal)
        self.endings.note(job, 'refused', refusal)

    async def _note_turned_away(self, job: Job) -> None:
        """
        Its caller may come back, with less time than it began with.

        """
        self.admission.first_tries.note_turned_away(self.env.monotonic())
        if job.wanted.engine is not None:
            await self.recall.note(job)

    async def _attempt(self, job: Job) -> Refusal | None:
        """
        Send a job to one back end after another; None once it is answered.

        """
        paid = False
        while True:
            refusal = self._barred(job)
            if refusal is not None:
                return refusal
            last_send = len(job.tried) + 1 >= job.route.max_attempts
            job.wanted = self.admission.as_of_now(job.wanted, last_send)
            choice = await self._choose(job)
            if choice is None:
                return self._no_server(job)
            if not job.tried and not job.started:
                await self._look_up_first_try(job, choice)
                wait_ms = self.admission.wait_ms(job, choice)
                if wait_ms:
                    choice = self._among_freest(job) or choice
                    wait_ms = self.admission.wait_ms(job, choice)
                if wait_ms:
                    return Refusal(Reason.BUSY, Verdict.NOT_RUN, 'all servers are busy', wait_ms)
            if job.tried and not paid and not self.budget.spend(job.wanted.service):
                return self._final(job, Reason.RETRY_BUDGET)
            server = choice.server
            before = self.quarantine.suspicion_of(job)
            failed = await self._send(job, choice, before)
            if failed is None:
                return None
            paid = not failed.sent
            job.failures.append(failed)
            self.env.metrics.retried(failed.reason)
            log.info(
                'Attempt failed. id={} server={} reason={} verdict={} detail={} ms={:.0f} '
                'fingerprint={} ends={}',
                job.caller.request_id,
                server.instance,
                failed.reason.value,
                failed.verdict.value,
                failed.detail,
                (self.env.monotonic() - job.began) * 1000,
                before.fingerprint,
                self.quarantine.suspicion_of(job).ends,
            )

    async def _send(self, job: Job, choice: Choice, before: Suspicion) -> Failed | None:
        """
        One attempt, and what it tells of its back ends; None if the caller has its answer.

        """
        job.unanswered = ()
        try:
            failed = await self.sending.send(job, choice)
        except (curio.TaskCancelled, CallerGone):
            await self._note_left(job, before)
            raise
        if failed is None:
            return None
        if failed.verdict is not Verdict.NOT_RUN and failed.reason in BROKEN:
            for part in choice.servers:
                await self.ends.note_broken(part, before)
        if failed.reason is Reason.TIMED_OUT:
            await self._note_left(job, before)
        return failed

    async def _note_left(self, job: Job, before: Suspicion) -> None:
        for server in job.unanswered:
            await self.ends.note_left(server, before)

    async def _choose(self, job: Job) -> Choice | None:
        """
        The back end for a job, by loads as they are now where the choice hangs on them.

        """
        tried = set(job.tried)
        compared = self.book.compare(job.wanted, tried)
        await self.loads.refresh(compared)
        return self.book.choose(job.wanted, tried, compared or None)

    def _among_freest(self, job: Job) -> Choice | None:
        """
        The back end for a job that none of those compared would take, while many slots are
        free elsewhere.

        """
        tried = set(job.tried)
        freest = self.book.compare_freest(job.wanted, tried)
        return self.book.choose(job.wanted, tried, freest) if freest else None

    async def _look_up_first_try(self, job: Job, choice: Choice) -> None:
        if not self.admission.hinges_on_first_try(job, choice):
            return
        job.is_open = False
        job.elapsed_ms = await self.recall.elapsed_ms(job)

    def _barred(self, job: Job) -> Refusal | None:
        """
        Why a job may not be sent (again), if so.

        """
        if job.left_s(self.env.monotonic()) < LAST_WORD_S:
            return self._final(job, Reason.TIMED_OUT if job.tried else Reason.EXPIRED)
        standing = self.quarantine.blocking_standing(job)
        if standing is Standing.AT_FAULT:
            detail = 'back ends end when they run this request'
            return self._final(job, Reason.QUARANTINED, detail)
        if standing is Standing.SUSPECTED:
            detail = 'back ends broke off when they ran this request'
            return self._final(job, Reason.SUSPECTED, detail)
        if not job.failures:
            return None
        last = job.failures[-1]
        if job.may_have_run and not job.route.repeatable:
            return self._final(job, last.reason)
        if len(job.tried) >= job.route.max_attempts:
            return self._final(job, last.reason)
        return None

    def _no_server(self, job: Job) -> Refusal:
        closure = self.book.soonest(job.wanted)
        if job.tried:
            refusal = self._final(job, job.failures[-1].reason)
            if closure is None or refusal.verdict is not Verdict.NOT_RUN:
                return refusal
            return replace(refusal, retry_after_ms=while_closed(closure, self.env.random))
        if closure is not None:
            wait_ms = while_closed(closure, self.env.random)
            reason = Reason(closure.closed_for.value)
            return Refusal(reason, Verdict.NOT_RUN, 'no server takes more', wait_ms)
        wait_ms = while_nothing_serves(self.env.random)
        return Refusal(Reason.NO_ENDPOINT, Verdict.NOT_RUN, 'no server', wait_ms)

    def _final(self, job: Job, reason: Reason, why: str = '') -> Refusal:
        """
        The refusal of a job, with the verdict over all of its attempts.

        """
        detail = why or '; '.join(failed.detail for failed in job.failures)
        if job.may_have_run:
            return Refusal(reason, Verdict.MAY_HAVE_RUN, detail)
        return Refusal(reason, Verdict.NOT_RUN, detail, after_refusal(reason))
