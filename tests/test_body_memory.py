"""
The memory that the bodies of requests in progress hold together.

"""

import curio

from millfork_core.verdicts import Reason
from millfork_web import body_memory
from millfork_web.body_memory import BodyMemory
from millfork_web.models import Response
from millfork_web.server import Server

TIMEOUT_S = 20.0


def test_a_body_that_is_alone_may_exceed_the_total(monkeypatch):
    """
    Guards against a limit of a single body, set by operators, that could never be reached.

    """
    monkeypatch.setattr(body_memory, 'MAX_TOTAL_BODY_BYTES', 10)
    memory = BodyMemory()
    memory.hold('a', 8)
    memory.hold('a', 8)
    memory.release('a')
    assert memory == BodyMemory()


def test_many_bodies_hold_no_more_than_the_limit(monkeypatch):
    """
    Guards against an entry whose memory is filled by bodies that are each within their limit.

    """
    size = 100_000
    limit = 3 * size
    monkeypatch.setattr(body_memory, 'MAX_TOTAL_BODY_BYTES', limit)
    refused = []
    finish = curio.Event()

    async def answer(exchange):
        await finish.wait()
        await exchange.respond(Response(200))

    async def scenario():
        server = Server('127.0.0.1', 0, answer, on_refusal=lambda reason: refused.append(reason))
        listener = curio.tcp_server_socket('127.0.0.1', 0)
        accepting = await curio.spawn(server._accept, listener)
        head = b'POST / HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n' % size
        callers = []
        for _ in range(5):
            sock = await curio.open_connection(*listener.getsockname())
            await sock.sendall(head + b'x' * size)
            callers.append(sock)
        while len(refused) < 2:
            assert server.body_memory.total <= limit
            await curio.sleep(0.01)
        await finish.set()
        replies = [await sock.recv(12) for sock in callers]
        assert sorted(replies) == [b'HTTP/1.1 200'] * 3 + [b'HTTP/1.1 503'] * 2
        while server.body_memory.total:
            await curio.sleep(0.01)
        assert refused == [Reason.BODY_MEMORY] * 2
        await accepting.cancel()

    async def limited():
        async with curio.timeout_after(TIMEOUT_S):
            await scenario()

    curio.run(limited)
