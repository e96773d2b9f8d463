"""
Real replicas in three regions: one is killed and replaced, and another one loses its disk once the
new one has had the time to catch up. The dead voter must have been removed by then.

"""

import shutil
import threading
import time

import pytest

from tests.test_lagging_replicas import CATCH_UP_S, DOWN_S, REGION_MBPS, check_read_back
from tests.test_losses_of_disks_and_power import all_vote
from tests.test_seeded_fleet import document, leader
from tests.utils.fleets import wait_until
from tests.utils.regions import Changes, RegionFleet

DOCUMENTS = 60
# The size of a document in the log after `big_config`.
DOCUMENT_BYTES = 12_000
REPLACED_AFTER_S = 0.5


@pytest.fixture
def fleet(tmp_path):
    fleet = RegionFleet(tmp_path, entries=2)
    fleet.limit_region_links(REGION_MBPS)
    try:
        fleet.start()
        assert fleet.put_document(document(1, '/first/')).status == 200
        wait_until(lambda: all_vote(fleet))
        yield fleet
    finally:
        fleet.close()


@pytest.mark.parametrize('changes_go_on', [False, True])
@pytest.mark.parametrize('role', ['leader', 'follower'])
def test_a_killed_voter_is_removed_while_its_successor_catches_up(fleet, role, changes_go_on):
    # Guards against four voters of which one is dead and one has lost its disk.
    changes = Changes(fleet, DOCUMENT_BYTES)
    for _ in range(DOCUMENTS):
        changes.put_next()
    thread = threading.Thread(target=changes.put_until_stopped)
    if changes_go_on:
        thread.start()
    first = leader(fleet)
    dead = first if role == 'leader' else next(h for h in fleet.replica_hosts if h != first)
    fleet.kill(dead)
    fleet.replica_hosts = [host for host in fleet.replica_hosts if host != dead]
    time.sleep(REPLACED_AFTER_S)
    new = fleet.add_replica()
    time.sleep(CATCH_UP_S)
    changes.stop.set()
    if changes_go_on:
        thread.join()
    wiped = next(host for host in fleet.replica_hosts if host != new)
    fleet.kill(wiped)
    shutil.rmtree(fleet.folder / wiped)
    time.sleep(DOWN_S)
    fleet.start_process(wiped)
    check_read_back(fleet, changes.acknowledged)
