"""
Which replica a process listens to: one of its own zone where it can.

"""

from types import SimpleNamespace

import curio

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_registry import following as feeds
from millfork_registry.discovery import Discovery
from millfork_registry.following import Following
from millfork_registry.registry import Registry
from millfork_state.view import View
from millfork_wire.connection import PeerUnreachable
from millfork_wire.messages import Done, FindReplicas, Follow, Leases, Replicas
from millforkd.proxy.daemon import UNTOLD_ENTRIES, ProxyDaemon

ZONES = {'10.0.0.1:7': 'far', '10.0.0.2:7': 'near'}


class StandInReplicas:
    """
    The replicas of two zones; each is up or not, and hears its leader or not.

    """

    def __init__(self, *up):
        self.up = set(up)
        self.age_ms = 0
        self.followed = []
        self.connections = {}

    async def call(self, address, message, timeout):
        name = str(address.instance)
        if name not in self.up:
            raise PeerUnreachable(name)
        if isinstance(message, FindReplicas):
            age_ms = self.age_ms if ZONES[name] == 'near' else 0
            return Replicas('c', '', sorted(ZONES), age_ms, 1, [], ZONES[name])
        assert isinstance(message, Follow)
        self.followed.append(ZONES[name])
        self.connections[name] = StandInConnection()
        return Done(True)


class StandInConnection:
    closed = False

    async def notify(self, message):
        pass

    async def close(self):
        self.closed = True


def following(replicas):
    env = Environment(InstanceId('10.0.0.9:7'), ZoneId('near'))
    discovery = Discovery(env, replicas, ['10.0.0.1:7', '10.0.0.2:7'])
    return Following(env, 'entry', View(), Registry(env, 1.0), replicas, discovery)


async def watched(made, replicas, condition, bound_s=5.0):
    task = await curio.spawn(made.run, daemon=True)
    async with curio.timeout_after(bound_s):
        while not condition():
            # Its feed goes on.
            made.heard_at = made.env.monotonic()
            await curio.sleep(0.01)
    await task.cancel()


def test_a_follower_goes_to_a_replica_of_its_zone_once_there_is_one(monkeypatch):
    monkeypatch.setattr(feeds, 'NEARER_CHECK_INTERVAL_S', 0.1)
    replicas = StandInReplicas('10.0.0.1:7')
    made = following(replicas)

    async def run():
        await watched(made, replicas, lambda: replicas.followed == ['far'])
        replicas.up.add('10.0.0.2:7')
        await watched(made, replicas, lambda: replicas.followed[-1] == 'near')
        assert made.source == '10.0.0.2:7'

    curio.run(run)


def test_it_goes_to_the_one_of_its_zone_at_once(monkeypatch):
    monkeypatch.setattr(feeds, 'NEARER_CHECK_INTERVAL_S', 0.1)
    monkeypatch.setitem(ZONES, '10.0.0.3:7', 'far')
    replicas = StandInReplicas('10.0.0.1:7', '10.0.0.3:7')
    made = following(replicas)
    made.discovery.learn('10.0.0.3:7')

    async def run():
        await watched(made, replicas, lambda: replicas.followed == ['far'])
        replicas.up.add('10.0.0.2:7')
        await watched(made, replicas, lambda: replicas.followed[-1] == 'near')
        assert replicas.followed == ['far', 'near']

    curio.run(run)


def test_it_does_not_go_to_one_that_does_not_hear_the_leader(monkeypatch):
    monkeypatch.setattr(feeds, 'NEARER_CHECK_INTERVAL_S', 0.1)
    replicas = StandInReplicas('10.0.0.1:7', '10.0.0.2:7')
    replicas.age_ms = feeds.STALE_MS + 1
    made = following(replicas)

    async def run():
        await watched(made, replicas, lambda: replicas.followed == ['far'])
        began = made.env.monotonic()
        await watched(made, replicas, lambda: made.env.monotonic() > began + 0.5)
        assert 'near' not in replicas.followed

    curio.run(run)


def test_the_number_of_entries_is_told_by_the_replica_that_is_followed():
    made = following(StandInReplicas())
    made.source = InstanceId('10.0.0.1:7')
    told = Leases(entries=6, most_entries=7)
    daemon = SimpleNamespace(following=made)

    async def run():
        # By way of another follower.
        await made.take(InstanceId('10.0.0.8:7'), told)
        assert ProxyDaemon.most_entries(daemon) == UNTOLD_ENTRIES
        await made.take(made.source, told)
        assert ProxyDaemon.most_entries(daemon) == 7

    curio.run(run)
