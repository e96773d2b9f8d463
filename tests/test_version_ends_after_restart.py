"""
Version cutoffs (the times from which no request may begin on an older version) in processes that
start after a version's cutoff. Such a process must not take the version for newly set and use or
report a later cutoff: requests could then begin on an older version again.

"""

import re
import shutil
import signal

import pytest

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_registry.version_cutoffs import VersionCutoffs
from millfork_standins.seeded import SeededFleet
from millfork_state.storage import LOG_FILE, RECORD_HEADER
from millfork_state.view import View
from millfork_wire.messages import VersionSwitch
from millforkd.replica.daemon import STATE_FOLDER
from millforkd.versions import CANCEL_MARGIN_S, VersionTracker, never_leads
from tests.test_seeded_fleet import document, request
from tests.test_servers import Clock
from tests.test_version_ends import CUTOFF_LINE, set_fleet_version, wait_for_seconds
from tests.test_versions import SWITCH_MS, SWITCH_S, set_version
from tests.utils.fleets import wait_until

VERSION_MS = 3000
# A computed cutoff may differ from the true one by this much: answers give times in whole ms, and
# take a few ms to arrive.
TOLERANCE_S = 0.1
# The first item of the map that a commit mark is stored as.
COMMIT_MARK = b'\xa4type\xa1c'


@pytest.fixture
def fleet(tmp_path):
    new_fleet = SeededFleet(tmp_path, entries=1, version_ms=VERSION_MS)
    try:
        new_fleet.start()
        new_fleet.add_back_end('plain', 'i-1')
        assert new_fleet.put_document(document(1, '/safe/')).status == 200
        wait_until(lambda: new_fleet.send_request(request('/safe/x')).status == 200)
        yield new_fleet
    finally:
        new_fleet.close()


def seconds_to_cutoff(fleet, host):
    """
    The seconds until the cutoff of version 2 (`due_s`), from each line of a process's log that
    reports this cutoff. A value is at most 0 if the cutoff had passed.

    """
    return [float(found[3]) for found in CUTOFF_LINE.finditer(fleet.log(host)) if found[2] == '2']


@pytest.mark.parametrize('disk', ['kept', 'lost'])
def test_a_replica_that_was_away_past_a_cutoff_reports_no_later_one(fleet, disk):
    entry = fleet.entry_hosts[0]
    absent_replica = fleet.replica_hosts[2]
    fleet.kill(absent_replica)
    (fleet.folder / f'{absent_replica}.log').unlink()
    set_fleet_version(fleet, 2, entry)
    wait_for_seconds(VERSION_MS / 1000 + 1)
    if disk == 'lost':
        shutil.rmtree(fleet.folder / absent_replica)
    fleet.start_process(absent_replica)
    wait_until(lambda: seconds_to_cutoff(fleet, absent_replica))
    # The cutoff had passed before the replica was started again.
    assert max(seconds_to_cutoff(fleet, absent_replica)) <= 0


def followed_replica(fleet):
    """
    The replica that the entry follows at present, according to the entry's log.

    """
    return re.findall(r'Following replica ([\d.]+)', fleet.log(fleet.entry_hosts[0]))[-1]


def lose_commit_mark(folder):
    """
    Truncate a replica's log file just before the last commit mark. A loss of power can have this
    effect, as commit marks aren't synced.

    """
    log = folder / STATE_FOLDER / LOG_FILE
    data = log.read_bytes()
    at = data.rindex(COMMIT_MARK)
    # The record consists of a header of fixed size and a map with two items, which starts one byte
    # before its first key.
    log.write_bytes(data[: at - 1 - RECORD_HEADER.size])


def test_a_starting_entry_gets_no_later_cutoff_from_a_replica_that_was_away(fleet):
    """
    Version 2 is set while a replica is down. After the cutoff of version 2, the replica and an
    entry start together. The entry must not compute a later cutoff.

    The replica used to report its state as fresh once it had contact with the leader, before it had
    the log entries that were committed while it was down. The entry followed the replica, received
    version 2 from it 58 ms later and took the version for newly set. Until the cutoff was corrected
    0.2 s later, the entry could have sent requests to older versions. This happened in 4 of 15
    runs, five at a time under other load. The age of a replica's state now counts from the last
    time at which the replica had applied all committed log entries.

    """
    entry = fleet.entry_hosts[0]
    first = followed_replica(fleet)
    fleet.kill(first)
    wait_until(lambda: followed_replica(fleet) != first)
    set_fleet_version(fleet, 2, entry)
    wait_for_seconds(VERSION_MS / 1000 + 1)
    fleet.kill(entry)
    (fleet.folder / f'{entry}.log').unlink()
    fleet.start_process(first)
    fleet.start_process(entry)
    wait_until(lambda: seconds_to_cutoff(fleet, entry))
    wait_for_seconds(1.0)
    assert max(seconds_to_cutoff(fleet, entry)) <= 0


def test_a_replica_that_lost_power_brings_back_no_ended_version(fleet):
    entry = fleet.entry_hosts[0]
    first = followed_replica(fleet)
    set_fleet_version(fleet, 2, entry)
    wait_for_seconds(VERSION_MS / 1000 + 1)
    lines_before = len(seconds_to_cutoff(fleet, entry))
    fleet.kill(first)
    lose_commit_mark(fleet.folder / first)
    wait_until(lambda: followed_replica(fleet) != first)
    other = followed_replica(fleet)
    (fleet.folder / f'{first}.log').unlink()
    fleet.start_process(first)
    wait_until(lambda: seconds_to_cutoff(fleet, first))
    # While the replica `other` is stopped, the entry follows the replica `first` again.
    fleet.signal(other, signal.SIGSTOP)
    try:
        wait_until(lambda: followed_replica(fleet) == first)
        wait_for_seconds(1.0)
    finally:
        fleet.signal(other, signal.SIGCONT)
    assert seconds_to_cutoff(fleet, entry)[lines_before:] == []


def test_a_version_stays_ended_when_the_same_replica_restarts():
    clock, view, cutoffs = Clock(), View(), VersionCutoffs()
    env = Environment(InstanceId('a:1'), ZoneId('zone'), monotonic=clock)
    entry = VersionTracker(env, view, SWITCH_MS, cutoffs, SWITCH_MS, never_leads)
    switch = VersionSwitch('m', 2, SWITCH_MS)
    cutoffs.record_answer(clock.now, [switch])
    set_version(view, entry, 2)
    clock.now += SWITCH_S + 60
    assert entry.oldest_usable('m') == 2
    # The restarted replica reports the version as newly set.
    cutoffs.record_answer(clock.now, [switch])
    assert entry.oldest_usable('m') == 2


def test_one_slow_answer_does_not_leave_too_early_a_cutoff():
    clock = Clock()
    views = [View(), View()]
    cutoffs = [VersionCutoffs(), VersionCutoffs()]
    replicas = []
    for number in range(2):
        env = Environment(InstanceId(f'r{number}:1'), ZoneId('zone'), monotonic=clock)
        tracker = VersionTracker(env, views[number], SWITCH_MS, cutoffs[number])
        tracker.refresh()
        replicas.append(tracker)
    for number in range(2):
        set_version(views[number], replicas[number], 2)
    true_end = clock.now + SWITCH_S

    def query(asker, answerer, took_s):
        asked_at = clock.now
        clock.now += took_s
        cutoffs[asker].record_answer(asked_at, replicas[answerer].switches())

    # The first answer takes half a second, all others 2 ms.
    query(0, 1, 0.5)
    for _ in range(4):
        query(1, 0, 0.002)
        query(0, 1, 0.002)
        clock.now += 0.5
    assert replicas[0].ends_at('m', 1) == pytest.approx(true_end - CANCEL_MARGIN_S, abs=TOLERANCE_S)
