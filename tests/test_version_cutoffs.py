"""
Cutoffs, the times from which no request may begin on versions older than a new one, as a
follower (a process that does not lead the replicas) learns them from the answers of its replica.

"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from millfork_core.clocks import MAX_AGE_MS
from millfork_core.environment import Environment
from millfork_core.ids import ClusterId, InstanceId, Revision, ZoneId
from millfork_registry.revision_times import RevisionTimes
from millfork_registry.version_cutoffs import VersionCutoffs
from millfork_state.view import View
from millfork_wire.messages import Replicas, VersionSwitch
from millforkd.versions import CANCEL_MARGIN_S, VersionTracker, never_leads
from tests.test_servers import Clock
from tests.test_versions import SWITCH_MS, SWITCH_S, set_version

# How long a follower that has no answer goes on using older versions.
UNKNOWN_CUTOFF_MS = 2000


def switches_with(left_s, version=2):
    return [VersionSwitch('m', version, int(left_s * 1000))]


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def view():
    return View()


@pytest.fixture
def cutoffs():
    return VersionCutoffs()


def new_tracker(clock, view, cutoffs, unknown_cutoff_ms, leads):
    env = Environment(InstanceId('a:1'), ZoneId('zone'), monotonic=clock)
    tracker = VersionTracker(env, view, SWITCH_MS, cutoffs, unknown_cutoff_ms, leads)
    tracker.refresh()
    return tracker


@pytest.fixture
def follower(clock, view, cutoffs):
    return new_tracker(clock, view, cutoffs, UNKNOWN_CUTOFF_MS, never_leads)


@given(st.lists(st.tuples(st.floats(0, 7), st.floats(0, 3)), min_size=1, max_size=6))
def test_a_late_answer_never_gives_too_late_a_cutoff(queries):
    cutoffs = VersionCutoffs()
    for sent_s, transit_s in queries:
        # The time that is left until the cutoff when the query arrives. The cutoff is 8 s after
        # the version was set.
        left_s = max(SWITCH_S - sent_s - transit_s, 0)
        cutoffs.record_answer(100 + sent_s, switches_with(left_s))
    assert cutoffs.cutoff_of('m', 2) <= 100 + SWITCH_S


def test_a_faster_answer_corrects_the_cutoff_and_a_slower_one_does_not(cutoffs):
    assert cutoffs.record_answer(100.0, switches_with(6.0))
    assert cutoffs.record_answer(102.0, switches_with(5.5))
    assert cutoffs.cutoff_of('m', 2) == pytest.approx(107.5)
    assert not cutoffs.record_answer(103.0, switches_with(3.0))
    assert cutoffs.cutoff_of('m', 2) == pytest.approx(107.5)


def test_a_passed_cutoff_is_not_moved(cutoffs):
    cutoffs.record_answer(100.0, switches_with(0.0))
    assert not cutoffs.record_answer(101.0, switches_with(8.0))
    assert cutoffs.cutoff_of('m', 2) == pytest.approx(100.0)


def test_an_older_version_stays_usable_for_a_while_until_an_answer_arrives(
    view, cutoffs, clock, follower
):
    set_version(view, follower, 2)
    learned_at = clock.now
    assert follower.ends_at('m', 1) == pytest.approx(
        learned_at + UNKNOWN_CUTOFF_MS / 1000 - CANCEL_MARGIN_S
    )
    cutoffs.record_answer(clock.now, switches_with(SWITCH_S - 0.5))
    assert follower.ends_at('m', 1) == pytest.approx(learned_at + SWITCH_S - 0.5 - CANCEL_MARGIN_S)


def follower_with_answers(clock, view, cutoffs, revision_times):
    env = Environment(InstanceId('a:1'), ZoneId('zone'), monotonic=clock)
    view.cluster = ClusterId('c')
    tracker = VersionTracker(
        env,
        view,
        SWITCH_MS,
        cutoffs,
        SWITCH_MS,
        never_leads,
        up_to_date_at=revision_times.up_to_date_at,
    )
    tracker.refresh()
    return tracker


def test_without_a_cutoff_a_follower_counts_from_the_last_answer_before_the_version(
    view, cutoffs, clock
):
    times = RevisionTimes()
    follower = follower_with_answers(clock, view, cutoffs, times)
    set_version(view, follower, 2)
    answered_at = clock.now
    times.record_answer(answered_at, Replicas('c', revision=view.revision))
    clock.now += 3.0
    # All replicas have restarted, and don't know whether they are up to date.
    unknown_age = Replicas('c', age_ms=MAX_AGE_MS, revision=view.revision + 1)
    times.record_answer(clock.now, unknown_age)
    set_version(view, follower, 3)
    assert follower.ends_at('m', 2) == pytest.approx(answered_at + SWITCH_S - CANCEL_MARGIN_S)
    cutoffs.record_answer(clock.now, switches_with(SWITCH_S - 2.5, version=3))
    assert follower.ends_at('m', 2) == pytest.approx(clock.now + SWITCH_S - 2.5 - CANCEL_MARGIN_S)


def test_a_follower_that_missed_a_version_counts_from_before_that_version(view, cutoffs, clock):
    times = RevisionTimes()
    follower = follower_with_answers(clock, view, cutoffs, times)
    set_version(view, follower, 2)
    answered_at = clock.now
    times.record_answer(clock.now, Replicas('c', revision=view.revision))
    clock.now += 2.0
    # Version 3 is set, and a replica answers, but its feed doesn't reach this follower.
    times.record_answer(clock.now, Replicas('c', revision=view.revision + 1))
    view.revision += 1
    set_version(view, follower, 4)
    assert follower.ends_at('m', 2) == pytest.approx(answered_at + SWITCH_S - CANCEL_MARGIN_S)


def test_a_version_that_reaches_a_cut_off_follower_after_its_cutoff_is_due_at_once(
    view, cutoffs, clock
):
    times = RevisionTimes()
    follower = follower_with_answers(clock, view, cutoffs, times)
    times.record_answer(clock.now, Replicas('c', revision=1))
    view.revision = Revision(1)
    follower.refresh()
    # No replica answers for a while. The version then comes by way of another follower.
    clock.now += SWITCH_S + 1.0
    set_version(view, follower, 2)
    assert follower.oldest_usable('m') == 2


def test_a_version_that_a_replica_had_before_a_follower_started_is_due_at_once(
    view, cutoffs, clock
):
    times = RevisionTimes()
    # The follower has chosen a replica, but the first message of the feed hasn't arrived yet.
    follower = follower_with_answers(clock, view, cutoffs, times)
    times.record_answer(clock.now, Replicas('c', revision=1))
    set_version(view, follower, 2)
    assert follower.oldest_usable('m') == 2


def test_a_follower_that_no_replica_has_answered_ends_older_versions_at_once(view, cutoffs, clock):
    follower = follower_with_answers(clock, view, cutoffs, RevisionTimes())
    set_version(view, follower, 2)
    assert follower.oldest_usable('m') == 2


def test_a_version_named_before_the_follower_started_is_due_without_an_answer(view, cutoffs, clock):
    env = Environment(InstanceId('a:1'), ZoneId('zone'), monotonic=clock)
    follower = VersionTracker(env, view, SWITCH_MS, cutoffs, UNKNOWN_CUTOFF_MS, never_leads)
    set_version(view, follower, 2)
    assert follower.oldest_usable('m') == 2
    cutoffs.record_answer(clock.now, switches_with(3.0))
    assert follower.oldest_usable('m') == 0
    assert follower.ends_at('m', 1) == pytest.approx(clock.now + 3.0 - CANCEL_MARGIN_S)


def test_the_cutoff_of_a_superseded_version_is_kept(view, cutoffs, clock, follower):
    cutoffs.record_answer(clock.now, switches_with(2.0, version=2) + switches_with(5.0, version=3))
    set_version(view, follower, 3)
    assert follower.ends_at('m', 1) == pytest.approx(clock.now + 2.0 - CANCEL_MARGIN_S)
    assert follower.ends_at('m', 2) == pytest.approx(clock.now + 5.0 - CANCEL_MARGIN_S)
    assert [item.version for item in follower.switches()] == [2, 3]


def test_only_a_leader_or_a_process_with_an_answer_reports_a_switch(view, cutoffs, clock):
    replica = new_tracker(clock, view, cutoffs, 0, never_leads)
    set_version(view, replica, 2)
    assert replica.switches() == []
    assert replica.oldest_usable('m') == 2
    cutoffs.record_answer(clock.now, switches_with(3.0))
    assert [item.left_ms for item in replica.switches()] == [3000]


def test_a_leader_counts_from_when_it_learned_of_a_version_even_before_it_led(view, cutoffs, clock):
    leading = []
    replica = new_tracker(clock, view, cutoffs, 0, lambda: bool(leading))
    set_version(view, replica, 2)
    clock.now += 1.5
    leading.append(True)
    assert [item.left_ms for item in replica.switches()] == [6500]


def test_the_newest_version_is_reported_even_after_its_cutoff(view, cutoffs, clock):
    replica = new_tracker(clock, view, cutoffs, 0, lambda: True)
    set_version(view, replica, 2)
    set_version(view, replica, 3)
    clock.now += SWITCH_S + 60
    assert [(item.version, item.left_ms) for item in replica.switches()] == [(3, 0)]
