"""
An entry that stood still for 3.4 s while a version was named went on sending requests to
the version before it for as long after its end. The replica's word, how many ms are left,
lay in the entry's socket meanwhile, and was taken as fresh when it was read:
`Version named. version=2 due_s=7.1` stands at 18.04 s in the log of an entry that ran, and
with the same 7.1 at 21.30 s in the log of the one that had stood still.

An entry that started after two versions had been named knew of the second only, and took
its end for the end of the first: `version=3 due_s=5.6` at 22.59 s, so that the version
before both was in use until 28.1 s in place of 25.1 s, with 129 first tokens after its end.

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
LEARNED = re.compile(
    r'(\S+) \w+ proxy: Version (?:named|end corrected)\. '
    r'model=m version=(\d+) due_s=(-?[\d.]+)'
)
# For how long a process stands still, and how far apart two versions are named.
APART_S = 2.0
# Log lines give tenths of a second, and a name is in force everywhere within 0.3 s.
TOLERANCE_S = 0.5


@pytest.fixture
def fleet(tmp_path):
    made = SeededFleet(tmp_path, entries=2, version_ms=VERSION_MS)
    try:
        made.start()
        made.add_back_end('plain', 'i-1')
        assert made.put(document(1, '/safe/')).status == 200
        for entry in range(2):
            wait_until(lambda entry=entry: made.ask(request('/safe/x'), entry).status == 200)
        yield made
    finally:
        made.close()


def learned(fleet, host, version):
    """
    When requests may no longer be sent to what came before a version, by the last word of
    one process's log, in seconds of the time of day; None if it knows of no such version.

    """
    found = [match for match in LEARNED.finditer(fleet.log(host)) if int(match[2]) == version]
    if not found:
        return None
    return datetime.fromisoformat(found[-1][1]).timestamp() + float(found[-1][3])


def name_version(fleet, version, host):
    """
    Name a version, and wait until one process knows of it.

    """
    assert fleet.control(client_requests.set_version_request(MODEL, version)).status == 200
    wait_until(lambda: learned(fleet, host, version) is not None)


def pass_time(seconds):
    until = time.monotonic() + seconds
    wait_until(lambda: time.monotonic() >= until)


def settled(fleet, host, version):
    """
    The end that a process goes by once it has heard from its replica for a while.

    """
    wait_until(lambda: learned(fleet, host, version) is not None)
    pass_time(APART_S)
    return learned(fleet, host, version)


@pytest.mark.parametrize('trouble', ['stood still', 'started between'])
def test_no_process_takes_a_version_to_end_later_than_the_others(fleet, trouble):
    steady, struck = fleet.entry_hosts
    name_version(fleet, 2, steady)
    if trouble == 'stood still':
        fleet.signal(struck, signal.SIGSTOP)
        name_version(fleet, 3, steady)
        pass_time(APART_S)
        fleet.signal(struck, signal.SIGCONT)
        assert settled(fleet, struck, 3) <= learned(fleet, steady, 3) + TOLERANCE_S
        return
    pass_time(APART_S)
    name_version(fleet, 3, steady)
    fleet.kill(struck)
    (fleet.folder / f'{struck}.log').unlink()
    fleet.start_one(struck)
    settled(fleet, struck, 3)
    end_of_first = learned(fleet, struck, 2)
    assert end_of_first is not None
    assert end_of_first <= learned(fleet, steady, 2) + TOLERANCE_S
