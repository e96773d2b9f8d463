"""
Taking configuration from an upstream: forwards only, and never with a gap.

An entry that followed a replica whose link stood still had a change 6.5 s after it
was accepted, beside 0.0 s elsewhere (log: 'Following entry-2' 6.5 s after the stall):
silence was noted after five seconds, and looked for every two. An entry that followed
a replica that was only cut off from the leader never had it (30 s, no second
'Following'): a replica was left for silence alone, however old its word was.

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


def full(revision, **values):
    items = [Item(key, value, revision) for key, value in values.items()]
    return Update(CLUSTER, 0, revision, True, items)


def delta(before, revision, **values):
    items = [Item(key, value, revision) for key, value in values.items()]
    return Update(CLUSTER, before, revision, False, items)


class Upstream:
    """
    A connection to an upstream that answers with the next of its replies,
    and sends events before the reply is seen.

    """

    peer = InstanceId('r')

    def __init__(self, replies, early=()):
        self.replies = list(replies)
        self.early = list(early)
        self.asked = []
        self.closed = False

    async def call(self, request, timeout):
        if isinstance(request, AskRevision):
            return RevisionIs(CLUSTER, 2)
        self.asked.append(request)
        for event in self.early:
            await self.subscription.on_update(self, event)
        self.early = []
        return self.replies.pop(0)

    async def notify(self, message):
        self.closed = not self.replies


class FakePeers:
    """
    Reaches one upstream.

    """

    def __init__(self, connection):
        self.connection = connection

    async def connect(self, address):
        return self.connection


def subscription(connection):
    env = Environment(InstanceId('me'), ZoneId('zone'))
    roster = Roster(env, ('127.0.0.1', 1), '127.0.0.1')
    made = Subscription(env, View(), roster, FakePeers(connection), [REPLICA], Reports())
    connection.subscription = made
    return made


def test_an_update_before_the_first_reply_is_applied():
    connection = Upstream([Update('', 0, 0, True)], early=[full(3, a=b'1')])
    made = subscription(connection)
    curio.run(made._follow_upstream, REPLICA)
    assert made.view.position == (CLUSTER, 3)


def test_an_update_with_a_gap_makes_the_process_subscribe_again():
    connection = Upstream([full(2, a=b'1'), full(9, a=b'9')])
    made = subscription(connection)

    async def run():
        task = await curio.spawn(made._follow_upstream, REPLICA)
        while made.view.revision != 2:
            await curio.sleep(0)
        await made.on_update(connection, delta(7, 9, a=b'9'))
        async with curio.timeout_after(5):
            await task.join()
        return await made._follow_upstream(REPLICA)

    curio.run(run)
    assert connection.asked == [Subscribe('', 0), Subscribe(CLUSTER, 2)]
    assert made.view.revision == 9


class TwoPeers:
    """
    The zone's own entry, in reach or not, and a replica elsewhere.

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
        far, near = Upstream([full(2, a=b'1')] * 9), Upstream([full(2, a=b'1')] * 9)
        made = subscription(far)
        near.subscription = made
        made.roster = roster_of(20)
        made.env.instance = InstanceId('i9')
        made.peers = TwoPeers(near, far)
        task = await curio.spawn(made.follow, daemon=True)
        async with curio.timeout_after(5):
            while made.upstream != 'r':
                await curio.sleep(0.01)
            made.peers.near_up = True
            while made.upstream in (None, 'r'):
                await curio.sleep(0.01)
        await task.cancel()

    curio.run(run)


class FakeReplica:
    """
    A replica as seen from a subscriber: how old its leader's word is, and whether
    its link stands still.

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
            raise PeerTimedOut('its link stands still')
        if isinstance(request, AskRevision):
            return RevisionIs(CLUSTER, 2, self.age_ms)
        update = full(2, a=b'1')
        update.age_ms = self.age_ms
        return update

    async def notify(self, message):
        pass


class ReplicaPeers:
    """
    Reaches replicas by name.

    """

    def __init__(self, *replicas):
        self.replicas = {replica.peer: replica for replica in replicas}

    async def connect(self, address):
        return self.replicas[address.instance]

    async def call(self, address, message, timeout):
        return await self.replicas[address.instance].call(message, timeout)

    async def beat(self, made):
        """
        Send heartbeats to a subscriber, from all whose links work.

        """
        while True:
            for replica in self.replicas.values():
                if replica.is_silent:
                    continue
                update = full(2, a=b'1')
                update.age_ms = replica.age_ms
                await made.on_update(replica, update)
            await curio.sleep(0.05)


def following(*replicas):
    made = subscription(Upstream([]))
    made.replicas = [PeerAddress(replica.peer, '127.0.0.1', 1) for replica in replicas]
    made.peers = ReplicaPeers(*replicas)
    return made


async def turn_to(made, name, bound_s):
    async with curio.timeout_after(bound_s):
        while made.upstream != name:
            await curio.sleep(0.01)


def test_a_silent_upstream_is_left_within_two_heartbeats():
    # Heartbeats come every 2 s.
    first, second = FakeReplica('r1'), FakeReplica('r2')
    made = following(first, second)

    async def run():
        await curio.spawn(made.peers.beat, made, daemon=True)
        await curio.spawn(made.follow, daemon=True)
        await turn_to(made, 'r1', 1)
        first.is_silent = True
        await turn_to(made, 'r2', 2 * subscription_module.HEARTBEAT_S)

    curio.run(run)


def test_an_upstream_that_was_silent_is_tried_last():
    first, second = FakeReplica('r1'), FakeReplica('r2')
    made = following(first, second)

    async def run():
        await curio.spawn(made.peers.beat, made, daemon=True)
        await curio.spawn(made.follow, daemon=True)
        await turn_to(made, 'r1', 1)
        first.is_silent = True
        await turn_to(made, 'r2', 10)

    curio.run(run)
    assert (first.subscribed, second.subscribed) == (1, 1)


def test_an_upstream_cut_off_from_the_leader_is_left_for_a_current_replica():
    first, second, third = FakeReplica('r1'), FakeReplica('r2'), FakeReplica('r3')
    made = following(first, second, third)

    async def run():
        await curio.spawn(made.peers.beat, made, daemon=True)
        await curio.spawn(made.follow, daemon=True)
        await turn_to(made, 'r1', 1)
        first.age_ms = second.age_ms = subscription_module.STALE_AGE_MS + 1
        await turn_to(made, 'r3', 5)

    curio.run(run)
    assert (first.subscribed, second.subscribed, third.subscribed) == (1, 0, 1)


def test_the_upstream_is_kept_if_no_replica_is_current(monkeypatch):
    monkeypatch.setattr(subscription_module, 'HEARTBEAT_S', 0.05)
    first, second = FakeReplica('r1'), FakeReplica('r2')
    made = following(first, second)

    async def run():
        await curio.spawn(made.peers.beat, made, daemon=True)
        await curio.spawn(made.follow, daemon=True)
        await turn_to(made, 'r1', 1)
        first.age_ms = second.age_ms = subscription_module.STALE_AGE_MS + 1
        with pytest.raises(curio.TaskTimeout):
            await turn_to(made, 'r2', 2)

    curio.run(run)
    assert (first.subscribed, second.subscribed) == (1, 0)


@pytest.mark.parametrize('trouble', ['silent', 'cut off from the leader'])
def test_a_nearer_upstream_is_followed_again_once_it_is_current(monkeypatch, trouble):
    monkeypatch.setattr(subscription_module, 'NEARER_CHECK_INTERVAL_S', 0.05)
    first, second = FakeReplica('r1'), FakeReplica('r2')
    made = following(first, second)

    async def run():
        await curio.spawn(made.peers.beat, made, daemon=True)
        await curio.spawn(made.follow, daemon=True)
        await turn_to(made, 'r1', 1)
        first.is_silent = trouble == 'silent'
        first.age_ms = subscription_module.STALE_AGE_MS + 1
        await turn_to(made, 'r2', 10)
        with pytest.raises(curio.TaskTimeout):
            await turn_to(made, 'r1', 2)
        first.is_silent = False
        first.age_ms = 0
        await turn_to(made, 'r1', 5)

    curio.run(run)
    assert (first.subscribed, second.subscribed) == (2, 1)


@pytest.mark.parametrize(
    'update', [full(1, a=b'old'), delta(0, 1, a=b'old'), Update('foreign', 0, 9, True)]
)
def test_a_view_never_goes_back_nor_to_another_cluster(update):
    view = View()
    assert view.apply_update(full(2, a=b'1'))
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
        seen = reports.last_arrival
        await reports.merge([Report('f', 1, 1, b'x')])
        await reports.merge([Report('e', 2, 1, b'again')])
        return [report.body for report in reports.received_after(seen)]

    assert sorted(curio.run(run)) == [b'again', b'x']


class ZonePeers:
    """
    The zone's entries, each at a revision, or silent.

    """

    def __init__(self, revisions):
        self.revisions = revisions

    async def call(self, address, message, timeout):
        revision = self.revisions[address.instance]
        if revision is None:
            raise PeerTimedOut('frozen')
        return RevisionIs(CLUSTER, revision)


@pytest.mark.parametrize(
    ('revisions', 'floor'),
    [([7, 9, 8], 9), ([7, None, 3], 7), ([None, None, None], 0)],
)
def test_no_revision_older_than_the_newest_in_the_zone_is_served(revisions, floor):
    made = subscription(Upstream([]))
    made.roster = roster_of(4)
    made.env.instance = InstanceId('i0')
    made.peers = ZonePeers({f'i{n + 1}': revision for n, revision in enumerate(revisions)})
    curio.run(made.query_min_revision)
    assert made.min_revision == floor
    assert made.has_min_revision is (floor == 0)
    for revision in range(1, floor):
        made.view.apply_update(full(revision, a=b'1'))
        assert not made.has_min_revision
    made.view.apply_update(full(floor, a=b'1'))
    assert made.has_min_revision
