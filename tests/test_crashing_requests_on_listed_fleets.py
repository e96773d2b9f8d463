"""
A request that ends the engines that run it, on the daemons of a fleet with a list of instances.

Each entry counted ends for itself, under a key of its own, and counted from nothing when it
started: callers that came back to six entries in turn ended 18 engines, with streams that had
begun as well, and 12 at one entry that was killed and started again three times. Where the
engine's connections broke 50 ms before its address closed, no end was proved: 22 of 24 calls.
Callers that came at once ended 7 and 8, as ends at the same moment counted as one.
"""

from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.test_crashing_requests import ENDS_BEFORE_QUARANTINE, MAX_FURTHER_ENDS
from tests.utils.crashing import CrashingFleet

CALLS = 24
STARTED_AFTER = (4, 8, 12)


@pytest.fixture(scope='module', params=[0, 50], ids=['closes at once', 'closes 50 ms late'])
def crashing(request, tmp_path_factory):
    made = CrashingFleet(tmp_path_factory.mktemp('crashing'), closes_after_ms=request.param)
    try:
        made.start()
        yield made
    finally:
        made.close()


@pytest.mark.parametrize('streams', [False, True])
def test_ends_count_whichever_entry_its_callers_use(crashing, streams):
    before = crashing.ended()
    for number in range(CALLS):
        entry = number % len(crashing.fleet.entries)
        crashing.call(entry, nonce=f'in turn {streams}', stream=streams)
    assert crashing.ended() - before <= ENDS_BEFORE_QUARANTINE + MAX_FURTHER_ENDS


def test_ends_count_at_one_entry(crashing):
    before = crashing.ended()
    for _ in range(CALLS):
        crashing.call(0, nonce='one entry')
    assert crashing.ended() - before <= ENDS_BEFORE_QUARANTINE + MAX_FURTHER_ENDS


def test_ends_count_where_callers_come_at_once(crashing):
    before = crashing.ended()
    entries = range(len(crashing.fleet.entries))
    for _ in range(CALLS // len(entries)):
        with ThreadPoolExecutor(len(entries)) as pool:
            list(pool.map(lambda entry: crashing.call(entry, nonce='at once'), entries))
    assert crashing.ended() - before <= ENDS_BEFORE_QUARANTINE + MAX_FURTHER_ENDS


def test_ends_count_also_after_an_entry_started_again(crashing):
    before = crashing.ended()
    entry = crashing.fleet.entries[0]
    for number in range(CALLS):
        if number in STARTED_AFTER:
            crashing.fleet.kill(entry.name)
            crashing.fleet.start_daemon(entry)
            crashing.fleet.wait_ready(entry)
        crashing.call(0, nonce='started again')
    assert crashing.ended() - before <= ENDS_BEFORE_QUARANTINE + MAX_FURTHER_ENDS


def test_the_quarantine_outlives_all_entries_at_once(crashing):
    known = crashing.at_fault()
    for _ in range(ENDS_BEFORE_QUARANTINE + 1):
        crashing.call(0, nonce='outlives')
    crashing.wait_for_quarantine(known)
    before = crashing.ended()
    for entry in crashing.fleet.entries:
        crashing.fleet.kill(entry.name)
    for entry in crashing.fleet.entries:
        crashing.fleet.start_daemon(entry)
    for number, entry in enumerate(crashing.fleet.entries):
        crashing.fleet.wait_ready(entry)
        assert crashing.call(number, nonce='outlives').json()['reason'] == 'quarantined'
    assert crashing.ended() == before


def test_ends_count_also_after_their_callers_left(crashing):
    """
    Callers give up after 0.1 s, come back, and leave a request that ends its engine after 0.2 s.

    """
    before = crashing.ended()
    for number in range(CALLS):
        crashing.call_and_leave(number % len(crashing.fleet.entries), nonce='left')
    assert crashing.ended() - before <= ENDS_BEFORE_QUARANTINE + MAX_FURTHER_ENDS
