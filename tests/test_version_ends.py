"""
Every process stops sending requests to an old version at the same time.

An entry was paused for 3.4 s while a new version was set. Meanwhile the replica's message, with
the ms until the cutoff (when requests may no longer begin on older versions), waited in the
entry's socket. The entry counted these ms from when it read the message, and so used the old
version for longer by the length of the pause: two entries logged
`Version named. version=2 due_s=7.1`, one at 18.04 s and the paused one at 21.30 s.

An entry that started after versions 2 and 3 had been set knew only version 3, and used all older
versions until the cutoff of version 3: `version=3 due_s=5.6` at 22.59 s. So version 1, which ends
at the cutoff of version 2, was in use until 28.1 s instead of 25.1 s, with 129 first tokens after
its end.

"""

import re
import signal
import time
from datetime import datetime

import pytest

from millfork_platform import client_requests
from millfork_standins.seeded import SeededFleet
from tests.test_seeded_fleet import document, request
from tests.utils.fleets import wait_until

MODEL = 'm'
VERSION_MS = 8000
CUTOFF_LINE = re.compile(
    r'(\S+) \w+ proxy: Version (?:named|end corrected)\. '
    r'model=m version=(\d+) due_s=(-?[\d.]+)'
)
# Seconds between the setting of two versions; a paused process is paused at least this long.
GAP_S = 2.0
# Cutoffs may differ by this many seconds: log lines give tenths of a second, and all processes
# learn of a new version within 0.3 s.
TOLERANCE_S = 0.5


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
        yield new_fleet
    finally:
        new_fleet.close()


def logged_cutoff(fleet, host, version):
    """
    The time (seconds since 1970) from which the process at `host` sends no more requests to
    versions before `version`, by the last line about this in its log; None without such a line.

    """
    lines = [match for match in CUTOFF_LINE.finditer(fleet.log(host)) if int(match[2]) == version]
    if not lines:
        return None
    return datetime.fromisoformat(lines[-1][1]).timestamp() + float(lines[-1][3])


def set_fleet_version(fleet, version, host):
    """
    Set a version in the configuration, and wait until the process at `host` knows of it.

    """
    assert fleet.control(client_requests.set_version_request(MODEL, version)).status == 200
    wait_until(lambda: logged_cutoff(fleet, host, version) is not None)


def wait_for_seconds(seconds):
    until = time.monotonic() + seconds
    wait_until(lambda: time.monotonic() >= until)


def settled_cutoff(fleet, host, version):
    """
    The `logged_cutoff` of the process at `host`, after the process has had `GAP_S` to correct it
    by further messages of its replica.

    """
    wait_until(lambda: logged_cutoff(fleet, host, version) is not None)
    wait_for_seconds(GAP_S)
    return logged_cutoff(fleet, host, version)


@pytest.mark.parametrize('fault', ['paused', 'restarted'])
def test_no_process_has_a_later_cutoff_than_the_others(fleet, fault):
    undisturbed, disturbed = fleet.entry_hosts
    set_fleet_version(fleet, 2, undisturbed)
    if fault == 'paused':
        fleet.signal(disturbed, signal.SIGSTOP)
        set_fleet_version(fleet, 3, undisturbed)
        wait_for_seconds(GAP_S)
        fleet.signal(disturbed, signal.SIGCONT)
        assert settled_cutoff(fleet, disturbed, 3) <= (
            logged_cutoff(fleet, undisturbed, 3) + TOLERANCE_S
        )
        return
    wait_for_seconds(GAP_S)
    set_fleet_version(fleet, 3, undisturbed)
    fleet.kill(disturbed)
    (fleet.folder / f'{disturbed}.log').unlink()
    fleet.start_process(disturbed)
    settled_cutoff(fleet, disturbed, 3)
    cutoff_of_version_2 = logged_cutoff(fleet, disturbed, 2)
    assert cutoff_of_version_2 is not None
    assert cutoff_of_version_2 <= logged_cutoff(fleet, undisturbed, 2) + TOLERANCE_S
