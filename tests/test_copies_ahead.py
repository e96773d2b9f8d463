"""
Copies of the weights that caches keep before engines ask for them.

"""

import curio
import pytest

from millfork_routing.documents import OriginSpec
from millfork_scheduling.copies_ahead import copy_s, keeps_copy_ahead
from millfork_wire.messages import CacheAddress, GetChunk
from millforkd.sidecar.pieces import WeightsId
from tests.test_caches import PIECES, FakeOrigin, FakePeers, cache_at
from tests.test_servers import ENGINE

WEIGHTS = WeightsId('m', 1)
TIMEOUT_S = 5.0


def origin(bytes_per_s):
    return OriginSpec('10.0.0.9', 80, 8, 'z1', bytes_per_s)


@pytest.mark.parametrize(
    ('bytes_per_s', 'min_copy_s', 'expected'),
    [
        (547_500, 4.0, True),
        (912_500, 4.0, False),
        (0.0, 0.0, False),
        (547_500, None, False),
    ],
)
def test_a_copy_is_kept_where_the_origin_is_slow(bytes_per_s, min_copy_s, expected):
    assert keeps_copy_ahead(ENGINE, origin(bytes_per_s), min_copy_s) is expected


def test_the_time_of_a_copy_is_that_of_the_origins_link():
    assert copy_s(ENGINE, origin(547_500)) == pytest.approx(96 * 24_576 / 547_500)
    assert not keeps_copy_ahead(None, origin(1.0), 0.0)
    assert not keeps_copy_ahead(ENGINE, None, 0.0)


def test_engines_that_are_added_find_a_copy_in_their_zone():
    """
    Guards against engines that are added in a rush and wait for the origin, as no cache of their
    zone has been asked for the weights before.

    """

    async def run():
        zones = {'10.0.0.1:1': 'z1', '10.0.0.2:1': 'z2', '10.0.0.3:1': 'z2'}
        caches = [CacheAddress(instance, zone) for instance, zone in zones.items()]
        source, peers = FakeOrigin(), FakePeers()
        for instance, zone in zones.items():
            cache_at(instance, zone, source, peers, caches)
        async with curio.timeout_after(TIMEOUT_S):
            for cache in peers.caches.values():
                await cache.keep_ahead(WEIGHTS)
            while any(cache._missing_own(WEIGHTS) for cache in peers.caches.values()):
                await curio.sleep(0.01)
        assert sorted(source.fetched) == list(range(len(PIECES)))
        for zone in ('z1', 'z2'):
            held = [
                index
                for instance, cache in peers.caches.items()
                if zones[instance] == zone
                for index in cache.store.get_or_create(WEIGHTS).pieces
            ]
            assert set(held) == set(range(len(PIECES)))
        source.fetched.clear()
        peers.queried.clear()
        [alone] = [cache for instance, cache in peers.caches.items() if zones[instance] == 'z1']
        for index, piece in enumerate(PIECES):
            assert (await alone.on_get_chunk(GetChunk(str(WEIGHTS), index))).data == piece
        assert source.fetched == peers.queried == []

    curio.run(run)
