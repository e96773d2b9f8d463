"""
Passing a back end's answer on to the caller.

"""

from typing import Final

import curio

from millfork_adapter.adapter import Adapter
from millfork_core.environment import Environment
from millfork_core.verdicts import Reason, Verdict
from millfork_scheduling.server_table import ServerTable
from millfork_web.models import Response, without
from millforkd.proxy.connections import SendFailed, ServerConnection
from millforkd.proxy.events import EventSplitter, NotEvents
from millforkd.proxy.job import Attempt, HeldAnswer, Job

# An answer up to this size is passed on only when it is whole.
GATHERED_BYTES: Final = 64 * 1024
# A stream that may be resumed is left after this silence; its callers wait
# two seconds at the least.
STREAM_STALL_S: Final = 1.2


class Relaying:
    """
    The ways in which an answer reaches the caller.

    """

    def __init__(self, env: Environment, adapter: Adapter, book: ServerTable) -> None:
        self.env = env
        self.adapter = adapter
        self.book = book

    async def hold(self, connection: ServerConnection) -> HeldAnswer:
        """
        Read a back end's failure, to be passed on if nothing better comes.

        """
        body = bytearray()
        while data := await connection.read():
            body += data
        headers = self.adapter.relayed(connection.headers)
        return HeldAnswer(connection.status, headers, bytes(body))

    async def held(self, job: Job, held: HeldAnswer) -> None:
        """
        Pass on a failure that was held.

        """
        job.status = held.status
        headers = without(held.headers, 'content-length')
        await job.exchange.respond(Response(held.status, headers, held.body))

    async def whole(self, job: Job, connection: ServerConnection) -> None:
        """
        Pass an answer on: whole if it is small, else as it comes.

        """
        body = bytearray()
        while data := await connection.read():
            body += data
            if len(body) > GATHERED_BYTES:
                await self._large(job, connection, bytes(body))
                return
        job.first_at = self.env.monotonic()
        headers = without(self.adapter.relayed(connection.headers), 'content-length')
        await job.exchange.respond(Response(connection.status, headers, bytes(body)))

    async def _large(self, job: Job, connection: ServerConnection, begun: bytes) -> None:
        job.started = True
        job.first_at = self.env.monotonic()
        headers = self.adapter.relayed(connection.headers)
        await job.exchange.start(connection.status, headers)
        await job.exchange.write(begun)
        while data := await connection.read():
            await job.exchange.write(data)
        await job.exchange.finish()

    async def stream(self, job: Job, attempt: Attempt, connection: ServerConnection) -> None:
        """
        Pass whole events on as they come; an answer that has begun goes on.

        """
        splitter = EventSplitter()
        resumed = job.started
        while data := await self._event_bytes(job, connection):
            attempt.server.last_received_at = self.env.monotonic()
            try:
                whole = splitter.feed(data)
            except NotEvents as error:
                raise SendFailed(Reason.TRUNCATED, Verdict.RAN, str(error)) from error
            if not whole:
                continue
            self._note_first(job, attempt, resumed)
            if resumed:
                _check_resumed(job, splitter)
                resumed = False
            await self._write(job, connection, whole)
            if splitter.last_id is not None:
                job.last_event = splitter.last_id
        if splitter.rest or not job.started:
            await self._write(job, connection, splitter.rest)
        await job.exchange.finish()

    def _note_first(self, job: Job, attempt: Attempt, resumed: bool) -> None:
        if attempt.unread and job.requirements.engine is not None and not resumed:
            took_ms = (self.env.monotonic() - attempt.began) * 1000
            late_ms = took_ms - attempt.choice.spec_first_token_ms
            self.book.note_first_token(attempt.server, late_ms)
        attempt.note_first()

    async def _event_bytes(self, job: Job, connection: ServerConnection) -> bytes:
        if not job.started or not job.route.repeatable:
            return await connection.read()
        try:
            async with curio.timeout_after(STREAM_STALL_S):
                return await connection.read()
        except curio.TaskTimeout:
            connection.lost = True
            detail = f'no event for {STREAM_STALL_S} s'
            raise SendFailed(Reason.CONNECTION_LOST, Verdict.RAN, detail) from None

    async def _write(self, job: Job, connection: ServerConnection, data: bytes) -> None:
        if not job.started:
            job.started = True
            job.first_at = self.env.monotonic()
            headers = self.adapter.relayed(connection.headers)
            await job.exchange.start(connection.status, headers)
        if data:
            await job.exchange.write(data)


def _check_resumed(job: Job, splitter: EventSplitter) -> None:
    """
    A resumed stream must go on with the next event.

    """
    if job.last_event is None or splitter.first_id == job.last_event + 1:
        return
    detail = f'resumed after {job.last_event} with {splitter.first_id}'
    raise SendFailed(Reason.TRUNCATED, Verdict.RAN, detail)
