"""
An HTTP/1.1 server: h11 on curio, one task for each connection.

"""

import errno
import socket as socket_
from collections.abc import Awaitable, Callable, Collection
from typing import Any, Final

import curio
import h11

from millfork_core.clocks import elapsed_s
from millfork_core.logs import Component, logger
from millfork_core.sockets import is_quiet
from millfork_core.verdicts import Reason, Refusal, Verdict
from millfork_web.body_memory import BodyMemory, NoBodyMemory
from millfork_web.exchange import CallerGone, Exchange, has_received
from millfork_web.models import Request
from millfork_web.problem import problem
from millfork_web.turns import Turns
from millfork_web.unsent import UnsentBytes

READ_BYTES: Final = 64 * 1024
# The default time for which a connection may wait for the head of its next request.
IDLE_TIMEOUT_S: Final = 120.0
# How long the body of a request may take to arrive after its head.
BODY_TIMEOUT_S: Final = 30.0
# How long the rest of a request is read and discarded after its refusal. Closing a connection with
# unread bytes resets it, and the caller may lose the refusal.
LINGER_TIMEOUT_S: Final = 1.0
BACKLOG: Final = 1024
DESCRIPTOR_SHORTAGE_ERRNOS: Final = frozenset({errno.EMFILE, errno.ENFILE})
# Pause after an attempt to accept a connection has failed.
ACCEPT_PAUSE_S: Final = 0.05
# The number of idle connections closed each time file descriptors run out: few enough to affect
# few callers, more than the connections that arrive within `ACCEPT_PAUSE_S` in a busy fleet.
IDLE_CLOSED_PER_SHORTAGE: Final = 8
# How long a stop waits for the first bytes on a new connection. Callers connect to send a request
# at once, so it takes one round trip, or a lost packet's retransmission after 0.2 s more.
NEW_CONNECTION_WAIT_S: Final = 0.5
# How often a stop checks whether requests are still in progress.
STOP_POLL_S: Final = 0.05
DEFAULT_MAX_BODY_BYTES: Final = 4 * 1024 * 1024

# The states of our side of an h11 connection after a complete response.
COMPLETE_STATES: Final = (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

log = logger(Component.DAEMON)


ExchangeHandler = Callable[[Exchange], Awaitable[None]]
RefusalCallback = Callable[[Reason], None]
Spawn = Callable[..., Awaitable[curio.Task]]


async def spawn_daemon(task: Callable[..., Awaitable[object]], *args: object) -> curio.Task:
    """
    Start a task that is never joined (a daemon task of curio).

    """
    return await curio.spawn(task, *args, daemon=True)


class Server:
    """
    An HTTP server on one address that passes each request to `handler`. `on_refusal` is called
    with the reason for each request that the server itself refuses.

    """

    def __init__(
        self,
        host: str,
        port: int,
        handler: ExchangeHandler,
        max_body: int = DEFAULT_MAX_BODY_BYTES,
        on_refusal: RefusalCallback = lambda reason: None,
        spawn: Spawn = spawn_daemon,
    ) -> None:
        self.host = host
        self.port = port
        self.handler = handler
        self.max_body = max_body
        self.idle_timeout_s = IDLE_TIMEOUT_S
        self.on_refusal = on_refusal
        self.spawn = spawn
        self.closing = False
        self.unsent = UnsentBytes()
        self.body_memory = BodyMemory()
        # The number of connections with a request of which at least a part has been read.
        self.active = 0
        self.acceptor: curio.Task | None = None
        # Connections that wait for a request, the longest idle first.
        self.idle_sockets: dict[Any, None] = {}
        # Those of them that have not had any request yet.
        self.new_sockets: set[Any] = set()
        # The tasks that read the rest of a request, by socket, unless it is to be refused.
        self.reading: dict[Any, curio.Task] = {}

    async def run(self) -> None:
        """
        Accept connections until cancelled or until `stop_accepting` is called.

        """
        listener = curio.tcp_server_socket(self.host, self.port, backlog=BACKLOG)
        self.acceptor = await curio.spawn(self._accept, listener)
        await self.acceptor.wait()

    async def _accept(self, listener: Any) -> None:
        async with listener:
            try:
                while True:
                    await self._accept_one(listener)
            except curio.TaskCancelled:
                if self.closing:
                    await self._accept_waiting(listener)
                raise

    async def _accept_one(self, listener: Any) -> None:
        try:
            sock, address = await listener.accept()
        except OSError as error:
            log.warning('Accepting a connection on port {} failed: {}.', self.port, error)
            if error.errno in DESCRIPTOR_SHORTAGE_ERRNOS:
                await self._free_descriptors()
            await curio.sleep(ACCEPT_PAUSE_S)
            return
        await self._start_serving(sock, address)

    async def _accept_waiting(self, listener: Any) -> None:
        """
        Accept the connections that wait in the backlog, which closing the listener would reset.

        """
        while True:
            try:
                with listener.blocking() as raw:
                    raw.setblocking(False)
                    sock, address = raw.accept()
            except BlockingIOError:
                return
            except OSError as error:
                log.warning('Accepting a connection on port {} failed: {}.', self.port, error)
                return
            await self._start_serving(curio.io.Socket(sock), address)

    async def _start_serving(self, sock: Any, address: Any) -> None:
        self.idle_sockets[sock] = None
        self.new_sockets.add(sock)
        await self.spawn(self._serve, sock, address)

    async def stop_accepting(self) -> None:
        """
        Accept no new connections except those that wait already, and close the idle ones. Requests
        in progress continue; their connections are closed afterwards.

        """
        self.closing = True
        if self.acceptor is not None:
            await self.acceptor.cancel()
        await self._close_idle(len(self.idle_sockets), self.new_sockets)

    async def wait_until_finished(self) -> None:
        """
        After `stop_accepting`, wait until all requests that have arrived are answered, and up to
        NEW_CONNECTION_WAIT_S for those of new connections.

        """
        deadline = elapsed_s() + NEW_CONNECTION_WAIT_S
        while self.active or self.idle_sockets:
            await curio.sleep(STOP_POLL_S)
            if elapsed_s() > deadline:
                await self._close_idle(len(self.idle_sockets))

    async def finish_within(self, timeout_s: float) -> None:
        """
        After `stop_accepting`, refuse the requests of which only a part has arrived, and wait up to
        `timeout_s` seconds until all others are answered.

        """
        while self.reading:
            _, task = self.reading.popitem()
            await task.cancel(blocking=False)
        async with curio.ignore_after(timeout_s):
            await self.wait_until_finished()

    @property
    def in_progress(self) -> int:
        """
        The number of connections on which at least a part of a request has arrived.

        """
        return self.active + sum(not is_quiet(sock) for sock in self.idle_sockets)

    async def _free_descriptors(self) -> None:
        """
        Close the IDLE_CLOSED_PER_SHORTAGE connections that have been idle longest. Otherwise
        callers whose idle connections use all file descriptors would keep other callers out until
        the idle timeout, which is 30 s in a typical document of an operator.

        """
        count = await self._close_idle(IDLE_CLOSED_PER_SHORTAGE)
        log.warning('Closed {} idle connections, as file descriptors ran out.', count)

    async def _close_idle(self, max_count: int, spared: Collection[Any] = ()) -> int:
        """
        Close up to `max_count` idle connections, but none of `spared`, and none with unread bytes,
        as these may be a request. Their tasks find their sockets gone from `idle_sockets`, and
        ignore a request that arrives while its connection is being closed. Returns the number of
        closed connections.

        """
        closed_count = 0
        for sock in list(self.idle_sockets):
            if closed_count == max_count:
                break
            if sock in spared or not is_quiet(sock):
                continue
            del self.idle_sockets[sock]
            closed_count += 1
            try:
                await sock.shutdown(socket_.SHUT_RDWR)
            except OSError as error:
                log.debug('An idle connection was closed by its caller: {}.', error)
        return closed_count

    async def _serve(self, sock: Any, address: Any) -> None:
        conn = h11.Connection(h11.SERVER)
        try:
            sock.setsockopt(socket_.IPPROTO_TCP, socket_.TCP_NODELAY, 1)
            while await self._wait_for_request(sock, conn):
                self.active += 1
                try:
                    if not await self._serve_one(sock, conn, address):
                        break
                finally:
                    self.active -= 1
                    self.body_memory.release(sock)
                conn.start_next_cycle()
                self.idle_sockets[sock] = None
                if conn.trailing_data[0]:
                    # A caller that sends one request after another would otherwise keep other tasks
                    # from running.
                    await curio.sleep(0)
        except CallerGone as error:
            self._log_unanswered(address, f'the caller left: {error}')
        except OSError as error:
            if _is_unanswered(conn):
                self._log_unanswered(address, f'the caller left: {error}')
        except BaseException as error:
            if _is_unanswered(conn):
                self._log_unanswered(address, repr(error))
            raise
        finally:
            self._forget_idle(sock)
            await sock.close()

    def _log_unanswered(self, address: Any, reason: str) -> None:
        log.info('Request not answered. port={} caller={} reason={}', self.port, address, reason)

    async def _serve_one(self, sock: Any, conn: h11.Connection, address: Any) -> bool:
        self.reading[sock] = await curio.current_task()
        try:
            request = await self._read_request(sock, conn)
        except curio.TaskCancelled:
            if sock in self.reading:
                raise
            refusal = Refusal(Reason.STOPPING, detail='the rest of the request came too late')
            await self._refuse(sock, conn, address, refusal)
            return False
        except h11.RemoteProtocolError as error:
            await self._refuse(sock, conn, address, Refusal(Reason.BAD_REQUEST, detail=str(error)))
            return False
        except curio.TaskTimeout:
            part = 'head' if conn.their_state is h11.IDLE else 'body'
            detail = f'the {part} did not arrive in time'
            await self._refuse(sock, conn, address, Refusal(Reason.REQUEST_TIMEOUT, detail=detail))
            return False
        except _TooLarge:
            detail = f'the body is over {self.max_body} bytes'
            await self._refuse(sock, conn, address, Refusal(Reason.TOO_LARGE, detail=detail))
            return False
        except NoBodyMemory:
            detail = f'the bodies of other requests hold {self.body_memory.total} bytes'
            self.body_memory.release(sock)
            await self._refuse(sock, conn, address, Refusal(Reason.BODY_MEMORY, detail=detail))
            return False
        finally:
            self.reading.pop(sock, None)
        if request is None:
            return False
        try:
            await self._handle(self._exchange(sock, conn, request))
        except CallerGone as error:
            self._log_unanswered(address, f'the caller left: {error}')
            return False
        if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
            return False
        return not self.closing or has_received(sock, conn)

    def _exchange(self, sock: Any, conn: h11.Connection, request: Request) -> Exchange:
        return Exchange(sock, conn, request, lambda: self.closing, self.unsent)

    async def _handle(self, exchange: Exchange) -> None:
        request, conn = exchange.request, exchange.conn
        try:
            await self.handler(exchange)
            if conn.our_state in (*COMPLETE_STATES, h11.ERROR):
                return
            log.error('Handling {} {} failed: no complete response.', request.method, request.path)
        except CallerGone:
            raise
        except (Exception, curio.TaskTimeout, curio.TimeoutCancellationError):
            log.exception('Handling {} {} failed.', request.method, request.path)
        if conn.our_state not in COMPLETE_STATES:
            await self._end_failed(exchange)

    async def _end_failed(self, exchange: Exchange) -> None:
        """
        End a request whose handler failed: refuse it, or abort the response if it has begun.

        """
        self.on_refusal(Reason.INTERNAL)
        if exchange.started:
            await exchange.abort()
            return
        response = problem(Refusal(Reason.INTERNAL, Verdict.MAY_HAVE_RUN))
        if exchange.request.method == 'HEAD':
            response.body = b''
        # The failed response may have left the old h11 connection in a state that allows no other
        # one. h11 adds 'Connection: close' to a response of a new one.
        conn = h11.Connection(h11.SERVER)
        await self._exchange(exchange.sock, conn, exchange.request).respond(response)

    async def _refuse(
        self, sock: Any, conn: h11.Connection, address: Any, refusal: Refusal
    ) -> None:
        self.on_refusal(refusal.reason)
        log.info(
            'Refused. port={} caller={} reason={} detail={}',
            self.port,
            address,
            refusal.reason.value,
            refusal.detail,
        )
        if conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        response = problem(refusal)
        response.headers.append(('connection', 'close'))
        await self._exchange(sock, conn, Request('', '')).respond(response)
        await _discard_rest(sock)

    async def _wait_for_request(self, sock: Any, conn: h11.Connection) -> bool:
        """
        Wait for the first bytes of the next request. Returns False if the connection was closed, by
        its caller or by `_close_idle`.

        """
        if not conn.trailing_data[0]:
            data = await self._receive_while_idle(sock)
            if not data or sock not in self.idle_sockets:
                return False
            conn.receive_data(data)
        self._forget_idle(sock)
        return True

    async def _receive_while_idle(self, sock: Any) -> bytes:
        """
        Receive the next bytes on an idle connection; empty if its caller closes it or if nothing
        arrives within `idle_timeout_s`, which may change during the wait.

        """
        idle_since = elapsed_s()
        while True:
            try:
                async with curio.timeout_after(idle_since + self.idle_timeout_s - elapsed_s()):
                    data: bytes = await sock.recv(READ_BYTES)
                    return data
            except curio.TaskTimeout:
                # In a busy process, bytes may arrive between the timeout and this check.
                if is_quiet(sock) and elapsed_s() - idle_since >= self.idle_timeout_s:
                    return b''

    def _forget_idle(self, sock: Any) -> None:
        self.idle_sockets.pop(sock, None)
        self.new_sockets.discard(sock)

    async def _read_request(self, sock: Any, conn: h11.Connection) -> Request | None:
        head = await _next_event(sock, conn, elapsed_s() + self.idle_timeout_s)
        if not isinstance(head, h11.Request):
            return None
        body = bytearray()
        body_deadline = elapsed_s() + BODY_TIMEOUT_S
        turns = Turns()
        while True:
            event = await _next_event(sock, conn, body_deadline)
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                return None
            self.body_memory.hold(sock, len(event.data))
            body += event.data
            if len(body) > self.max_body:
                raise _TooLarge
            if await turns.count_event() and elapsed_s() > body_deadline:
                raise curio.TaskTimeout
        headers = [(name.decode(), value.decode('latin-1')) for name, value in head.headers]
        return Request(head.method.decode(), head.target.decode(), headers, bytes(body))


class _TooLarge(Exception):
    pass


def _is_unanswered(conn: h11.Connection) -> bool:
    """
    Whether at least part of a request was received that has not been answered completely.

    """
    received = conn.their_state is not h11.IDLE or bool(conn.trailing_data[0])
    return received and conn.our_state not in COMPLETE_STATES


async def _next_event(sock: Any, conn: h11.Connection, deadline: float) -> Any:
    """
    Return the next event of a connection.

    :raises TaskTimeout: if it does not arrive by `deadline`, a time of `elapsed_s`.

    """
    event = conn.next_event()
    while event is h11.NEED_DATA:
        async with curio.timeout_after(deadline - elapsed_s()):
            if conn.they_are_waiting_for_100_continue:
                response = h11.InformationalResponse(status_code=100, headers=[])
                await sock.sendall(conn.send(response))
            conn.receive_data(await sock.recv(READ_BYTES))
        event = conn.next_event()
    return event


async def _discard_rest(sock: Any) -> None:
    """
    End our side of a connection, then read and discard what the caller still sends, for up to
    LINGER_TIMEOUT_S.

    """
    await sock.shutdown(socket_.SHUT_WR)
    async with curio.ignore_after(LINGER_TIMEOUT_S):
        while await sock.recv(READ_BYTES):
            # A caller that sends fast would otherwise keep other tasks from running.
            await curio.sleep(0)
