"""
Real replicas in three regions with slow links between them: a replica that lags behind by many
bytes must neither cost the others their leader nor take longer than its bytes need.

"""

import shutil
import time

import pytest

from millfork_platform import client_requests
from millfork_standins.http_calls import call
from millfork_standins.seeded_ports import CONTROL_PORT
from tests.test_losses_of_disks_and_power import all_vote
from tests.test_seeded_fleet import document, leader
from tests.utils.fleets import wait_until
from tests.utils.regions import RegionFleet, large_document

# For all traffic between two regions, each way.
REGION_MBPS = 20.0
# A fleet is to be usable again within this time of the last loss (`recover_s` of a deployment).
RECOVERY_S = 12.0
# A replica that returns counts as lost for this time (`catch_up_s` of a deployment).
CATCH_UP_S = 4.0
DOWN_S = 1.0
READ_INTERVAL_S = 0.05


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


def read_version(host):
    reply = call(host, CONTROL_PORT, client_requests.read_document_request())
    return client_requests.document_version(reply.body) if reply.status == 200 else None


def check_read_back(fleet, version, within_s=RECOVERY_S):
    """
    Check that a replica shows the document `version` within this time, and none another one.

    """
    deadline = time.monotonic() + within_s
    read = False
    while not read:
        assert time.monotonic() < deadline, f'document {version} is not read back in time'
        for host in fleet.replica_hosts:
            if host not in fleet.processes:
                continue
            found = read_version(host)
            assert found in (None, version)
            read = read or (found is not None and time.monotonic() < deadline)
        time.sleep(READ_INTERVAL_S)


@pytest.mark.parametrize(('changes', 'size'), [(200, 12_000), (200, 43_000)])
def test_a_voter_that_lags_does_not_cost_the_state_its_leader(fleet, changes, size):
    # Guards against leaders that step down in turn while a lagging voter gets its log.
    first = leader(fleet)
    lagging, wiped = [host for host in fleet.replica_hosts if host != first]
    fleet.kill(lagging)
    for version in range(2, changes + 2):
        assert fleet.put_document(large_document(version, size, '/first/')).status == 200
    fleet.start_process(lagging)
    time.sleep(CATCH_UP_S)
    version = changes + 2
    assert fleet.put_document(large_document(version, size, '/first/')).status == 200
    fleet.kill(wiped)
    shutil.rmtree(fleet.folder / wiped)
    time.sleep(DOWN_S)
    fleet.start_process(wiped)
    check_read_back(fleet, version)
