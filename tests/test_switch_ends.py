"""
From when on nothing may begin on a version, as a follower learns it from answers.

"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_registry.switch_ends import SwitchEnds
from millfork_state.view import View
from millfork_wire.messages import VersionSwitch
from millforkd.versions import CUT_S, UNTOLD_MS, Versions, never_leads
from tests.test_servers import Clock
from tests.test_versions import SWITCH_MS, SWITCH_S, set_version


def left(left_s, version=2):
    return [VersionSwitch('m', version, int(left_s * 1000))]


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def view():
    return View()


@pytest.fixture
def told():
    return SwitchEnds()


def versions(clock, view, told, untold_ms, leads):
    env = Environment(InstanceId('a:1'), ZoneId('zone'), monotonic=clock)
    made = Versions(env, view, SWITCH_MS, told, untold_ms, leads)
    made.refresh()
    return made


@pytest.fixture
def follower(clock, view, told):
    return versions(clock, view, told, UNTOLD_MS, never_leads)


@given(st.lists(st.tuples(st.floats(0, 7), st.floats(0, 3)), min_size=1, max_size=6))
def test_however_late_an_answer_is_given_or_read_no_end_is_later_than_the_true_one(questions):
    told = SwitchEnds()
    for asked_s, way_s in questions:
        # Of 8 s after the naming, so much is left once the question has arrived.
        left_s = max(SWITCH_S - asked_s - way_s, 0)
        told.note(100 + asked_s, left(left_s))
    assert told.at('m', 2) <= 100 + SWITCH_S


def test_a_faster_answer_tells_the_end_better_and_a_slow_one_moves_nothing(told):
    assert told.note(100.0, left(6.0))
    assert told.note(102.0, left(5.5))
    assert told.at('m', 2) == pytest.approx(107.5)
    assert not told.note(103.0, left(3.0))
    assert told.at('m', 2) == pytest.approx(107.5)


def test_what_has_ended_does_not_come_back(told):
    told.note(100.0, left(0.0))
    assert not told.note(101.0, left(8.0))
    assert told.at('m', 2) == pytest.approx(100.0)


def test_until_an_answer_comes_an_older_version_will_do_for_a_while(view, told, clock, follower):
    set_version(view, follower, 2)
    learned_at = clock.now
    assert follower.ends_at('m', 1) == pytest.approx(learned_at + UNTOLD_MS / 1000 - CUT_S)
    told.note(clock.now, left(SWITCH_S - 0.5))
    assert follower.ends_at('m', 1) == pytest.approx(learned_at + SWITCH_S - 0.5 - CUT_S)


def test_what_stood_when_a_follower_began_is_due_unless_it_is_told_otherwise(view, told, clock):
    env = Environment(InstanceId('a:1'), ZoneId('zone'), monotonic=clock)
    follower = Versions(env, view, SWITCH_MS, told, UNTOLD_MS, never_leads)
    set_version(view, follower, 2)
    assert follower.least('m') == 2
    told.note(clock.now, left(3.0))
    assert follower.least('m') == 0
    assert follower.ends_at('m', 1) == pytest.approx(clock.now + 3.0 - CUT_S)


def test_the_end_of_a_version_that_another_one_followed_is_kept(view, told, clock, follower):
    told.note(clock.now, left(2.0, version=2) + left(5.0, version=3))
    set_version(view, follower, 3)
    assert follower.ends_at('m', 1) == pytest.approx(clock.now + 2.0 - CUT_S)
    assert follower.ends_at('m', 2) == pytest.approx(clock.now + 5.0 - CUT_S)
    assert [item.version for item in follower.switches()] == [2, 3]


def test_only_who_led_or_was_told_tells_of_a_version(view, told, clock):
    replica = versions(clock, view, told, 0, never_leads)
    set_version(view, replica, 2)
    assert replica.switches() == []
    assert replica.least('m') == 2
    told.note(clock.now, left(3.0))
    assert [item.left_ms for item in replica.switches()] == [3000]


def test_a_leader_goes_by_when_it_learned_of_a_version_also_if_it_led_later(view, told, clock):
    leading = []
    replica = versions(clock, view, told, 0, lambda: bool(leading))
    set_version(view, replica, 2)
    clock.now += 1.5
    leading.append(True)
    assert [item.left_ms for item in replica.switches()] == [6500]


def test_the_newest_version_is_told_of_also_once_all_before_it_has_ended(view, told, clock):
    replica = versions(clock, view, told, 0, lambda: True)
    set_version(view, replica, 2)
    set_version(view, replica, 3)
    clock.now += SWITCH_S + 60
    assert [(item.version, item.left_ms) for item in replica.switches()] == [(3, 0)]
