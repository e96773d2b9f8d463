"""
Pools of HTTP connections to back ends.

"""

import socket as socket_
from collections import deque
from typing import Any, Final

import curio
import h11

from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_core.sockets import RESET_ON_CLOSE, connect, is_quiet
from millfork_core.verdicts import Reason, Verdict
from millfork_scheduling.server import Server
from millfork_web.framing import (
    MAX_INFORMATIONAL,
    Framing,
    is_final_status,
    may_get_response,
    read_framing,
)
from millfork_web.models import Headers, encode_headers

READ_BYTES: Final = 64 * 1024
# The timeout of opening a connection. The latency between zones is a few milliseconds, and a lost
# SYN is retransmitted only after a second, which is too late for most requests.
CONNECT_TIMEOUT_S: Final = 0.4
# Idle connections are closed this long before the back end would close them.
KEEP_ALIVE_MARGIN_S: Final = 1.0
# The keep-alive time that is assumed for a back end that announces none: such a back end may
# close idle connections early.
DEFAULT_KEEP_ALIVE_S: Final = 4.0
# A request that must not run twice is sent only on a new connection or on one that was in use
# within this time: the back end may be closing a connection that was idle for longer.
RECENT_USE_S: Final = 0.3
# The rest of an answer that isn't passed on is read for at most this long, and up to this size.
DISCARD_TIMEOUT_S: Final = 0.5
MAX_DISCARDED_BYTES: Final = 64 * 1024
# Larger bodies aren't joined with the head into one write: the copy would double their memory while
# a back end reads slowly.
MAX_JOINED_BYTES: Final = 64 * 1024
# One read joins at most this many parts of a body. Parsing 64 KiB of chunks with five bytes each
# keeps the event loop busy for 0.1 s; this many take 4 ms.
MAX_JOINED_PARTS: Final = 256
# After this many reads other tasks get a turn. Where data was always there already, parts of 16 KiB
# kept an entry from all other work, and from the caller's deadline, for 97 s.
READS_PER_TURN: Final = 8

log = logger(Component.PROXY)


class SendFailed(Exception):
    """
    An attempt to get an answer from a back end failed. `reason` says why, `verdict` whether the
    back end has run the request or may have run it.

    """

    def __init__(self, reason: Reason, verdict: Verdict, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason
        self.verdict = verdict
        self.detail = detail


class ServerConnection:
    """
    A connection to a back end, used for one request at a time.

    """

    def __init__(self, sock: Any) -> None:
        self.sock = sock
        self.http = h11.Connection(h11.CLIENT)
        # When the connection was last released to its pool (monotonic seconds).
        self.used_at = 0.0
        self.keep_alive_s = DEFAULT_KEEP_ALIVE_S
        self.reused = False
        self.method = ''
        self.status = 0
        self.headers: Headers = []
        self.framing = Framing.LENGTH
        # Whether the answer was received to its end.
        self.complete = False
        # Whether other tasks get a turn before the next read.
        self.yields_first = False
        self.read_count = 0
        # Whether the connection broke off, or was silent until another back end took over.
        self.lost = False
        # Whether this entry has shut the connection down.
        self.interrupted = False

    async def send(self, method: str, path: str, headers: Headers, body: bytes) -> None:
        """
        Send a request.

        :raises SendFailed: if the connection breaks off; with verdict MAY_HAVE_RUN, as part of
            the request may have arrived.

        """
        self.complete = False
        self.method = method
        if body or method not in ('GET', 'HEAD', 'DELETE', 'OPTIONS'):
            headers = [item for item in headers if item[0] != 'content-length']
            headers = [*headers, ('content-length', str(len(body)))]
        request = h11.Request(method=method, target=path, headers=encode_headers(headers))
        head = self.http.send(request) or b''
        content = (self.http.send(h11.Data(data=body)) or b'') if body else b''
        end = self.http.send(h11.EndOfMessage()) or b''
        try:
            if len(content) > MAX_JOINED_BYTES:
                await self.sock.sendall(head)
                await self.sock.sendall(content)
                await self.sock.sendall(end)
            else:
                await self.sock.sendall(head + content + end)
        except OSError as error:
            raise self._connection_lost(str(error)) from error

    async def read_head(self) -> None:
        """
        Read the head of the answer into `status`, `headers` and `framing`.

        :raises SendFailed: if no valid answer arrives; with verdict MAY_HAVE_RUN.

        """
        for _ in range(MAX_INFORMATIONAL + 1):
            event = await self._next_event()
            if not isinstance(event, h11.InformationalResponse):
                break
        if isinstance(event, h11.InformationalResponse):
            detail = f'over {MAX_INFORMATIONAL} informational responses'
            raise SendFailed(Reason.TRUNCATED, Verdict.MAY_HAVE_RUN, detail)
        if not isinstance(event, h11.Response):
            raise self._connection_lost('the server closed the connection without an answer')
        if not is_final_status(event.status_code):
            detail = f'the answer has status {event.status_code}, which is none'
            raise SendFailed(Reason.INVALID_ANSWER, Verdict.MAY_HAVE_RUN, detail)
        self.status = event.status_code
        self.headers = [(name.decode(), value.decode('latin-1')) for name, value in event.headers]
        self.framing = read_framing(self.method, self.status, self.headers)

    async def read(self) -> bytes:
        """
        The next bytes of the body; empty at the end of the body.

        :raises SendFailed: if the body breaks off or is malformed.

        """
        if self.complete:
            return b''
        if self.yields_first:
            # Otherwise no other task would run while data arrives as fast as it is parsed.
            self.yields_first = False
            await curio.sleep(0)
        event = await self._next_event()
        if isinstance(event, h11.EndOfMessage):
            self.complete = True
            return b''
        if not isinstance(event, h11.Data):
            raise self._connection_lost('the body broke off')
        data = bytes(event.data)
        for _ in range(MAX_JOINED_PARTS):
            if self.http.their_state is not h11.SEND_BODY:
                break
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError:
                # The next read fails with this error, after what arrived before it.
                break
            if not isinstance(event, h11.Data):
                break
            data += bytes(event.data)
        self.read_count += 1
        is_turn_over = self.read_count % READS_PER_TURN == 0
        self.yields_first = is_turn_over or isinstance(event, h11.Data)
        if isinstance(event, h11.EndOfMessage):
            self.complete = True
        return data

    async def discard_body(self) -> None:
        """
        Read and discard the rest of an answer, so that the connection can be reused. A body that is
        large, or doesn't end soon, is not read to its end; the connection can't be reused then.

        """
        discarded = 0
        async with curio.ignore_after(DISCARD_TIMEOUT_S):
            while discarded <= MAX_DISCARDED_BYTES and (data := await self.read()):
                discarded += len(data)

    def broken_off(self, detail: str) -> SendFailed:
        """
        The error for an answer that has ended, but whose content shows that it is incomplete. If
        the end of the connection ended the answer, the connection counts as lost.

        """
        self.lost = self.framing is Framing.CONNECTION
        return SendFailed(Reason.TRUNCATED, Verdict.RAN, detail)

    def _connection_lost(self, detail: str) -> SendFailed:
        self.lost = True
        return SendFailed(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, detail)

    async def _next_event(self) -> Any:
        try:
            while True:
                event = self.http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                if not may_get_response(self.http):
                    detail = 'the data can not be an answer'
                    raise SendFailed(Reason.INVALID_ANSWER, Verdict.MAY_HAVE_RUN, detail)
                data = await self.sock.recv(READ_BYTES)
                if not data and self.interrupted:
                    raise self._connection_lost('the connection was interrupted')
                self.http.receive_data(data)
        except OSError as error:
            raise self._connection_lost(str(error)) from error
        except h11.RemoteProtocolError as error:
            raise SendFailed(Reason.TRUNCATED, Verdict.MAY_HAVE_RUN, str(error)) from error

    @property
    def reusable(self) -> bool:
        """
        Whether the connection can be used for another request: the answer was read completely, no
        data followed the answer, and neither side announced that it closes the connection.

        """
        done = self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
        return self.complete and done and not self.http.trailing_data[0]

    async def interrupt(self) -> None:
        """
        Make the task that waits for data of this connection see the connection as broken off.

        """
        self.interrupted = True
        try:
            await self.sock.shutdown(socket_.SHUT_RDWR)
        except OSError as error:
            log.debug('A connection was closed before it could be interrupted: {}.', error)

    async def abandon(self) -> None:
        """
        Reset the connection, so that the unsent part of a request never reaches the back end.

        """
        try:
            self.sock.setsockopt(socket_.SOL_SOCKET, socket_.SO_LINGER, RESET_ON_CLOSE)
        except OSError as error:
            log.debug('A connection could not be reset: {}.', error)
        await self.sock.close()

    @property
    def is_quiet(self) -> bool:
        """
        Whether an idle connection is open and has received no data since the last answer.

        """
        return is_quiet(self.sock)


class Pool:
    """
    The connections to one back end.

    """

    def __init__(self, env: Environment, host: str, port: int) -> None:
        self.env = env
        self.host = host
        self.port = port
        # The connections without a request, the most recently used one last.
        self.idle: deque[ServerConnection] = deque()
        # The number of open connections, idle ones included.
        self.open_count = 0
        self.is_closed = False

    async def acquire(self, recently_used: bool) -> ServerConnection:
        """
        An idle connection of the pool, or a new one, for one request. If `recently_used` is set, an
        idle connection must have been in use within RECENT_USE_S.

        :raises SendFailed: if no connection can be opened; with verdict NOT_RUN.

        """
        while self.idle:
            connection = self.idle.pop()
            idle_s = self.env.monotonic() - connection.used_at
            limit_s = (
                RECENT_USE_S if recently_used else connection.keep_alive_s - KEEP_ALIVE_MARGIN_S
            )
            if idle_s < limit_s and connection.is_quiet:
                connection.http.start_next_cycle()
                connection.reused = True
                return connection
            await self.close(connection)
            if recently_used:
                break
        return await self._connect()

    async def _connect(self) -> ServerConnection:
        try:
            async with curio.timeout_after(CONNECT_TIMEOUT_S):
                sock = await connect(self.host, self.port)
        except (OSError, curio.TaskTimeout) as error:
            detail = f'no connection to {self.host}:{self.port}: {type(error).__name__}'
            raise SendFailed(Reason.UNREACHABLE, Verdict.NOT_RUN, detail) from None
        self.open_count += 1
        self.env.metrics.count(self.env.metrics.connections, event='opened')
        return ServerConnection(sock)

    async def release(self, connection: ServerConnection, keep_alive_s: float | None) -> None:
        """
        Keep a connection for the next request, or close it if it can't be reused or the pool is
        closed. If the connection was lost, all idle connections of the pool are closed as well, as
        they may be lost for the same reason. `keep_alive_s` is the keep-alive time that the back
        end announced (None: it announced none).

        """
        if self.is_closed or not connection.reusable:
            await self.close(connection)
            if connection.lost:
                await self.close_idle()
            return
        if keep_alive_s is not None:
            connection.keep_alive_s = keep_alive_s
        connection.used_at = self.env.monotonic()
        self.idle.append(connection)

    async def close(self, connection: ServerConnection) -> None:
        """
        Close a connection; reset the connection unless its last answer was received completely.

        """
        self.open_count -= 1
        if connection.complete:
            await connection.sock.close()
            return
        await connection.abandon()

    async def close_old(self) -> None:
        """
        Close the idle connections that the back end is about to close, and those on which it has
        sent something: they can't be used again, and the data may be endless.

        """
        now = self.env.monotonic()
        for connection in list(self.idle):
            idle_s = now - connection.used_at
            is_old = idle_s > connection.keep_alive_s - KEEP_ALIVE_MARGIN_S
            if connection in self.idle and (is_old or not connection.is_quiet):
                self.idle.remove(connection)
                await self.close(connection)

    async def close_idle(self) -> None:
        while self.idle:
            await self.close(self.idle.popleft())


class Pools:
    """
    The connection pools of all back ends, by instance id: an address may be reassigned to
    another back end.

    """

    def __init__(self, env: Environment) -> None:
        self.env = env
        self.pools: dict[str, Pool] = {}

    def pool_of(self, server: Server) -> Pool:
        pool = self.pools.get(server.instance)
        if pool is None:
            pool = Pool(self.env, server.host, server.port)
            self.pools[server.instance] = pool
        return pool

    async def remove(self, server: Server) -> None:
        """
        Remove the pool of a back end that is no longer used, and close its idle connections.

        """
        pool = self.pools.pop(server.instance, None)
        if pool is not None:
            pool.is_closed = True
            await pool.close_idle()

    async def close_old(self) -> None:
        for pool in list(self.pools.values()):
            await pool.close_old()
