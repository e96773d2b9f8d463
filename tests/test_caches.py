"""
Entries as caches of pieces: which caches are advertised, and which of them use the origin.

The cache that is to fetch a piece from the origin (the fetcher in `PieceCache`) is called the
assigned cache of the piece.

"""

import hashlib

import curio
from hypothesis import given
from hypothesis import strategies as st

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_registry.caches import (
    MAX_ADVERTISED_IN_ZONE,
    MAX_ADVERTISED_PER_OTHER_ZONE,
    advertised_caches,
    caches_near_origin,
)
from millfork_routing.documents import OriginSpec
from millfork_state.view import View
from millfork_wire.connection import PeerTimedOut
from millfork_wire.messages import CacheAddress, GetChunk, GetManifest
from millforkd.proxy import cache as caching
from millforkd.proxy.cache import PieceCache, prefetch_order
from millforkd.sidecar import gathering
from millforkd.sidecar.pieces import WeightsId, decode_digests
from millforkd.sidecar.recorded_digests import RecordedDigests
from millforkd.sidecar.silent_peers import SKIP_SILENT_PEER_S

PIECES = tuple(bytes([number]) * 8 for number in range(6))
DIGESTS_REQUEST = 'digests'
DIGESTS = tuple(hashlib.sha256(piece).hexdigest() for piece in PIECES)
CACHES = st.lists(
    st.tuples(st.integers(1, 40), st.sampled_from(['z1', 'z2', 'z3'])).map(
        lambda pair: CacheAddress(f'10.0.0.{pair[0]}:1', pair[1])
    ),
    max_size=60,
    unique_by=lambda cache: cache.instance,
)


class FakeOrigin:
    """
    Records which pieces are fetched; the first `corrupt_count` fetches return no valid piece.

    """

    def __init__(self, zone='z1', corrupt_count=0):
        self.zone = zone
        self.corrupt_count = corrupt_count
        self.fetched = []
        self.digest_fetches = 0
        self.failing = False
        self.bytes_per_s = 0.0

    def current_spec(self):
        return OriginSpec('10.0.0.9', 80, 8, self.zone, self.bytes_per_s)

    async def fetch_digests(self, held):
        self.digest_fetches += 1
        await curio.sleep(0)
        await held.set_digests(DIGESTS)
        return True

    async def fetch_piece(self, held, index):
        self.fetched.append(index)
        await curio.sleep(0)
        if self.corrupt_count:
            self.corrupt_count -= 1
            return None
        await held.put(index, PIECES[index])
        return PIECES[index]


class FakePeers:
    """
    Delivers requests to the other caches by direct calls.

    """

    def __init__(self):
        self.caches = {}
        self.silent = False
        self.queried = []

    async def call(self, address, message, timeout):
        asks_digests = isinstance(message, GetManifest)
        self.queried.append((address.instance, DIGESTS_REQUEST if asks_digests else message.index))
        if self.silent:
            raise PeerTimedOut('silent')
        cache = self.caches[address.instance]
        return await (
            cache.on_get_manifest(message) if asks_digests else cache.on_get_chunk(message)
        )


def cache_at(instance, zone, origin, peers, caches):
    env = Environment(InstanceId(instance), ZoneId(zone))
    cache = PieceCache(env, peers, origin, lambda: caches, RecordedDigests(View()))
    peers.caches[instance] = cache
    return cache


def cache_and_assigned_cache():
    """
    A cache in zone z2 and a cache in zone z1, the assigned cache of all pieces. Each has a fake
    origin of its own, and neither prefetches pieces of version 2.

    """
    caches = [CacheAddress('10.0.0.1:1', 'z1'), CacheAddress('10.0.0.2:1', 'z2')]
    peers = FakePeers()
    cache = cache_at('10.0.0.2:1', 'z2', FakeOrigin(), peers, caches)
    assigned = cache_at('10.0.0.1:1', 'z1', FakeOrigin(), peers, caches)
    for piece_cache in (cache, assigned):
        piece_cache.prefetching.add(WeightsId('m', 2))
    return cache, assigned


@given(CACHES, st.sampled_from(['z1', 'z2', 'z3']))
def test_the_advertised_caches_of_a_zone_do_not_depend_on_their_order(caches, zone):
    found = advertised_caches(caches, zone)
    assert advertised_caches([*reversed(caches), *caches[:3]], zone) == found
    for name in ('z1', 'z2', 'z3'):
        of_zone = [cache for cache in caches if cache.zone == name]
        max_found = MAX_ADVERTISED_IN_ZONE if name == zone else MAX_ADVERTISED_PER_OTHER_ZONE
        assert sum(cache.zone == name for cache in found) == min(len(of_zone), max_found)


@given(CACHES, st.sampled_from(['z1', 'z2', 'z3', '']))
def test_all_zones_agree_on_the_caches_that_fetch_from_the_origin(caches, origin_zone):
    assigned_caches = [
        caches_near_origin(advertised_caches(caches, zone), origin_zone)
        for zone in ('z1', 'z2', 'z3')
    ]
    assert assigned_caches[0] == assigned_caches[1] == assigned_caches[2]
    assert bool(assigned_caches[0]) == bool(caches)
    if any(cache.zone == origin_zone for cache in caches):
        assert {cache.zone for cache in assigned_caches[0]} == {origin_zone}


def test_each_piece_is_fetched_from_the_origin_once_for_all_zones():
    async def run():
        caches = [CacheAddress('10.0.0.1:1', 'z1'), CacheAddress('10.0.0.2:1', 'z2')]
        origin, peers = FakeOrigin(), FakePeers()
        for cache in caches:
            cache_at(cache.instance, cache.zone, origin, peers, caches)
        async with curio.TaskGroup() as group:
            for index in range(len(PIECES)):
                for cache in peers.caches.values():
                    await group.spawn(cache.on_get_chunk, GetChunk('m@2', index))
        for index, piece in enumerate(PIECES):
            for cache in peers.caches.values():
                assert (await cache.on_get_chunk(GetChunk('m@2', index))).data == piece
        assert sorted(origin.fetched) == list(range(len(PIECES)))

    curio.run(run)


def test_digests_are_fetched_from_the_origin_once_for_all_caches():
    """
    Guards against every entry fetching the list of digests from the origin. When 98 entries did
    so, 60 of the 96 pieces of a version were fetched in 2.5 s, where the origin's link can carry
    92.

    """

    async def run():
        caches = [CacheAddress(f'10.0.0.{number}:1', f'z{number % 3}') for number in range(1, 9)]
        origin, peers = FakeOrigin(), FakePeers()
        for cache in caches:
            cache_at(cache.instance, cache.zone, origin, peers, caches)
        async with curio.TaskGroup() as group:
            for cache in peers.caches.values():
                await group.spawn(cache.on_get_manifest, GetManifest('m@2'))
        for cache in peers.caches.values():
            assert decode_digests((await cache.on_get_manifest(GetManifest('m@2'))).body) == DIGESTS
        assert origin.digest_fetches == 1

    curio.run(run)


def test_one_request_prefetches_the_other_pieces():
    async def run():
        caches = [CacheAddress('10.0.0.1:1', 'z1')]
        origin, peers = FakeOrigin(), FakePeers()
        cache = cache_at('10.0.0.1:1', 'z1', origin, peers, caches)
        assert decode_digests((await cache.on_get_manifest(GetManifest('m@2'))).body) == DIGESTS
        assert (await cache.on_get_chunk(GetChunk('m@2', 4))).data == PIECES[4]
        while len(origin.fetched) < len(PIECES):
            await curio.sleep(0)
        assert sorted(origin.fetched) == list(range(len(PIECES)))
        assert origin.digest_fetches == 1

    curio.run(run)


def test_prefetching_stops_once_a_version_is_no_longer_requested(monkeypatch):
    monkeypatch.setattr(caching, 'RETRY_S', 0.01)

    async def run():
        now = 100.0
        origin, peers = FakeOrigin(corrupt_count=10_000), FakePeers()
        cache = cache_at('10.0.0.1:1', 'z1', origin, peers, [CacheAddress('10.0.0.1:1', 'z1')])
        cache.env.monotonic = lambda: now
        assert not (await cache.on_get_chunk(GetChunk('m@2', 0))).found
        now += caching.IDLE_S + 0.1
        async with curio.timeout_after(5):
            while WeightsId('m', 2) in cache.prefetching:
                await curio.sleep(0)
        fetched = len(origin.fetched)
        for _ in range(50):
            await curio.sleep(0)
        assert len(origin.fetched) == fetched
        # A later request starts prefetching again.
        origin.corrupt_count = 0
        assert (await cache.on_get_chunk(GetChunk('m@2', 0))).found
        async with curio.timeout_after(5):
            while not cache.store.get_or_create(WeightsId('m', 2)).whole:
                await curio.sleep(0)

    curio.run(run)


@given(st.integers(0, 200))
def test_both_halves_are_prefetched_evenly(pieces):
    order = prefetch_order(pieces)
    assert sorted(order) == list(range(pieces))
    for count in range(pieces + 1):
        lower = sum(index < pieces / 2 for index in order[:count])
        assert abs(2 * lower - count) <= 1


def test_a_cache_fetches_itself_when_the_assigned_cache_is_silent():
    async def run():
        caches = [CacheAddress('10.0.0.1:1', 'z1'), CacheAddress('10.0.0.2:1', 'z2')]
        origin, peers = FakeOrigin(), FakePeers()
        peers.silent = True
        cache = cache_at('10.0.0.2:1', 'z2', origin, peers, caches)
        assert (await cache.on_get_chunk(GetChunk('m@2', 3))).data == PIECES[3]
        # One unanswered request for digests is enough to skip the assigned cache.
        assert peers.queried[0] == ('10.0.0.1:1', DIGESTS_REQUEST)

    curio.run(run)


def test_a_silent_assigned_cache_is_skipped_for_a_while():
    async def run():
        caches = [CacheAddress('10.0.0.1:1', 'z1'), CacheAddress('10.0.0.2:1', 'z2')]
        origin, peers = FakeOrigin(), FakePeers()
        peers.silent = True
        cache = cache_at('10.0.0.2:1', 'z2', origin, peers, caches)
        cache.prefetching.add(WeightsId('m', 2))
        now = 100.0
        cache.silent.monotonic = lambda: now
        for index in range(4):
            assert (await cache.on_get_chunk(GetChunk('m@2', index))).data == PIECES[index]
        assert peers.queried == [('10.0.0.1:1', DIGESTS_REQUEST)]
        peers.silent = False
        cache_at('10.0.0.1:1', 'z1', origin, peers, caches)
        now += SKIP_SILENT_PEER_S + 0.1
        assert (await cache.on_get_chunk(GetChunk('m@2', 4))).data == PIECES[4]
        assert peers.queried[-1] == ('10.0.0.1:1', 4)

    curio.run(run)


def test_a_piece_that_the_assigned_cache_fetches_is_not_fetched_twice(monkeypatch):
    monkeypatch.setattr(caching, 'ANSWER_WITHIN_S', 0.05)

    async def run():
        cache, assigned = cache_and_assigned_cache()
        answer_allowed = curio.Event()
        original_fetch = assigned.origin.fetch_piece

        async def fetch_piece(held, index):
            await answer_allowed.wait()
            return await original_fetch(held, index)

        assigned.origin.fetch_piece = fetch_piece
        for _ in range(caching.MAX_NOT_YET_ANSWERS - 1):
            assert not (await cache.on_get_chunk(GetChunk('m@2', 3))).found
        assert cache.origin.fetched == []
        await answer_allowed.set()
        async with curio.timeout_after(5):
            while not (await cache.on_get_chunk(GetChunk('m@2', 3))).found:
                pass
        assert cache.origin.fetched == []

    curio.run(run)


def test_only_the_assigned_cache_retries_an_origin_that_is_down(monkeypatch):
    monkeypatch.setattr(caching, 'ANSWER_WITHIN_S', 0.02)

    async def run():
        cache, assigned = cache_and_assigned_cache()
        assigned.origin.corrupt_count = 10_000
        assigned.origin.failing = True
        for _ in range(caching.MAX_NOT_YET_ANSWERS * 3):
            assert not (await cache.on_get_chunk(GetChunk('m@2', 3))).found
        assert cache.origin.fetched == []
        assigned.origin.corrupt_count = 0
        async with curio.timeout_after(5):
            while not (await cache.on_get_chunk(GetChunk('m@2', 3))).found:
                pass
        assert cache.origin.fetched == []

    curio.run(run)


def test_an_assigned_cache_is_waited_for_while_its_origin_sends_other_pieces(monkeypatch):
    """
    Guards against all entries fetching the same piece from a busy origin. Two versions were
    requested from an origin that sends one version in 4.4 s. For 3 s the assigned caches answered
    'not yet' to requests for a piece of the second version. Then all entries fetched that piece
    from the origin as well: the fetches of six of nine entries timed out after 1.0 s, all within
    0.3 s, the origin sent 4.6 copies of the weights, and the first engine had the whole version
    12.8 s after the origin was back.

    """
    monkeypatch.setattr(caching, 'ANSWER_WITHIN_S', 0.02)

    async def run():
        cache, assigned = cache_and_assigned_cache()
        original_fetch = assigned.origin.fetch_piece
        # Each of up to two assigned caches counts on half of the origin's rate, which is four
        # pieces of eight bytes a second.
        assigned.origin.bytes_per_s = cache.origin.bytes_per_s = 64.0

        async def fetch_piece(held, index):
            if index == 3:
                await curio.sleep(30)
            return await original_fetch(held, index)

        assigned.origin.fetch_piece = fetch_piece
        for number in range(caching.MAX_NOT_YET_ANSWERS * 3):
            version = f'm@{number + 10}'
            assigned.prefetching.add(WeightsId('m', number + 10))
            for index in (0, 1):
                assert (await assigned.on_get_chunk(GetChunk(version, index, draw=True))).found
            assert not (await cache.on_get_chunk(GetChunk('m@2', 3))).found
        assert cache.origin.fetched == []
        cache.env.ended = assigned.env.ended = True

    curio.run(run)


def test_an_assigned_cache_that_is_too_slow_is_not_waited_for(monkeypatch):
    monkeypatch.setattr(caching, 'ANSWER_WITHIN_S', 0.05)

    async def run():
        cache, assigned = cache_and_assigned_cache()

        async def fetch_piece(held, index):
            await curio.sleep(30)

        assigned.origin.fetch_piece = fetch_piece
        async with curio.timeout_after(10):
            while not (await cache.on_get_chunk(GetChunk('m@2', 3))).found:
                pass
        assert cache.origin.fetched == [3]
        cache.env.ended = assigned.env.ended = True

    curio.run(run)


def test_a_cache_answers_before_it_counts_as_silent():
    assert caching.ANSWER_WITHIN_S < caching.PEER_TIMEOUT_S
    assert caching.ANSWER_WITHIN_S < gathering.CACHE_TIMEOUT_S


def test_a_corrupt_piece_is_fetched_again_and_an_unknown_one_refused():
    async def run():
        caches = [CacheAddress('10.0.0.1:1', 'z1')]
        origin, peers = FakeOrigin(corrupt_count=1), FakePeers()
        cache = cache_at('10.0.0.1:1', 'z1', origin, peers, caches)
        assert (await cache.on_get_chunk(GetChunk('m@2', 0))).data == PIECES[0]
        assert origin.fetched[:2] == [0, 0]
        for bad in (GetChunk('m@2', 6), GetChunk('m', 0), GetChunk('m@x', 0)):
            assert not (await cache.on_get_chunk(bad)).found

    curio.run(run)


def test_the_assigned_cache_asks_no_other_cache():
    async def run():
        caches = [CacheAddress('10.0.0.1:1', 'z1')]
        origin, peers = FakeOrigin(), FakePeers()
        cache = cache_at('10.0.0.3:1', 'z1', origin, peers, caches)
        cache.prefetching.add(WeightsId('m', 2))
        assert (await cache.on_get_chunk(GetChunk('m@2', 1, draw=True))).data == PIECES[1]
        assert peers.queried == []

    curio.run(run)


def test_a_piece_requested_while_the_origin_is_down_arrives_once_it_is_back(monkeypatch):
    monkeypatch.setattr(caching, 'ANSWER_WITHIN_S', 0.05)
    monkeypatch.setattr(caching, 'RETRY_S', 0.01)

    async def run():
        caches = [CacheAddress('10.0.0.1:1', 'z1')]
        origin, peers = FakeOrigin(corrupt_count=40), FakePeers()
        cache = cache_at('10.0.0.1:1', 'z1', origin, peers, caches)
        assert (await cache.on_get_chunk(GetChunk('m@2', 5))).reason == caching.NOT_YET
        async with curio.timeout_after(5):
            while not cache.store.get_or_create(WeightsId('m', 2)).whole:
                await curio.sleep(0.01)
        assert (await cache.on_get_chunk(GetChunk('m@2', 5))).data == PIECES[5]

    curio.run(run)


def test_a_hanging_origin_does_not_block_requests(monkeypatch):
    monkeypatch.setattr(caching, 'ANSWER_WITHIN_S', 0.05)

    async def run():
        caches = [CacheAddress('10.0.0.1:1', 'z1')]
        origin, peers = FakeOrigin(), FakePeers()
        cache = cache_at('10.0.0.1:1', 'z1', origin, peers, caches)
        hanging = curio.Event()
        original_fetch = origin.fetch_piece

        async def fetch_piece(held, index):
            await hanging.wait()
            return await original_fetch(held, index)

        origin.fetch_piece = fetch_piece
        async with curio.timeout_after(2):
            assert not (await cache.on_get_chunk(GetChunk('m@2', 0))).found
        await hanging.set()
        async with curio.timeout_after(2):
            while not (await cache.on_get_chunk(GetChunk('m@2', 0))).found:
                pass

    curio.run(run)


def test_digests_and_piece_share_one_wait(monkeypatch):
    monkeypatch.setattr(caching, 'ANSWER_WITHIN_S', 1.0)

    async def run():
        caches = [CacheAddress('10.0.0.1:1', 'z1')]
        origin, peers = FakeOrigin(), FakePeers()
        cache = cache_at('10.0.0.1:1', 'z1', origin, peers, caches)
        original_fetch = origin.fetch_digests

        async def fetch_digests(held):
            await curio.sleep(0.9)
            return await original_fetch(held)

        async def fetch_piece(held, index):
            await curio.sleep(30)

        origin.fetch_digests, origin.fetch_piece = fetch_digests, fetch_piece
        started_at = cache.env.monotonic()
        assert (await cache.on_get_chunk(GetChunk('m@2', 0))).reason == caching.NOT_YET
        assert cache.env.monotonic() - started_at < 1.7
        cache.env.ended = True

    curio.run(run)
