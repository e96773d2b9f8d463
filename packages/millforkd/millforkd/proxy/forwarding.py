"""
The path of a request: admitted, sent to a back end, answered or refused.

"""

from typing import Final

import curio

from millfork_adapter.adapter import Adapter
from millfork_adapter.calls import BadCall
from millfork_adapter.exchange import SendOrders
from millfork_core.environment import Environment
from millfork_core.logs import Part, logger
from millfork_core.verdicts import Reason, Refusal, Refused, Verdict
from millfork_routing.budget import SharedBudget
from millfork_routing.documents import RouteKind
from millfork_routing.servers import Server, ServerBook
from millfork_web.models import Response
from millfork_web.problem import problem
from millfork_web.server import CallerGone, Exchange
from millforkd.proxy.admission import Admission
from millforkd.proxy.connections import Pools, SendFailed, ServerConnection
from millforkd.proxy.events import EventSplitter, NotEvents
from millforkd.proxy.job import Failed, HeldAnswer, Job

# An answer up to this size is passed on only when it is whole.
GATHERED_BYTES: Final = 64 * 1024
# A stream that may be resumed is left after this silence; its callers wait
# two seconds at the least.
STREAM_STALL_S: Final = 1.2
# Of the deadline, so that the last word reaches the caller before it leaves.
LAST_WORD_S: Final = 0.03
# When to come back after a refusal, by reason, in ms. Short, as callers have
# seconds and a place comes free in a fraction of one.
RETRY_AFTER_MS: Final[dict[Reason, int]] = {
    Reason.NOT_READY: 500,
    Reason.NO_ENDPOINT: 500,
    Reason.UNREACHABLE: 300,
    Reason.BUSY: 300,
    Reason.RETRY_BUDGET: 500,
    Reason.EXPIRED: 0,
}
# A version that a server refused is not asked of it again this long; its
# next report says more.
REFUSED_VERSION_S: Final = 0.5
NOT_RUN_STATUS: Final = 503
TIMED_OUT_STATUS: Final = 504
LOST_STATUS: Final = 502
CLIENT_ERRORS: Final = frozenset(
    {Reason.BAD_REQUEST, Reason.UNAUTHENTICATED, Reason.NOT_FOUND, Reason.TOO_LARGE}
)

BROKEN: Final = frozenset({Reason.UNREACHABLE, Reason.CONNECTION_LOST, Reason.TRUNCATED})

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
    ) -> None:
        self.env = env
        self.adapter = adapter
        self.admission = admission
        self.book = book
        self.pools = pools
        self.budget = budget

    async def answer(self, exchange: Exchange) -> None:
        """
        Answer one request.

        """
        began = self.env.monotonic()
        try:
            caller = self.adapter.read_caller(exchange.request)
        except BadCall as error:
            await self._refuse(exchange, '', Refusal(Reason.BAD_REQUEST, detail=str(error)))
            return
        try:
            job = self.admission.admit(exchange, caller)
        except Refused as error:
            log.info(
                'Refused. id={} reason={} detail={}',
                caller.request_id,
                error.refusal.reason.value,
                error.refusal.detail,
            )
            await self._refuse(exchange, caller.request_id, error.refusal)
            return
        job.began = began
        await self._serve_watched(job)

    async def _serve_watched(self, job: Job) -> None:
        """
        Serve a job; should its caller leave, stop at once.

        """
        current = await curio.current_task()
        watcher = await curio.spawn(self._watch, job, current, daemon=True)
        try:
            await self._serve(job)
        except curio.TaskCancelled:
            if not job.caller_gone:
                raise
            self._log_end(job, 'caller_gone')
            raise CallerGone('the caller left') from None
        except CallerGone:
            self._log_end(job, 'caller_gone')
            raise
        finally:
            await watcher.cancel(blocking=False)

    async def _watch(self, job: Job, task: curio.Task) -> None:
        try:
            await job.exchange.until_caller_gone()
        except OSError:
            pass
        job.caller_gone = True
        await task.cancel(blocking=False)

    async def _serve(self, job: Job) -> None:
        while True:
            refusal = await self._attempt(job)
            if refusal is None:
                self._log_end(job, 'served')
                return
            if job.started:
                await job.exchange.break_off()
                self._log_end(job, 'broken_off', refusal)
                return
            if job.held is not None:
                await self._relay_held(job, job.held)
                self._log_end(job, 'served_failure', refusal)
                return
            await self._refuse(job.exchange, job.caller.request_id, refusal)
            self._log_end(job, 'refused', refusal)
            return

    async def _attempt(self, job: Job) -> Refusal | None:
        """
        Send a job to one back end after another; None once it is answered.

        """
        while True:
            refusal = self._barred(job)
            if refusal is not None:
                return refusal
            server = self.book.choose(job.wanted, set(job.tried))
            if server is None:
                return self._no_server(job)
            if job.tried and not self.budget.spend(job.wanted.service):
                return self._final(job, Reason.RETRY_BUDGET)
            failed = await self._send(job, server)
            if failed is None:
                return None
            job.failures.append(failed)
            self.env.metrics.retried(failed.reason)
            log.info(
                'Attempt failed. id={} server={} reason={} verdict={} detail={} ms={:.0f}',
                job.caller.request_id,
                server.instance,
                failed.reason.value,
                failed.verdict.value,
                failed.detail,
                (self.env.monotonic() - job.began) * 1000,
            )

    def _barred(self, job: Job) -> Refusal | None:
        """
        Why a job may not be sent (again), if so.

        """
        if job.left_s(self.env.monotonic()) < LAST_WORD_S:
            return self._final(job, Reason.TIMED_OUT if job.tried else Reason.EXPIRED)
        if not job.failures:
            return None
        last = job.failures[-1]
        if job.may_have_run and not job.route.repeatable:
            return self._final(job, last.reason)
        if len(job.tried) >= job.route.max_attempts:
            return self._final(job, last.reason)
        return None

    def _no_server(self, job: Job) -> Refusal:
        if job.failures:
            return self._final(job, job.failures[-1].reason)
        return self._final(job, Reason.NO_ENDPOINT)

    def _final(self, job: Job, reason: Reason) -> Refusal:
        """
        The refusal of a job, with the verdict over all of its attempts.

        """
        detail = '; '.join(failed.detail for failed in job.failures)
        if job.may_have_run:
            return Refusal(reason, Verdict.MAY_HAVE_RUN, detail)
        return Refusal(reason, Verdict.NOT_RUN, detail, RETRY_AFTER_MS.get(reason, 300))

    # One back end.

    async def _send(self, job: Job, server: Server) -> Failed | None:
        """
        One attempt; None if the caller has its answer.

        """
        pool = self.pools.of(server)
        server.mine += 1
        connection = None
        keep_s = None
        try:
            async with curio.timeout_after(job.left_s(self.env.monotonic()) - LAST_WORD_S):
                connection = await pool.take(fresh=not job.route.repeatable)
                keep_s = await self._exchange(job, server, connection)
            return None
        except SendFailed as error:
            return self._failed(job, server, error.reason, error.verdict, error.detail)
        except curio.TaskTimeout:
            verdict = Verdict.NOT_RUN if connection is None else Verdict.MAY_HAVE_RUN
            return self._failed(job, server, Reason.TIMED_OUT, verdict, 'the time is up')
        finally:
            server.mine -= 1
            if connection is not None:
                await pool.give_back(connection, keep_s)

    def _failed(
        self, job: Job, server: Server, reason: Reason, verdict: Verdict, detail: str
    ) -> Failed:
        now = self.env.monotonic()
        if server.instance not in job.tried:
            job.tried.append(server.instance)
        silent = reason is Reason.TIMED_OUT and server.heard_at < job.began
        if silent or reason in BROKEN:
            server.note_failure(now)
        return Failed(reason, verdict, detail)

    async def _exchange(
        self, job: Job, server: Server, connection: ServerConnection
    ) -> float | None:
        """
        Send, read, pass on. Returns how long the connection may be kept.

        :raises SendFailed: if the caller has no whole answer.

        """
        request = job.exchange.request
        version = None
        if job.wanted.engine is not None:
            version = server.newest_whole(job.wanted.engine.layers)
        now = self.env.monotonic()
        orders = SendOrders(
            str(server.instance),
            max(int(job.left_s(now) * 1000), 1),
            job.organisation.name if job.organisation is not None else '',
            self.admission.table is not None and self.admission.table.needs_keys,
            version,
            None,
            job.resume_after if job.last_event is not None else None,
        )
        if not job.tried:
            self.budget.note_request(job.wanted.service)
        job.tried.append(server.instance)
        headers = self.adapter.forward(request, orders)
        await connection.send(request.method, request.path, headers, request.body)
        await connection.read_head()
        server.heard_at = self.env.monotonic()
        head = self.adapter.read_answer(connection.status, connection.headers)
        if head.request_id and head.request_id != job.caller.request_id:
            raise SendFailed(
                Reason.TRUNCATED, Verdict.MAY_HAVE_RUN, 'the answer belongs to another request'
            )
        if head.not_run:
            await self._drop_body(connection)
            if head.elsewhere and version is not None:
                server.refused[version] = self.env.monotonic() + REFUSED_VERSION_S
            raise SendFailed(Reason.BUSY, Verdict.NOT_RUN, f'the server answered {head.status}')
        if head.status >= 500 and job.route.repeatable and not job.started:
            await self._hold(job, connection)
            server.note_outcome(failed=True)
            raise SendFailed(
                Reason.BACKEND_FAILED, Verdict.RAN, f'the server answered {head.status}'
            )
        job.status = head.status
        if job.route.kind is RouteKind.STREAMING and head.status < 300:
            await self._relay_stream(job, server, connection)
        else:
            await self._relay_whole(job, connection)
        server.note_outcome(failed=head.status >= 500)
        return 0.0 if head.closing else head.keep_s

    async def _drop_body(self, connection: ServerConnection) -> None:
        """
        Read a refusal's body, so that its connection can be kept.

        """
        while await connection.read():
            pass

    async def _hold(self, job: Job, connection: ServerConnection) -> None:
        body = bytearray()
        while data := await connection.read():
            body += data
        headers = self.adapter.relayed(connection.headers)
        job.held = HeldAnswer(connection.status, headers, bytes(body))

    async def _relay_held(self, job: Job, held: HeldAnswer) -> None:
        headers = [item for item in held.headers if item[0] != 'content-length']
        job.status = held.status
        await job.exchange.respond(Response(held.status, headers, held.body))

    async def _relay_whole(self, job: Job, connection: ServerConnection) -> None:
        """
        Pass an answer on: whole if it is small, else as it comes.

        """
        headers = self.adapter.relayed(connection.headers)
        body = bytearray()
        while data := await connection.read():
            body += data
            if len(body) > GATHERED_BYTES:
                await self._relay_large(job, connection, bytes(body))
                return
        job.first_at = self.env.monotonic()
        headers = [item for item in headers if item[0] != 'content-length']
        await job.exchange.respond(Response(connection.status, headers, bytes(body)))

    async def _relay_large(self, job: Job, connection: ServerConnection, begun: bytes) -> None:
        job.started = True
        job.first_at = self.env.monotonic()
        headers = self.adapter.relayed(connection.headers)
        await job.exchange.start(connection.status, headers)
        await job.exchange.write(begun)
        while data := await connection.read():
            await job.exchange.write(data)
        await job.exchange.finish()

    async def _relay_stream(self, job: Job, server: Server, connection: ServerConnection) -> None:
        """
        Pass whole events on as they come.

        """
        splitter = EventSplitter()
        resumed = job.started
        while True:
            data = await self._read_event_bytes(job, connection)
            server.heard_at = self.env.monotonic()
            if not data:
                break
            try:
                whole = splitter.feed(data)
            except NotEvents as error:
                raise SendFailed(Reason.TRUNCATED, Verdict.RAN, str(error)) from error
            if not whole:
                continue
            if resumed:
                self._check_resumed(job, splitter)
                resumed = False
            await self._write_events(job, connection, whole)
            if splitter.last_id is not None:
                job.last_event = splitter.last_id
        if splitter.rest or not job.started:
            await self._write_events(job, connection, splitter.rest)
        await job.exchange.finish()

    async def _read_event_bytes(self, job: Job, connection: ServerConnection) -> bytes:
        if not job.started or not job.route.repeatable:
            return await connection.read()
        try:
            async with curio.timeout_after(STREAM_STALL_S):
                return await connection.read()
        except curio.TaskTimeout:
            detail = f'no event for {STREAM_STALL_S} s'
            raise SendFailed(Reason.CONNECTION_LOST, Verdict.RAN, detail) from None

    def _check_resumed(self, job: Job, splitter: EventSplitter) -> None:
        """
        A resumed stream must go on with the next event.

        """
        if job.last_event is None or splitter.first_id == job.last_event + 1:
            return
        detail = f'resumed after {job.last_event} with {splitter.first_id}'
        raise SendFailed(Reason.TRUNCATED, Verdict.RAN, detail)

    async def _write_events(self, job: Job, connection: ServerConnection, data: bytes) -> None:
        if not job.started:
            job.started = True
            job.first_at = self.env.monotonic()
            headers = self.adapter.relayed(connection.headers)
            await job.exchange.start(connection.status, headers)
        if data:
            await job.exchange.write(data)

    # The last word.

    async def _refuse(self, exchange: Exchange, request_id: str, refusal: Refusal) -> None:
        self.env.metrics.refused(refusal.reason, 'proxy')
        response = problem(refusal)
        response.status = _status_of(refusal)
        wait_ms = refusal.wait_ms if response.status == NOT_RUN_STATUS else 0
        headers = [item for item in response.headers if item[0] != 'retry-after']
        response.headers = headers + self.adapter.refusal_headers(request_id, wait_ms)
        await exchange.respond(response)

    def _log_end(self, job: Job, outcome: str, refusal: Refusal | None = None) -> None:
        now = self.env.monotonic()
        metrics = self.env.metrics
        metrics.count(metrics.requests, outcome=outcome)
        metrics.request_seconds.add({'kind': job.route.kind.value}, now - job.began)
        first_ms = -1.0
        if job.first_at is not None:
            first_ms = (job.first_at - job.began) * 1000
            metrics.first_seconds.add({'kind': job.route.kind.value}, first_ms / 1000)
        log.info(
            'Request ended. id={} outcome={} status={} route={} service={} organisation={} '
            'document={} servers={} first_ms={:.0f} ms={:.0f} reason={} verdict={}',
            job.caller.request_id,
            outcome,
            job.status,
            job.route.name,
            job.wanted.service,
            job.organisation.name if job.organisation is not None else '',
            job.document_version,
            ','.join(job.tried),
            first_ms,
            (now - job.began) * 1000,
            refusal.reason.value if refusal is not None else '',
            refusal.verdict.value if refusal is not None else '',
        )


def _status_of(refusal: Refusal) -> int:
    """
    The status of a refusal: one that promises 'not run' only where it holds.

    """
    if refusal.reason in CLIENT_ERRORS:
        return refusal.http_status
    if refusal.verdict is Verdict.NOT_RUN:
        return NOT_RUN_STATUS
    return TIMED_OUT_STATUS if refusal.reason is Reason.TIMED_OUT else LOST_STATUS
