"""
Real replicas that are replaced while another one loses its disk: the configuration stays readable
and can be changed.

"""

import shutil
import signal
import threading
import time

import pytest

from millfork_platform import client_requests
from millfork_standins.http_calls import call
from millfork_standins.seeded import SeededFleet
from millfork_standins.seeded_ports import CONTROL_PORT
from tests.test_losses_of_disks_and_power import all_vote
from tests.test_seeded_fleet import document, leader
from tests.utils.fleets import wait_until

# A fleet is to be usable again within this time of the last loss (`recover_s` of a deployment).
RECOVERY_S = 12.0
DOWN_S = 1.0
# A voter that was killed is removed within two election timeouts of 0.6 s; an election before that
# takes up to 1 s.
KILLED_VOTER_S = {'follower': 1.2, 'leader': 2.2}
FREEZE_S = 6.0


@pytest.fixture
def fleet(tmp_path):
    fleet = SeededFleet(tmp_path, entries=0)
    try:
        fleet.start()
        assert fleet.put_document(document(1, '/first/')).status == 200
        wait_until(lambda: all_vote(fleet))
        yield fleet
    finally:
        fleet.close()


def others(fleet, *hosts):
    return [host for host in fleet.replica_hosts if host not in hosts]


def choose(fleet, role):
    return leader(fleet) if role == 'leader' else others(fleet, leader(fleet))[0]


def add_replica(fleet):
    host = fleet.add_replica()
    wait_until(lambda: all_vote(fleet))
    return host


def stop_replica(fleet, host):
    """
    Stop a replica as planned work does, and take it out of the fleet.

    """
    assert fleet.stop(host) == 0
    fleet.replica_hosts.remove(host)


def lose_disk(fleet, host):
    fleet.kill(host)
    shutil.rmtree(fleet.folder / host)
    time.sleep(DOWN_S)
    fleet.start_process(host)


def read_version(host):
    reply = call(host, CONTROL_PORT, client_requests.read_document_request())
    return client_requests.document_version(reply.body) if reply.status == 200 else None


def check_usable(fleet, version):
    """
    Check that the document `version` is read back, and that the next one is acknowledged.

    """

    def is_read():
        versions = [read_version(host) for host in fleet.replica_hosts]
        assert all(found is None or found == version for found in versions)
        return version in versions

    wait_until(is_read, RECOVERY_S)
    assert fleet.put_document(document(version + 1, '/next/')).status == 200


def numbers_of_voters(fleet):
    lines = [line for path in fleet.folder.glob('*.log') for line in path.read_text().splitlines()]
    return [line.count(':7700') for line in lines if 'Voters are now' in line]


@pytest.mark.parametrize('role', ['leader', 'follower'])
def test_a_replica_that_was_replaced_is_no_lost_voter(fleet, role):
    # Guards against a state without a majority: the replaced one and a lost disk, of four voters.
    new = add_replica(fleet)
    stop_replica(fleet, choose(fleet, role))
    assert fleet.put_document(document(2, '/second/')).status == 200
    lose_disk(fleet, others(fleet, new)[0])
    check_usable(fleet, 2)


@pytest.mark.parametrize('role', ['leader', 'follower'])
def test_a_replica_that_was_killed_after_its_replacement_is_soon_no_voter(fleet, role):
    # Guards against a state without a majority for as long as the leader waits for a voter.
    new = add_replica(fleet)
    killed = choose(fleet, role)
    fleet.kill(killed)
    fleet.replica_hosts.remove(killed)
    time.sleep(KILLED_VOTER_S[role])
    lose_disk(fleet, others(fleet, new)[0])
    check_usable(fleet, 1)


def test_replacements_in_series_leave_no_lost_voter(fleet):
    for old in list(fleet.replica_hosts):
        new = add_replica(fleet)
        stop_replica(fleet, old)
    assert fleet.put_document(document(2, '/second/')).status == 200
    lose_disk(fleet, others(fleet, new)[0])
    check_usable(fleet, 2)


def test_replacements_at_the_same_time_leave_no_lost_voter(fleet):
    new = [add_replica(fleet), add_replica(fleet)]
    old = [leader(fleet), others(fleet, leader(fleet), *new)[0]]
    threads = [threading.Thread(target=stop_replica, args=(fleet, host)) for host in old]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert fleet.put_document(document(2, '/second/')).status == 200
    lose_disk(fleet, new[0])
    check_usable(fleet, 2)


def test_a_planned_restart_costs_a_voter_its_place_only_until_it_returns(fleet):
    add_replica(fleet)
    for host in list(fleet.replica_hosts):
        assert fleet.stop(host) == 0
        assert fleet.put_document(document(2, '/second/')).status == 200
        fleet.start_process(host)
        wait_until(lambda: all_vote(fleet), RECOVERY_S)
    assert min(numbers_of_voters(fleet)) >= 3
    check_usable(fleet, 2)


def test_three_voters_stay_voters_when_they_restart(fleet):
    before = len(numbers_of_voters(fleet))
    for host in list(fleet.replica_hosts):
        assert fleet.stop(host) == 0
        fleet.start_process(host)
        wait_until(lambda: all_vote(fleet), RECOVERY_S)
    assert len(numbers_of_voters(fleet)) == before
    check_usable(fleet, 1)


def test_a_removed_voter_that_was_frozen_shows_no_older_document(fleet):
    add_replica(fleet)
    frozen = leader(fleet)
    fleet.signal(frozen, signal.SIGSTOP)
    assert fleet.put_document(document(2, '/second/')).status == 200
    time.sleep(FREEZE_S)
    fleet.signal(frozen, signal.SIGCONT)
    terms = fleet.log(frozen).count('Leader of term')
    deadline = time.monotonic() + DOWN_S
    while time.monotonic() < deadline:
        assert read_version(frozen) in (None, 2)
    wait_until(lambda: all_vote(fleet), RECOVERY_S)
    assert fleet.log(frozen).count('Leader of term') == terms
    check_usable(fleet, 2)
