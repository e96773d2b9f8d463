"""
Commands sent to the leader of the replicated state.

"""

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_core.verdicts import Refused
from millfork_state.commands import Raise
from millfork_state.leader_client import RETRY_DELAY_S, LeaderClient
from millfork_wire.connection import PeerRefused
from millfork_wire.messages import Failure
from millfork_wire.peers import PeerAddress

TIMEOUT_S = 0.5


class FailingPeers:
    """
    Peers that fail each call at once, as a replica does whose disk refuses writes.

    """

    def __init__(self):
        self.calls = 0

    async def call(self, address, message, timeout):
        self.calls += 1
        raise PeerRefused(Failure('internal', 'the disk refuses writes'))


def test_a_command_is_repeated_with_a_pause_while_a_peer_fails_at_once():
    # Without one, the process does nothing else until the timeout.
    env = Environment(InstanceId('10.0.0.9:7'), ZoneId('zone'))
    peers = FailingPeers()
    replicas = [PeerAddress(InstanceId('10.0.0.1:7'), '10.0.0.1', 7)]
    client = LeaderClient(env, peers, replicas, None)
    with pytest.raises(Refused):
        curio.run(client.propose, Raise('key', 1, b''), TIMEOUT_S)
    assert peers.calls <= TIMEOUT_S / RETRY_DELAY_S + 1
