"""
Connections to machines that answer nothing yet.

"""

import socket
from contextlib import contextmanager

import curio
import pytest

from millfork_core import sockets

TIMEOUT_S = 5.0


class Attempt:
    """
    A socket whose attempt to connect is answered by `answer`: never (None), with an error, at once
    ('now') or only after it is no longer waited for ('late').

    """

    def __init__(self, answer):
        self.answer = answer
        self.is_closed = False

    async def connect(self, address):
        if isinstance(self.answer, OSError):
            raise self.answer
        if self.answer != 'now':
            await curio.sleep(1000)

    @contextmanager
    def blocking(self):
        yield self

    def getpeername(self):
        if self.answer != 'late':
            raise OSError('not connected')

    def setsockopt(self, *option):
        pass

    async def close(self):
        self.is_closed = True


@pytest.fixture
def connect_over(monkeypatch):
    def connect(*answers):
        attempts = [Attempt(answer) for answer in answers]
        started = iter(attempts)
        monkeypatch.setattr(sockets, '_new_socket', lambda source: next(started))

        async def run():
            async with curio.timeout_after(TIMEOUT_S):
                return await sockets.connect_repeatedly('127.0.0.1', 1)

        return attempts, run

    return connect


def test_a_lost_opening_packet_does_not_delay_a_connection(connect_over):
    """
    Guards against processes that reach a machine a second late, as they asked it while it was
    still starting: after a loss of power of all machines, no entry knew a replica for a second.

    """
    attempts, run = connect_over(None, None, 'now')
    assert curio.run(run) is attempts[2]
    assert [attempt.is_closed for attempt in attempts] == [True, True, False]


def test_an_attempt_that_is_answered_late_is_used(connect_over):
    attempts, run = connect_over('late', None)
    assert curio.run(run) is attempts[0]


def test_a_refused_connection_fails_at_once(connect_over):
    attempts, run = connect_over(ConnectionRefusedError(), 'now')
    with pytest.raises(ConnectionRefusedError):
        curio.run(run)
    assert attempts[0].is_closed


def test_all_attempts_without_an_answer_are_closed(connect_over):
    attempts, run = connect_over(*[None] * sockets.MAX_ATTEMPTS)
    with pytest.raises(TimeoutError):
        curio.run(run)
    assert all(attempt.is_closed for attempt in attempts)


async def connect_again(port, cycles):
    while True:
        try:
            await sockets.connect_repeatedly('127.0.0.1', port)
        except OSError:
            for _ in range(cycles):
                await curio.sleep(0)


async def end_slowly():
    try:
        await curio.sleep(1000)
    finally:
        for _ in range(5):
            await curio.sleep(0)


async def connect_for(cycles, port, offset):
    """
    Return after some cycles of the event loop, while tasks connect and others take time to end.

    """
    for number in range(3):
        await curio.spawn(connect_again, port, offset + number, daemon=True)
    for _ in range(6):
        await curio.spawn(end_slowly, daemon=True)
    for _ in range(cycles):
        await curio.sleep(0)


def test_a_process_that_stops_while_it_connects_ends_without_an_error():
    """
    Guards against a replica that exits with status 1 after SIGTERM: the event loop fails if a task
    that connects starts other tasks while all tasks are being cancelled.

    """
    with socket.create_server(('127.0.0.1', 0)) as server:
        port = server.getsockname()[1]
    for cycles in range(1, 20):
        for offset in range(1, 4):
            curio.run(connect_for, cycles, port, offset)
