"""
Relaying of the feed (the stream of updates from a replica to its followers) by one follower to
another follower that reaches no replica.

"""

from types import SimpleNamespace

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import ClusterId, Fingerprint, InstanceId, Revision, ZoneId
from millfork_registry.discovery import Discovery
from millfork_registry.feed_client import FeedClient
from millfork_registry.feed_relay import FeedRelay
from millfork_registry.records import EndpointState
from millfork_registry.registry import Registry
from millfork_registry.suspicions import Suspicion
from millfork_state.view import StoredValue, View
from millfork_wire.connection import PeerTimedOut
from millfork_wire.messages import AskFeed, CacheAddress, VersionSwitch

CUT_OFF, NEAR, FAR = '10.0.0.1:7', '10.0.0.2:7', '10.1.0.3:7'
ZONES = {CUT_OFF: 'here', NEAR: 'here', FAR: 'there'}
CACHES = [CacheAddress(name, zone) for name, zone in ZONES.items()]


class Followers:
    """
    Three followers that reach each other; tests set which of them are connected to a replica.

    """

    def __init__(self):
        self.queried = []
        self.relays = {name: self.follower(name) for name in ZONES}

    def follower(self, name):
        env = Environment(InstanceId(name), ZoneId(ZONES[name]))
        peers = SimpleNamespace(call=lambda *args: self.call(name, *args), connections={})
        view = View()
        view.replace(ClusterId('c'), Revision(1), {'key': StoredValue(b'old', Revision(1))})
        discovery = Discovery(env, peers, [])
        discovery.caches = lambda: CACHES
        return FeedRelay(env, FeedClient(env, 'entry', view, Registry(env, 1.0), peers, discovery))

    async def call(self, asker, address, message, timeout):
        assert isinstance(message, AskFeed)
        name = str(address.instance)
        self.queried.append(name)
        if name not in self.relays:
            raise PeerTimedOut(name)
        receiver = self.relays[asker].feed_client

        async def notify(event):
            assert await receiver.handle_feed_message(InstanceId(name), event)

        return await self.relays[name].answer(
            SimpleNamespace(notify=notify, has_bulk=False), message
        )

    def connect_to_replica(self, *names):
        for name in names:
            feed_client = self.relays[name].feed_client
            feed_client.source = InstanceId('10.9.0.1:7')
            feed_client.source_contact_at = feed_client.env.monotonic()

    async def wait_until(self, condition, connected, timeout_s=5.0):
        async with curio.timeout_after(timeout_s):
            while not condition():
                self.connect_to_replica(*connected)
                await curio.sleep(0.01)


@pytest.fixture
def followers():
    return Followers()


def state(sequence, running):
    return EndpointState('10.0.0.8:7', 's', 'here', 'h', 80, sequence, '', True, running)


def running_requests(feed_client):
    found = feed_client.registry.endpoints.get('10.0.0.8:7')
    return found.running if found is not None else None


def test_a_follower_that_is_cut_off_gets_configuration_and_load_from_its_zone(followers):
    async def run():
        cut_off = followers.relays[CUT_OFF].feed_client
        neighbour = followers.relays[NEAR].feed_client
        neighbour.view.apply_change(Revision(2), {'key': StoredValue(b'new', Revision(2))}, [])
        neighbour.registry.merge_endpoint_state(state(1, 5))
        task = await curio.spawn(followers.relays[CUT_OFF].run, daemon=True)
        connected = (NEAR, FAR)
        await followers.wait_until(lambda: running_requests(cut_off) == 5, connected)
        assert cut_off.view.items['key'].value == b'new'
        assert cut_off.report_target == NEAR
        neighbour.registry.merge_endpoint_state(state(2, 9))
        await followers.wait_until(lambda: running_requests(cut_off) == 9, connected)
        assert set(followers.queried) == {NEAR}
        await task.cancel()

    curio.run(run)


def test_a_follower_without_a_replica_does_not_relay(followers):
    async def run():
        cut_off = followers.relays[CUT_OFF].feed_client
        followers.relays[FAR].feed_client.registry.merge_endpoint_state(state(1, 5))
        task = await curio.spawn(followers.relays[CUT_OFF].run, daemon=True)
        await followers.wait_until(lambda: running_requests(cut_off) == 5, (FAR,))
        assert cut_off.report_target == FAR
        await task.cancel()

    curio.run(run)


def test_a_follower_that_is_cut_off_gets_suspicions_from_its_zone(followers):
    async def run():
        cut_off = followers.relays[CUT_OFF].feed_client.registry.suspicion_store
        neighbour = followers.relays[NEAR].feed_client.registry.suspicion_store
        suspicion = Suspicion(Fingerprint('ab'), 0, 2)
        await neighbour.merge([suspicion])
        task = await curio.spawn(followers.relays[CUT_OFF].run, daemon=True)
        await followers.wait_until(lambda: cut_off.get(suspicion.fingerprint) == suspicion, (NEAR,))
        assert not cut_off.unsent
        await task.cancel()

    curio.run(run)


def test_the_relay_is_left_once_a_replica_answers_again(followers):
    async def run():
        cut_off = followers.relays[CUT_OFF].feed_client
        task = await curio.spawn(followers.relays[CUT_OFF].run, daemon=True)
        await followers.wait_until(lambda: cut_off.relay == NEAR, (NEAR,))
        await followers.wait_until(lambda: not cut_off.relay, (NEAR, CUT_OFF))
        assert cut_off.report_target == '10.9.0.1:7'
        await task.cancel()

    curio.run(run)


def test_an_unrequested_update_of_another_follower_changes_nothing(followers):
    async def run():
        cut_off = followers.relays[CUT_OFF].feed_client
        other = followers.relays[NEAR].feed_client
        other.view.apply_change(Revision(2), {'key': StoredValue(b'new', Revision(2))}, [])
        update = other.view.update_since('c', 1)
        assert await cut_off.handle_feed_message(InstanceId(NEAR), update)
        assert cut_off.view.items['key'].value == b'old'

    curio.run(run)


def test_a_follower_that_is_cut_off_gets_version_cutoffs(followers):
    async def run():
        cut_off = followers.relays[CUT_OFF].feed_client
        followers.relays[NEAR].list_switches = lambda: [VersionSwitch('m', 2, 3000)]
        started_at = cut_off.env.monotonic()
        task = await curio.spawn(followers.relays[CUT_OFF].run, daemon=True)
        await followers.wait_until(
            lambda: cut_off.version_cutoffs.cutoff_of('m', 2) is not None, (NEAR, FAR)
        )
        assert (
            started_at + 3.0
            <= cut_off.version_cutoffs.cutoff_of('m', 2)
            <= cut_off.env.monotonic() + 3.0
        )
        await task.cancel()

    curio.run(run)
