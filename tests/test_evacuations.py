"""
No requests are sent to the back ends of an evacuated zone.

"""

import json
from random import Random

import pytest

from millfork_core.ids import InstanceId, ZoneId
from millfork_platform import client_requests
from millfork_scheduling.availability import ClosureReason
from millfork_scheduling.placement import Requirements
from millfork_scheduling.server_table import ServerTable
from millfork_standins.http_calls import call
from millfork_standins.seeded import SeededFleet
from millfork_web.models import Request
from tests.test_seeded_fleet import document, leader, request
from tests.test_servers import ENGINE, SERVICE, Clock, lease
from tests.utils.fleets import wait_until

# The zone of all processes and back ends of a fleet of stand-ins.
ZONE = 'zone'
ADMIN_PORT = 9400


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    new_fleet = SeededFleet(tmp_path_factory.mktemp('evacuations'))
    try:
        new_fleet.start()
        new_fleet.back_end = new_fleet.add_back_end('plain', 'i-1')
        assert new_fleet.put_document(document(1, '/safe/')).status == 200
        wait_until(lambda: status(new_fleet) == 200)
        yield new_fleet
    finally:
        new_fleet.close()


def status(fleet):
    return fleet.send_request(request('/safe/x')).status


def order(fleet, evacuated, zone=ZONE):
    return fleet.control(client_requests.evacuation_request(zone, evacuated))


def listed(fleet, host):
    return json.loads(call(host, ADMIN_PORT, Request('GET', '/evacuations')).body)


def test_an_evacuated_zone_gets_nothing_until_it_is_taken_back(fleet):
    assert order(fleet, True).status == 200
    wait_until(lambda: status(fleet) == 503)
    before = len(fleet.back_end.executed)
    reply = fleet.send_request(request('/safe/x'))
    assert reply.headers['millfork-reason'] == 'evacuated'
    assert float(reply.headers['retry-after']) > 0
    assert len(fleet.back_end.executed) == before
    for host in (fleet.entry_hosts[0], fleet.replica_hosts[0]):
        wait_until(lambda host=host: listed(fleet, host)['evacuations'])
        [evacuation] = listed(fleet, host)['evacuations']
        assert evacuation['zone'] == ZONE
        assert evacuation['since_ms'] > 0
    assert order(fleet, False).status == 200
    wait_until(lambda: status(fleet) == 200)


def test_repeated_orders_change_nothing(fleet):
    """
    Guards against an order, repeated as its first answer was lost, that fails or starts the time
    anew.

    """
    assert order(fleet, True).status == 200
    host = fleet.replica_hosts[0]
    wait_until(lambda: listed(fleet, host)['evacuations'])
    first = listed(fleet, host)
    assert [order(fleet, True).status for _ in range(3)] == [200] * 3
    assert listed(fleet, host)['evacuations'] == first['evacuations']
    assert [order(fleet, False).status for _ in range(3)] == [200] * 3
    wait_until(lambda: status(fleet) == 200)


@pytest.mark.parametrize('evacuated', [True, False])
def test_an_unknown_zone_is_refused_and_the_known_ones_are_named(fleet, evacuated):
    reply = order(fleet, evacuated, 'nowhere')
    assert reply.status == 404
    assert "no zone 'nowhere'; zones: zone" in json.loads(reply.body)['detail']
    assert status(fleet) == 200


def test_an_acknowledged_evacuation_outlives_the_leader_and_all_processes(fleet):
    """
    Guards against requests to a zone whose power may be off, as its evacuation was forgotten.

    """
    assert order(fleet, True).status == 200
    fleet.kill(leader(fleet))
    assert order(fleet, True).status == 200
    for host in list(fleet.processes):
        fleet.kill(host)
    for host in (*fleet.replica_hosts, *fleet.entry_hosts):
        fleet.start_process(host)
    before = len(fleet.back_end.executed)
    reasons = []

    def is_refused():
        reply = fleet.send_request(request('/safe/x'))
        reasons.append(reply.headers.get('millfork-reason') if reply.status else None)
        return reasons[-1] == 'evacuated'

    wait_until(is_refused)
    assert len(fleet.back_end.executed) == before
    assert order(fleet, False).status == 200
    wait_until(lambda: status(fleet) == 200)


def test_no_choice_is_in_an_evacuated_zone():
    """
    Guards against first engines of paths whose second engine is in the evacuated zone, and against
    an evacuated zone that is used once the others are tried.

    """
    table = ServerTable(ZoneId('z1'), Random(1), Clock())
    table.apply_leases(
        [lease(1, 'z1'), lease(2, 'z2'), lease(3, 'z1', end=8), lease(4, 'z3', first=8)]
    )
    requirements = Requirements(SERVICE, ENGINE)
    table.evacuated_zones = frozenset({ZoneId('z1')})
    assert {table.choose(requirements, set()).server.instance for _ in range(20)} == {'i-2'}
    assert table.choose(requirements, {InstanceId('i-2')}) is None
    table.evacuated_zones = frozenset({ZoneId('z3'), ZoneId('z2')})
    assert {table.choose(requirements, set()).server.instance for _ in range(20)} == {'i-1'}
    table.evacuated_zones = frozenset({ZoneId('z1'), ZoneId('z2'), ZoneId('z3')})
    assert table.choose(requirements, set()) is None
    assert table.first_to_open(requirements).closure_reason is ClosureReason.EVACUATED
