"""
The feed by way of another follower, where no replica can be reached.

"""

from types import SimpleNamespace

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import ClusterId, Fingerprint, InstanceId, Revision, ZoneId
from millfork_registry.discovery import Discovery
from millfork_registry.following import Following
from millfork_registry.records import EndpointState
from millfork_registry.registry import Registry
from millfork_registry.relaying import Relaying
from millfork_registry.suspects import Suspicion
from millfork_state.view import StoredValue, View
from millfork_wire.connection import PeerTimedOut
from millfork_wire.messages import AskFeed, CacheAddress, VersionSwitch

CUT, NEAR, FAR = '10.0.0.1:7', '10.0.0.2:7', '10.1.0.3:7'
ZONES = {CUT: 'here', NEAR: 'here', FAR: 'there'}
CACHES = [CacheAddress(name, zone) for name, zone in ZONES.items()]


class Followers:
    """
    Three followers that reach each other; the test says who hears a replica.

    """

    def __init__(self):
        self.asked = []
        self.relaying = {name: self.follower(name) for name in ZONES}

    def follower(self, name):
        env = Environment(InstanceId(name), ZoneId(ZONES[name]))
        peers = SimpleNamespace(call=lambda *args: self.call(name, *args), connections={})
        view = View()
        view.replace(ClusterId('c'), Revision(1), {'key': StoredValue(b'old', Revision(1))})
        discovery = Discovery(env, peers, [])
        discovery.caches = lambda: CACHES
        return Relaying(env, Following(env, 'entry', view, Registry(env, 1.0), peers, discovery))

    async def call(self, asker, address, message, timeout):
        assert isinstance(message, AskFeed)
        name = str(address.instance)
        self.asked.append(name)
        if name not in self.relaying:
            raise PeerTimedOut(name)
        taker = self.relaying[asker].following

        async def notify(event):
            assert await taker.take(InstanceId(name), event)

        return await self.relaying[name].answer(SimpleNamespace(notify=notify), message)

    def hears_replica(self, *names):
        for name in names:
            following = self.relaying[name].following
            following.source = InstanceId('10.9.0.1:7')
            following.heard_at = following.env.monotonic()

    async def until(self, condition, hearing, bound_s=5.0):
        async with curio.timeout_after(bound_s):
            while not condition():
                self.hears_replica(*hearing)
                await curio.sleep(0.01)


@pytest.fixture
def followers():
    return Followers()


def state(sequence, running):
    return EndpointState('10.0.0.8:7', 's', 'here', 'h', 80, sequence, '', True, running)


def running_at(following):
    found = following.registry.endpoints.get('10.0.0.8:7')
    return found.running if found is not None else None


def test_who_is_cut_off_hears_configuration_and_load_by_way_of_its_zone(followers):
    async def run():
        cut = followers.relaying[CUT].following
        near = followers.relaying[NEAR].following
        near.view.apply_change(Revision(2), {'key': StoredValue(b'new', Revision(2))}, [])
        near.registry.take_endpoint(state(1, 5))
        task = await curio.spawn(followers.relaying[CUT].keep, daemon=True)
        hearing = (NEAR, FAR)
        await followers.until(lambda: running_at(cut) == 5, hearing)
        assert cut.view.items['key'].value == b'new'
        assert cut.reports_to == NEAR
        near.registry.take_endpoint(state(2, 9))
        await followers.until(lambda: running_at(cut) == 9, hearing)
        assert set(followers.asked) == {NEAR}
        await task.cancel()

    curio.run(run)


def test_one_that_hears_no_replica_itself_is_passed_over(followers):
    async def run():
        cut = followers.relaying[CUT].following
        followers.relaying[FAR].following.registry.take_endpoint(state(1, 5))
        task = await curio.spawn(followers.relaying[CUT].keep, daemon=True)
        await followers.until(lambda: running_at(cut) == 5, (FAR,))
        assert cut.reports_to == FAR
        await task.cancel()

    curio.run(run)


def test_who_is_cut_off_hears_of_suspects_by_way_of_its_zone(followers):
    async def run():
        cut = followers.relaying[CUT].following.registry.suspects
        near = followers.relaying[NEAR].following.registry.suspects
        suspicion = Suspicion(Fingerprint('ab'), 0, 2)
        await near.hear([suspicion])
        task = await curio.spawn(followers.relaying[CUT].keep, daemon=True)
        await followers.until(lambda: cut.of(suspicion.fingerprint) == suspicion, (NEAR,))
        assert not cut.untold
        await task.cancel()

    curio.run(run)


def test_the_relay_is_left_once_a_replica_is_heard_again(followers):
    async def run():
        cut = followers.relaying[CUT].following
        task = await curio.spawn(followers.relaying[CUT].keep, daemon=True)
        await followers.until(lambda: cut.relay == NEAR, (NEAR,))
        await followers.until(lambda: not cut.relay, (NEAR, CUT))
        assert cut.reports_to == '10.9.0.1:7'
        await task.cancel()

    curio.run(run)


def test_an_update_of_one_that_was_not_asked_changes_nothing(followers):
    async def run():
        cut = followers.relaying[CUT].following
        other = followers.relaying[NEAR].following
        other.view.apply_change(Revision(2), {'key': StoredValue(b'new', Revision(2))}, [])
        update = other.view.update_since('c', 1)
        assert await cut.take(InstanceId(NEAR), update)
        assert cut.view.items['key'].value == b'old'

    curio.run(run)


def test_who_is_cut_off_is_told_when_a_version_ends(followers):
    async def run():
        cut = followers.relaying[CUT].following
        followers.relaying[NEAR].switches = lambda: [VersionSwitch('m', 2, 3000)]
        began = cut.env.monotonic()
        task = await curio.spawn(followers.relaying[CUT].keep, daemon=True)
        await followers.until(lambda: cut.switch_ends.at('m', 2) is not None, (NEAR, FAR))
        assert began + 3.0 <= cut.switch_ends.at('m', 2) <= cut.env.monotonic() + 3.0
        await task.cancel()

    curio.run(run)
