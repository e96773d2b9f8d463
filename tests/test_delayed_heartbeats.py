"""
Heartbeats that arrive after their sender has ended and another back end runs at its address.

A heartbeat may arrive seconds late, at any replica. A replica without a lease of the sender
treated the late heartbeat as the first one of a new back end, and ended the lease of the live back
end at the address. The replica then ignored the heartbeats of the live back end, and callers lost
that back end for 6.0 s. This concerns back ends that don't report an incarnation (the start time
of their process).

"""

import pytest

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_registry.records import Lease, LeaseState
from millfork_registry.registry import RecordChange, Registry
from tests.test_servers import Clock

HEARTBEAT_S = 1.2


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def replica(clock):
    return Registry(Environment(InstanceId('a:1'), ZoneId('zone'), monotonic=clock), HEARTBEAT_S)


def lease(instance, sequence, owner='', incarnation=0):
    return Lease(
        instance, 'service', '10.0.0.1', 80, 'zone', 4, LeaseState.READY, sequence, owner,
        incarnation=incarnation,
    )  # fmt: skip


def usable(replica):
    return [item.instance for item in replica.leases.values() if item.usable]


def test_a_delayed_heartbeat_of_an_unknown_back_end_ends_no_lease(replica, clock):
    replica.record_heartbeat(lease('i-2', 5))
    clock.now += 0.3
    assert replica.record_heartbeat(lease('i-1', 31)) is RecordChange.NONE
    assert usable(replica) == ['i-2']
    clock.now += 0.9
    assert replica.record_heartbeat(lease('i-2', 6)) is RecordChange.RENEWED
    assert usable(replica) == ['i-2']


def test_a_repeated_delayed_heartbeat_ends_no_lease(replica, clock):
    """
    A back end that gets no answer within a second sends the heartbeat again to another replica.

    """
    replica.record_heartbeat(lease('i-2', 5))
    for _ in range(3):
        assert replica.record_heartbeat(lease('i-1', 31)) is RecordChange.NONE
        clock.now += HEARTBEAT_S
        replica.record_heartbeat(lease('i-2', 6))
    assert usable(replica) == ['i-2']


def test_two_heartbeats_delayed_together_end_no_lease(replica, clock):
    replica.record_heartbeat(lease('i-2', 5))
    replica.record_heartbeat(lease('i-1', 31))
    clock.now += 0.01
    assert replica.record_heartbeat(lease('i-1', 32)) is RecordChange.NONE
    assert usable(replica) == ['i-2']


def test_a_delayed_heartbeat_ends_no_lease_received_from_another_replica(replica, clock):
    replica.merge_lease(lease('i-2', 5, owner='b:1'))
    assert replica.record_heartbeat(lease('i-1', 31)) is RecordChange.NONE
    assert usable(replica) == ['i-2']


def test_a_new_back_end_without_its_first_heartbeats_is_accepted_by_a_second_one(replica, clock):
    replica.record_heartbeat(lease('i-1', 40))
    replica.record_heartbeat(lease('i-2', 4))
    clock.now += HEARTBEAT_S
    assert replica.record_heartbeat(lease('i-2', 5)) is RecordChange.CHANGED
    assert usable(replica) == ['i-2']


def test_the_first_heartbeat_of_a_new_back_end_is_accepted_immediately(replica):
    replica.record_heartbeat(lease('i-1', 40))
    assert replica.record_heartbeat(lease('i-2', 1)) is RecordChange.CHANGED
    assert usable(replica) == ['i-2']


def test_the_later_incarnation_wins_if_both_back_ends_report_one(replica):
    replica.record_heartbeat(lease('i-2', 5, incarnation=2000))
    assert replica.record_heartbeat(lease('i-1', 31, incarnation=1000)) is RecordChange.NONE
    assert replica.record_heartbeat(lease('i-3', 4, incarnation=3000)) is RecordChange.CHANGED
    assert usable(replica) == ['i-3']


def test_unconfirmed_heartbeats_are_forgotten(replica, clock):
    replica.record_heartbeat(lease('i-2', 5))
    replica.record_heartbeat(lease('i-1', 31))
    clock.now += 200
    replica.record_heartbeat(lease('i-2', 150))
    replica.expire(set())
    assert replica.unconfirmed == {}
