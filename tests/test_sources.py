"""
Pieces of weights: who draws them, who sends them to whom, which ones are good.

"""

import hashlib

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from millfork_registry.records import EndpointState, HeldVersion
from millforkd.beside.pieces import (
    PieceStore,
    WeightsId,
    decode_digests,
    encode_digests,
    parse_weights_id,
)
from millforkd.beside.sources import drawers, first_half, fleet, holders, in_turn, nearest

WEIGHTS = WeightsId('m', 2)
NAMES = st.sets(st.integers(1, 300).map(lambda number: f'10.0.0.{number}:1'), min_size=1)


def state(instance, zone='z1', held=()):
    return EndpointState(instance, 's', zone, instance, 80, 1, held=tuple(held))


@given(NAMES)
def test_each_piece_has_one_drawer_and_each_drawer_its_equal_part(names):
    drawing = drawers(names, WEIGHTS)
    counts = dict.fromkeys(drawing, 0)
    for index in range(96):
        counts[in_turn(drawing, WEIGHTS, index)[0]] += 1
    assert max(counts.values()) - min(counts.values()) <= 1
    assert sum(counts.values()) == 96


@given(NAMES)
def test_the_halves_make_up_the_fleet(names):
    first = first_half(names, WEIGHTS)
    assert len(first) == (len(names) + 1) // 2
    assert set(drawers(names, WEIGHTS)) == (names - set(first) or names)


def test_holders_of_another_version_do_not_count():
    states = [
        state('a', held=[HeldVersion('m', 2, True)]),
        state('b', held=[HeldVersion('m', 1, True)]),
        state('c', held=[HeldVersion('m', 2, False)]),
        state('d', held=[HeldVersion('m', 2, True)]),
    ]
    assert holders(states, WEIGHTS, 'd') == ['a']
    assert fleet(states, 's', 'e') == {'a', 'b', 'c', 'd', 'e'}


def test_the_own_zone_serves_where_it_can():
    states = [state('a'), state('b'), state('c'), state('d', 'z2'), state('e', 'z2')]
    assert nearest(states, 's', 'z2', ['a', 'd']) == ['d']
    assert nearest(states, 's', 'z1', ['a', 'd']) == ['a', 'd']


def digest(data):
    return hashlib.sha256(data).hexdigest()


def test_a_spoilt_piece_is_refused_also_when_it_came_before_the_digests():
    async def run():
        held = PieceStore().of(WEIGHTS)
        assert await held.put(0, b'spoilt')
        assert await held.put(1, b'one')
        await held.learn_digests((digest(b'zero'), digest(b'one')))
        assert held.missing() == [0]
        assert not await held.put(0, b'spoilt')
        assert not await held.put(7, b'beyond')
        assert await held.put(0, b'zero')
        assert held.whole

    curio.run(run)


def test_the_last_versions_are_kept():
    store = PieceStore()
    for version in (1, 2, 3):
        store.of(WeightsId('m', version))
    assert sorted(weights.version for weights in store.sets) == [2, 3]


def test_ids_and_digests_go_over_the_wire():
    assert parse_weights_id(str(WEIGHTS)) == WEIGHTS
    digests = (digest(b'a'), digest(b'b'))
    assert decode_digests(encode_digests(digests)) == digests
    with pytest.raises(ValueError, match='invalid literal'):
        parse_weights_id('m')
