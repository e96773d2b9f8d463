"""
Lists of digests that arrive corrupt from the origin. Guards against a wrong digest that refuses the
right piece for ever, so that a version never becomes whole.

"""

from dataclasses import replace

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_platform.adapter import PlatformAdapter
from millfork_standins.weights_origin import SimulatedWeights, WeightsOrigin
from millfork_state.view import View
from millfork_wire.messages import CacheAddress, GetChunk
from millforkd.proxy.cache import PieceCache
from millforkd.sidecar import gathering
from millforkd.sidecar.digest_checks import PAUSE_S
from millforkd.sidecar.origin import Origin
from millforkd.sidecar.pieces import PieceSet, PieceStore, WeightsId
from millforkd.sidecar.recorded_digests import RecordedDigests
from tests.test_caches import FakePeers
from tests.test_gathering import gathering_with
from tests.test_servers import ENGINE

PIECES = 8
WEIGHTS = WeightsId('m', 2)
SIMULATED = SimulatedWeights('m', 4, PIECES)
TIMEOUT_S = 20.0


def altered(digests, *indexes):
    return [
        ('1' if digest[0] == '0' else '0') + digest[1:] if index in indexes else digest
        for index, digest in enumerate(digests)
    ]


@pytest.fixture
def server():
    origin = WeightsOrigin('127.0.0.1', SIMULATED)
    origin.sent_lists = []
    yield origin
    origin.end()


def send_lists(server, *lists):
    """
    Have the origin send these lists first, one after another, and then right ones.

    """

    def next_list(version):
        number = len(server.sent_lists)
        right = SIMULATED.digests(version)
        server.sent_lists.append(lists[number] if number < len(lists) else right)
        return server.sent_lists[-1]

    server.digest_lists = next_list


def origin_at(server, instance='10.0.0.9:1', pieces=PIECES):
    engine = replace(ENGINE, model='m', pieces=pieces, piece_bytes=SIMULATED.piece_bytes)
    env = Environment(InstanceId(instance), ZoneId('z1'))
    return Origin(env, PlatformAdapter(), '', lambda: server.spec('z1'), lambda: engine)


async def fetch_all(origin, held):
    while not held.whole:
        if not held.digests and not await origin.fetch_digests(held):
            continue
        for index in held.missing():
            await origin.fetch_piece(held, index)


def run(scenario):
    async def bounded():
        async with curio.timeout_after(TIMEOUT_S):
            await scenario()

    curio.run(bounded)


@pytest.mark.parametrize(
    'lists',
    [
        [altered(SIMULATED.digests(2), 3)],
        [altered(SIMULATED.digests(2), 0, 7)],
        [altered(SIMULATED.digests(2), 3), altered(SIMULATED.digests(2), 5)],
        [altered(SIMULATED.digests(2), 3), altered(SIMULATED.digests(2), 3)],
        [SIMULATED.digests(2)[:-1]],
        [[*SIMULATED.digests(2), SIMULATED.digests(2)[0]]],
        [[]],
    ],
    ids=['one', 'two', 'another one then', 'the same twice', 'too short', 'too long', 'empty'],
)
def test_a_version_becomes_whole_after_a_corrupt_list_of_digests(server, lists):
    send_lists(server, *lists)

    async def scenario():
        held = PieceSet(WEIGHTS)
        await fetch_all(origin_at(server), held)
        assert list(held.digests) == SIMULATED.digests(2)

    run(scenario)
    assert len(server.sent_lists) <= len(lists) + 2
    assert server.sent_pieces <= PIECES + 2 * len(lists) + 2


def test_a_corrupt_list_that_other_caches_and_daemons_have_is_corrected_there(server, monkeypatch):
    """
    One cache fetches the list and passes it on before it knows that a digest is wrong.

    """
    monkeypatch.setattr(gathering, 'RETRY_S', 0.01)
    send_lists(server, altered(SIMULATED.digests(2), 3))

    async def scenario():
        caches = [CacheAddress(f'10.0.0.{number}:1', f'z{number}') for number in (1, 2, 3)]
        peers = FakePeers()
        for cache in caches:
            env = Environment(InstanceId(cache.instance), ZoneId(cache.zone))
            origin = origin_at(server, cache.instance)
            peers.caches[cache.instance] = PieceCache(
                env, peers, origin, lambda: caches, RecordedDigests(View())
            )
        gatherers = [gathering_with(peers, caches, origin_at(server)) for _ in range(2)]
        sets = [PieceStore().get_or_create(WEIGHTS) for _ in gatherers]
        async with curio.TaskGroup() as group:
            for gatherer, held in zip(gatherers, sets, strict=True):
                await group.spawn(gatherer.gather, held, range(PIECES))
        for cache in peers.caches.values():
            while not (await cache.on_get_chunk(GetChunk(str(WEIGHTS), 3))).found:
                await curio.sleep(0.01)
        stores = [cache.store.get_or_create(WEIGHTS) for cache in peers.caches.values()]
        for held in [*sets, *stores]:
            assert list(held.digests) == SIMULATED.digests(2)

    run(scenario)
    # Only the cache that fetches the piece from the origin asks the origin again.
    assert len(server.sent_lists) == 2
    assert server.sent_pieces <= PIECES + 2


def test_a_piece_that_stays_corrupt_costs_the_origin_little(server):
    """
    A right list is kept, and neither the piece nor the list is requested again and again.

    """
    sent = SIMULATED.piece
    server.read_piece = lambda version, index: b'?' * 64 if index == 3 else sent(version, index)
    send_lists(server)

    async def scenario():
        origin, now = origin_at(server), 100.0
        origin.env.monotonic = lambda: now
        held = PieceSet(WEIGHTS)
        await origin.fetch_digests(held)
        for _ in range(50):
            for index in held.missing():
                await origin.fetch_piece(held, index)
        assert held.missing() == [3]
        assert list(held.digests) == SIMULATED.digests(2)
        assert len(server.sent_lists) == 2
        assert server.sent_pieces == PIECES + 1
        now += PAUSE_S
        server.read_piece = sent
        assert await origin.fetch_piece(held, 3)

    run(scenario)


def test_a_piece_that_arrives_corrupt_in_several_ways_does_not_cast_doubt_on_its_digest(server):
    sent = SIMULATED.piece
    server.read_piece = lambda version, index: b'%d' % server.sent_pieces
    send_lists(server)

    async def scenario():
        origin = origin_at(server)
        held = PieceSet(WEIGHTS)
        await origin.fetch_digests(held)
        for _ in range(5):
            assert not await origin.fetch_piece(held, 3)
        server.read_piece = sent
        assert await origin.fetch_piece(held, 3)

    run(scenario)
    assert len(server.sent_lists) == 1


def test_a_corrupt_list_does_not_replace_the_digest_of_a_piece_that_is_held(server):
    """
    One faulty sender can't outvote a digest that a piece matches.

    """

    async def scenario():
        held = PieceSet(WEIGHTS)
        await held.set_digests(tuple(altered(SIMULATED.digests(2), 5)))
        for index in range(PIECES):
            await held.put(index, SIMULATED.piece(2, index))
        assert held.missing() == [5]
        assert held.correct_digests(tuple(altered(SIMULATED.digests(2), 0, 1))) == [5]
        assert list(held.digests) == SIMULATED.digests(2)

    run(scenario)
