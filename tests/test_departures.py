"""
Drains that a replica acknowledges: each has reached a majority of the replicas.

"""

from types import SimpleNamespace

from millfork_platform import client_requests
from millfork_registry.records import LeaseState
from tests.test_incarnations import FIRST_INCARNATION, lease
from tests.test_platform_foreign_messages import ReplicaCalls


def test_a_second_drain_of_a_back_end_reaches_a_majority_too():
    # Otherwise the end of this replica would lose the drain that it acknowledged.
    calls = ReplicaCalls()
    sent = []

    async def send_to_majority(item):
        sent.append((item.state, item.sequence))
        return True

    calls.control.replica_links = SimpleNamespace(send_to_majority=send_to_majority)
    states = [LeaseState.DRAINING, LeaseState.DRAINING, LeaseState.READY, LeaseState.DRAINING]
    for sequence, state in enumerate(states, start=6):
        heartbeat = client_requests.heartbeat_request(
            lease(FIRST_INCARNATION, sequence, state=state)
        )
        assert calls.send(heartbeat) == 200
    assert sent == [(LeaseState.DRAINING, 6), (LeaseState.DRAINING, 9)]
