"""
Real replicas in three regions that are replaced one after another beside changes: nothing that was
acknowledged disappears, and no voter is removed and added in turn.

"""

import re
import threading
import time

import pytest

from tests.test_lagging_replicas import REGION_MBPS, check_read_back
from tests.test_losses_of_disks_and_power import all_vote
from tests.test_seeded_fleet import document, leader
from tests.utils.fleets import wait_until
from tests.utils.regions import FIRST_ROUTE, Changes, RegionFleet

# Whether each replaced one is the leader, and is stopped as planned or killed.
REPLACEMENTS = [(False, True), (True, False), (False, False), (True, True)]
REPLACEMENT_INTERVAL_S = 4.5
REPLACED_AFTER_S = 0.5
DOCUMENT_BYTES = 12_000


@pytest.fixture
def fleet(tmp_path):
    fleet = RegionFleet(tmp_path, entries=2)
    fleet.limit_region_links(REGION_MBPS)
    try:
        fleet.start()
        assert fleet.put_document(document(1, FIRST_ROUTE)).status == 200
        wait_until(lambda: all_vote(fleet))
        yield fleet
    finally:
        fleet.close()


def memberships(fleet):
    """
    Return the voters after each change of the membership, in the order of their times.

    """
    pattern = re.compile(r'^(\S+) .*Voters are now (.*)\.$')
    found = []
    for path in fleet.folder.glob('*.log'):
        for line in path.read_text().splitlines():
            if match := pattern.match(line):
                found.append((match[1], set(match[2].split(', '))))
    return [voters for _, voters in sorted(found, key=lambda item: item[0])]


def additions(voters):
    """
    Return how often each voter was added.

    """
    counts = dict.fromkeys(voters[0], 1)
    for before, after in zip(voters, voters[1:], strict=False):
        for instance in after - before:
            counts[instance] = counts.get(instance, 0) + 1
    return counts


def replace(fleet, old, planned):
    fleet.replica_hosts = [host for host in fleet.replica_hosts if host != old]
    if planned:
        fleet.add_replica()
        time.sleep(REPLACED_AFTER_S)
        assert fleet.stop(old) == 0
        return
    fleet.kill(old)
    time.sleep(REPLACED_AFTER_S)
    fleet.add_replica()


def test_replacements_beside_changes_lose_nothing(fleet):
    # Guards against voters that are removed and added in turn, and a majority that is lost by it.
    changes = Changes(fleet, DOCUMENT_BYTES)
    for leads, planned in REPLACEMENTS:
        changes.stop.clear()
        thread = threading.Thread(target=changes.put_until_stopped)
        thread.start()
        replaced_at = time.monotonic()
        first = leader(fleet)
        old = first if leads else next(h for h in fleet.replica_hosts if h != first)
        replace(fleet, old, planned)
        time.sleep(max(replaced_at + REPLACEMENT_INTERVAL_S - time.monotonic(), 0.0))
        changes.stop.set()
        thread.join()
        check_read_back(fleet, changes.acknowledged)
    assert max(additions(memberships(fleet)).values()) == 1
