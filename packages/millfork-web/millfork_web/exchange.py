"""
One HTTP request and its response, on a connection of a server.

"""

import socket as socket_
from collections.abc import Callable
from typing import Any

import curio
import h11

from millfork_core.logs import Component, logger
from millfork_core.sockets import FLUSH_ON_CLOSE, RESET_ON_CLOSE, is_quiet
from millfork_web.models import Headers, Request, Response, encode_headers
from millfork_web.unsent import SlowReader, UnsentBytes

log = logger(Component.DAEMON)


class CallerGone(Exception):
    """
    Raised if the caller closes its connection before the response is complete.

    """


class Exchange:
    """
    One request on one connection, and the methods to respond to it. `started` tells whether any
    part of a response may have been sent, `is_closing` whether the server closes its connections
    after their requests. `unsent` counts what waits to be sent to the callers of the server.

    """

    def __init__(
        self,
        sock: Any,
        conn: h11.Connection,
        request: Request,
        is_closing: Callable[[], bool],
        unsent: UnsentBytes,
    ) -> None:
        self.sock = sock
        self.conn = conn
        self.request = request
        self.is_closing = is_closing
        self.unsent = unsent
        self.started = False

    async def respond(self, response: Response) -> None:
        """
        Send one complete response.

        """
        headers = [*response.headers, ('content-length', str(len(response.body)))]
        body = b'' if self.request.method == 'HEAD' else response.body
        head = self._head(response.status, headers)
        data = self.conn.send(h11.Data(data=body)) or b''
        end = self.conn.send(h11.EndOfMessage()) or b''
        await self._send(head + data + end)

    async def start(self, status: int, headers: Headers) -> None:
        """
        Send the head of a streamed response; `write` and `finish` send the body.

        """
        if self.ends_with_connection:
            # Until `finish`, whatever closes the connection resets it, also the end of the process.
            self._set_linger(RESET_ON_CLOSE)
        await self._send(self._head(status, headers))

    async def write(self, data: bytes) -> None:
        await self._send(self.conn.send(h11.Data(data=data)) or b'')

    async def finish(self) -> None:
        await self._send(self.conn.send(h11.EndOfMessage()) or b'')
        if self.ends_with_connection:
            self._set_linger(FLUSH_ON_CLOSE)

    @property
    def ends_with_connection(self) -> bool:
        """
        Whether the end of the connection is the end of a streamed response, unless it is a reset.

        """
        return bool(self.conn.their_http_version == b'1.0')

    def _set_linger(self, linger: bytes) -> None:
        try:
            self.sock.setsockopt(socket_.SOL_SOCKET, socket_.SO_LINGER, linger)
        except OSError as error:
            log.debug('A connection was closed before its linger option was set: {}.', error)

    async def abort(self) -> None:
        """
        Close the connection before a streamed response is complete, in a way that shows the
        caller that the response is incomplete.

        """
        self.conn.send_failed()
        if self.ends_with_connection:
            self._set_linger(RESET_ON_CLOSE)
            return
        try:
            await self.sock.shutdown(socket_.SHUT_RDWR)
        except OSError as error:
            log.debug('A connection was closed before it could be aborted: {}.', error)

    def _head(self, status: int, headers: Headers) -> bytes:
        if self.is_closing() and not has_received(self.sock, self.conn):
            headers = [*headers, ('connection', 'close')]
        return (
            self.conn.send(h11.Response(status_code=status, headers=encode_headers(headers))) or b''
        )

    async def _send(self, data: bytes) -> None:
        self.started = True
        try:
            await self.unsent.send(self.sock, data)
        except SlowReader as error:
            log.info('A caller was cut off, as it reads too slowly: {}.', error)
            self.conn.send_failed()
            self._set_linger(RESET_ON_CLOSE)
            raise CallerGone(f'it reads too slowly: {error}') from error
        except OSError as error:
            self.conn.send_failed()
            raise CallerGone(str(error)) from error
        except curio.CancelledError:
            self.conn.send_failed()
            raise

    async def wait_for_disconnect(self) -> None:
        """
        Return once the caller has closed its side of the connection, or reset it. The bytes of a
        next request stay unread.

        """
        while True:
            try:
                data = await self.sock.recv(1, socket_.MSG_PEEK)
            except OSError as error:
                log.debug('A caller reset its connection: {}.', error)
                return
            if not data:
                return
            await curio.sleep(1.0)


def has_received(sock: Any, conn: h11.Connection) -> bool:
    """
    Whether bytes have arrived that may be a request and that are not part of the last one.

    """
    return bool(conn.trailing_data[0]) or not is_quiet(sock)
