"""
A lease must stay usable at its owner (the replica that receives the back end's heartbeats) and at
every replica that reaches the owner, even if one replica wrongly expires the lease.

A replica that was frozen, or whose link to the owner is cut, considers the owner lost and expires
the owner's leases. A third replica, connected to both, accepts such an expiry: renewals aren't sent
to other replicas, so the third replica's copy of the lease has the same sequence as the expiry. The
owner's copy has a higher sequence. When the owner ignored the expiry for that reason, nothing ever
corrected the third replica.

"""

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_registry.followers import Follower, Followers
from millfork_registry.records import Lease, LeaseState, decode_leases
from millfork_registry.registry import RecordChange, Registry
from millfork_registry.roles import REPLICA_ROLE
from tests.test_servers import Clock

HEARTBEAT_S = 1.2


class ReplicaWithFeeds:
    """
    One replica, and the state of its feed to each other replica.

    """

    def __init__(self, name, clock):
        self.env = Environment(InstanceId(name), ZoneId('zone'), monotonic=clock)
        self.registry = Registry(self.env, HEARTBEAT_S)
        self.followers = Followers(self.env, None, self.registry)
        self.feeds = {}

    def send_feed(self, other):
        feed = self.feeds.setdefault(other, Follower(None, REPLICA_ROLE))
        message = self.followers._next_leases_message(feed)
        for lease in decode_leases(message.leases):
            other.registry.merge_lease(lease)


def send_heartbeat(replica, sequence):
    lease = Lease('i-1', 's', '10.0.0.1', 80, 'zone', 1, LeaseState.READY, sequence)
    return replica.registry.record_heartbeat(lease)


def test_a_back_end_with_heartbeats_is_usable_at_replicas_that_reach_its_owner():
    clock = Clock()
    owner, other_replica, cut_off = (
        ReplicaWithFeeds('o:1', clock),
        ReplicaWithFeeds('y:1', clock),
        ReplicaWithFeeds('z:1', clock),
    )
    assert send_heartbeat(owner, 1) is RecordChange.CHANGED
    for replica in (owner, other_replica, cut_off):
        for other in {owner, other_replica, cut_off} - {replica}:
            replica.send_feed(other)
    # The owner and the `cut_off` replica exchange nothing: only the link between them is cut.
    for sequence in range(2, 8):
        clock.now += HEARTBEAT_S
        send_heartbeat(owner, sequence)
        owner.send_feed(other_replica)
        cut_off.registry.expire({'o:1'})
        cut_off.send_feed(other_replica)
        other_replica.send_feed(cut_off)
        other_replica.send_feed(owner)
        other_replica.registry.expire(set())
        owner.registry.expire(set())
    # The link works again; the owner keeps receiving heartbeats for a minute.
    for sequence in range(8, 60):
        clock.now += HEARTBEAT_S
        send_heartbeat(owner, sequence)
        for replica in (owner, other_replica, cut_off):
            for other in {owner, other_replica, cut_off} - {replica}:
                replica.send_feed(other)
            replica.registry.expire(set())
    assert owner.registry.leases.get('i-1').state is LeaseState.READY
    assert other_replica.registry.leases.get('i-1').state is LeaseState.READY
