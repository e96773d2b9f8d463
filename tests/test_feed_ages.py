"""
The age that a follower of a feed gives its configuration, over links that take a document slowly.

"""

from types import SimpleNamespace

import curio

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_registry.discovery import Discovery
from millfork_registry.feed_client import STALE_MS, FeedClient
from millfork_registry.registry import Registry
from tests.test_feeds_over_slow_links import CLUSTER, change, view_at

TRANSFER_S = 2 * STALE_MS / 1000
MS_PER_S = 1000


def new_client(clock):
    env = Environment(InstanceId('a'), ZoneId('zone'), monotonic=lambda: clock.now)
    peers = SimpleNamespace(connections={})
    discovery = Discovery(env, peers, [])
    client = FeedClient(env, 'entry', view_at(1), Registry(env, 1.0), peers, discovery)
    client.source = InstanceId('c')
    return client


def test_a_document_that_took_long_does_not_make_a_follower_current():
    # Guards against an entry that takes a document for the newest as it has just arrived, though
    # the replica has told it of a later one.
    async def run():
        clock = SimpleNamespace(now=100.0)
        client, sender = new_client(clock), view_at(2)
        late = sender.update_since(CLUSTER, 1)
        change(sender, 3)
        await client.handle_feed_message(client.source, sender.update_without_changes())
        clock.now += TRANSFER_S
        await client.handle_feed_message(client.source, sender.update_without_changes())
        await client.handle_feed_message(client.source, late)
        assert client.view.revision == 2
        assert client.knowledge_age_ms() >= TRANSFER_S * MS_PER_S
        assert not client.is_current
        await client.handle_feed_message(client.source, sender.update_since(CLUSTER, 2))
        assert client.knowledge_age_ms() == 0
        assert client.is_current

    curio.run(run)


def test_a_document_counts_as_the_newest_until_a_later_one_is_heard_of():
    # Guards against an entry that never counts as current while changes come without a pause.
    async def run():
        clock = SimpleNamespace(now=100.0)
        client, sender = new_client(clock), view_at(2)
        for revision in range(3, 10):
            document = sender.update_since(CLUSTER, revision - 2)
            clock.now += 0.1
            change(sender, revision)
            await client.handle_feed_message(client.source, sender.update_without_changes())
            clock.now += 0.1
            await client.handle_feed_message(client.source, document)
            assert 99 <= client.knowledge_age_ms() <= 101

    curio.run(run)


def test_a_later_revision_of_another_cluster_is_not_awaited():
    # Guards against an entry that never counts as current again after a message of another cluster.
    async def run():
        clock = SimpleNamespace(now=100.0)
        client, sender, foreign = new_client(clock), view_at(1), view_at(5)
        foreign.cluster = 'other'
        await client.handle_feed_message(client.source, foreign.update_without_changes())
        assert not client.was_current
        clock.now += TRANSFER_S
        await client.handle_feed_message(client.source, sender.update_without_changes())
        assert client.is_current

    curio.run(run)
