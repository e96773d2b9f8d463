"""
The end of a version at an engine whose daemon sends no reports.

Entries stop sending to a version some time before its end, but over a slow link a request began
1.1 s after it was sent. The daemon beside the engine withdraws the version in time. A killed or
frozen daemon does not, and a request sent 0.9 s before the end began 0.2 s after it. As reports
stop in this case, an entry without recent reports uses a longer margin.

"""

from random import Random

import pytest

from millfork_core.ids import ServiceName, ZoneId
from millfork_registry.records import EndpointState, Lease, LeaseState, ServedVersion
from millfork_scheduling.placement import Requirements
from millfork_scheduling.server_table import ServerTable
from millforkd.versions import CANCEL_MARGIN_S
from tests.test_servers import ENGINE, Clock

SERVICE = ServiceName('s')
OLD = (ServedVersion('m', 1, 0, 16),)
LINK_S = 1.1
REPORT_S = 0.15


def last_sent_before(end_s, daemon_silent_s):
    """
    The time between the last request sent to an engine that serves version 1 and the end of that
    version, in seconds. Requests come every 10 ms.

    """
    clock = Clock()
    started_at = clock.now
    table = ServerTable(ZoneId('z1'), Random(1), clock)
    table.apply_leases(
        [Lease('i-1', SERVICE, '10.0.0.1', 80, 'z1', 16, LeaseState.READY, 1, 'r', OLD)]
    )
    last = None
    reported = started_at - REPORT_S
    for step in range(int(end_s * 100)):
        clock.now = started_at + step / 100
        daemon_reports = started_at + end_s - clock.now > daemon_silent_s
        if daemon_reports and clock.now - reported >= REPORT_S:
            reported = clock.now
            state = EndpointState(
                'e-1', SERVICE, 'z1', '10.0.0.1', 80, int(clock.now * 1000), reachable=True,
                served=OLD,
            )  # fmt: skip
            table.apply_reports([state])
        requirements = Requirements(
            SERVICE, ENGINE, 0, 2, 900, cancel_times=((2, started_at + end_s - CANCEL_MARGIN_S),)
        )
        if table.choose(requirements, set()) is not None:
            last = clock.now
    return started_at + end_s - last


@pytest.mark.parametrize('daemon_silent_s', [2.0, 3.0, 8.0])
def test_no_request_sent_over_a_slow_link_begins_after_the_end(daemon_silent_s):
    assert last_sent_before(10.0, daemon_silent_s) > LINK_S


def test_an_entry_without_any_daemon_report_sends_no_late_request():
    """
    The daemon fell silent before this entry started, so the entry never had a report. It sent a
    request 0.77 s before the end of its version, which over a slow link could begin after it.

    """
    clock = Clock()
    table = ServerTable(ZoneId('z1'), Random(1), clock)
    lease = Lease('i-1', SERVICE, '10.0.0.1', 80, 'z1', 16, LeaseState.READY, 1, 'r', OLD)
    table.apply_leases([lease])
    ends_at = clock.now + 10.0
    last = None
    while clock.now < ends_at:
        requirements = Requirements(
            SERVICE, ENGINE, 0, 2, 900, cancel_times=((2, ends_at - CANCEL_MARGIN_S),)
        )
        if table.choose(requirements, set()) is not None:
            last = clock.now
        clock.now += 0.01
    assert ends_at - last > LINK_S


def test_an_engine_with_a_reporting_daemon_is_used_for_longer():
    assert last_sent_before(10.0, 0.0) < LINK_S
