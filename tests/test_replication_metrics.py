"""
Gauges by which an operator sees that a replica or a follower gets its bytes too slowly.

"""

import re
from pathlib import Path
from types import SimpleNamespace

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_registry.followers import BATCH_DELAY_S, HEARTBEAT_S, Followers
from millfork_registry.registry import Registry
from millfork_standins.http_calls import call
from millfork_standins.seeded import SeededFleet
from millfork_state.node import StateNode
from millfork_state.replication import MAX_BATCH_BYTES
from millfork_state.reports import Reports
from millfork_state.storage import Snapshot
from millfork_web.models import Request
from millfork_wire.messages import Follow, InstallRequest
from millfork_wire.outbox import BULK_WINDOW_BYTES, Outbox
from millfork_wire.peers import Peers
from tests.test_feeds_over_slow_links import CLUSTER, SlowConnection, change, view_at
from tests.test_losses_of_disks_and_power import ADMIN_PORT, all_vote
from tests.test_replication import (
    DOCUMENT_BYTES,
    DOCUMENTS,
    STALLED_S,
    SlowPeers,
    form,
    lead,
    new_replica,
    raise_document,
)
from tests.test_transfers import message_bytes
from tests.utils.fleets import wait_until

OPERATIONS = Path(__file__).parent.parent / 'docs' / 'OPERATIONS.md'
GAUGES = (
    'voter_lag_bytes',
    'voter_silent_seconds',
    'transfers',
    'queued_bytes',
    'held_back_feeds',
)


def value(env, name):
    """
    Return a gauge as a scrape shows it.

    """
    lines = env.metrics.render()[0].decode().splitlines()
    return next(float(line.split()[-1]) for line in lines if line.startswith(f'millfork_{name}'))


def test_the_leader_shows_what_the_slowest_voter_lacks(tmp_path):
    async def run():
        replica = new_replica(tmp_path, SlowPeers())
        node = StateNode(replica, Reports())
        replica.env.metrics.updaters.append(node.update_metrics)
        await form(replica, [raise_document(version) for version in range(1, DOCUMENTS + 1)])
        assert value(replica.env, 'voter_lag_bytes') == 0
        node.leadership = await lead(replica)
        task = await curio.spawn(node.leadership.run)
        await curio.sleep(STALLED_S / 2)
        lag = value(replica.env, 'voter_lag_bytes')
        assert DOCUMENTS * DOCUMENT_BYTES < lag < (DOCUMENTS + 1) * DOCUMENT_BYTES
        # `c` answers nothing since the leader began.
        assert STALLED_S / 2 <= value(replica.env, 'voter_silent_seconds') < STALLED_S
        await task.cancel()

    curio.run(run)


def test_a_snapshot_counts_for_a_voter_whose_log_ends_before_it(tmp_path):
    async def run():
        replica = new_replica(tmp_path)
        await form(replica, [raise_document(1), raise_document(2)])
        sizes = [len(entry.payload) for entry in replica.storage.entries]
        await replica.storage.save_snapshot(Snapshot(2, 1, [], bytes(MAX_BATCH_BYTES)))
        assert replica.storage.bytes_after(0) == MAX_BATCH_BYTES + sizes[2]
        assert replica.storage.bytes_after(2) == sizes[2]
        assert replica.storage.bytes_after(3) == 0

    curio.run(run)


@pytest.mark.parametrize('has_transfer', [False, True])
def test_what_waits_for_a_slow_link_is_shown(has_transfer):
    async def run():
        env = Environment(InstanceId('a'), ZoneId('zone'))
        peers = Peers(env, 'replica', '127.0.0.1', 1, b'', None)
        env.metrics.updaters.append(peers.update_metrics)
        outbox = Outbox()
        if has_transfer:
            await outbox.put(message_bytes(InstallRequest(snapshot=bytes(4 * BULK_WINDOW_BYTES))))
        peers.connections[InstanceId('b')] = SimpleNamespace(
            outbox=outbox, has_bulk=outbox.has_bulk
        )
        assert value(env, 'transfers') == int(has_transfer)
        assert (value(env, 'queued_bytes') > 4 * BULK_WINDOW_BYTES) == has_transfer
        if has_transfer:
            before = outbox.queued_bytes()
            taken = sum(len(fragment) for fragment in await outbox.take())
            assert value(env, 'queued_bytes') == before - taken

    curio.run(run)


def test_a_feed_that_holds_a_document_back_is_shown():
    async def run():
        view, connection = view_at(1), SlowConnection()
        env = Environment(InstanceId('a'), ZoneId('zone'))
        replica = SimpleNamespace(view=view, age_ms=lambda: 0)
        followers = Followers(env, replica, Registry(env, 1.0))
        env.metrics.updaters.append(followers.update_metrics)
        await followers.add(connection, Follow('entry', CLUSTER, 0))
        await curio.sleep(BATCH_DELAY_S)
        assert value(followers.env, 'held_back_feeds') == 0
        change(view, 2)
        await followers.wake()
        await curio.sleep(2 * BATCH_DELAY_S)
        assert value(followers.env, 'held_back_feeds') == 1
        await connection.arrived.set()
        await curio.sleep(HEARTBEAT_S + 2 * BATCH_DELAY_S)
        assert value(followers.env, 'held_back_feeds') == 0

    curio.run(run)


def test_daemons_show_the_gauges(tmp_path):
    fleet = SeededFleet(tmp_path)
    try:
        fleet.start()
        wait_until(lambda: all_vote(fleet))
        hosts = {'replica': fleet.replica_hosts[0], 'entry': fleet.entry_hosts[0]}
        texts = {
            role: call(host, ADMIN_PORT, Request('GET', '/metrics')).body.decode()
            for role, host in hosts.items()
        }
    finally:
        fleet.close()
    for name in GAUGES:
        assert re.search(rf'^millfork_{name}(?:{{}})? [\d.]+$', texts['replica'], re.MULTILINE)
    for name in ('transfers', 'queued_bytes'):
        assert re.search(rf'^millfork_{name}(?:{{}})? [\d.]+$', texts['entry'], re.MULTILINE)


@pytest.mark.parametrize('name', GAUGES)
def test_each_gauge_is_explained_to_operators(name):
    assert f'`millfork_{name}`' in OPERATIONS.read_text()
