"""
When a starting replica may claim to know all leases.

Followers of a replica that claims to know all leases drop every lease that the replica doesn't
have. A replica that restarted while it was cut off from the others claimed this after 2.5
heartbeat periods. An entry that then followed the replica kept only one of three back ends, though
the entry reached all three.

"""

from types import SimpleNamespace

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_registry.feed_client import FeedClient
from millfork_registry.followers import Follower, Followers
from millfork_registry.records import Lease, LeaseState
from millfork_registry.registry import Registry
from millfork_registry.roles import ENTRY_ROLE
from millforkd.replica.replica_links import COMPLETE_AFTER_HEARTBEATS, ReplicaLinks
from tests.test_servers import Clock

HEARTBEAT_S = 1.2
NAMES = ['a:1', 'b:1', 'c:1']
LONG_ENOUGH_S = 10 * COMPLETE_AFTER_HEARTBEATS * HEARTBEAT_S


def lease(instance, owner):
    return Lease(instance, 's', '10.0.0.1', int(instance[2:]), 'z', 4, LeaseState.READY, 1, owner)


class RestartedReplica:
    """
    One of three replicas, which has just started, and its feed to an entry.

    """

    def __init__(self):
        self.clock = Clock()
        self.env = Environment(InstanceId('a:1'), ZoneId('z'), monotonic=self.clock)
        self.registry = Registry(self.env, HEARTBEAT_S)
        self.followers = Followers(self.env, None, self.registry)
        self.replica = SimpleNamespace(members=[(name, 'disk') for name in NAMES])
        self.replica_links = ReplicaLinks(
            self.env, None, self.replica, self.registry, None, self.followers, HEARTBEAT_S
        )

    def follow(self, *names):
        """
        Make this replica follow other replicas.

        """
        for name in names:
            self.replica_links.followed[InstanceId(name)] = SimpleNamespace(closed=False)

    def pass_time(self, seconds):
        self.clock.now += seconds
        self.replica_links.update_completeness()

    def instances_after_feed_to(self, entry):
        message = self.followers._next_leases_message(Follower(None, ENTRY_ROLE))
        feed_client = FeedClient(self.env, ENTRY_ROLE, None, entry, None, None)
        curio.run(feed_client._on_leases, InstanceId('a:1'), message)
        return sorted(item.instance for item in entry.leases.values())


@pytest.fixture
def restarted():
    return RestartedReplica()


def test_a_replica_that_is_cut_off_does_not_claim_completeness(restarted):
    entry = Registry(restarted.env, HEARTBEAT_S)
    for instance, owner in (('i-1', 'a:1'), ('i-2', 'b:1'), ('i-3', 'c:1')):
        entry.merge_lease(lease(instance, owner))
    restarted.registry.record_heartbeat(lease('i-1', 'a:1'))
    restarted.pass_time(LONG_ENOUGH_S)
    assert not restarted.registry.is_complete
    assert restarted.instances_after_feed_to(entry) == ['i-1', 'i-2', 'i-3']


def test_a_replica_is_complete_after_some_time_with_a_majority(restarted):
    restarted.follow('b:1')
    restarted.pass_time(0.5)
    assert not restarted.registry.is_complete
    restarted.pass_time(COMPLETE_AFTER_HEARTBEATS * HEARTBEAT_S)
    assert restarted.registry.is_complete


def test_a_replica_is_complete_after_the_partition(restarted):
    restarted.pass_time(LONG_ENOUGH_S)
    restarted.follow('c:1')
    restarted.pass_time(0.5)
    assert restarted.registry.is_complete


def test_a_replica_with_a_closed_connection_does_not_count(restarted):
    restarted.follow('b:1')
    restarted.replica_links.followed[InstanceId('b:1')].closed = True
    restarted.pass_time(LONG_ENOUGH_S)
    assert not restarted.registry.is_complete


def test_a_single_replica_is_complete(restarted):
    restarted.replica.members = [('a:1', 'disk')]
    restarted.pass_time(LONG_ENOUGH_S)
    assert restarted.registry.is_complete


def test_a_replica_without_members_is_not_complete(restarted):
    restarted.replica.members = []
    restarted.pass_time(LONG_ENOUGH_S)
    assert not restarted.registry.is_complete
