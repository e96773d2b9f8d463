"""
From when on nothing may begin on a version, as a follower learns it from answers.

"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_registry.switch_ends import Answer, SwitchEnds
from millfork_state.view import View
from millfork_wire.messages import VersionSwitch
from millforkd.versions import CUT_S, Versions
from tests.test_servers import Clock
from tests.test_versions import SWITCH_MS, SWITCH_S, name


def answer(asked_at, took_s, left_s, version=2, source='a', revision=1):
    switches = [VersionSwitch('m', version, int(left_s * 1000))]
    return Answer(source, asked_at, asked_at + took_s, revision, switches)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def view():
    return View()


@pytest.fixture
def told():
    return SwitchEnds()


@pytest.fixture
def follower(clock, view, told):
    env = Environment(InstanceId('a:1'), ZoneId('zone'), monotonic=clock)
    return Versions(env, view, SWITCH_MS, told, first_hand=False)


@given(st.lists(st.tuples(st.floats(0, 7), st.floats(0, 3)), min_size=1, max_size=6))
def test_however_late_an_answer_is_read_no_end_is_later_than_the_true_one(questions):
    told = SwitchEnds()
    for asked_s, took_s in questions:
        # The replica answers at once, 8 s after the naming nothing is left.
        told.note(answer(100 + asked_s, took_s, SWITCH_S - asked_s))
    assert told.at('m', 2) <= 100 + SWITCH_S


def test_a_faster_answer_of_the_same_replica_tells_the_end_better(told):
    told.note(answer(100.0, 1.5, 6.0))
    assert told.at('m', 2) == pytest.approx(106.0)
    assert told.note(answer(102.0, 0.002, 5.5))
    assert told.at('m', 2) == pytest.approx(107.5)


def test_a_replica_that_heard_of_a_version_late_moves_no_end(told):
    told.note(answer(100.0, 0.002, 6.0))
    assert not told.note(answer(101.0, 0.002, 7.0, source='late'))
    assert told.at('m', 2) == pytest.approx(106.0)


def test_one_that_knows_of_an_earlier_end_does(told):
    told.note(answer(101.0, 0.002, 7.0, source='late'))
    assert told.note(answer(101.5, 0.002, 4.5))
    assert told.at('m', 2) == pytest.approx(106.0)


def test_until_an_answer_comes_a_version_counts_from_the_last_question(view, told, clock, follower):
    told.note(Answer('a', clock.now, clock.now, 0, []))
    asked_at = clock.now
    clock.now += 3.0
    name(view, follower, 2)
    assert follower.ends_at('m', 1) == pytest.approx(asked_at + SWITCH_S - CUT_S)
    told.note(answer(clock.now, 0.0, SWITCH_S - 0.5))
    assert follower.ends_at('m', 1) == pytest.approx(clock.now + SWITCH_S - 0.5 - CUT_S)


def test_what_a_replica_knows_but_does_not_count_among_the_late_is_due(view, told, clock, follower):
    told.note(Answer('a', clock.now, clock.now, 7, []))
    name(view, follower, 2)
    assert follower.least('m') == 2


def test_the_end_of_a_version_that_another_one_followed_is_kept(view, told, clock, follower):
    told.note(answer(clock.now, 0.0, 2.0, version=2))
    told.note(answer(clock.now, 0.0, 5.0, version=3))
    name(view, follower, 3)
    assert follower.ends_at('m', 1) == pytest.approx(clock.now + 2.0 - CUT_S)
    assert follower.ends_at('m', 2) == pytest.approx(clock.now + 5.0 - CUT_S)
    assert [item.version for item in follower.switches()] == [2, 3]


def test_a_replica_that_starts_learns_from_others_when_a_version_was_named(view, told, clock):
    env = Environment(InstanceId('r:1'), ZoneId('zone'), monotonic=clock)
    replica = Versions(env, view, SWITCH_MS, told)
    name(view, replica, 2)
    assert replica.switches() == []
    told.note(answer(clock.now, 0.0, 3.0))
    assert [item.left_ms for item in replica.switches()] == [3000]


def test_a_slow_answer_that_agrees_moves_no_end(told):
    told.note(answer(100.0, 0.002, 6.0))
    # What is left is told in whole ms.
    assert not told.note(answer(100.5, 1.0, 4.999, source='other'))
    assert told.at('m', 2) == pytest.approx(106.0)
