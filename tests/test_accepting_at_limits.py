"""
A server whose callers' idle connections use all file descriptors of its process.

Guards against a server that accepts no new connection until the idle timeout (30 s in a typical
operator's document, `limits.idle_timeout_ms`) closes an old one, while it reports that it is ready.

"""

import errno
import socket

import curio

from millfork_web.models import Response
from millfork_web.server import Server

MAX_OPEN_CONNECTIONS = 20
CALLERS = 50
TIMEOUT_S = 10.0


class FakeListener:
    """
    A listening socket that accepts a connection only while fewer than `MAX_OPEN_CONNECTIONS`
    accepted connections are open.

    """

    def __init__(self):
        self.accepted = []
        self.pending = curio.Queue()
        self.failed_accepts = 0

    async def __aenter__(self):
        return self

    async def __aexit__(self, *args):
        return None

    async def accept(self):
        if sum(sock.fileno() >= 0 for sock in self.accepted) >= MAX_OPEN_CONNECTIONS:
            self.failed_accepts += 1
            raise OSError(errno.EMFILE, 'too many open files')
        sock = curio.io.Socket(await self.pending.get())
        # TCP_NODELAY does not exist on a pair of local sockets.
        sock.setsockopt = lambda *args: None
        self.accepted.append(sock)
        return sock, ''

    async def connect(self):
        caller_sock, server_sock = socket.socketpair()
        await self.pending.put(server_sock)
        caller_sock.setblocking(False)
        return curio.io.Socket(caller_sock)


async def handle(exchange):
    if exchange.request.path == '/slow':
        await curio.sleep(0.5)
    await exchange.respond(Response(200, [], b'here'))


async def send_request(sock, path='/'):
    await sock.sendall(f'GET {path} HTTP/1.1\r\nhost: h\r\n\r\n'.encode())
    return await sock.recv(1000)


async def serve_callers(path):
    """
    Connect a first caller that requests `path`, then `CALLERS` callers that keep their
    connections open. Returns how many of the latter were answered, the answer to the first
    caller, and the number of failed accepts.

    """
    listener, open_connections = FakeListener(), []
    server = Server('127.0.0.1', 0, handle)
    accepting = await curio.spawn(server._accept, listener)
    first_request = await curio.spawn(send_request, await listener.connect(), path)
    served = 0
    async with curio.ignore_after(TIMEOUT_S):
        for _ in range(CALLERS):
            sock = await listener.connect()
            open_connections.append(sock)
            served += b'here' in await send_request(sock)
    first_answer = await first_request.join()
    await accepting.cancel()
    return served, first_answer, listener.failed_accepts


def test_a_server_at_its_limits_goes_on_accepting():
    served, _, failed_accepts = curio.run(serve_callers, '/')
    assert served == CALLERS
    assert failed_accepts > 0


def test_a_caller_that_waits_for_its_answer_keeps_its_connection():
    served, first_answer, _ = curio.run(serve_callers, '/slow')
    assert served == CALLERS
    assert b'here' in first_answer
