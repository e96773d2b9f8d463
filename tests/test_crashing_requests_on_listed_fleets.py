"""
A request that crashes the engines that run it, on a listed fleet of running daemons.

Guards against these failures:

- Each entry counts crashes alone, with a fingerprint key of its own. Callers that used six entries
  in turn crashed 18 engines, also with streamed answers.
- An entry loses its counts in a restart. Callers of one entry that was restarted three times
  crashed 12 engines.
- A crash is not detected if the connections of the engine close 50 ms before its listening socket.
  24 calls at one entry crashed 22 engines.
- Simultaneous crashes count as one. Six concurrent callers crashed 7 engines in one case and 8 in
  another.

"""

from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.test_crashing_requests import ENDS_BEFORE_QUARANTINE, MAX_FURTHER_ENDS
from tests.utils.crashing import CrashingFleet

CALLS = 24
RESTARTS_BEFORE_CALLS = (4, 8, 12)


@pytest.fixture(scope='module', params=[0, 50], ids=['closes at once', 'closes 50 ms late'])
def crashing(request, tmp_path_factory):
    new_fleet = CrashingFleet(tmp_path_factory.mktemp('crashing'), closes_after_ms=request.param)
    try:
        new_fleet.start()
        yield new_fleet
    finally:
        new_fleet.close()


@pytest.mark.parametrize('streams', [False, True])
def test_ends_are_counted_across_entries(crashing, streams):
    before = crashing.count_ended()
    for number in range(CALLS):
        entry = number % len(crashing.fleet.entries)
        crashing.call(entry, nonce=f'in turn {streams}', stream=streams)
    assert crashing.count_ended() - before <= ENDS_BEFORE_QUARANTINE + MAX_FURTHER_ENDS


def test_ends_are_counted_at_one_entry(crashing):
    before = crashing.count_ended()
    for _ in range(CALLS):
        crashing.call(0, nonce='one entry')
    assert crashing.count_ended() - before <= ENDS_BEFORE_QUARANTINE + MAX_FURTHER_ENDS


def test_ends_under_concurrent_calls_are_counted(crashing):
    before = crashing.count_ended()
    entries = range(len(crashing.fleet.entries))
    for _ in range(CALLS // len(entries)):
        with ThreadPoolExecutor(len(entries)) as pool:
            list(pool.map(lambda entry: crashing.call(entry, nonce='at once'), entries))
    assert crashing.count_ended() - before <= ENDS_BEFORE_QUARANTINE + MAX_FURTHER_ENDS


def test_ends_are_counted_after_an_entry_restarted(crashing):
    before = crashing.count_ended()
    entry = crashing.fleet.entries[0]
    for number in range(CALLS):
        if number in RESTARTS_BEFORE_CALLS:
            crashing.fleet.kill(entry.name)
            crashing.fleet.start_daemon(entry)
            crashing.fleet.wait_ready(entry)
        crashing.call(0, nonce='started again')
    assert crashing.count_ended() - before <= ENDS_BEFORE_QUARANTINE + MAX_FURTHER_ENDS


def test_the_quarantine_survives_a_restart_of_all_entries(crashing):
    known = crashing.fingerprints_at_fault()
    for _ in range(ENDS_BEFORE_QUARANTINE + 1):
        crashing.call(0, nonce='outlives')
    crashing.wait_for_quarantine(known)
    before = crashing.count_ended()
    for entry in crashing.fleet.entries:
        crashing.fleet.kill(entry.name)
    for entry in crashing.fleet.entries:
        crashing.fleet.start_daemon(entry)
    for number, entry in enumerate(crashing.fleet.entries):
        crashing.fleet.wait_ready(entry)
        assert crashing.call(number, nonce='outlives').json()['reason'] == 'quarantined'
    assert crashing.count_ended() == before


def test_ends_are_counted_after_their_callers_left(crashing):
    """
    Callers leave after 0.1 s and retry; their request crashes its engine after 0.2 s.

    """
    before = crashing.count_ended()
    for number in range(CALLS):
        crashing.call_and_leave(number % len(crashing.fleet.entries), nonce='left')
    assert crashing.count_ended() - before <= ENDS_BEFORE_QUARANTINE + MAX_FURTHER_ENDS
