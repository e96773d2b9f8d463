"""
Callers that don't read their answers, or read them slowly.

"""

import socket

import curio
import pytest

from millfork_web import unsent
from millfork_web.server import Server
from millfork_web.unsent import SlowReader, UnsentBytes

PART = b'x' * 65_536
CALLERS = 60
TIMEOUT_S = 20.0


@pytest.fixture(autouse=True)
def short_stalls(monkeypatch):
    monkeypatch.setattr(unsent, 'MAX_STALL_S', 0.4)
    monkeypatch.setattr(unsent, 'PRESSED_STALL_S', 0.1)


def send_to(reader, size, counter):
    """
    Send `size` bytes to a socket whose peer is read by `reader(peer)`.

    """

    async def run():
        near, far = socket.socketpair()
        near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        sock = curio.io.Socket(near)
        task = await curio.spawn(reader, curio.io.Socket(far))
        try:
            async with curio.timeout_after(TIMEOUT_S):
                await counter.send(sock, b'x' * size)
        finally:
            await task.cancel()
            await sock.close()

    curio.run(run)


async def read_nothing(peer):
    await curio.sleep(1000)


async def read_bytes(peer):
    while True:
        await peer.recv(1)
        await curio.sleep(0.05)


async def read_all(peer):
    while await peer.recv(4096):
        await curio.sleep(0.001)


@pytest.mark.parametrize('reader', [read_nothing, read_bytes])
def test_a_peer_that_reads_too_slowly_is_cut_off(reader):
    """
    Guards against connections that hold their bytes, and the request of a back end, for as long as
    their caller keeps them open.

    """
    counter = UnsentBytes()
    with pytest.raises(SlowReader):
        send_to(reader, 1_000_000, counter)
    assert (counter.total, counter.cut_off) == (0, 1)


def test_a_peer_that_reads_steadily_gets_a_large_answer():
    counter = UnsentBytes()
    send_to(read_all, 1_000_000, counter)
    assert (counter.total, counter.cut_off) == (0, 0)


def test_many_slow_callers_hold_no_more_than_the_limit(monkeypatch):
    """
    Guards against an entry whose memory is filled by callers who don't read: they are cut off
    sooner once much waits for them.

    """
    limit = len(PART)
    monkeypatch.setattr(unsent, 'MAX_STALL_S', 1000.0)
    monkeypatch.setattr(unsent, 'MAX_TOTAL_BYTES', limit)
    most = []
    outcomes = []

    async def answer(exchange):
        try:
            await exchange.start(200, [('transfer-encoding', 'chunked')])
            while True:
                await exchange.write(PART)
                most.append(server.unsent.total)
        finally:
            outcomes.append(exchange.request.path)

    server = Server('127.0.0.1', 0, answer)

    async def run():
        listener = curio.tcp_server_socket('127.0.0.1', 0, backlog=CALLERS)
        port = listener.getsockname()[1]
        acceptor = await curio.spawn(server._accept, listener)
        callers = []
        for number in range(CALLERS):
            caller = socket.create_connection(('127.0.0.1', port))
            caller.sendall(b'GET /%d HTTP/1.1\r\nhost: h\r\n\r\n' % number)
            callers.append(caller)
        async with curio.timeout_after(TIMEOUT_S):
            while not outcomes or server.unsent.total > limit:
                await curio.sleep(0.01)
        for caller in callers:
            caller.close()
        assert server.unsent.cut_off == len(outcomes) > CALLERS // 2
        async with curio.timeout_after(TIMEOUT_S):
            while server.unsent.total:
                await curio.sleep(0.01)
        await acceptor.cancel()

    curio.run(run)
    assert max(most) <= CALLERS * len(PART)
