"""
The cutoff of a version (from which no request may begin on older versions) if all replicas are
killed or lose power just after they acknowledged the version.

The replicas don't know for how long they were down. They used to count the cutoff of a version from
their restart if its commit mark was lost, which was up to 3.4 s late, and to report that it had
passed if the mark was kept, 3.7 s early. Entries that ran on know when a replica was last up to
date without the version, and count from then.

"""

import signal
from datetime import datetime

import pytest

from millfork_platform import client_requests
from millfork_standins.seeded import SeededFleet
from millfork_state.storage import LOG_FILE
from millforkd.replica.daemon import STATE_FOLDER
from millforkd.version_switching import LAST_SEND_BEFORE_END_S
from tests.test_seeded_fleet import document, request
from tests.test_version_ends import CUTOFF_LINE, MODEL, VERSION_MS, wait_for_seconds
from tests.test_version_ends_after_restart import COMMIT_MARK, lose_commit_mark
from tests.utils.fleets import wait_until

VERSION_S = VERSION_MS / 1000
DOWN_S = 3.0
# Log lines give tenths of a second, and the acknowledgement takes a few ms to arrive.
TOLERANCE_S = 0.1
# Entries ask a replica for its revision every 2 s, and the state of this replica may be 0.5 s old.
# The rest is for a busy machine.
MAX_EARLY_S = 3.5


@pytest.fixture
def fleet(tmp_path):
    new_fleet = SeededFleet(tmp_path, entries=2, version_ms=VERSION_MS)
    try:
        new_fleet.start()
        new_fleet.add_back_end('plain', 'i-1')
        assert new_fleet.put_document(document(1, '/safe/')).status == 200
        for entry in range(2):
            wait_until(
                lambda entry=entry: new_fleet.send_request(request('/safe/x'), entry).status == 200
            )
        # Each entry has asked a replica since the document was accepted.
        wait_for_seconds(2.5)
        yield new_fleet
    finally:
        new_fleet.close()


def kill_replicas(fleet):
    for host in fleet.replica_hosts:
        fleet.signal(host, signal.SIGKILL)
    for host in fleet.replica_hosts:
        fleet.kill(host)


def lose_mark_of_version(folder):
    """
    Remove the last commit mark of a replica's log, if it comes after the log entry of a version.

    """
    data = (folder / STATE_FOLDER / LOG_FILE).read_bytes()
    if data.rfind(COMMIT_MARK) > data.rfind(b'Raise'):
        lose_commit_mark(folder)


def cutoffs_after(fleet, host, acknowledged_at):
    """
    The cutoffs of version 2 in a process's log, in seconds after the acknowledgement, in the order
    of the lines; a line that reports a passed cutoff gives the time of the line.

    """
    return [
        datetime.fromisoformat(line[1]).timestamp()
        + float(line[3])
        + LAST_SEND_BEFORE_END_S
        - acknowledged_at
        for line in CUTOFF_LINE.finditer(fleet.log(host))
        if line[2] == '2'
    ]


@pytest.mark.parametrize('commit_mark', ['kept', 'lost'])
def test_versions_end_in_time_if_all_replicas_are_lost_after_the_acknowledgement(
    fleet, commit_mark
):
    reply = fleet.control(client_requests.set_version_request(MODEL, 2))
    acknowledged_at = datetime.now().timestamp()
    kill_replicas(fleet)
    assert reply.status == 200
    if commit_mark == 'lost':
        for host in fleet.replica_hosts:
            lose_mark_of_version(fleet.folder / host)
    wait_for_seconds(DOWN_S)
    for host in fleet.replica_hosts:
        fleet.start_process(host)
    for host in (*fleet.entry_hosts, *fleet.replica_hosts):
        wait_until(lambda host=host: cutoffs_after(fleet, host, acknowledged_at))
    # Time for corrections.
    wait_for_seconds(2.5)
    for host in fleet.entry_hosts:
        cutoffs = cutoffs_after(fleet, host, acknowledged_at)
        assert min(cutoffs) >= VERSION_S - MAX_EARLY_S
        assert max(cutoffs) <= VERSION_S + TOLERANCE_S
    for host in fleet.replica_hosts:
        assert max(cutoffs_after(fleet, host, acknowledged_at)) <= VERSION_S + TOLERANCE_S
