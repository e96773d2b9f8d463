"""
The attempts of one job, of which two may be in progress at a time.

A sound back end may pause for up to two seconds, so silence ends no attempt. While a back end is
silent, a second one may be asked for the answer (a hedged request). The caller gets the answer of
the attempt that first has something to pass on.

"""

from dataclasses import dataclass, field
from typing import Final

import curio

from millfork_core.verdicts import Reason, Verdict
from millfork_registry.suspicions import Suspicion
from millfork_scheduling.placement import Choice
from millfork_scheduling.quarantine import MAX_CRASH_DELAY_S
from millfork_scheduling.server import Server
from millforkd.proxy.connections import ServerConnection

MAX_CONCURRENT_ATTEMPTS: Final = 2
# Answers with this status or a higher one don't answer the prompt.
FIRST_ERROR_STATUS: Final = 300


class Superseded(Exception):
    """
    Another attempt passes its answer on to the caller, so this one has to end.

    """


@dataclass(slots=True, eq=False)
class Attempt:
    """
    One attempt to serve a job at a back end. While in progress, the attempt is counted in
    `Server.own_requests`; until the first token arrives, in `Server.own_awaiting_first_token` as
    well. `before` is the suspicion of the request when the attempt began.

    """

    choice: Choice
    started_at: float
    before: Suspicion
    # The suspicions of the parts of the prompt when the attempt began.
    parts_before: tuple[Suspicion, ...] = ()
    awaiting_first_token: bool = True
    # When the first data of the answer's body arrived (monotonic seconds); None before that.
    answer_began_at: float | None = None
    # None until a connection to the back end is open.
    connection: ServerConnection | None = None
    # The back ends that the request was sent to; empty before the request is sent and after a
    # complete answer.
    pending_servers: tuple[Server, ...] = ()
    # Whether this attempt was sent beside a slow one.
    is_second: bool = False
    # Whether the back end was silent at some time of this attempt.
    was_silent: bool = False
    # Whether another attempt has claimed the answer.
    superseded: bool = False

    @property
    def server(self) -> Server:
        return self.choice.server

    def begin(self) -> None:
        self.server.own_requests += 1
        self.server.own_awaiting_first_token += 1

    def mark_first_token(self) -> None:
        """
        Record that the first token has arrived, so the prompt has been read.

        """
        if self.awaiting_first_token:
            self.awaiting_first_token = False
            self.server.own_awaiting_first_token -= 1

    def record_data(self, now: float) -> None:
        """
        Record that data of the answer's body arrived at `now` (monotonic seconds).

        """
        if self.answer_began_at is None:
            self.answer_began_at = now

    def suspect_parts(self, now: float) -> tuple[Suspicion, ...]:
        """
        Return the suspicions of the parts that may be the cause if the back end ends now (monotonic
        seconds): none if the answer began long ago.

        """
        if self.answer_began_at is not None and now - self.answer_began_at > MAX_CRASH_DELAY_S:
            return ()
        return self.parts_before

    @property
    def has_written_answer(self) -> bool:
        """
        Whether the back end has written data of an answer to the prompt, rather than an error.

        """
        if self.connection is None or self.answer_began_at is None:
            return False
        return self.connection.status < FIRST_ERROR_STATUS

    def end(self) -> None:
        self.mark_first_token()
        self.server.own_requests -= 1

    async def interrupt(self) -> None:
        """
        Make the attempt end, unless it is still opening a connection.

        """
        if self.connection is not None:
            await self.connection.interrupt()


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """
    An attempt that ended without an answer for the caller.

    """

    reason: Reason
    verdict: Verdict
    detail: str
    # False if the attempt was given up between connecting and sending; the next attempt then
    # replaces this one and spends no retry budget.
    sent: bool = True


@dataclass(slots=True)
class AnswerRace:
    """
    The attempts of a job that are in progress, and the one whose answer the caller gets.

    """

    running: list[Attempt] = field(default_factory=list)
    # The attempt that claimed the answer; None while attempts compete for it.
    winner: Attempt | None = None
    # Whether an attempt that was sent beside a slow one claimed the answer.
    won_beside: bool = False
    # The tasks of the attempts that were started beside a silent or a slow one.
    hedges: list[curio.Task] = field(default_factory=list)

    @property
    def may_hedge(self) -> bool:
        return len(self.running) < MAX_CONCURRENT_ATTEMPTS

    def begin(self, attempt: Attempt) -> None:
        self.running.append(attempt)
        self.winner = None

    def check(self, attempt: Attempt) -> None:
        """
        Check that an attempt may go on.

        :raises Superseded: if another attempt has claimed the answer.

        """
        if attempt.superseded:
            raise Superseded

    async def claim(self, attempt: Attempt) -> None:
        """
        Make an attempt the one whose answer the caller gets, and end the others.

        :raises Superseded: if another attempt has claimed the answer.

        """
        self.check(attempt)
        if self.winner is attempt:
            return
        self.winner = attempt
        self.won_beside = self.won_beside or (len(self.running) > 1 and attempt.is_second)
        for other in self.running:
            if other is attempt:
                continue
            other.superseded = True
            await other.interrupt()

    async def wait_for_hedges(self) -> bool:
        """
        Wait for the tasks in `hedges`. Returns whether one of them has served the caller; the
        remaining tasks are then not waited for.

        :raises Exception: as a task raised it.

        """
        while self.hedges:
            task = self.hedges[0]
            await task.wait()
            self.hedges.remove(task)
            if task.exception is not None:
                raise task.exception
            if task.result:
                return True
        return False

    async def cancel_hedges(self) -> None:
        """
        Cancel the tasks in `hedges`, and wait until they have ended.

        """
        while self.hedges:
            await self.hedges.pop().cancel()
