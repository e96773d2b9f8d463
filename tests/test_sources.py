"""
Pieces of weights: which daemons fetch a piece from the origin, which daemons are asked for a piece,
which layers each engine is assigned, digests of pieces, and transfer times.

"""

import hashlib

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from millfork_registry.records import EndpointState, HeldVersion, ServedVersion
from millforkd.sidecar.layer_assignment import (
    Layers,
    assign_layers,
    served_layers,
    serves_all_layers,
)
from millforkd.sidecar.pieces import (
    PieceStore,
    WeightsId,
    decode_digests,
    encode_digests,
    parse_weights_id,
)
from millforkd.sidecar.sources import holders, preferred_holders, request_order
from millforkd.sidecar.transfer_times import TransferTimes

WEIGHTS = WeightsId('m', 2)
NAMES = st.sets(st.integers(1, 300).map(lambda number: f'10.0.0.{number}:1'), min_size=1)


def state(instance, zone='z1', held=()):
    return EndpointState(instance, 's', zone, instance, 80, 1, held=tuple(held))


@given(NAMES)
def test_pieces_are_assigned_evenly_to_the_daemons(names):
    counts = dict.fromkeys(names, 0)
    for index in range(96):
        counts[request_order(names, WEIGHTS, index)[0]] += 1
    assert max(counts.values()) - min(counts.values()) <= 1


@given(st.integers(2, 12))
def test_pieces_of_a_failed_daemon_are_spread_evenly_over_the_others(count):
    names = [f'10.0.0.{number}:1' for number in range(count)]
    lost = request_order(names, WEIGHTS, 0)[0]
    seconds = [request_order(names, WEIGHTS, index)[1] for index in range(count * (count - 1) * 2)
               if request_order(names, WEIGHTS, index)[0] == lost]  # fmt: skip
    counts = {name: seconds.count(name) for name in names if name != lost}
    assert set(counts.values()) == {2}


ZONES = st.lists(st.sampled_from(['z1', 'z2', 'z3']), min_size=1, max_size=40)


@given(ZONES, st.integers(2, 64))
def test_pairs_cover_all_layers_and_stay_in_one_zone_where_possible(zones, layers):
    states = [state(f'10.0.0.{number}:1', zone) for number, zone in enumerate(zones)]
    found = assign_layers(states, WEIGHTS, layers)
    assert set(found) == {item.instance for item in states}
    pairs = {}
    for item in states:
        assignment = found[item.instance]
        if assignment.layers != Layers(0, layers):
            pairs.setdefault(assignment.pair, []).append((assignment.layers, item.zone))
    assert len(pairs) == len(states) // 2
    for parts in pairs.values():
        lower, upper = sorted(part for part, _ in ((p.first, z) for p, z in parts))
        assert (lower, upper) == (0, layers // 2)
    crossing = [parts for parts in pairs.values() if parts[0][1] != parts[1][1]]
    assert len(crossing) <= 1


@given(st.integers(2, 64), st.integers(1, 300))
def test_two_halves_of_the_layers_cover_all_pieces(layers, pieces):
    lower = Layers(0, layers // 2).pieces(layers, pieces)
    upper = Layers(layers // 2, layers).pieces(layers, pieces)
    assert set(lower) | set(upper) == set(range(pieces))
    assert len(set(lower) & set(upper)) <= 1


def test_a_model_of_one_layer_is_assigned_whole():
    states = [state('a'), state('b')]
    assert assign_layers(states, WEIGHTS, 1)['a'].layers == Layers(0, 1)
    assert list(Layers(0, 0).pieces(0, 3)) == [0, 1, 2]


def test_only_daemons_that_hold_a_piece_are_asked_for_it():
    states = [
        state('a', held=[HeldVersion('m', 2)]),
        state('b', held=[HeldVersion('m', 1)]),
        state('c', held=[HeldVersion('m', 2, 0, 48)]),
        state('d', held=[HeldVersion('m', 2)]),
    ]
    assert [item.instance for item in holders(states, WEIGHTS, 3, 'd')] == ['a', 'c']
    assert [item.instance for item in holders(states, WEIGHTS, 48, 'd')] == ['a']


def test_holders_in_the_own_zone_are_preferred_while_they_suffice():
    found = [state('a'), state('d', 'z2')]
    assert preferred_holders(found, 'z2', 1) == ['d']
    assert preferred_holders(found, 'z1', 2) == ['a', 'd']
    assert preferred_holders(found, 'z3', 1) == ['a', 'd']


def test_served_layers_of_a_version():
    served = [ServedVersion('m', 2, 8, 16)]
    assert served_layers(served, WEIGHTS, 16) == Layers(8, 16)
    assert not serves_all_layers(served, WEIGHTS, 16)
    assert serves_all_layers([ServedVersion('m', 2)], WEIGHTS, 16)
    assert served_layers([ServedVersion('m', 1)], WEIGHTS, 16) is None


@given(st.sets(st.integers(0, 19)))
def test_the_longest_run_of_pieces_is_offered(indexes):
    held = PieceStore().get_or_create(WEIGHTS)
    held.digests = tuple('d' for _ in range(20))
    held.pieces = dict.fromkeys(indexes, b'')
    first, end = held.longest_run()
    assert set(range(first, end)) <= indexes
    runs = [length for length in range(1, 21) for begin in range(20)
            if set(range(begin, begin + length)) <= indexes]  # fmt: skip
    assert end - first == max(runs, default=0)


def digest(data):
    return hashlib.sha256(data).hexdigest()


def test_a_corrupt_piece_is_refused_even_if_it_arrived_before_the_digests():
    async def run():
        held = PieceStore().get_or_create(WEIGHTS)
        assert await held.put(0, b'spoilt')
        assert await held.put(1, b'one')
        await held.set_digests((digest(b'zero'), digest(b'one')))
        assert held.missing() == [0]
        assert not await held.put(0, b'spoilt')
        assert not await held.put(7, b'beyond')
        assert await held.put(0, b'zero')
        assert held.whole

    curio.run(run)


def test_only_the_newest_versions_are_kept():
    store = PieceStore()
    for version in (1, 2, 3):
        store.get_or_create(WeightsId('m', version))
    assert sorted(weights.version for weights in store.sets) == [2, 3]


def test_ids_and_digests_survive_encoding():
    assert parse_weights_id(str(WEIGHTS)) == WEIGHTS
    digests = (digest(b'a'), digest(b'b'))
    assert decode_digests(encode_digests(digests)) == digests
    with pytest.raises(ValueError, match='invalid literal'):
        parse_weights_id('m')


def test_a_link_is_slow_once_all_recent_pieces_were_slow():
    now = [0.0]
    transfer_times = TransferTimes(1000.0, lambda: now[0])

    def piece(seconds, size=100):
        start = transfer_times.begin()
        now[0] += seconds
        transfer_times.end(start, size)

    for seconds in (0.1, 0.9, 0.9, 0.9):
        piece(seconds)
    assert not transfer_times.is_slow
    piece(0.9)
    assert transfer_times.is_slow
    piece(5.0, size=0)
    assert transfer_times.is_slow
    piece(0.1)
    assert not transfer_times.is_slow


def test_concurrent_pieces_may_take_longer():
    now = [0.0]
    transfer_times = TransferTimes(1000.0, lambda: now[0])
    for _ in range(4):
        first, second = transfer_times.begin(), transfer_times.begin()
        now[0] += 0.2
        transfer_times.end(first, 100)
        transfer_times.end(second, 100)
    assert not transfer_times.is_slow
