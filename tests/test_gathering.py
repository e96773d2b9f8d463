"""
How an endpoint daemon fetches the pieces of a weights version: from caches (entries that keep
pieces), or from the origin if the caches don't provide them.

"""

import curio
import msgspec

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_registry.records import EndpointState
from millfork_state.view import View
from millfork_weights.links import Link
from millfork_wire.connection import PeerTimedOut
from millfork_wire.messages import CacheAddress, Chunk, GetManifest, Manifest
from millforkd.sidecar import gathering
from millforkd.sidecar.fleet import Fleet
from millforkd.sidecar.gathering import PieceGatherer
from millforkd.sidecar.pieces import PieceStore, WeightsId
from millforkd.sidecar.pushing import PiecePusher
from millforkd.sidecar.recorded_digests import RecordedDigests
from millforkd.sidecar.sources import DIGESTS_INDEX, request_order
from tests.test_caches import DIGESTS, PIECES, FakeOrigin


class FakeCachePeers:
    """
    Caches that have no data for the first `not_yet` requests for pieces and the first `no_digests`
    requests for digests. Caches in `silent` never answer.

    """

    def __init__(self, not_yet=0, silent=(), no_digests=0):
        self.not_yet = not_yet
        self.no_digests = no_digests
        self.silent = set(silent)
        self.queried = []

    async def call(self, address, message, timeout):
        self.queried.append(str(address.instance))
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


def gathering_with(peers, caches, origin=None, view=None):
    env = Environment(InstanceId('10.0.0.7:1'), ZoneId('z1'))
    own = EndpointState('10.0.0.7:1', 's', 'z1', '10.0.0.7', 80, 1)
    fleet = Fleet(env, 's', lambda: [], lambda: own, lambda: (2, len(PIECES)))
    link = Link(1_000_000, 0.94, True, env.monotonic)
    pusher = PiecePusher(env, peers, fleet.origin_fetchers, link.outbound)
    return PieceGatherer(
        env,
        peers,
        fleet,
        origin or FakeOrigin(),
        lambda: caches,
        pusher,
        link,
        RecordedDigests(view or View()),
    )


def test_a_daemon_retries_its_caches_and_leaves_the_origin_alone(monkeypatch):
    monkeypatch.setattr(gathering, 'RETRY_S', 0.01)

    async def run():
        origin, peers = FakeOrigin(), FakeCachePeers(not_yet=20)
        gatherer = gathering_with(peers, [CacheAddress('10.0.0.1:1', 'z1')], origin)
        held = PieceStore().get_or_create(WeightsId('m', 2))
        async with curio.timeout_after(5):
            await gatherer.gather(held, range(len(PIECES)))
        assert held.whole
        assert origin.fetched == []

    curio.run(run)


def test_a_daemon_retries_its_caches_for_the_digests(monkeypatch):
    monkeypatch.setattr(gathering, 'RETRY_S', 0.01)

    async def run():
        origin, peers = FakeOrigin(), FakeCachePeers(no_digests=5)
        gatherer = gathering_with(peers, [CacheAddress('10.0.0.1:1', 'z1')], origin)
        held = PieceStore().get_or_create(WeightsId('m', 2))
        async with curio.timeout_after(5):
            await gatherer.gather(held, range(len(PIECES)))
        assert held.whole
        assert origin.digest_fetches == 0

    curio.run(run)


def test_a_daemon_fetches_digests_from_the_origin_if_its_caches_never_have_them(monkeypatch):
    monkeypatch.setattr(gathering, 'RETRY_S', 0.01)

    async def run():
        origin, peers = FakeOrigin(), FakeCachePeers(no_digests=10_000)
        gatherer = gathering_with(peers, [CacheAddress('10.0.0.1:1', 'z1')], origin)
        held = PieceStore().get_or_create(WeightsId('m', 2))
        async with curio.timeout_after(5):
            await gatherer.gather(held, range(len(PIECES)))
        assert held.whole
        assert origin.digest_fetches == 1

    curio.run(run)


def test_a_silent_cache_is_skipped():
    async def run():
        caches = [CacheAddress('10.0.0.1:1', 'z1'), CacheAddress('10.0.0.2:1', 'z1')]
        peers = FakeCachePeers(silent={'10.0.0.1:1'})
        gatherer = gathering_with(peers, caches)
        held = PieceStore().get_or_create(WeightsId('m', 2))
        async with curio.timeout_after(5):
            await gatherer.gather(held, range(len(PIECES)))
        assert held.whole
        assert gatherer.near_caches() == ['10.0.0.2:1']
        assert peers.queried.count('10.0.0.1:1') <= 3

    curio.run(run)


def test_a_cache_that_is_silent_about_digests_is_not_asked_for_pieces():
    async def run():
        caches = [CacheAddress('10.0.0.1:1', 'z1'), CacheAddress('10.0.0.2:1', 'z1')]
        first = request_order(
            [cache.instance for cache in caches], WeightsId('m', 2), DIGESTS_INDEX
        )[0]
        peers = FakeCachePeers(silent={first})
        gatherer = gathering_with(peers, caches)
        held = PieceStore().get_or_create(WeightsId('m', 2))
        async with curio.timeout_after(5):
            await gatherer.gather(held, range(len(PIECES)))
        assert held.whole
        assert peers.queried.count(first) == 1

    curio.run(run)


def test_without_caches_daemons_fetch_from_the_origin():
    async def run():
        origin = FakeOrigin()
        gatherer = gathering_with(FakeCachePeers(silent={'10.0.0.1:1'}), [], origin)
        held = PieceStore().get_or_create(WeightsId('m', 2))
        async with curio.timeout_after(5):
            await gatherer.gather(held, range(len(PIECES)))
        assert held.whole
        assert sorted(origin.fetched) == list(range(len(PIECES)))

    curio.run(run)
