"""
Sends and receives frames over one TCP stream.

"""

from typing import Any, Final

from curio import socket

from millfork_core.sockets import connect_repeatedly
from millfork_wire import codec
from millfork_wire.codec import BadFrame, Frame
from millfork_wire.fragments import Fragment

MAX_PROXY_REPLY_BYTES: Final = 4096
# Milliseconds after which the kernel closes a connection whose sent bytes the peer does not
# acknowledge.
MAX_UNACKNOWLEDGED_MS: Final = 30_000
# The most bytes that the kernel takes before they can be sent. An urgent frame can't overtake them.
MAX_UNSENT_BYTES: Final = 64 * 1024


class Transport:
    """
    Reads and writes whole frames on a curio socket.

    """

    def __init__(self, sock: Any) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, MAX_UNACKNOWLEDGED_MS)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES)
        self.sock = sock
        self.stream = sock.as_stream()

    async def send(self, frame: Frame) -> None:
        await self.send_bytes(codec.encode(frame))

    async def send_bytes(self, data: bytes) -> None:
        await self.stream.write(data)

    async def receive(self, limit: int = codec.MAX_FRAME_BYTES) -> Frame:
        """
        Read the next frame, which must be whole.

        :raises EOFError: if the peer closed the connection.
        :raises BadFrame: if the frame is over `limit` bytes, comes in fragments, or the bytes are
            not a frame.

        """
        fragment = await self.receive_fragment(limit)
        if fragment.more:
            raise BadFrame('a frame came in fragments')
        return codec.decode(fragment.body, fragment.packed)

    async def receive_fragment(self, limit: int = codec.MAX_FRAME_BYTES) -> Fragment:
        """
        Read the next frame, or the next fragment of one, without decoding it.

        :raises EOFError: if the peer closed the connection.
        :raises BadFrame: if the fragment is over `limit` bytes, or has no valid header.

        """
        header = codec.parse_header(await self.stream.read_exactly(codec.LENGTH_BYTES))
        if header.length > limit:
            raise BadFrame(f'a frame of {header.length} bytes is over the limit of {limit}')
        body = await self.stream.read_exactly(header.length)
        return Fragment(header.priority, header.packed, header.more, body)

    async def shutdown(self) -> None:
        """
        Shut down both directions, which wakes the task that waits to read.

        """
        try:
            await self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    async def close(self) -> None:
        await self.sock.close()


async def dial(host: str, port: int, source: str, via: tuple[str, int] | None) -> Transport:
    """
    Open a connection from the address `source` to `host` and `port`. If `via` is given, it is the
    host and port of an HTTP proxy between zones, and the connection is opened through that proxy
    (CONNECT method).

    :raises OSError: if the connection can't be opened.

    """
    first_hop = via or (host, port)
    sock = await connect_repeatedly(*first_hop, source)
    if via is None:
        return Transport(sock)
    try:
        await _connect_through_proxy(sock, host, port)
    except BaseException:
        await sock.close()
        raise
    return Transport(sock)


async def _connect_through_proxy(sock: Any, host: str, port: int) -> None:
    request = f'CONNECT {host}:{port} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n'
    await sock.sendall(request.encode())
    reply = b''
    while b'\r\n\r\n' not in reply:
        data = await sock.recv(1)
        reply += data
        if not data or len(reply) > MAX_PROXY_REPLY_BYTES:
            raise ConnectionRefusedError('the proxy sent no complete answer')
    if b' 200 ' not in reply.split(b'\r\n', 1)[0]:
        raise ConnectionRefusedError(f'the proxy refused {host}:{port}')
