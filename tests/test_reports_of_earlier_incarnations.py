"""
Reports about an engine that has ended, after a new engine started at the same address.

"""

from random import Random

from millfork_core.ids import InstanceId, ServiceName, ZoneId
from millfork_registry.records import EndpointState, Lease, LeaseState, ServedVersion
from millfork_scheduling.placement import Requirements
from millfork_scheduling.server_table import ServerTable
from tests.test_servers import ENGINE, Clock

WHOLE = (ServedVersion('m', 1, 0, 16),)


def lease(instance, sequence, served):
    return Lease(instance, 's', '10.0.0.1', 80, 'z1', 16, LeaseState.READY, sequence, 'r:1', served)


def report(sequence, served, changing_to=0):
    return EndpointState(
        'e-1', 's', 'z1', '10.0.0.1', 80, sequence, reachable=True, served=served,
        changing_to=changing_to,
    )  # fmt: skip


def test_a_new_engine_does_not_inherit_the_reported_versions_of_its_predecessor():
    clock = Clock()
    table = ServerTable(ZoneId('z1'), Random(1), clock)
    table.apply_leases([lease('i-old', 9, WHOLE)])
    old = report(5_000_000, WHOLE)
    table.apply_reports([old])
    # The old engine crashed 3 s ago. The first heartbeat of the new engine lists no layers.
    clock.now += 3.0
    table.apply_leases([lease('i-new', 1, ())])
    table.apply_reports([old])
    assert table.choose(Requirements(ServiceName('s'), ENGINE), set()) is None


def test_reports_are_applied_again_after_a_clock_reset():
    clock = Clock()
    table = ServerTable(ZoneId('z1'), Random(1), clock)
    table.apply_leases([lease('i-old', 9, WHOLE)])
    old = report(5_000_000, WHOLE, changing_to=2)
    table.apply_reports([old])
    table.apply_leases([lease('i-new', 1, ())])
    # The registry drops the last report about the old engine only after 3.5 s.
    table.apply_reports([old])
    for second in range(60):
        clock.now += 1.0
        table.apply_reports([report(20_000 + 1000 * second, WHOLE)])
    choice = table.choose(Requirements(ServiceName('s'), ENGINE), set())
    assert choice is not None
    assert choice.server.instance == InstanceId('i-new')
