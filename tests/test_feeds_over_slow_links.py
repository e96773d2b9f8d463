"""
Feeds of the configuration over links that take a document slowly: later documents are not queued
behind it, and heartbeats go on.

"""

from types import SimpleNamespace

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import ClusterId, InstanceId, Revision, ZoneId
from millfork_registry.discovery import Discovery
from millfork_registry.feed_client import FeedClient
from millfork_registry.feed_relay import FeedRelay
from millfork_registry.followers import MAX_TRANSFERS, STALLED_TRANSFER_S, Followers
from millfork_registry.registry import Registry
from millfork_state.reports import Reports
from millfork_state.roster import Roster
from millfork_state.subscription import Subscription
from millfork_state.view import StoredValue, View
from millfork_wire.messages import AskFeed, Follow, Hello, Subscribe, Update

CLUSTER = ClusterId('cluster')
CHANGES = 20
CHANGE_INTERVAL_S = 0.02
TIMEOUT_S = 5.0


class SlowConnection:
    """
    A connection whose first transfer is on its way until `finish` is called.

    """

    peer = InstanceId('b')

    def __init__(self, zone='zone'):
        self.hello = Hello(zone=zone)
        self.closed = False
        self.updates = []
        self.arrived = curio.Event()

    @property
    def has_bulk(self):
        return not self.arrived.is_set() and any(update.items for update in self.updates)

    async def wait_until_bulk_is_sent(self, timeout):
        if self.has_bulk:
            async with curio.ignore_after(timeout):
                await self.arrived.wait()
        return not self.has_bulk

    async def notify(self, message):
        if isinstance(message, Update):
            self.updates.append(message)

    def with_items(self):
        return [update for update in self.updates if update.items]


def environment():
    return Environment(InstanceId('a'), ZoneId('zone'))


def view_at(revision):
    view = View()
    view.replace(CLUSTER, Revision(0), {})
    change(view, revision)
    return view


def change(view, revision):
    view.apply_change(Revision(revision), {'key': StoredValue(b'', Revision(revision))}, [])


def replica_feed(view, connection):
    env = environment()
    replica = SimpleNamespace(view=view, age_ms=lambda: 0)
    return Followers(env, replica, Registry(env, 1.0)).add(connection, Follow('entry', CLUSTER, 0))


async def tree_feed(view, connection):
    env = environment()
    roster = Roster(env, ('127.0.0.1', 1), '127.0.0.1')
    subscription = Subscription(env, view, roster, None, [], Reports())
    update = await subscription.on_subscribe(connection, Subscribe(CLUSTER, 0))
    connection.updates.append(update)


@pytest.mark.parametrize('start_feed', [replica_feed, tree_feed])
def test_documents_are_not_queued_behind_one_that_a_slow_link_takes(start_feed):
    # Guards against a storm of changes that fills a slow link with documents nobody needs any more.
    async def run():
        view, connection = view_at(1), SlowConnection()
        await start_feed(view, connection)
        for revision in range(2, CHANGES):
            await curio.sleep(CHANGE_INTERVAL_S)
            change(view, revision)
            await view.notify_waiters()
        assert len(connection.with_items()) == 1
        await connection.arrived.set()
        async with curio.timeout_after(TIMEOUT_S):
            while len(connection.with_items()) < 2:
                await curio.sleep(0.01)
        assert connection.with_items()[1].revision == CHANGES - 1
        connection.closed = True

    curio.run(run)


def test_few_documents_are_on_their_way_at_once_and_a_stalled_one_holds_up_nobody():
    # Guards against a link that is filled by the documents of many followers.
    async def run():
        env = environment()
        view = view_at(1)
        replica = SimpleNamespace(view=view, age_ms=lambda: 0)
        followers = Followers(env, replica, Registry(env, 1.0))
        connections = [SlowConnection() for _ in range(3 * MAX_TRANSFERS)]
        for number, connection in enumerate(connections):
            connection.peer = InstanceId(f'b-{number}')
            await followers.add(connection, Follow('entry', CLUSTER, 0))
        await curio.sleep(STALLED_TRANSFER_S / 2)
        assert sum(connection.has_bulk for connection in connections) == MAX_TRANSFERS
        assert all(connection.updates for connection in connections)
        near = SlowConnection('near')
        await followers.add(near, Follow('entry', CLUSTER, 0))
        async with curio.timeout_after(STALLED_TRANSFER_S / 2):
            while not near.has_bulk:
                await curio.sleep(0)
        connections.append(near)
        async with curio.timeout_after(TIMEOUT_S):
            while not all(connection.with_items() for connection in connections):
                await curio.sleep(0.01)
        for connection in connections:
            connection.closed = True

    curio.run(run)


def test_a_relay_does_not_send_a_document_again_while_it_is_on_its_way():
    async def run():
        env = environment()
        registry = Registry(env, 1.0)
        peers = SimpleNamespace(connections={})
        client = FeedClient(env, 'entry', view_at(1), registry, peers, Discovery(env, peers, []))
        client.source, client.source_contact_at = InstanceId('c'), env.monotonic()
        relay, connection = FeedRelay(env, client), SlowConnection()
        for _ in range(3):
            assert (await relay.answer(connection, AskFeed(CLUSTER, 0))).ok
        assert len(connection.with_items()) == 1
        assert len(connection.updates) == 3

    curio.run(run)


def test_a_heartbeat_that_overtakes_a_document_does_not_make_a_follower_current():
    # Guards against an entry that takes an older configuration for the newest, as the replica's is.
    async def run():
        env = environment()
        peers = SimpleNamespace(connections={})
        discovery = Discovery(env, peers, [])
        client = FeedClient(env, 'entry', view_at(1), Registry(env, 1.0), peers, discovery)
        client.source = InstanceId('c')
        sender = view_at(2)
        await client.handle_feed_message(client.source, sender.update_without_changes())
        assert client.connected
        assert not client.is_current
        assert not client.was_current
        await client.handle_feed_message(client.source, sender.update_since(CLUSTER, 1))
        assert client.is_current
        assert client.was_current

    curio.run(run)


def test_a_heartbeat_without_changes_does_not_move_a_follower():
    sender, follower = view_at(5), view_at(3)
    assert not follower.apply_update(sender.update_without_changes())
    assert follower.revision == 3
    assert not View().apply_update(sender.update_without_changes())
