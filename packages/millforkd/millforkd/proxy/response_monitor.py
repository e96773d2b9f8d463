"""
Waits for the data of answers, and notices back ends that are silent or won't answer soon.

"""

from collections.abc import Awaitable, Callable
from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.verdicts import Reason, Verdict
from millfork_scheduling.slow_answers import SlowAnswers
from millfork_web.event_stream import EventSplitter
from millforkd.proxy.admission import Admission
from millforkd.proxy.attempts import Attempt
from millforkd.proxy.connections import SendFailed, ServerConnection
from millforkd.proxy.job import Job

# The interval at which requests that wait for the heads of their answers are checked.
HEAD_POLL_S: Final = 0.25
# A request whose answer is slow is checked again after this time, while there is no room for a
# second attempt.
MIN_POLL_S: Final = 0.05
# A back end that sends this entry nothing for this long is silent: a back end under load sends data
# many times within this period.
SILENT_SERVER_S: Final = 1.2
# A stream that another back end can resume is silent after this long without data; callers of such
# streams wait at least two seconds.
STREAM_STALL_S: Final = 1.2
# If a back end answers a request that was sent this much later than a waiting request of the same
# urgency (queue rank), the back end has skipped the waiting request, or the connection of the
# waiting request is dead: requests of one urgency start in order of arrival, and reading the
# longest prompt takes 0.2 s.
REORDER_THRESHOLD_S: Final = 0.3

# Called repeatedly while an attempt waits for a silent back end.
SilenceHandler = Callable[[Job, Attempt], Awaitable[None]]
# Called once when the answer to a request is slow.
SlowHandler = Callable[[Job, Attempt], Awaitable[None]]
# Reserves a further attempt for a job; returns False if none is to be had.
AttemptReserver = Callable[[Job], bool]


class ResponseMonitor:
    """
    Reads the answers of back ends. `on_silence` is called while a back end is silent, and
    `reserve_attempt` before a request is withdrawn that its back end might still answer.

    """

    def __init__(
        self,
        env: Environment,
        admission: Admission,
        on_silence: SilenceHandler,
        reserve_attempt: AttemptReserver,
        slow_answers: SlowAnswers,
        on_slow: SlowHandler,
    ) -> None:
        self.env = env
        self.admission = admission
        self.on_silence = on_silence
        self.reserve_attempt = reserve_attempt
        self.slow_answers = slow_answers
        self.on_slow = on_slow

    async def read_head(
        self, job: Job, attempt: Attempt, connection: ServerConnection, version: int | None
    ) -> None:
        """
        Wait for the head of an answer. A repeatable request is withdrawn from a back end that
        won't start the request soon.

        :raises SendFailed: if no answer arrives, or a repeatable request is withdrawn.
        :raises Superseded: if another attempt has claimed the answer meanwhile.

        """
        if not job.route.repeatable:
            await connection.read_head()
            return
        while True:
            try:
                async with curio.timeout_after(self._poll_s(job, attempt)):
                    await connection.read_head()
                return
            except curio.TaskTimeout:
                self.check_engine(job, attempt, version)
            await self._check_slow(job, attempt)
            if self.is_silent(job, attempt):
                await self.on_silence(job, attempt)
            job.race.check(attempt)

    async def read_body(
        self, job: Job, attempt: Attempt, connection: ServerConnection, began_at: float
    ) -> bytes:
        """
        The next bytes of an answer that is passed on once it is complete; empty at its end. While
        the body of the answer to a request that may be repeated, read since `began_at` (monotonic
        seconds), is unfinished for SILENT_SERVER_S, another back end is asked, as if this one were
        silent: a body may arrive a byte a second.

        :raises SendFailed: if the body breaks off or is malformed.
        :raises Superseded: if another attempt has claimed the answer meanwhile.

        """
        if not job.route.repeatable:
            return await connection.read()
        while True:
            await self._check_unfinished(job, attempt, began_at)
            try:
                async with curio.timeout_after(HEAD_POLL_S):
                    return await connection.read()
            except curio.TaskTimeout:
                continue

    async def read_stream(self, job: Job, attempt: Attempt, connection: ServerConnection) -> bytes:
        """
        The next bytes of a stream; empty at its end.

        :raises SendFailed: if the stream breaks off or is malformed.
        :raises Superseded: if another attempt has claimed the answer meanwhile.

        """
        if not job.may_be_repeated:
            return await connection.read()
        if not job.answer_started:
            return await self._read_first(job, attempt, connection)
        wait_s = STREAM_STALL_S
        while True:
            try:
                async with curio.timeout_after(wait_s):
                    return await connection.read()
            except curio.TaskTimeout:
                wait_s = HEAD_POLL_S
            await self.on_silence(job, attempt)
            job.race.check(attempt)

    async def check_first_event(
        self, job: Job, attempt: Attempt, splitter: EventSplitter, began_at: float
    ) -> None:
        """
        Called for data of a stream that completes no event. If the first event has not arrived
        SILENT_SERVER_S after the first data (`began_at`, monotonic seconds), another back end is
        asked, as if this one were silent.

        :raises Superseded: if another attempt has claimed the answer meanwhile.

        """
        if not splitter.has_event and job.may_be_repeated:
            await self._check_unfinished(job, attempt, began_at)

    async def _check_unfinished(self, job: Job, attempt: Attempt, began_at: float) -> None:
        """
        Handle an answer that began at `began_at` (monotonic seconds) and of which nothing can be
        passed on after SILENT_SERVER_S, as if its back end were silent. Data that arrives slowly or
        says nothing would otherwise show a sound back end, and the next requests would be sent to
        it.

        """
        now = self.env.monotonic()
        if now - began_at <= SILENT_SERVER_S:
            return
        attempt.server.record_silence(now)
        await self.on_silence(job, attempt)
        job.race.check(attempt)

    async def _read_first(self, job: Job, attempt: Attempt, connection: ServerConnection) -> bytes:
        """
        The next bytes of a stream of which the caller has received nothing yet. While the back end
        is silent after the head, another one is asked, as before it.

        """
        while True:
            try:
                async with curio.timeout_after(self._poll_s(job, attempt)):
                    return await connection.read()
            except curio.TaskTimeout:
                await self._check_slow(job, attempt)
            if self._silent_s(attempt) > SILENT_SERVER_S:
                await self.on_silence(job, attempt)
            job.race.check(attempt)

    def _slow_in_s(self, job: Job, attempt: Attempt) -> float | None:
        """
        The time until the answer of an attempt is slow, in seconds; None if no second attempt is to
        be sent beside this one.

        """
        if job.had_second_attempt or job.answer_started or len(job.race.running) > 1:
            return None
        delay_s = self.slow_answers.delay_s(job.route.name)
        if delay_s is None:
            return None
        return max(attempt.started_at + delay_s - self.env.monotonic(), 0.0)

    def _poll_s(self, job: Job, attempt: Attempt) -> float:
        slow_in_s = self._slow_in_s(job, attempt)
        return HEAD_POLL_S if slow_in_s is None else min(HEAD_POLL_S, max(slow_in_s, MIN_POLL_S))

    async def _check_slow(self, job: Job, attempt: Attempt) -> None:
        if self._slow_in_s(job, attempt) == 0.0:
            await self.on_slow(job, attempt)

    def check_engine(self, job: Job, attempt: Attempt, version: int | None) -> None:
        """
        Check that the engines of an attempt can still start the request. An engine that is about
        to change its weights first finishes what it can, so the request is withdrawn from it only
        if another attempt is to be had.

        :raises SendFailed: if the version of the weights is about to end, if an engine has
            restarted, or if the request is withdrawn from an engine that is changing its weights.

        """
        now = self.env.monotonic()
        engine = job.requirements.engine
        if engine is not None and version is not None:
            version_ends_at = self.admission.versions.ends_at(engine.model, version)
            if version_ends_at is not None and now > version_ends_at - HEAD_POLL_S:
                detail = f'version {version} ends before the request starts'
                raise SendFailed(Reason.VERSION_MISMATCH, Verdict.MAY_HAVE_RUN, detail)
        for server in attempt.choice.servers:
            if server.replaced:
                detail = f'{server.instance} has restarted'
                raise SendFailed(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, detail)
            if server.changes_version and self.reserve_attempt(job):
                detail = 'the engine changes its weights before it starts the request'
                raise SendFailed(Reason.NOT_SERVABLE, Verdict.MAY_HAVE_RUN, detail)

    def is_silent(self, job: Job, attempt: Attempt) -> bool:
        """
        Whether the back end sent nothing for SILENT_SERVER_S, or the request is unanswered for
        that long while the back end answers requests that were sent later.

        """
        silent_s = self._silent_s(attempt)
        if attempt.server.answered_since(job.urgency, attempt.started_at + REORDER_THRESHOLD_S):
            silent_s = self.env.monotonic() - attempt.started_at
        return silent_s > SILENT_SERVER_S

    def _silent_s(self, attempt: Attempt) -> float:
        """
        For how many seconds of an attempt its back end has sent nothing.

        """
        last_sent_at = max(attempt.started_at, attempt.server.last_received_at)
        return self.env.monotonic() - last_sent_at
