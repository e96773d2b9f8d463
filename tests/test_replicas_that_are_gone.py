"""
Followers that know addresses of replicas that are gone. Guards against a follower that serves by
an old configuration because it dials such addresses one by one before it finds a fresher replica.

"""

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_registry.discovery import Discovery
from millfork_registry.feed_client import STALE_MS, FeedClient
from millfork_registry.registry import Registry
from millfork_registry.replica_survey import HEAD_START_S, ReplicaSurvey
from millfork_state.view import View
from millfork_wire.connection import PeerTimedOut, PeerUnreachable
from millfork_wire.messages import Done, FindReplicas, Follow, Replicas
from millfork_wire.peers import DIAL_TIMEOUT_S

# A machine that no disruption touches is up to date this long after the core was disrupted.
CONTACT_S = 3.0
NEAR, FAR = '10.0.0.1:7', '10.0.0.2:7'


class Fleet:
    """
    A replica in the follower's zone, whose configuration may become stale or which may fall silent,
    one in another zone, and addresses at which nobody answers.

    """

    def __init__(self, gone):
        self.gone = [f'10.0.1.{number}:7' for number in range(1, gone + 1)]
        self.near_age_ms = 0
        self.near_is_silent = False
        self.connections = {}
        self.followed = []
        self.asked = []

    async def call(self, address, message, timeout):
        name = str(address.instance)
        if name in self.gone:
            await curio.sleep(DIAL_TIMEOUT_S)
            raise PeerUnreachable(name)
        if name == NEAR and self.near_is_silent:
            await curio.sleep(timeout)
            raise PeerTimedOut(name)
        if isinstance(message, FindReplicas):
            self.asked.append(name)
            near = name == NEAR
            age_ms, zone = (self.near_age_ms, 'near') if near else (0, 'far')
            return Replicas('c', '', [NEAR, FAR], age_ms, 1, [], zone)
        assert isinstance(message, Follow)
        self.followed.append(name)
        self.connections[name] = Connection()
        return Done(True)


class Connection:
    closed = False

    async def notify(self, message):
        pass

    async def close(self):
        self.closed = True


def follower(fleet):
    env = Environment(InstanceId('10.0.0.9:7'), ZoneId('near'))
    discovery = Discovery(env, fleet, [NEAR, FAR])
    return FeedClient(env, 'entry', View(), Registry(env, 1.0), fleet, discovery)


async def wait_until(condition, timeout_s):
    async with curio.timeout_after(timeout_s):
        while not condition():
            await curio.sleep(0.01)


async def send_feed(client, fleet):
    """
    Simulates messages of the feed.

    """
    while True:
        if not (fleet.near_is_silent and client.source == NEAR):
            client.source_contact_at = client.env.monotonic()
            client.age_ms = fleet.near_age_ms if client.source == NEAR else 0
        await curio.sleep(0.05)


@pytest.mark.parametrize('trouble', ['stale', 'silent'])
@pytest.mark.parametrize('gone', [0, 1, 3, 8])
def test_a_follower_finds_a_fresh_replica_among_addresses_that_are_gone(gone, trouble):
    async def run():
        fleet = Fleet(gone)
        client = follower(fleet)
        # The worst order: all addresses that are gone come before the fresh replica.
        for name in fleet.gone:
            client.discovery.add_replica(name)
        addresses = client.discovery.addresses
        client.discovery.addresses = lambda: sorted(
            addresses(), key=lambda address: [NEAR, *fleet.gone, FAR].index(str(address.instance))
        )
        tasks = [await curio.spawn(client.run), await curio.spawn(send_feed, client, fleet)]
        await wait_until(lambda: fleet.followed == [NEAR], CONTACT_S)
        # The replica has had no contact with its leader for as long as its configuration is stale.
        cut_at = client.env.monotonic() - (STALE_MS / 1000 if trouble == 'stale' else 0)
        fleet.near_age_ms = STALE_MS + 1 if trouble == 'stale' else 0
        fleet.near_is_silent = trouble == 'silent'
        await wait_until(lambda: fleet.followed[-1] == FAR, 20)
        assert client.env.monotonic() - cut_at < CONTACT_S
        for task in tasks:
            await task.cancel()

    curio.run(run)


def test_in_calm_times_only_the_preferred_replica_is_asked():
    """
    Guards against followers that all connect to all replicas.

    """

    async def run():
        fleet = Fleet(0)
        client = follower(fleet)
        client.discovery.addresses = lambda: sorted(
            client.discovery.seeds, key=lambda address: str(address.instance)
        )
        task = await curio.spawn(client.run)
        await wait_until(lambda: fleet.followed, CONTACT_S)
        await task.cancel()
        assert fleet.asked == [NEAR]

    curio.run(run)


def test_a_survey_ends_without_an_answer_if_nobody_answers():
    async def run():
        async def ask(address):
            await curio.sleep(2 * HEAD_START_S)
            return

        env = Environment(InstanceId('10.0.0.9:7'), ZoneId('near'))
        survey = ReplicaSurvey(env, ask)
        async with curio.timeout_after(CONTACT_S):
            for addresses in ([], [1], [1, 2, 3]):
                found = await survey.find(addresses, lambda reply: True)
                assert (found.answers, found.wanted) == ([], None)

    curio.run(run)
