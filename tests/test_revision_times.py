"""
The latest time at which a follower knows that a change of the configuration had not been
acknowledged, by the answers of replicas. The time may be too early but never too late.

"""

from hypothesis import given
from hypothesis import strategies as st

from millfork_core.ids import ClusterId, Revision
from millfork_registry.revision_times import MAX_REVISIONS, RevisionTimes
from millfork_wire.messages import Replicas

NEVER = float('-inf')


def answer(revision, age_ms=0, cluster='c'):
    return Replicas(cluster, age_ms=age_ms, revision=revision)


def up_to_date_at(times, revision, cluster='c'):
    return times.up_to_date_at(ClusterId(cluster), Revision(revision))


@given(
    # By question: when it is asked, how long it and its answer travel, the age of the replica's
    # configuration.
    st.lists(st.tuples(st.floats(0, 9), st.floats(0, 3), st.floats(0, 3)), max_size=12),
    st.lists(st.floats(0, 9), min_size=1, max_size=6),
)
def test_no_change_is_taken_to_be_later_than_it_was(questions, changed_at):
    changed_at = sorted(changed_at)
    times = RevisionTimes()
    for asked_at, transit_s, age_s in questions:
        applied_until = asked_at + transit_s - age_s
        # The changes of the configuration create revisions 2, 3 and so on.
        revision = 1 + sum(at <= applied_until for at in changed_at)
        times.record_answer(asked_at, answer(revision, int(age_s * 1000) + 1))
    for number, at in enumerate(changed_at):
        assert up_to_date_at(times, 1 + number) <= at


def test_the_latest_answer_counts_whose_revision_is_old_enough():
    times = RevisionTimes()
    times.record_answer(10.0, answer(5))
    times.record_answer(12.0, answer(5, age_ms=500))
    times.record_answer(14.0, answer(6))
    assert up_to_date_at(times, 4) == NEVER
    assert up_to_date_at(times, 5) == 11.5
    assert up_to_date_at(times, 6) == 14.0


def test_answers_of_replicas_that_are_not_up_to_date_displace_no_others():
    times = RevisionTimes()
    times.record_answer(10.0, answer(5))
    for number in range(3 * MAX_REVISIONS):
        times.record_answer(11.0 + number, answer(5 + number, age_ms=2**32 - 1))
    assert up_to_date_at(times, 5) == 10.0
    assert up_to_date_at(times, 500) == 10.0


def test_the_number_of_revisions_is_bounded_and_the_latest_are_kept():
    times = RevisionTimes()
    for number in range(3 * MAX_REVISIONS):
        times.record_answer(10.0 + number, answer(5 + number))
    assert len(times.times) == MAX_REVISIONS
    newest = 4 + 3 * MAX_REVISIONS
    assert up_to_date_at(times, newest) == 9.0 + 3 * MAX_REVISIONS


def test_an_answer_without_a_revision_tells_nothing():
    times = RevisionTimes()
    times.record_answer(10.0, answer(0))
    assert up_to_date_at(times, 5) == NEVER


def test_revisions_of_another_cluster_tell_nothing():
    times = RevisionTimes()
    times.record_answer(10.0, answer(5, cluster='a'))
    assert up_to_date_at(times, 5, cluster='b') == NEVER
    times.record_answer(11.0, answer(3, cluster='b'))
    assert up_to_date_at(times, 5, cluster='b') == 11.0
    assert up_to_date_at(times, 5, cluster='a') == NEVER
