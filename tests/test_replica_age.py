"""
The age of a replica's state: the time since the replica was last known to have applied all
committed log entries. The replica reports this age to processes that may follow it.

A replica that had been cut off reported the time since its leader's last message, 36 ms, as its
age, although it lacked the log entries committed meanwhile. A front proxy that had just started
followed this replica, and treated a version set long ago as new. The proxy logged 1.1 s as the time
for which older versions could be used (`due_s=1.1`), corrected 0.2 s later to `due_s=-0.9`.

"""

import curio
import pytest

from millfork_core.clocks import MAX_AGE_MS
from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_settings.common import StateSettings
from millfork_state.replica import Replica, ReplicaState
from millfork_state.storage import LogEntry, Storage
from millfork_state.view import View
from millforkd.versions import VersionTracker, never_leads
from tests.test_replica import append, entry, genesis
from tests.test_servers import Clock
from tests.test_versions import SWITCH_MS, set_version


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def replica(tmp_path, clock):
    env = Environment(InstanceId('b'), ZoneId('zone'), monotonic=clock)
    replica = Replica(env, StateSettings(), Storage(tmp_path), View(), None, [])
    curio.run(replica.recover)
    return replica


def test_a_replica_that_starts_has_never_been_up_to_date(replica):
    assert replica.age_ms() == MAX_AGE_MS


def test_a_replica_that_lacks_committed_entries_is_not_up_to_date(replica):
    append(replica, [genesis(replica), entry(2)], commit=5)
    assert replica.age_ms() == MAX_AGE_MS


def test_a_replica_whose_log_does_not_match_is_not_up_to_date(replica):
    assert not append(replica, [], prev=(7, 1), commit=7).ok
    assert replica.age_ms() == MAX_AGE_MS


def test_the_age_counts_from_when_all_committed_entries_were_applied(replica, clock):
    append(replica, [genesis(replica), entry(2), entry(3)], commit=3)
    assert replica.age_ms() == 0
    clock.now += 0.4
    # The leader has committed entries that this replica doesn't have yet.
    append(replica, [], prev=(3, 1), commit=9)
    clock.now += 0.1
    assert replica.age_ms() == pytest.approx(500, abs=1)


def test_a_leader_is_up_to_date_once_an_entry_of_its_term_is_applied(replica, clock):
    append(replica, [genesis(replica), entry(2)], commit=1)
    clock.now += 0.4
    curio.run(replica.enter_term, 2)
    replica.state = ReplicaState.LEADER
    # The second log entry may be committed without this replica's knowledge.
    assert replica.age_ms() == pytest.approx(400, abs=1)
    curio.run(replica.write, [LogEntry(2, 3, entry(3).payload)])
    curio.run(replica.advance_commit, 3)
    assert replica.age_ms() == 0


def test_a_version_received_before_the_feed_is_current_is_due_at_once(clock):
    view, current = View(), False
    env = Environment(InstanceId('a:1'), ZoneId('zone'), monotonic=clock)
    versions = VersionTracker(
        env, view, SWITCH_MS, unknown_cutoff_ms=2000, leads=never_leads, is_current=lambda: current
    )
    versions.refresh()
    set_version(view, versions, 2)
    assert versions.oldest_usable('m') == 2
    current = True
    versions.refresh()
    set_version(view, versions, 3)
    assert versions.oldest_usable('m') == 2
