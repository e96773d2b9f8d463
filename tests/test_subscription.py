"""
Which updates a process applies from its upstream (the peer that sends it the configuration), and
when the process leaves the upstream.

The tests guard against two faults:
- An upstream counted as silent only after 5 s, checked every 2 s. An entry that followed a replica
  with a stalled link applied a change 6.5 s after the change was accepted (its log has 'Following
  entry-2' 6.5 s after the stall). Other entries applied the change after 0.0 s.
- A replica was left only if it was silent, whatever the age of its configuration. An entry that
  followed a replica cut off from the leader did not apply a change within 30 s (its log has no
  second 'Following').

"""

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import ClusterId, InstanceId, Revision, ZoneId
from millfork_state import subscription as subscription_module
from millfork_state.config import InstanceFacts
from millfork_state.distribution_tree import FANOUT, ancestors, candidates, zone_order
from millfork_state.reports import Reports
from millfork_state.roster import PlatformDelta, Roster
from millfork_state.subscription import Subscription
from millfork_state.view import StoredValue, View
from millfork_wire.connection import PeerTimedOut, PeerUnreachable
from millfork_wire.messages import AskRevision, Item, Report, RevisionIs, Subscribe, Update
from millfork_wire.peers import PeerAddress

CLUSTER = ClusterId('cluster')
REPLICA = PeerAddress(InstanceId('r'), '127.0.0.1', 1)


def full_update(revision, **values):
    items = [Item(key, value, revision) for key, value in values.items()]
    return Update(CLUSTER, 0, revision, True, items)


def delta_update(before, revision, **values):
    items = [Item(key, value, revision) for key, value in values.items()]
    return Update(CLUSTER, before, revision, False, items)


class Upstream:
    """
    A connection to an upstream that answers each subscription with the next of `replies`. The
    `early` updates arrive before the first reply.

    """

    peer = InstanceId('r')

    def __init__(self, replies, early=()):
        self.replies = list(replies)
        self.early = list(early)
        self.requests = []
        self.closed = False

    async def call(self, request, timeout):
        if isinstance(request, AskRevision):
            return RevisionIs(CLUSTER, 2)
        self.requests.append(request)
        for event in self.early:
            await self.subscription.on_update(self, event)
        self.early = []
        return self.replies.pop(0)

    async def notify(self, message):
        self.closed = not self.replies


class FakePeers:
    """
    Connects to one upstream, whatever the address.

    """

    def __init__(self, connection):
        self.connection = connection

    async def connect(self, address):
        return self.connection


def new_subscription(connection):
    env = Environment(InstanceId('me'), ZoneId('zone'))
    roster = Roster(env, ('127.0.0.1', 1), '127.0.0.1')
    subscription = Subscription(env, View(), roster, FakePeers(connection), [REPLICA], Reports())
    connection.subscription = subscription
    return subscription


def test_an_update_before_the_first_reply_is_applied():
    connection = Upstream([Update('', 0, 0, True)], early=[full_update(3, a=b'1')])
    subscription = new_subscription(connection)
    curio.run(subscription._follow_upstream, REPLICA)
    assert subscription.view.position == (CLUSTER, 3)


def test_an_update_with_a_gap_makes_the_process_subscribe_again():
    connection = Upstream([full_update(2, a=b'1'), full_update(9, a=b'9')])
    subscription = new_subscription(connection)

    async def run():
        task = await curio.spawn(subscription._follow_upstream, REPLICA)
        while subscription.view.revision != 2:
            await curio.sleep(0)
        await subscription.on_update(connection, delta_update(7, 9, a=b'9'))
        async with curio.timeout_after(5):
            await task.join()
        return await subscription._follow_upstream(REPLICA)

    curio.run(run)
    assert connection.requests == [Subscribe('', 0), Subscribe(CLUSTER, 2)]
    assert subscription.view.revision == 9


class TwoPeers:
    """
    An entry in the subscriber's zone, reachable if `near_up`, and a replica in another zone.

    """

    def __init__(self, near, far):
        self.near = near
        self.far = far
        self.near_up = False

    async def connect(self, address):
        if address == REPLICA:
            return self.far
        if not self.near_up:
            raise PeerUnreachable('not started yet')
        return self.near

    async def call(self, address, message, timeout):
        connection = await self.connect(address)
        return await connection.call(message, timeout)


def test_a_process_that_started_first_returns_to_its_own_zone(monkeypatch):
    monkeypatch.setattr(subscription_module, 'HEARTBEAT_S', 0.01)
    monkeypatch.setattr(subscription_module, 'NEARER_CHECK_INTERVAL_S', 0.05)

    async def run():
        far, near = Upstream([full_update(2, a=b'1')] * 9), Upstream([full_update(2, a=b'1')] * 9)
        subscription = new_subscription(far)
        near.subscription = subscription
        subscription.roster = roster_of(20)
        subscription.env.instance = InstanceId('i9')
        subscription.peers = TwoPeers(near, far)
        task = await curio.spawn(subscription.follow, daemon=True)
        async with curio.timeout_after(5):
            while subscription.upstream != 'r':
                await curio.sleep(0.01)
            subscription.peers.near_up = True
            while subscription.upstream in (None, 'r'):
                await curio.sleep(0.01)
        await task.cancel()

    curio.run(run)


class FakeReplica:
    """
    A replica as a subscriber sees it: the age of its configuration, and whether its link is
    stalled.

    """

    def __init__(self, name, age_ms=0):
        self.peer = InstanceId(name)
        self.age_ms = age_ms
        self.is_silent = False
        self.closed = False
        self.subscribed = 0

    async def call(self, request, timeout):
        if isinstance(request, Subscribe):
            self.subscribed += 1
        if self.is_silent:
            raise PeerTimedOut('its link is stalled')
        if isinstance(request, AskRevision):
            return RevisionIs(CLUSTER, 2, self.age_ms)
        update = full_update(2, a=b'1')
        update.age_ms = self.age_ms
        return update

    async def notify(self, message):
        pass


class ReplicaPeers:
    """
    Connects to replicas by instance.

    """

    def __init__(self, *replicas):
        self.replicas = {replica.peer: replica for replica in replicas}

    async def connect(self, address):
        return self.replicas[address.instance]

    async def call(self, address, message, timeout):
        return await self.replicas[address.instance].call(message, timeout)

    async def send_heartbeats(self, subscription):
        """
        Send heartbeats to a subscriber from all replicas whose links work.

        """
        while True:
            for replica in self.replicas.values():
                if replica.is_silent:
                    continue
                update = full_update(2, a=b'1')
                update.age_ms = replica.age_ms
                await subscription.on_update(replica, update)
            await curio.sleep(0.05)


def subscription_to(*replicas):
    subscription = new_subscription(Upstream([]))
    subscription.replicas = [PeerAddress(replica.peer, '127.0.0.1', 1) for replica in replicas]
    subscription.peers = ReplicaPeers(*replicas)
    return subscription


async def wait_for_upstream(subscription, name, timeout_s):
    async with curio.timeout_after(timeout_s):
        while subscription.upstream != name:
            await curio.sleep(0.01)


def test_a_silent_upstream_is_left_within_two_heartbeats():
    # The time limit is two real heartbeat intervals (HEARTBEAT_S), although the fake replicas send
    # heartbeats more often.
    first, second = FakeReplica('r1'), FakeReplica('r2')
    subscription = subscription_to(first, second)

    async def run():
        await curio.spawn(subscription.peers.send_heartbeats, subscription, daemon=True)
        await curio.spawn(subscription.follow, daemon=True)
        await wait_for_upstream(subscription, 'r1', 1)
        first.is_silent = True
        await wait_for_upstream(subscription, 'r2', 2 * subscription_module.HEARTBEAT_S)

    curio.run(run)


def test_an_upstream_that_was_silent_is_tried_last():
    first, second = FakeReplica('r1'), FakeReplica('r2')
    subscription = subscription_to(first, second)

    async def run():
        await curio.spawn(subscription.peers.send_heartbeats, subscription, daemon=True)
        await curio.spawn(subscription.follow, daemon=True)
        await wait_for_upstream(subscription, 'r1', 1)
        first.is_silent = True
        await wait_for_upstream(subscription, 'r2', 10)

    curio.run(run)
    assert (first.subscribed, second.subscribed) == (1, 1)


def test_an_upstream_cut_off_from_the_leader_is_left_for_a_current_replica():
    first, second, third = FakeReplica('r1'), FakeReplica('r2'), FakeReplica('r3')
    subscription = subscription_to(first, second, third)

    async def run():
        await curio.spawn(subscription.peers.send_heartbeats, subscription, daemon=True)
        await curio.spawn(subscription.follow, daemon=True)
        await wait_for_upstream(subscription, 'r1', 1)
        first.age_ms = second.age_ms = subscription_module.STALE_AGE_MS + 1
        await wait_for_upstream(subscription, 'r3', 5)

    curio.run(run)
    assert (first.subscribed, second.subscribed, third.subscribed) == (1, 0, 1)


def test_the_upstream_is_kept_if_no_replica_is_current(monkeypatch):
    monkeypatch.setattr(subscription_module, 'HEARTBEAT_S', 0.05)
    first, second = FakeReplica('r1'), FakeReplica('r2')
    subscription = subscription_to(first, second)

    async def run():
        await curio.spawn(subscription.peers.send_heartbeats, subscription, daemon=True)
        await curio.spawn(subscription.follow, daemon=True)
        await wait_for_upstream(subscription, 'r1', 1)
        first.age_ms = second.age_ms = subscription_module.STALE_AGE_MS + 1
        with pytest.raises(curio.TaskTimeout):
            await wait_for_upstream(subscription, 'r2', 2)

    curio.run(run)
    assert (first.subscribed, second.subscribed) == (1, 0)


@pytest.mark.parametrize('trouble', ['silent', 'cut off from the leader'])
def test_a_nearer_upstream_is_followed_again_once_it_is_current(monkeypatch, trouble):
    monkeypatch.setattr(subscription_module, 'NEARER_CHECK_INTERVAL_S', 0.05)
    first, second = FakeReplica('r1'), FakeReplica('r2')
    subscription = subscription_to(first, second)

    async def run():
        await curio.spawn(subscription.peers.send_heartbeats, subscription, daemon=True)
        await curio.spawn(subscription.follow, daemon=True)
        await wait_for_upstream(subscription, 'r1', 1)
        first.is_silent = trouble == 'silent'
        first.age_ms = subscription_module.STALE_AGE_MS + 1
        await wait_for_upstream(subscription, 'r2', 10)
        with pytest.raises(curio.TaskTimeout):
            await wait_for_upstream(subscription, 'r1', 2)
        first.is_silent = False
        first.age_ms = 0
        await wait_for_upstream(subscription, 'r1', 5)

    curio.run(run)
    assert (first.subscribed, second.subscribed) == (2, 1)


@pytest.mark.parametrize(
    'update',
    [full_update(1, a=b'old'), delta_update(0, 1, a=b'old'), Update('foreign', 0, 9, True)],
)
def test_a_view_rejects_older_revisions_and_other_clusters(update):
    view = View()
    assert view.apply_update(full_update(2, a=b'1'))
    assert not view.apply_update(update)
    assert view.items['a'].value == b'1'


def test_a_delta_contains_changed_values_and_removed_keys():
    upstream, view = View(), View()
    upstream.replace(CLUSTER, Revision(1), {'a': StoredValue(b'1', Revision(1))})
    view.apply_update(upstream.update_since('', 0))
    upstream.apply_change(Revision(2), {'b': StoredValue(b'2', Revision(2))}, ['a'])
    update = upstream.update_since(CLUSTER, 1)
    assert (update.full, [item.key for item in update.items], update.removed) == (
        False,
        ['b'],
        ['a'],
    )
    assert view.apply_update(update)
    assert view.items == upstream.items


def test_a_subscriber_from_before_the_history_gets_the_whole_configuration():
    upstream = View()
    upstream.replace(CLUSTER, Revision(5), {'a': StoredValue(b'1', Revision(1))})
    upstream.apply_change(Revision(6), {'a': StoredValue(b'2', Revision(6))}, [])
    assert not upstream.update_since(CLUSTER, 5).full
    assert upstream.update_since(CLUSTER, 4).full


def roster_of(count, zone='zone'):
    roster = Roster(Environment(InstanceId('me'), ZoneId(zone)), ('127.0.0.1', 1), '127.0.0.1')
    instances = [
        InstanceFacts(
            InstanceId(f'i{n}'),
            '127.0.0.1',
            n,
            ZoneId(zone),
            'x',
            'entry' if n < 5 else 'endpoint',
            's',
        )
        for n in range(count)
    ]
    roster.apply_delta(PlatformDelta(1, True, instances, []))
    return roster


def test_the_load_of_a_process_in_the_tree_does_not_grow_with_the_zone():
    order = zone_order(roster_of(300), ZoneId('zone'), {InstanceId('i0')})
    assert order[0] == 'i0'
    children = {}
    for name in order[1:]:
        parent = ancestors(order, name)[0]
        assert order.index(parent) < order.index(name)
        children[parent] = children.get(parent, 0) + 1
    assert max(children.values()) == FANOUT
    assert max(len(ancestors(order, name)) for name in order) == 3


def test_an_instance_missing_from_the_list_still_finds_a_replica():
    found = candidates(roster_of(20), [REPLICA], InstanceId('new'), ZoneId('zone'))
    assert REPLICA in found


def test_reports_are_passed_on_once_and_the_newest_is_kept():
    async def run():
        reports = Reports()
        await reports.merge([Report('e', 1, 1, b'a'), Report('e', 1, 3, b'c')])
        await reports.merge([Report('e', 1, 2, b'b')])
        last_arrival = reports.last_arrival
        await reports.merge([Report('f', 1, 1, b'x')])
        await reports.merge([Report('e', 2, 1, b'again')])
        return [report.body for report in reports.received_after(last_arrival)]

    assert sorted(curio.run(run)) == [b'again', b'x']


class ZonePeers:
    """
    The zone's entries, each with its revision. Entries with revision None don't answer.

    """

    def __init__(self, revisions):
        self.revisions = revisions

    async def call(self, address, message, timeout):
        revision = self.revisions[address.instance]
        if revision is None:
            raise PeerTimedOut('no answer')
        return RevisionIs(CLUSTER, revision)


@pytest.mark.parametrize(
    ('revisions', 'min_revision'),
    [([7, 9, 8], 9), ([7, None, 3], 7), ([None, None, None], 0)],
)
def test_no_revision_older_than_the_newest_in_the_zone_is_served(revisions, min_revision):
    subscription = new_subscription(Upstream([]))
    subscription.roster = roster_of(4)
    subscription.env.instance = InstanceId('i0')
    subscription.peers = ZonePeers({f'i{n + 1}': revision for n, revision in enumerate(revisions)})
    curio.run(subscription.query_min_revision)
    assert subscription.min_revision == min_revision
    assert subscription.has_min_revision is (min_revision == 0)
    for revision in range(1, min_revision):
        subscription.view.apply_update(full_update(revision, a=b'1'))
        assert not subscription.has_min_revision
    subscription.view.apply_update(full_update(min_revision, a=b'1'))
    assert subscription.has_min_revision
