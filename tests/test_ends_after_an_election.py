"""
The time until which requests may begin on a version, if the leader is lost just after it
acknowledged the next version. A new leader must count this time from the arrival of the log entry
that sets the next version.

A leader acknowledged version 2 and was lost. The new leader already had the log entry that sets
version 2, but committed and applied it only 1.5 s after the acknowledgement, and counted from that
moment (`Version named. version=2 due_s=7.1`). Requests could have begun on version 1 until 9.5 s
after the acknowledgement instead of 8 s.

"""

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_settings.common import StateSettings
from millfork_state.arrival_times import MAX_ARRIVAL_TIMES, ArrivalTimes
from millfork_state.commands import Raise, Versioned, encode_versioned
from millfork_state.keys import version_key
from millfork_state.replica import Replica, ReplicaState
from millfork_state.storage import LogEntry, Storage
from millfork_state.view import View
from millfork_wire.messages import InstallRequest, VersionSwitch
from millforkd.versions import CANCEL_MARGIN_S, VersionTracker
from tests.test_replica import CLUSTER, append, entry, genesis
from tests.test_servers import Clock
from tests.test_versions import SWITCH_MS, SWITCH_S

ELECTION_S = 1.5
DOWN_S = 3.0


@pytest.fixture
def clock():
    return Clock()


def replica_in(folder, clock):
    env = Environment(InstanceId('b'), ZoneId('zone'), monotonic=clock)
    replica = Replica(env, StateSettings(), Storage(folder), View(), None, [])
    curio.run(replica.recover)
    return replica


def versions_of(replica):
    versions = VersionTracker(
        replica.env,
        replica.view,
        SWITCH_MS,
        leads=lambda: True,
        arrived_at=replica.arrival_times.find,
    )
    versions.refresh()
    return versions


def version_entry(index, version=2, term=1):
    value = encode_versioned(Versioned(version, b''))
    return entry(index, term, Raise(version_key('m'), version, value))


def win_election(replica, term=2):
    """
    Make a replica the leader of `term`, and commit its log by appending a log entry of that term.

    """
    curio.run(replica.enter_term, term)
    replica.state = ReplicaState.LEADER
    index = replica.storage.last_index + 1
    curio.run(replica.write, [LogEntry(term, index, entry(index).payload)])
    curio.run(replica.advance_commit, index)


def test_a_leader_elected_later_counts_from_the_arrival_of_the_entry(tmp_path, clock):
    replica = replica_in(tmp_path, clock)
    versions = versions_of(replica)
    append(replica, [genesis(replica), version_entry(2)], commit=1)
    arrived_at = clock.now
    clock.now += ELECTION_S
    win_election(replica)
    versions.refresh()
    assert versions.ends_at('m', 1) == pytest.approx(arrived_at + SWITCH_S - CANCEL_MARGIN_S)


@pytest.mark.parametrize('commit', [1, 2], ids=['commit-unknown', 'commit-known'])
def test_a_replica_that_restarts_meanwhile_counts_from_the_arrival_at_the_latest(
    tmp_path, clock, commit
):
    before = replica_in(tmp_path, clock)
    append(before, [genesis(before), version_entry(2)], commit=commit)
    arrived_at = clock.now
    clock.now += 0.4
    replica = replica_in(tmp_path, clock)
    versions = versions_of(replica)
    clock.now += ELECTION_S
    win_election(replica)
    versions.refresh()
    assert versions.ends_at('m', 1) <= arrived_at + SWITCH_S - CANCEL_MARGIN_S


@pytest.mark.parametrize('commit', [1, 2], ids=['commit-unknown', 'commit-known'])
def test_a_leader_that_restarted_tells_no_cutoff_while_followers_may_know_a_later_one(
    tmp_path, clock, commit
):
    before = replica_in(tmp_path, clock)
    append(before, [genesis(before), version_entry(2)], commit=commit)
    replica = replica_in(tmp_path, clock)
    versions = versions_of(replica)
    win_election(replica)
    versions.refresh()
    clock.now += SWITCH_S - 0.1
    assert versions.switches() == []
    clock.now += 0.2
    assert [(item.version, item.left_ms) for item in versions.switches()] == [(2, 0)]


def test_a_leader_that_restarted_tells_the_cutoff_that_another_replica_reported(tmp_path, clock):
    before = replica_in(tmp_path, clock)
    append(before, [genesis(before), version_entry(2)], commit=1)
    replica = replica_in(tmp_path, clock)
    versions = versions_of(replica)
    win_election(replica)
    versions.refresh()
    versions.cutoffs.record_answer(clock.now, [VersionSwitch('m', 2, 5000)])
    assert [(item.version, item.left_ms) for item in versions.switches()] == [(2, 5000)]


def test_a_version_that_arrived_in_a_snapshot_counts_as_set_long_ago(tmp_path, clock):
    replica = replica_in(tmp_path / 'replica', clock)
    versions = versions_of(replica)
    append(replica, [genesis(replica)], commit=1)
    versions.refresh()
    leader = replica_in(tmp_path / 'leader', clock)
    append(leader, [genesis(leader), version_entry(2)], commit=2)
    clock.now += DOWN_S
    dump = leader.machine.dump(leader.members)
    curio.run(replica.on_install, InstallRequest(CLUSTER, 1, 'a', 2, 1, dump))
    win_election(replica)
    versions.refresh()
    assert versions.ends_at('m', 1) <= clock.now - DOWN_S + SWITCH_S - CANCEL_MARGIN_S


def test_an_entry_that_was_committed_before_it_arrived_counts_from_before_its_commit(
    tmp_path, clock
):
    replica = replica_in(tmp_path, clock)
    versions = versions_of(replica)
    append(replica, [genesis(replica)], commit=1)
    last_contact_at = clock.now
    # The version is set while this replica is cut off from the others.
    clock.now += DOWN_S
    append(replica, [version_entry(2)], prev=(1, 1), commit=2)
    win_election(replica)
    versions.refresh()
    assert versions.ends_at('m', 1) == pytest.approx(last_contact_at + SWITCH_S - CANCEL_MARGIN_S)


def test_an_entry_that_another_leader_replaced_is_ignored(tmp_path, clock):
    replica = replica_in(tmp_path, clock)
    versions = versions_of(replica)
    append(replica, [genesis(replica), version_entry(2)], commit=1)
    clock.now += ELECTION_S
    append(replica, [entry(2, 2)], prev=(1, 1), commit=2, term=2)
    clock.now += 1.0
    append(replica, [version_entry(3, term=2)], prev=(2, 2), commit=2, term=2)
    append(replica, [], prev=(3, 2), commit=3, term=2)
    versions.refresh()
    assert versions.ends_at('m', 1) == pytest.approx(clock.now + SWITCH_S - CANCEL_MARGIN_S)


def test_the_number_of_arrival_times_is_bounded(clock):
    arrivals = ArrivalTimes(clock)
    for index in range(2 * MAX_ARRIVAL_TIMES):
        arrivals.record(index, Raise('key', index, b''))
    assert len(arrivals.arrivals) == MAX_ARRIVAL_TIMES


def test_an_arrival_time_that_was_dropped_counts_as_long_ago(clock):
    arrivals = ArrivalTimes(clock)
    for index in range(MAX_ARRIVAL_TIMES + 1):
        arrivals.record(index, Raise('key', index, b''))
        clock.now += 0.01
    assert arrivals.find('key', 0) <= 100.0
    assert arrivals.find('key', 1) == pytest.approx(100.01)
