"""
Passes the answers of back ends on to callers.

"""

from typing import Final

import curio

from millfork_adapter.adapter import Adapter
from millfork_core.environment import Environment
from millfork_core.verdicts import Reason, Verdict
from millfork_scheduling.server_table import ServerTable
from millfork_web.event_stream import EventSplitter, InvalidEventStream
from millfork_web.framing import Framing
from millfork_web.json_bodies import is_json, is_truncated_json
from millfork_web.models import Response, find_header, without_header
from millforkd.proxy.attempts import Attempt
from millforkd.proxy.connections import SendFailed, ServerConnection
from millforkd.proxy.job import HeldAnswer, Job
from millforkd.proxy.response_monitor import ResponseMonitor

# Answers up to this size, apart from event streams, are passed on only when complete.
MAX_BUFFERED_BYTES: Final = 64 * 1024
# An error answer to a request that may be repeated is read up to this size, and for this long; the
# request is then repeated without it.
MAX_FAILURE_BYTES: Final = 256 * 1024
FAILURE_TIMEOUT_S: Final = 1.0


class ResponseRelay:
    """
    Passes complete answers, large answers and event streams on to callers.

    """

    def __init__(
        self,
        env: Environment,
        adapter: Adapter,
        server_table: ServerTable,
        response_monitor: ResponseMonitor,
    ) -> None:
        self.env = env
        self.adapter = adapter
        self.server_table = server_table
        self.response_monitor = response_monitor

    async def read_failure(self, connection: ServerConnection) -> HeldAnswer:
        """
        Read an error answer, to be passed on if all further attempts fail.

        :raises SendFailed: if the answer is larger than MAX_FAILURE_BYTES, or has not ended after
            FAILURE_TIMEOUT_S.

        """
        body = bytearray()
        try:
            async with curio.timeout_after(FAILURE_TIMEOUT_S):
                while data := await connection.read():
                    body += data
                    if len(body) > MAX_FAILURE_BYTES:
                        raise _endless_failure(connection, f'over {MAX_FAILURE_BYTES} bytes')
        except curio.TaskTimeout:
            raise _endless_failure(connection, f'no end after {FAILURE_TIMEOUT_S} s') from None
        headers = self.adapter.caller_headers(connection.headers)
        return HeldAnswer(connection.status, headers, bytes(body))

    async def relay_held(self, job: Job, held: HeldAnswer) -> None:
        """
        Pass on an error answer that was read with `read_failure`.

        """
        job.status = held.status
        headers = without_header(held.headers, 'content-length')
        await job.exchange.respond(Response(held.status, headers, held.body))

    async def relay(self, job: Job, attempt: Attempt, connection: ServerConnection) -> None:
        """
        Pass an answer on: one of up to MAX_BUFFERED_BYTES once it is complete, a larger one as it
        arrives.

        :raises SendFailed: if the answer breaks off or is malformed, or its connection closes
            inside a JSON document.
        :raises Superseded: if another attempt has claimed the answer.

        """
        body = bytearray()
        began_at = self.env.monotonic()
        while data := await self.response_monitor.read_body(job, attempt, connection, began_at):
            attempt.record_data(self.env.monotonic())
            body += data
            if len(body) > MAX_BUFFERED_BYTES:
                await self._respond_large(job, attempt, connection, bytes(body))
                return
        if _may_be_cut_json(connection) and is_truncated_json(body):
            raise connection.broken_off('the connection closed inside a JSON document')
        await self._claim(job, attempt, connection)
        job.answer_started = True
        job.first_byte_at = self.env.monotonic()
        headers = without_header(self.adapter.caller_headers(connection.headers), 'content-length')
        await job.exchange.respond(Response(connection.status, headers, bytes(body)))

    async def _claim(self, job: Job, attempt: Attempt, connection: ServerConnection) -> None:
        await job.race.claim(attempt)
        job.status = connection.status
        job.framing = connection.framing

    async def _respond_large(
        self, job: Job, attempt: Attempt, connection: ServerConnection, received: bytes
    ) -> None:
        await self._claim(job, attempt, connection)
        job.answer_started = True
        job.first_byte_at = self.env.monotonic()
        headers = self.adapter.caller_headers(connection.headers)
        await job.exchange.start(connection.status, headers)
        await job.exchange.write(received)
        while data := await connection.read():
            self._check_deadline(job)
            await job.exchange.write(data)
        await job.exchange.finish()

    def _check_deadline(self, job: Job) -> None:
        """
        Check that the job has time left. The event loop ends an attempt at its deadline only while
        the attempt waits, and none does whose data arrives as fast as it is passed on.

        :raises SendFailed: if the deadline has passed.

        """
        if job.remaining_s(self.env.monotonic()) <= 0:
            raise SendFailed(Reason.TIMED_OUT, Verdict.MAY_HAVE_RUN, 'the deadline has passed')

    async def stream(self, job: Job, attempt: Attempt, connection: ServerConnection) -> None:
        """
        Pass the complete events of a stream on as they arrive. If the caller has received events
        from another back end before, the stream must continue with the event after the last one.

        :raises SendFailed: if the stream breaks off or ends inside an event, is malformed or
            continues with another event.
        :raises Superseded: if another attempt has claimed the answer.

        """
        splitter = EventSplitter()
        resumed = job.answer_started
        began_at: float | None = None
        while data := await self.response_monitor.read_stream(job, attempt, connection):
            self._check_deadline(job)
            began_at = self.env.monotonic() if began_at is None else began_at
            try:
                events = splitter.feed(data)
            except InvalidEventStream as error:
                raise SendFailed(Reason.TRUNCATED, Verdict.RAN, str(error)) from error
            if events or splitter.is_inside_event:
                # Comments and empty lines alone don't show that a back end works.
                attempt.server.record_received(self.env.monotonic())
            if not events:
                await self.response_monitor.check_first_event(job, attempt, splitter, began_at)
                continue
            attempt.record_data(self.env.monotonic())
            self._record_first_token(job, attempt, resumed)
            if resumed:
                job.race.check(attempt)
                _check_resumed(job, splitter)
                resumed = False
            await self._write(job, attempt, connection, events)
            if splitter.last_id is not None:
                job.last_event = splitter.last_id
        job.unfinished_bytes = len(splitter.incomplete)
        if splitter.is_inside_event:
            raise connection.broken_off('the stream ended inside an event')
        is_empty = not (splitter.has_event or splitter.incomplete)
        if connection.framing is Framing.CONNECTION and is_empty:
            # Also if the stream was resumed: nothing tells that it had no events left.
            raise connection.broken_off('the connection closed before the first event')
        if splitter.incomplete or not job.answer_started:
            await self._write(job, attempt, connection, splitter.incomplete)
        await self._claim(job, attempt, connection)
        await job.exchange.finish()

    def _record_first_token(self, job: Job, attempt: Attempt, resumed: bool) -> None:
        if attempt.awaiting_first_token and job.requirements.engine is not None and not resumed:
            first_token_ms = (self.env.monotonic() - attempt.started_at) * 1000
            late_ms = first_token_ms - attempt.choice.spec_first_token_ms
            self.server_table.record_first_token(attempt.server, late_ms)
        attempt.mark_first_token()

    async def _write(
        self, job: Job, attempt: Attempt, connection: ServerConnection, data: bytes
    ) -> None:
        await self._claim(job, attempt, connection)
        if not job.answer_started:
            job.answer_started = True
            job.first_byte_at = self.env.monotonic()
            headers = self.adapter.caller_headers(connection.headers)
            await job.exchange.start(connection.status, headers)
        if data:
            await job.exchange.write(data)


def _endless_failure(connection: ServerConnection, detail: str) -> SendFailed:
    return SendFailed(
        Reason.TRUNCATED, Verdict.RAN, f'an error answer ({connection.status}) has {detail}'
    )


def _may_be_cut_json(connection: ServerConnection) -> bool:
    if connection.framing is not Framing.CONNECTION or connection.status >= 300:
        return False
    return is_json(find_header(connection.headers, 'content-type'))


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
