"""
Choice of the replica whose feed (stream of registry updates) a process follows: one in the
process's zone if possible.

"""

from types import SimpleNamespace

import curio

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, Revision, ZoneId
from millfork_core.windows import ENTRIES_REMEMBERED_S
from millfork_registry import feed_client as feed_client_module
from millfork_registry.discovery import Discovery
from millfork_registry.feed_client import CUTOFF_QUERY_S, STALE_MS, FeedClient
from millfork_registry.records import encode_records
from millfork_registry.registry import Registry
from millfork_state.commands import Versioned, encode_versioned
from millfork_state.keys import version_key
from millfork_state.view import StoredValue, View
from millfork_wire.connection import PeerUnreachable
from millfork_wire.messages import (
    Done,
    FindReplicas,
    Follow,
    Leases,
    Replicas,
    Update,
    VersionSwitch,
)
from millforkd.proxy.daemon import DEFAULT_ENTRY_COUNT, ProxyDaemon
from tests.test_incarnations import FIRST_INCARNATION, lease
from tests.test_servers import Clock

ZONES = {'10.0.0.1:7': 'far', '10.0.0.2:7': 'near'}


class FakeReplicas:
    """
    Replicas in two zones. Tests set which replicas are reachable, and which age the near replica
    reports for its state.

    """

    def __init__(self, *reachable):
        self.reachable = set(reachable)
        self.age_ms = 0
        self.followed = []
        self.connections = {}

    async def call(self, address, message, timeout):
        name = str(address.instance)
        if name not in self.reachable:
            raise PeerUnreachable(name)
        if isinstance(message, FindReplicas):
            age_ms = self.age_ms if ZONES[name] == 'near' else 0
            return Replicas('c', '', sorted(ZONES), age_ms, 1, [], ZONES[name])
        assert isinstance(message, Follow)
        self.followed.append(ZONES[name])
        self.connections[name] = FakeConnection()
        return Done(True)


class FakeConnection:
    closed = False

    async def notify(self, message):
        pass

    async def close(self):
        self.closed = True


def client_following(replicas, **environment):
    env = Environment(InstanceId('10.0.0.9:7'), ZoneId('near'), **environment)
    discovery = Discovery(env, replicas, ['10.0.0.1:7', '10.0.0.2:7'])
    return FeedClient(env, 'entry', View(), Registry(env, 1.0), replicas, discovery)


async def run_until(client, replicas, condition, timeout_s=5.0):
    task = await curio.spawn(client.run, daemon=True)
    async with curio.timeout_after(timeout_s):
        while not condition():
            # Simulates messages of the feed.
            client.source_contact_at = client.env.monotonic()
            await curio.sleep(0.01)
    await task.cancel()


def test_a_follower_changes_to_a_replica_in_its_zone_once_one_answers(monkeypatch):
    monkeypatch.setattr(feed_client_module, 'NEARER_CHECK_PERIOD_S', 0.1)
    replicas = FakeReplicas('10.0.0.1:7')
    client = client_following(replicas)

    async def run():
        await run_until(client, replicas, lambda: replicas.followed == ['far'])
        replicas.reachable.add('10.0.0.2:7')
        await run_until(client, replicas, lambda: replicas.followed[-1] == 'near')
        assert client.source == '10.0.0.2:7'

    curio.run(run)


def test_a_follower_changes_directly_to_the_replica_in_its_zone(monkeypatch):
    monkeypatch.setattr(feed_client_module, 'NEARER_CHECK_PERIOD_S', 0.1)
    monkeypatch.setitem(ZONES, '10.0.0.3:7', 'far')
    replicas = FakeReplicas('10.0.0.1:7', '10.0.0.3:7')
    client = client_following(replicas)
    client.discovery.add_replica('10.0.0.3:7')

    async def run():
        await run_until(client, replicas, lambda: replicas.followed == ['far'])
        replicas.reachable.add('10.0.0.2:7')
        await run_until(client, replicas, lambda: replicas.followed[-1] == 'near')
        assert replicas.followed == ['far', 'near']

    curio.run(run)


def test_a_follower_does_not_change_to_a_replica_without_contact_to_the_leader(monkeypatch):
    monkeypatch.setattr(feed_client_module, 'NEARER_CHECK_PERIOD_S', 0.1)
    replicas = FakeReplicas('10.0.0.1:7', '10.0.0.2:7')
    replicas.age_ms = feed_client_module.STALE_MS + 1
    client = client_following(replicas)

    async def run():
        await run_until(client, replicas, lambda: replicas.followed == ['far'])
        started_at = client.env.monotonic()
        await run_until(client, replicas, lambda: client.env.monotonic() > started_at + 0.5)
        assert 'near' not in replicas.followed

    curio.run(run)


def test_only_the_followed_replica_sets_the_number_of_entries():
    client = client_following(FakeReplicas())
    client.source = InstanceId('10.0.0.1:7')
    leases = Leases(entries=6, most_entries=7)
    daemon = SimpleNamespace(feed_client=client)

    async def run():
        # This message comes from another follower, which relays the feed.
        await client.handle_feed_message(InstanceId('10.0.0.8:7'), leases)
        assert ProxyDaemon.peak_entries(daemon) == DEFAULT_ENTRY_COUNT
        await client.handle_feed_message(client.source, leases)
        assert ProxyDaemon.peak_entries(daemon) == 7

    curio.run(run)


def test_a_late_first_message_of_a_replica_left_before_drops_no_back_end():
    # A replica that was frozen when it was asked to follow answers after the follower has left.
    client = client_following(FakeReplicas())
    client.source = InstanceId('10.0.0.2:7')
    leases = [lease(FIRST_INCARNATION, instance=name, port=n) for n, name in enumerate('ab', 80)]
    newest = Leases(True, True, leases=encode_records(leases))
    late = Leases(True, True, leases=encode_records(leases[:1]))
    curio.run(client.handle_feed_message, InstanceId('10.0.0.2:7'), newest)
    curio.run(client.handle_feed_message, InstanceId('10.0.0.1:7'), late)
    assert sorted(client.registry.leases.rows) == ['a', 'b']


def test_a_follower_was_current_once_it_has_all_that_an_up_to_date_replica_has():
    client = client_following(FakeReplicas())
    client.source = InstanceId('10.0.0.1:7')

    def was_current_after(update):
        curio.run(client.handle_feed_message, client.source, update)
        return client.was_current

    assert not was_current_after(Update('c', 0, 2, full=True, age_ms=STALE_MS))
    # A change that comes after revision 2 is lacking.
    assert not was_current_after(Update('c', 3, 4, age_ms=0))
    assert was_current_after(Update('c', 2, 2, age_ms=0))
    assert was_current_after(Update('c', 2, 2, age_ms=STALE_MS))


def test_a_cutoff_that_no_replica_knows_is_asked_for_at_each_check_only_at_first():
    clock = Clock()
    client = client_following(FakeReplicas(), monotonic=clock)
    value = encode_versioned(Versioned(2, b''))
    client.view.apply_change(Revision(1), {version_key('m'): StoredValue(value, Revision(1))}, [])
    assert client.seeks_cutoff(clock.now)
    clock.now += CUTOFF_QUERY_S
    assert client.seeks_cutoff(clock.now)
    clock.now += 0.1
    assert not client.seeks_cutoff(clock.now)
    client.version_cutoffs.record_answer(clock.now, [VersionSwitch('m', 2, 0)])
    assert not client.seeks_cutoff(clock.now)
    value = encode_versioned(Versioned(3, b''))
    client.view.apply_change(Revision(2), {version_key('m'): StoredValue(value, Revision(2))}, [])
    assert client.seeks_cutoff(clock.now)


def test_an_entry_remembers_the_number_of_entries_when_it_turns_to_another_replica():
    """
    Guards against entries that divide shared limits by too few: a replica that lost its disk knows
    only the entries that follow it again.

    """
    clock = Clock()
    client = client_following(FakeReplicas(), monotonic=clock)

    async def told(replica, most_entries):
        client.source = InstanceId(replica)
        await client._on_leases(client.source, Leases(entries=2, most_entries=most_entries))

    curio.run(told, 'a:1', 36)
    curio.run(told, 'b:1', 2)
    assert client.peak_entries == 36
    clock.now += ENTRIES_REMEMBERED_S + 1.0
    curio.run(told, 'b:1', 2)
    assert client.peak_entries == 2
