"""
Connections of an entry to back ends: which are reused, and which are reset.

"""

import socket

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_core.verdicts import Reason, Verdict
from millforkd.proxy import connections
from millforkd.proxy.connections import MAX_JOINED_PARTS, READS_PER_TURN, Pool, SendFailed

COMPLETE_ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
HEADERS = [('host', 'h')]


class Listener:
    """
    A listening socket whose connections the test reads and writes itself.

    """

    def __enter__(self):
        self.sock = socket.create_server(('127.0.0.1', 0))
        self.sock.settimeout(5)
        self.port = self.sock.getsockname()[1]
        return self

    def __exit__(self, *arguments):
        self.sock.close()

    def accept(self):
        peer, _ = self.sock.accept()
        peer.settimeout(5)
        return peer


def pool_to(listener):
    env = Environment(InstanceId('a:1'), ZoneId('zone'))
    return Pool(env, '127.0.0.1', listener.port)


async def pool_with_sent_request(listener):
    """
    A pool, a connection of the pool on which a request was sent, and the server's socket of that
    connection.

    """
    pool = pool_to(listener)
    connection = await pool.acquire(recently_used=False)
    peer = listener.accept()
    await connection.send('GET', '/', HEADERS, b'')
    return pool, connection, peer


async def read_body(connection):
    body = b''
    while data := await connection.read():
        body += data
    return body


def test_a_connection_is_kept_after_a_complete_answer():
    async def run(listener):
        pool, connection, peer = await pool_with_sent_request(listener)
        peer.sendall(COMPLETE_ANSWER)
        await connection.read_head()
        assert await read_body(connection) == b'ok'
        await pool.release(connection, 30.0)
        assert await pool.acquire(recently_used=False) is connection

    with Listener() as listener:
        curio.run(run, listener)


def test_an_interruption_is_not_the_end_of_an_answer_without_length():
    async def run(listener):
        _, connection, peer = await pool_with_sent_request(listener)
        peer.sendall(b'HTTP/1.1 500 Internal Server Error\r\n\r\npart')
        await connection.read_head()
        assert await connection.read() == b'part'
        await connection.interrupt()
        with pytest.raises(SendFailed) as failure:
            await connection.read()
        assert failure.value.verdict is Verdict.MAY_HAVE_RUN

    with Listener() as listener:
        curio.run(run, listener)


def test_a_connection_with_bytes_after_the_answer_is_not_reused():
    async def run(listener):
        pool, connection, peer = await pool_with_sent_request(listener)
        peer.sendall(COMPLETE_ANSWER + COMPLETE_ANSWER)
        await connection.read_head()
        await read_body(connection)
        await pool.release(connection, 30.0)
        assert await pool.acquire(recently_used=False) is not connection

    with Listener() as listener:
        curio.run(run, listener)


def test_a_late_answer_on_an_idle_connection_ends_it():
    async def run(listener):
        pool, connection, peer = await pool_with_sent_request(listener)
        peer.sendall(COMPLETE_ANSWER)
        await connection.read_head()
        await read_body(connection)
        await pool.release(connection, 30.0)
        peer.sendall(COMPLETE_ANSWER)
        async with curio.timeout_after(5):
            while connection.is_quiet:
                await curio.sleep(0.01)
        assert await pool.acquire(recently_used=False) is not connection

    with Listener() as listener:
        curio.run(run, listener)


def test_endless_data_on_an_idle_connection_ends_it():
    """
    Guards against idle connections whose unread data stays in memory until their next use.

    """

    async def run(listener):
        pool, connection, peer = await pool_with_sent_request(listener)
        peer.sendall(COMPLETE_ANSWER)
        await connection.read_head()
        await read_body(connection)
        await pool.release(connection, 30.0)
        await pool.close_old()
        assert list(pool.idle) == [connection]
        peer.sendall(COMPLETE_ANSWER * 100)
        async with curio.timeout_after(5):
            while connection.is_quiet:
                await curio.sleep(0.01)
        await pool.close_old()
        assert not pool.idle
        assert pool.open_count == 0

    with Listener() as listener:
        curio.run(run, listener)


@pytest.mark.parametrize(
    ('answer', 'read_bytes', 'most'),
    [
        (CHUNKED_HEAD + b'1\r\nx\r\n' * 4000, 65_536, MAX_JOINED_PARTS + 1),
        (b'HTTP/1.1 200 OK\r\n\r\n' + bytes(1_000 * READS_PER_TURN), 500, 500),
    ],
    ids=['many parts', 'many reads'],
)
def test_data_that_arrives_fast_keeps_no_other_task_waiting(monkeypatch, answer, read_bytes, most):
    """
    Guards against an entry that reads nothing but one answer, while the data of that answer arrives
    as fast as it is read.

    """
    turns = 0

    async def take_turns():
        nonlocal turns
        while True:
            turns += 1
            await curio.sleep(0)

    async def run(listener):
        _, connection, peer = await pool_with_sent_request(listener)
        peer.sendall(answer)
        monkeypatch.setattr(connections, 'READ_BYTES', read_bytes)
        await connection.read_head()
        other = await curio.spawn(take_turns)
        turns_before = turns
        for _ in range(READS_PER_TURN):
            assert 0 < len(await connection.read()) <= most
        await connection.read()
        assert turns > turns_before
        await other.cancel()
        await connection.abandon()

    with Listener() as listener:
        curio.run(run, listener)


def test_idle_connections_are_closed_once_one_is_lost():
    async def run(listener):
        pool, idle_connection, peer = await pool_with_sent_request(listener)
        peer.sendall(COMPLETE_ANSWER)
        await idle_connection.read_head()
        await read_body(idle_connection)
        lost = await pool.acquire(recently_used=False)
        other = listener.accept()
        await pool.release(idle_connection, 30.0)
        await lost.send('GET', '/', HEADERS, b'')
        other.close()
        with pytest.raises(SendFailed):
            await lost.read_head()
        await pool.release(lost, None)
        assert not pool.idle
        assert pool.open_count == 0

    with Listener() as listener:
        curio.run(run, listener)


def test_the_connection_of_an_abandoned_request_is_reset():
    async def run(listener):
        pool = pool_to(listener)
        connection = await pool.acquire(recently_used=False)
        peer = listener.accept()
        await connection.send('POST', '/', HEADERS, b'body')
        assert peer.recv(1)
        await pool.release(connection, None)
        with pytest.raises(ConnectionResetError):
            while peer.recv(65536):
                continue

    with Listener() as listener:
        curio.run(run, listener)


@pytest.mark.parametrize(
    'answer',
    [
        b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ncut',
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\ncut\r\n',
        b'no answer at all\r\n\r\n',
        b'',
    ],
)
def test_an_answer_that_breaks_off_is_never_complete(answer):
    async def run(listener):
        pool, connection, peer = await pool_with_sent_request(listener)
        peer.recv(65536)
        peer.sendall(answer)
        peer.close()
        with pytest.raises(SendFailed) as failure:
            await connection.read_head()
            await read_body(connection)
        assert failure.value.verdict is Verdict.MAY_HAVE_RUN
        assert not connection.reusable

    with Listener() as listener:
        curio.run(run, listener)


def test_an_answer_without_length_is_complete_when_its_connection_ends():
    async def run(listener):
        pool, connection, peer = await pool_with_sent_request(listener)
        peer.recv(65536)
        peer.sendall(b'HTTP/1.1 200 OK\r\n\r\nall of it')
        peer.close()
        await connection.read_head()
        assert await read_body(connection) == b'all of it'

    with Listener() as listener:
        curio.run(run, listener)


def test_a_failed_connection_means_not_run():
    async def run(port):
        env = Environment(InstanceId('a:1'), ZoneId('zone'))
        with pytest.raises(SendFailed) as failure:
            await Pool(env, '127.0.0.1', port).acquire(recently_used=True)
        assert failure.value.reason is Reason.UNREACHABLE
        assert failure.value.verdict is Verdict.NOT_RUN

    with Listener() as listener:
        port = listener.port
    curio.run(run, port)
