"""
Transfers that share a connection or a sender with much else: each of them proceeds.

"""

from types import SimpleNamespace

import curio

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_registry.followers import HEARTBEAT_S, MAX_TRANSFERS, Followers
from millfork_registry.registry import Registry
from millfork_wire.fragments import FRAGMENT_BYTES
from millfork_wire.messages import Follow, Hello, InstallRequest, PushChunk, Update
from millfork_wire.outbox import Outbox
from millfork_wire.priorities import Priority
from tests.test_feeds_over_slow_links import CLUSTER, change, view_at
from tests.test_transfers import fragment_of, message_bytes

CHUNK_BYTES = 4 * FRAGMENT_BYTES
TRANSFER_S = 0.03
CHANGE_INTERVAL_S = 0.02
STORM_S = 2.0


def test_a_transfer_proceeds_beside_weights_that_never_pause():
    # Guards against a configuration that waits until a process has got all its weights.
    async def run():
        outbox = Outbox()
        await outbox.put(message_bytes(InstallRequest(snapshot=bytes(CHUNK_BYTES))))
        transferred = 0
        for number in range(20):
            await outbox.put(message_bytes(PushChunk('m', number, bytes(CHUNK_BYTES))))
            for data in await outbox.take():
                if fragment_of(data).priority is Priority.BULK:
                    transferred += len(data)
                    await outbox.acknowledge(len(data))
        assert transferred >= CHUNK_BYTES

    curio.run(run)


class BusyConnection:
    """
    A connection on which each transfer takes `TRANSFER_S`.

    """

    def __init__(self, number):
        self.peer = InstanceId(f'b-{number}')
        self.hello = Hello(zone='zone')
        self.closed = False
        self.has_bulk = False
        self.updates = []
        self.transferred = []

    async def wait_until_bulk_is_sent(self, timeout):
        async with curio.ignore_after(timeout):
            while self.has_bulk:
                await curio.sleep(TRANSFER_S / 10)
        return not self.has_bulk

    async def notify(self, message):
        if not isinstance(message, Update):
            return
        self.updates.append(message)
        if message.items:
            self.has_bulk = True
            await curio.spawn(self._transfer, message, daemon=True)

    async def _transfer(self, message):
        await curio.sleep(TRANSFER_S)
        self.transferred.append(message.revision)
        self.has_bulk = False


async def feed_during_a_storm(count):
    """
    Feed the changes of a storm to `count` followers. Returns their connections.

    """
    env = Environment(InstanceId('a'), ZoneId('zone'))
    view = view_at(1)
    replica = SimpleNamespace(view=view, age_ms=lambda: 0)
    followers = Followers(env, replica, Registry(env, 1.0))
    await curio.spawn(followers.wake_on_configuration, daemon=True)
    connections = [BusyConnection(number) for number in range(count)]
    for connection in connections:
        await followers.add(connection, Follow('entry', CLUSTER, 0))
    for revision in range(2, int(STORM_S / CHANGE_INTERVAL_S)):
        change(view, revision)
        await view.notify_waiters()
        await curio.sleep(CHANGE_INTERVAL_S)
    for connection in connections:
        connection.closed = True
    return connections


def test_all_followers_get_changes_during_a_storm():
    # Guards against entries that get no configuration as others always take the free transfers.
    connections = curio.run(feed_during_a_storm, 6 * MAX_TRANSFERS)
    counts = [len(connection.transferred) for connection in connections]
    assert min(counts) >= max(counts) / 3, counts


def test_the_end_of_a_transfer_sends_nothing_to_followers_that_wait_for_none():
    # Guards against a number of messages that grows with the square of the number of followers.
    async def run():
        env = Environment(InstanceId('a'), ZoneId('zone'))
        view = view_at(1)
        replica = SimpleNamespace(view=view, age_ms=lambda: 0)
        followers = Followers(env, replica, Registry(env, 1.0))
        connections = [BusyConnection(number) for number in range(20 * MAX_TRANSFERS)]
        for connection in connections:
            await followers.add(connection, Follow('entry', CLUSTER, 0))
        started_at = env.monotonic()
        while not all(connection.transferred for connection in connections):
            await curio.sleep(TRANSFER_S / 10)
        periods = (env.monotonic() - started_at) / HEARTBEAT_S
        sent = sum(len(connection.updates) for connection in connections)
        for connection in connections:
            connection.closed = True
        # Two messages for each follower's change, and its heartbeats.
        assert sent <= len(connections) * (3 + periods), (sent, periods)

    curio.run(run)
