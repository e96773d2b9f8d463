"""
Log lines about events that recur for as long as a fault lasts.

"""

import curio
import pytest
from logbook import TestHandler as LogRecorder

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_core.line_limiter import LineLimiter
from millfork_core.verdicts import Refused
from millfork_settings.common import StateSettings
from millfork_state.commands import SetMembers, encode_command
from millfork_state.election import campaign
from millfork_state.leader_client import LeaderClient
from millfork_state.replica import Replica
from millfork_state.storage import LogEntry, open_storage
from millfork_state.view import View
from millfork_wire.connection import PeerUnreachable
from millfork_wire.messages import VoteReply
from millfork_wire.peers import PeerAddress

CLUSTER = 'cluster'
VOTERS = ('a', 'b', 'c', 'd')
TRIES = 20
# Between two tries; lines may be written once a second.
PAUSE_S = 0.25


class PartlyLostPeers:
    """
    Peers of which `b` grants votes, `c` answers with another disk and `d` is unreachable.

    """

    async def call(self, address, message, timeout):
        if address.instance == 'd':
            raise PeerUnreachable('d is unreachable')
        disk = 'other' if address.instance == 'c' else f'disk-{address.instance}'
        return VoteReply(message.term, address.instance == 'b', disk)


class Clock:
    """
    A clock that only moves when a test moves it.

    """

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class UnreachablePeers:
    """
    Peers none of which can be reached.

    """

    def __init__(self, clock):
        self.clock = clock

    async def call(self, address, message, timeout):
        self.clock.now += timeout
        raise PeerUnreachable('unreachable')


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def env(clock):
    return Environment(InstanceId('a'), ZoneId('zone'), monotonic=clock)


def addresses():
    return [PeerAddress(InstanceId(name), '127.0.0.1', 1) for name in VOTERS]


@pytest.fixture
def candidate(env, tmp_path):
    storage = open_storage(tmp_path)
    replica = Replica(env, StateSettings(), storage, View(), PartlyLostPeers(), addresses())
    members = [('a', str(storage.disk)), *((name, f'disk-{name}') for name in VOTERS[1:])]

    async def form():
        await replica.recover()
        await replica.write([LogEntry(1, 1, encode_command(SetMembers(CLUSTER, members)))])

    curio.run(form)
    return replica


def lines(handler, start):
    return [line for line in (record.message for record in handler.records) if start in line]


def test_a_line_says_how_many_events_came_since_the_last_one():
    limiter = LineLimiter(period_s=1.0)
    moments = [0.0, 0.5, 0.9, 1.0, 1.1, 5.0]
    assert [limiter.count('key', now) for now in moments] == [1, 0, 0, 3, 0, 2]
    assert limiter.count('other', 1.1) == 1


def test_a_candidate_without_a_majority_does_not_flood_the_log(candidate, clock):
    with LogRecorder() as handler:
        for _ in range(TRIES):
            assert not curio.run(campaign, candidate)
            clock.now += PAUSE_S
    found = lines(handler, 'Too few votes.')
    assert len(found) == TRIES * PAUSE_S
    assert found[-1].endswith(
        'granted=2 needed=3 voters=a,b,c,d refused= other_disk=c unanswered=d requests=4'
    )


def test_reads_that_fail_do_not_flood_the_log(env, clock):
    peers = UnreachablePeers(clock)
    client = LeaderClient(env, peers, addresses(), None, call_timeout_s=PAUSE_S)
    with LogRecorder() as handler:
        for _ in range(TRIES):
            with pytest.raises(Refused):
                curio.run(client.read_state, PAUSE_S)
    found = lines(handler, 'Read not confirmed.')
    assert len(found) == TRIES * PAUSE_S
    assert found[-1].endswith('reads=4')
