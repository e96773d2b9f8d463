"""
How an endpoint daemon gets the pieces of a version: from caches, else by itself.

"""

import curio
import msgspec

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_registry.records import EndpointState
from millfork_weights.links import Link
from millfork_wire.connection import PeerTimedOut
from millfork_wire.messages import CacheAddress, Chunk, GetManifest, Manifest
from millforkd.sidecar import gathering
from millforkd.sidecar.fleet import Fleet
from millforkd.sidecar.gathering import PieceGatherer
from millforkd.sidecar.pieces import PieceStore, WeightsId
from millforkd.sidecar.pushing import PiecePusher
from millforkd.sidecar.sources import DIGESTS_INDEX as DIGESTS_INDEX
from millforkd.sidecar.sources import request_order
from tests.test_caches import DIGESTS, PIECES, StandInOrigin


class CachePeers:
    """
    A cache that has nothing yet the first times it is asked, or is silent.

    """

    def __init__(self, not_yet=0, silent=(), no_digests=0):
        self.not_yet = not_yet
        self.no_digests = no_digests
        self.silent = set(silent)
        self.asked = []

    async def call(self, address, message, timeout):
        self.asked.append(str(address.instance))
        if address.instance in self.silent:
            raise PeerTimedOut('silent')
        if isinstance(message, GetManifest) and self.no_digests:
            self.no_digests -= 1
            return Manifest()
        if isinstance(message, GetManifest):
            digests = [bytes.fromhex(digest) for digest in DIGESTS]
            return Manifest(True, msgspec.msgpack.encode(digests), True)
        if self.not_yet:
            self.not_yet -= 1
            return Chunk(reason='not yet')
        return Chunk(True, PIECES[message.index])


def gathering_with(peers, caches, origin=None):
    env = Environment(InstanceId('10.0.0.7:1'), ZoneId('z1'))
    own = EndpointState('10.0.0.7:1', 's', 'z1', '10.0.0.7', 80, 1)
    fleet = Fleet(env, 's', lambda: [], lambda: own, lambda: (2, len(PIECES)))
    link = Link(1_000_000, 0.94, True, env.monotonic)
    pushing = PiecePusher(env, peers, fleet.origin_fetchers, link.outward)
    return PieceGatherer(
        env, peers, fleet, origin or StandInOrigin(), lambda: caches, pushing, link
    )


def test_a_daemon_asks_its_caches_again_and_draws_nothing_itself(monkeypatch):
    monkeypatch.setattr(gathering, 'RETRY_S', 0.01)

    async def run():
        origin, peers = StandInOrigin(), CachePeers(not_yet=20)
        made = gathering_with(peers, [CacheAddress('10.0.0.1:1', 'z1')], origin)
        held = PieceStore().get_or_create(WeightsId('m', 2))
        async with curio.timeout_after(5):
            await made.gather(held, range(len(PIECES)))
        assert held.whole
        assert origin.drawn == []

    curio.run(run)


def test_a_daemon_asks_its_caches_again_for_the_digests(monkeypatch):
    monkeypatch.setattr(gathering, 'RETRY_S', 0.01)

    async def run():
        origin, peers = StandInOrigin(), CachePeers(no_digests=5)
        made = gathering_with(peers, [CacheAddress('10.0.0.1:1', 'z1')], origin)
        held = PieceStore().get_or_create(WeightsId('m', 2))
        async with curio.timeout_after(5):
            await made.gather(held, range(len(PIECES)))
        assert held.whole
        assert origin.lists == 0

    curio.run(run)


def test_a_daemon_whose_caches_never_have_the_digests_draws_them(monkeypatch):
    monkeypatch.setattr(gathering, 'RETRY_S', 0.01)

    async def run():
        origin, peers = StandInOrigin(), CachePeers(no_digests=10_000)
        made = gathering_with(peers, [CacheAddress('10.0.0.1:1', 'z1')], origin)
        held = PieceStore().get_or_create(WeightsId('m', 2))
        async with curio.timeout_after(5):
            await made.gather(held, range(len(PIECES)))
        assert held.whole
        assert origin.lists == 1

    curio.run(run)


def test_a_silent_cache_is_passed_over():
    async def run():
        caches = [CacheAddress('10.0.0.1:1', 'z1'), CacheAddress('10.0.0.2:1', 'z1')]
        peers = CachePeers(silent={'10.0.0.1:1'})
        made = gathering_with(peers, caches)
        held = PieceStore().get_or_create(WeightsId('m', 2))
        async with curio.timeout_after(5):
            await made.gather(held, range(len(PIECES)))
        assert held.whole
        assert made.near_caches() == ['10.0.0.2:1']
        assert peers.asked.count('10.0.0.1:1') <= 3

    curio.run(run)


def test_who_does_not_tell_the_digests_is_not_asked_for_pieces():
    async def run():
        caches = [CacheAddress('10.0.0.1:1', 'z1'), CacheAddress('10.0.0.2:1', 'z1')]
        first = request_order(
            [cache.instance for cache in caches], WeightsId('m', 2), DIGESTS_INDEX
        )[0]
        peers = CachePeers(silent={first})
        made = gathering_with(peers, caches)
        held = PieceStore().get_or_create(WeightsId('m', 2))
        async with curio.timeout_after(5):
            await made.gather(held, range(len(PIECES)))
        assert held.whole
        assert peers.asked.count(first) == 1

    curio.run(run)


def test_without_caches_daemons_help_themselves():
    async def run():
        origin = StandInOrigin()
        made = gathering_with(CachePeers(silent={'10.0.0.1:1'}), [], origin)
        held = PieceStore().get_or_create(WeightsId('m', 2))
        async with curio.timeout_after(5):
            await made.gather(held, range(len(PIECES)))
        assert held.whole
        assert sorted(origin.drawn) == list(range(len(PIECES)))

    curio.run(run)
