"""
An HTTP/1.1 client: h11 on curio, with a pool of idle connections for each address.

"""

from collections.abc import AsyncIterator
from typing import Any, Final

import curio
import h11

from millfork_core.sockets import connect, is_quiet
from millfork_core.verdicts import Verdict
from millfork_web.framing import (
    MAX_INFORMATIONAL,
    Framing,
    is_final_status,
    may_get_response,
    read_framing,
)
from millfork_web.models import Headers, Response, encode_headers, find_header
from millfork_web.turns import Turns

READ_BYTES: Final = 256 * 1024
CONNECT_TIMEOUT_S: Final = 2.0
# The largest body that `Reply.body` reads into memory. Chunks of weights are the largest ones.
MAX_BODY_BYTES: Final = 16 * 1024 * 1024
MAX_IDLE_CONNECTIONS: Final = 64


class ExchangeFailed(Exception):
    """
    Raised if no complete response arrives. The verdict says whether the server may have run the
    request.

    """

    def __init__(self, verdict: Verdict, detail: str) -> None:
        super().__init__(detail)
        self.verdict = verdict


class InvalidAnswer(ExchangeFailed):
    """
    Raised if the server sends data that can't be an answer, or that may never end. Asking it again
    at once would most likely bring the same.

    """

    def __init__(self, detail: str) -> None:
        super().__init__(Verdict.MAY_HAVE_RUN, detail)


class Reply:
    """
    A response to a request with `method` that is being received: first its head, then the parts of
    its body.

    """

    def __init__(self, client: 'Client', sock: Any, conn: h11.Connection, method: str) -> None:
        self.client = client
        self.sock = sock
        self.conn = conn
        self.method = method
        self.status = 0
        self.headers: Headers = []
        self.framing = Framing.LENGTH
        self.complete = False
        # Whether the server has closed its side of the connection.
        self.ended = False

    def header(self, name: str) -> str:
        return find_header(self.headers, name)

    async def read_head(self) -> None:
        for _ in range(MAX_INFORMATIONAL + 1):
            event = await self._next()
            if not isinstance(event, h11.InformationalResponse):
                break
        if isinstance(event, h11.InformationalResponse):
            raise InvalidAnswer(f'over {MAX_INFORMATIONAL} informational responses')
        if not isinstance(event, h11.Response):
            raise ExchangeFailed(Verdict.MAY_HAVE_RUN, 'the server closed without a response')
        if not is_final_status(event.status_code):
            raise InvalidAnswer(f'the response has status {event.status_code}, which is none')
        self.status = event.status_code
        self.headers = [(name.decode(), value.decode('latin-1')) for name, value in event.headers]
        self.framing = read_framing(self.method, self.status, self.headers)

    async def parts(self) -> AsyncIterator[bytes]:
        """
        Yield the body as it arrives; each part joins what was received since the previous one, but
        at most as many chunks as may be parsed in one turn.

        :raises ExchangeFailed: if the body is incomplete.

        """
        turns = Turns()
        while True:
            event = await self._next()
            if isinstance(event, h11.EndOfMessage):
                self.complete = True
                return
            if not isinstance(event, h11.Data):
                raise ExchangeFailed(Verdict.MAY_HAVE_RUN, 'the body is incomplete')
            data = bytearray(event.data)
            had_turn = await turns.count_event()
            while not had_turn and self.conn.their_state is h11.SEND_BODY:
                event = self._received_event()
                if not isinstance(event, h11.Data):
                    break
                data += event.data
                had_turn = await turns.count_event()
            yield bytes(data)
            if isinstance(event, h11.EndOfMessage):
                self.complete = True
                return

    async def body(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """
        The whole body.

        :raises InvalidAnswer: if the body is larger than `max_bytes`.
        :raises ExchangeFailed: if the body is incomplete.

        """
        content = bytearray()
        # An abandoned generator would be ended by the garbage collector, which curio rejects.
        async with curio.meta.finalize(self.parts()) as parts:
            async for part in parts:
                content += part
                if len(content) > max_bytes:
                    raise InvalidAnswer(f'the body is over {max_bytes} bytes')
        return bytes(content)

    def _received_event(self) -> Any:
        """
        Return the next event of the bytes received so far, or NEED_DATA.

        """
        try:
            return self.conn.next_event()
        except h11.RemoteProtocolError as error:
            if not self.ended:
                raise InvalidAnswer(str(error)) from error
            raise ExchangeFailed(Verdict.MAY_HAVE_RUN, str(error)) from error

    async def _next(self) -> Any:
        try:
            while True:
                event = self._received_event()
                if event is not h11.NEED_DATA:
                    return event
                if not may_get_response(self.conn):
                    raise InvalidAnswer('the data can not be a response')
                data = await self.sock.recv(READ_BYTES)
                self.client.bytes_transferred += len(data)
                self.ended = not data
                self.conn.receive_data(data)
        except (OSError, h11.RemoteProtocolError) as error:
            raise ExchangeFailed(Verdict.MAY_HAVE_RUN, str(error)) from error

    async def close(self) -> None:
        """
        Return the connection to the client's pool if the response was read completely and no data
        followed it, else close the connection. Such data would be read as the next response.

        """
        done = self.conn.our_state is h11.DONE and self.conn.their_state is h11.DONE
        if self.complete and done and not self.conn.trailing_data[0]:
            self.conn.start_next_cycle()
            await self.client.return_connection(self.sock, self.conn)
            return
        await self.sock.close()


class Client:
    """
    A client for one server address. Connections come from the local address `source`, if given.

    """

    def __init__(self, host: str, port: int, source: str = '') -> None:
        self.host = host
        self.port = port
        self.source = source
        self.idle: list[tuple[Any, h11.Connection]] = []
        self.bytes_transferred = 0

    async def return_connection(self, sock: Any, conn: h11.Connection) -> None:
        if len(self.idle) < MAX_IDLE_CONNECTIONS:
            self.idle.append((sock, conn))
            return
        await sock.close()

    async def send(self, method: str, path: str, headers: Headers, body: bytes = b'') -> Reply:
        """
        Send a request and return once the head of the response has been read.

        :raises ExchangeFailed: if there is no connection or it fails before the head is complete.

        """
        sock, conn = await self._connection()
        reply = Reply(self, sock, conn, method)
        try:
            await self._write(sock, conn, method, path, headers, body)
            await reply.read_head()
        except BaseException:
            await sock.close()
            raise
        return reply

    async def fetch(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes = b'',
        timeout: float = 30.0,
        max_bytes: int = MAX_BODY_BYTES,
    ) -> Response:
        """
        Send a request and read the whole response within `timeout` seconds.

        :raises InvalidAnswer: if the body is larger than `max_bytes`, or the data is no answer.
        :raises ExchangeFailed: if no complete response arrives in time.

        """
        try:
            async with curio.timeout_after(timeout):
                reply = await self.send(method, path, headers, body)
                try:
                    content = await reply.body(max_bytes)
                finally:
                    await reply.close()
        except curio.TaskTimeout:
            raise ExchangeFailed(Verdict.MAY_HAVE_RUN, f'no response in {timeout} s') from None
        return Response(reply.status, reply.headers, content)

    async def _connection(self) -> tuple[Any, h11.Connection]:
        while self.idle:
            sock, conn = self.idle.pop()
            if is_quiet(sock):
                return sock, conn
            await sock.close()
        try:
            async with curio.timeout_after(CONNECT_TIMEOUT_S):
                sock = await connect(self.host, self.port, self.source)
        except (OSError, curio.TaskTimeout) as error:
            detail = f'no connection to {self.host}:{self.port}'
            raise ExchangeFailed(Verdict.NOT_RUN, detail) from error
        return sock, h11.Connection(h11.CLIENT)

    async def _write(
        self,
        sock: Any,
        conn: h11.Connection,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
    ) -> None:
        sent = [*headers, ('host', f'{self.host}:{self.port}'), ('content-length', str(len(body)))]
        request = h11.Request(method=method, target=path, headers=encode_headers(sent))
        data = conn.send(request) or b''
        data += conn.send(h11.Data(data=body)) or b''
        data += conn.send(h11.EndOfMessage()) or b''
        self.bytes_transferred += len(data)
        try:
            await sock.sendall(data)
        except OSError as error:
            raise ExchangeFailed(Verdict.MAY_HAVE_RUN, str(error)) from error

    async def close(self) -> None:
        while self.idle:
            sock, _ = self.idle.pop()
            await sock.close()
