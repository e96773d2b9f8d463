"""
Other tasks run while a daemon parses data that arrives faster than it is parsed.

"""

import curio
import h11
import pytest

from millfork_web import server as server_module
from millfork_web.client import Client, Reply
from millfork_web.models import Response
from millfork_web.server import Server
from millfork_web.turns import EVENTS_PER_TURN

CHUNKS = 20 * EVENTS_PER_TURN
BODY = b'4\r\ntext\r\n' * CHUNKS + b'0\r\n\r\n'
UPLOAD = b'POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n' + BODY
ANSWER = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n' + BODY
REQUEST = b'GET / HTTP/1.1\r\nhost: h\r\n\r\n'
PIPELINED = 500
# Requests that may be answered between two turns of another task.
MAX_REQUESTS_PER_TURN = 4


class ReadySocket:
    """
    A socket on which all of `data` has arrived already.

    """

    def __init__(self, data):
        self.data = data

    async def recv(self, size):
        received, self.data = self.data[:size], self.data[size:]
        return received


def count_turns(task):
    """
    The result of `task`, and how many turns another task had while it ran.

    """
    turns = 0

    async def other():
        nonlocal turns
        while True:
            turns += 1
            await curio.sleep(0)

    async def run():
        ticking = await curio.spawn(other)
        try:
            return await task()
        finally:
            await ticking.cancel()

    return curio.run(run), turns


def read_request():
    return Server('127.0.0.1', 0, None)._read_request(
        ReadySocket(UPLOAD), h11.Connection(h11.SERVER)
    )


def test_a_body_in_small_chunks_leaves_turns_to_other_requests():
    # Guards against an entry that answers nobody while it reads one upload.
    request, turns = count_turns(read_request)
    assert request.body == b'text' * CHUNKS
    assert turns >= CHUNKS // EVENTS_PER_TURN


def test_the_time_limit_of_a_body_holds_while_its_data_is_there(monkeypatch):
    # Guards against a limit that takes effect only once a caller stops sending.
    monkeypatch.setattr(server_module, 'BODY_TIMEOUT_S', 0.0)
    with pytest.raises(curio.TaskTimeout):
        curio.run(read_request)


def test_an_answer_in_small_chunks_leaves_turns_to_other_calls():
    # Guards against an endpoint daemon that does nothing else while it reads an engine's report.
    async def read_answer():
        conn = h11.Connection(h11.CLIENT)
        conn.send(h11.Request(method='GET', target='/', headers=[('host', 'h')]))
        conn.send(h11.EndOfMessage())
        reply = Reply(Client('127.0.0.1', 0), ReadySocket(ANSWER), conn, 'GET')
        await reply.read_head()
        return await reply.body()

    body, turns = count_turns(read_answer)
    assert body == b'text' * CHUNKS
    assert turns >= CHUNKS // EVENTS_PER_TURN


def test_pipelined_requests_leave_turns_to_other_callers():
    # Guards against an entry that answers one caller's requests and no others.
    answered = 0
    answered_at_turns = [0]

    async def answer(exchange):
        nonlocal answered
        answered += 1
        await exchange.respond(Response(200))

    async def other():
        while True:
            answered_at_turns.append(answered)
            await curio.sleep(0)

    async def call():
        server = Server('127.0.0.1', 0, answer)
        listener = curio.tcp_server_socket('127.0.0.1', 0)
        accepting = await curio.spawn(server._accept, listener)
        sock = await curio.open_connection(*listener.getsockname())
        await sock.sendall(REQUEST * PIPELINED)
        ticking = await curio.spawn(other)
        received = b''
        while received.count(b'HTTP/1.1 200') < PIPELINED:
            received += await sock.recv(65536)
        await ticking.cancel()
        await sock.close()
        await accepting.cancel()

    curio.run(call)
    steps = zip(answered_at_turns, answered_at_turns[1:], strict=False)
    assert max(later - earlier for earlier, later in steps) <= MAX_REQUESTS_PER_TURN
