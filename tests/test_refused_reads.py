"""
A replica that can't read the state tells its log why, and the operator only that it can't.

"""

from random import Random

import curio
from logbook import TestHandler as LogRecorder

from millfork_adapter.calls import ReadDocument
from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_core.verdicts import Reason, Refusal
from millfork_settings.common import StateSettings
from millfork_state.commands import SetMembers, encode_command
from millfork_state.leader_client import LeaderClient
from millfork_state.leadership import Leadership
from millfork_state.node import StateNode
from millfork_state.replica import Replica, ReplicaState
from millfork_state.reports import Reports
from millfork_state.storage import LogEntry, open_storage
from millfork_state.view import View
from millfork_web.problem import problem
from millfork_wire.connection import PeerTimedOut
from millfork_wire.messages import StateView
from millfork_wire.peers import PeerAddress
from millforkd.replica.control import Control

NAMES = ('a', 'b', 'c')
CALL_TIMEOUT_S = 0.3


class Peers:
    """
    Two other replicas: `b` answers that `c` is the leader, `c` doesn't answer.

    """

    async def call(self, address, message, timeout):
        if address.instance == 'c':
            raise PeerTimedOut('c')
        return StateView(False, b'', 'c')


class Adapter:
    def read_call(self, request):
        return ReadDocument()


class Exchange:
    request = None
    response = None

    async def respond(self, response):
        self.response = response


def read_document(tmp_path, leader, leads=False):
    """
    Read the document from replica `a`, which takes `leader` for the leader, or leads without an
    answer of another replica. Return the response and the log line.

    """
    env = Environment(InstanceId('a'), ZoneId('zone'), random=Random(0))
    addresses = [PeerAddress(InstanceId(name), '127.0.0.1', 1) for name in NAMES]
    storage = open_storage(tmp_path)
    replica = Replica(env, StateSettings(), storage, View(), Peers(), addresses)
    replica.leader = leader
    node = StateNode(replica, Reports())
    client = LeaderClient(env, Peers(), replica.others, node, CALL_TIMEOUT_S)
    control = Control(env, Adapter(), replica.view, None, None, None, client, None, None)
    exchange = Exchange()
    members = [('a', str(storage.disk)), ('b', 'disk-b'), ('c', 'disk-c')]

    async def run():
        await replica.recover()
        await replica.write([LogEntry(1, 1, encode_command(SetMembers('cluster', members)))])
        if leads:
            replica.state = ReplicaState.LEADER
            node.leadership = Leadership(replica)
        await control.answer(exchange)

    with LogRecorder() as handler:
        curio.run(run)
    lines = [record.message for record in handler.records]
    return exchange.response, next(line for line in lines if line.startswith('Refused a call.'))


def test_the_line_of_a_refused_read_names_the_leader_that_did_not_answer(tmp_path):
    response, line = read_document(tmp_path, 'c')
    assert 'reason=no_quorum detail=no leader confirms its state calls=1 ' in line
    assert 'failed=PeerTimedOut@c:' in line
    assert 'state=follower leader=c leader_contact_s=' in line
    assert 'term=0 is_voter=True voters=a,b,c commit=0 last=1 ' in line


def test_the_line_of_a_refused_read_names_the_leader_that_another_replica_named(tmp_path):
    response, line = read_document(tmp_path, '')
    assert 'not_confirmed@b(leader=c):' in line
    assert ' leader=unknown ' in line


def test_the_line_of_a_leader_that_is_not_confirmed_names_the_silent_voters(tmp_path):
    response, line = read_document(tmp_path, 'a', leads=True)
    assert 'failed=not_confirmed@a:' in line
    assert 'state=leader leader=a leader_contact_s=0.0 ' in line
    assert 'applied=0 noop=2 b=(silent_s=' in line
    assert ' c=(silent_s=' in line


def test_the_answer_to_a_refused_read_names_no_replica(tmp_path):
    response, line = read_document(tmp_path, 'c')
    assert response == problem(Refusal(Reason.NO_QUORUM, detail='no leader confirms its state'))
