"""
Connections to machines that answer nothing yet.

"""

import curio
import pytest

from millfork_core import sockets

TIMEOUT_S = 5.0


class Network:
    """
    Answers the attempts to connect in turn: never (None), with an error, or with a socket.

    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.cancelled = 0
        self.closed = []

    async def connect(self, host, port, source=''):
        answer = self.answers.pop(0)
        if answer is None:
            try:
                await curio.sleep(1000)
            except curio.CancelledError:
                self.cancelled += 1
                raise
        if isinstance(answer, OSError):
            raise answer
        return Socket(answer, self)


class Socket:
    def __init__(self, name, network):
        self.name = name
        self.network = network

    async def close(self):
        self.network.closed.append(self.name)


@pytest.fixture
def connect_over(monkeypatch):
    def connect(*answers):
        network = Network(*answers)
        monkeypatch.setattr(sockets, 'connect', network.connect)

        async def run():
            async with curio.timeout_after(TIMEOUT_S):
                return await sockets.connect_repeatedly('127.0.0.1', 1)

        return network, run

    return connect


def test_a_lost_opening_packet_does_not_delay_a_connection(connect_over):
    """
    Guards against processes that reach a machine a second late, as they asked it while it was
    still starting: after a loss of power of all machines, no entry knew a replica for a second.

    """
    network, run = connect_over(None, None, 'third')
    assert curio.run(run).name == 'third'
    assert network.cancelled == 2
    assert network.closed == []


def test_a_refused_connection_fails_at_once(connect_over):
    network, run = connect_over(ConnectionRefusedError(), 'second')
    with pytest.raises(ConnectionRefusedError):
        curio.run(run)
    assert network.answers == ['second']


def test_the_first_attempt_is_enough_where_it_is_answered(connect_over):
    network, run = connect_over('first', 'second')
    assert curio.run(run).name == 'first'
    assert network.answers == ['second']


def test_only_one_of_two_connections_stays_open(connect_over, monkeypatch):
    monkeypatch.setattr(sockets, 'ATTEMPT_INTERVAL_S', 0.0)
    network, run = connect_over(*'abcde')
    winner = curio.run(run)
    assert sorted([winner.name, *network.closed, *network.answers]) == list('abcde')
