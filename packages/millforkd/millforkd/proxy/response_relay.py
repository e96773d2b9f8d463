"""
Passes the answers of back ends on to callers.

"""

from typing import Final

import curio

from millfork_adapter.adapter import Adapter
from millfork_core.environment import Environment
from millfork_core.verdicts import Reason, Verdict
from millfork_scheduling.server_table import ServerTable
from millfork_web.models import Response, without_header
from millforkd.proxy.connections import SendFailed, ServerConnection
from millforkd.proxy.event_stream import EventSplitter, InvalidEventStream
from millforkd.proxy.job import Attempt, HeldAnswer, Job

# Answers up to this size, apart from event streams, are passed on only when complete.
MAX_BUFFERED_BYTES: Final = 64 * 1024
# A stream that another back end can resume is given up after this long without data; callers of
# such streams wait at least two seconds.
STREAM_STALL_S: Final = 1.2


class ResponseRelay:
    """
    Passes complete answers, large answers and event streams on to callers.

    """

    def __init__(self, env: Environment, adapter: Adapter, server_table: ServerTable) -> None:
        self.env = env
        self.adapter = adapter
        self.server_table = server_table

    async def read_failure(self, connection: ServerConnection) -> HeldAnswer:
        """
        Read an error answer, to be passed on if all further attempts fail.

        """
        body = bytearray()
        while data := await connection.read():
            body += data
        headers = self.adapter.caller_headers(connection.headers)
        return HeldAnswer(connection.status, headers, bytes(body))

    async def relay_held(self, job: Job, held: HeldAnswer) -> None:
        """
        Pass on an error answer that was read with `read_failure`.

        """
        job.status = held.status
        headers = without_header(held.headers, 'content-length')
        await job.exchange.respond(Response(held.status, headers, held.body))

    async def relay(self, job: Job, connection: ServerConnection) -> None:
        """
        Pass an answer on: one of up to MAX_BUFFERED_BYTES once it is complete, a larger one as it
        arrives.

        """
        body = bytearray()
        while data := await connection.read():
            body += data
            if len(body) > MAX_BUFFERED_BYTES:
                await self._respond_large(job, connection, bytes(body))
                return
        job.first_byte_at = self.env.monotonic()
        headers = without_header(self.adapter.caller_headers(connection.headers), 'content-length')
        await job.exchange.respond(Response(connection.status, headers, bytes(body)))

    async def _respond_large(self, job: Job, connection: ServerConnection, received: bytes) -> None:
        job.answer_started = True
        job.first_byte_at = self.env.monotonic()
        headers = self.adapter.caller_headers(connection.headers)
        await job.exchange.start(connection.status, headers)
        await job.exchange.write(received)
        while data := await connection.read():
            await job.exchange.write(data)
        await job.exchange.finish()

    async def stream(self, job: Job, attempt: Attempt, connection: ServerConnection) -> None:
        """
        Pass the complete events of a stream on as they arrive. If the caller has received events
        from another back end before, the stream must continue with the event after the last one.

        :raises SendFailed: if the stream stalls, breaks off, is malformed or continues with
            another event.

        """
        splitter = EventSplitter()
        resumed = job.answer_started
        while data := await self._event_bytes(job, connection):
            attempt.server.last_received_at = self.env.monotonic()
            try:
                events = splitter.feed(data)
            except InvalidEventStream as error:
                raise SendFailed(Reason.TRUNCATED, Verdict.RAN, str(error)) from error
            if not events:
                continue
            self._record_first_token(job, attempt, resumed)
            if resumed:
                _check_resumed(job, splitter)
                resumed = False
            await self._write(job, connection, events)
            if splitter.last_id is not None:
                job.last_event = splitter.last_id
        if splitter.incomplete or not job.answer_started:
            await self._write(job, connection, splitter.incomplete)
        await job.exchange.finish()

    def _record_first_token(self, job: Job, attempt: Attempt, resumed: bool) -> None:
        if attempt.awaiting_first_token and job.requirements.engine is not None and not resumed:
            first_token_ms = (self.env.monotonic() - attempt.started_at) * 1000
            late_ms = first_token_ms - attempt.choice.spec_first_token_ms
            self.server_table.record_first_token(attempt.server, late_ms)
        attempt.mark_first_token()

    async def _event_bytes(self, job: Job, connection: ServerConnection) -> bytes:
        if not job.answer_started or not job.route.repeatable:
            return await connection.read()
        try:
            async with curio.timeout_after(STREAM_STALL_S):
                return await connection.read()
        except curio.TaskTimeout:
            connection.lost = True
            detail = f'no event for {STREAM_STALL_S} s'
            raise SendFailed(Reason.CONNECTION_LOST, Verdict.RAN, detail) from None

    async def _write(self, job: Job, connection: ServerConnection, data: bytes) -> None:
        if not job.answer_started:
            job.answer_started = True
            job.first_byte_at = self.env.monotonic()
            headers = self.adapter.caller_headers(connection.headers)
            await job.exchange.start(connection.status, headers)
        if data:
            await job.exchange.write(data)


def _check_resumed(job: Job, splitter: EventSplitter) -> None:
    """
    Check that a resumed stream continues with the event after the last one passed on. Nothing is
    checked if no event with an id was passed on.

    :raises SendFailed: if the stream continues with another event.

    """
    if job.last_event is None or splitter.first_id == job.last_event + 1:
        return
    detail = f'stream resumed after event {job.last_event} with event {splitter.first_id}'
    raise SendFailed(Reason.TRUNCATED, Verdict.RAN, detail)
