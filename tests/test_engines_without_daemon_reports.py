"""
The end of a version at an engine whose endpoint daemon sends no reports.

No request may begin on a version after the version has ended. Entries (front proxies) stop
sending some time earlier, but over a slow link a request began 1.1 s after it was sent. The
daemon beside the engine removes the version from the engine in time. A killed or frozen daemon
does not: a request sent 0.9 s before the end of the version began 0.2 s after the end. A daemon
in this state sends no reports either, so entries stop sending earlier to an engine without
recent reports.

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
# Seconds from sending a request over a slow link until the request begins.
LINK_S = 1.1
# Seconds between two reports of a daemon.
REPORT_S = 0.15


def last_sent_before(end_s, daemon_silent_s):
    """
    How many seconds before the end of version 1 an entry sends the last request to an engine that
    serves this version. The version ends after `end_s` seconds, the daemon is silent for the last
    `daemon_silent_s` of them, and a request comes every 10 ms.

    """
    clock = Clock()
    started_at = clock.now
    table = ServerTable(ZoneId('z1'), Random(1), clock)
    table.apply_leases(
        [Lease('i-1', SERVICE, '10.0.0.1', 80, 'z1', 16, LeaseState.READY, 1, 'r', OLD)]
    )
    last_sent_at = None
    reported_at = started_at - REPORT_S
    for step in range(int(end_s * 100)):
        clock.now = started_at + step / 100
        daemon_reports = started_at + end_s - clock.now > daemon_silent_s
        if daemon_reports and clock.now - reported_at >= REPORT_S:
            reported_at = clock.now
            state = EndpointState(
                'e-1', SERVICE, 'z1', '10.0.0.1', 80, int(clock.now * 1000), reachable=True,
                served=OLD,
            )  # fmt: skip
            table.apply_reports([state])
        requirements = Requirements(
            SERVICE, ENGINE, 0, 2, 900, cancel_times=((2, started_at + end_s - CANCEL_MARGIN_S),)
        )
        if table.choose(requirements, set()) is not None:
            last_sent_at = clock.now
    return started_at + end_s - last_sent_at


@pytest.mark.parametrize('daemon_silent_s', [2.0, 3.0, 8.0])
def test_no_request_sent_over_a_slow_link_begins_after_the_end(daemon_silent_s):
    assert last_sent_before(10.0, daemon_silent_s) > LINK_S


def test_an_entry_without_any_daemon_report_sends_no_late_request():
    """
    An entry that starts after the daemon fell silent never receives a report, and must still stop
    sending early enough. Guards against a fault in which such an entry sent a request 0.77 s before
    the end of the version; over a slow link the request could have begun after the end.

    """
    clock = Clock()
    table = ServerTable(ZoneId('z1'), Random(1), clock)
    lease = Lease('i-1', SERVICE, '10.0.0.1', 80, 'z1', 16, LeaseState.READY, 1, 'r', OLD)
    table.apply_leases([lease])
    ends_at = clock.now + 10.0
    last_sent_at = None
    while clock.now < ends_at:
        requirements = Requirements(
            SERVICE, ENGINE, 0, 2, 900, cancel_times=((2, ends_at - CANCEL_MARGIN_S),)
        )
        if table.choose(requirements, set()) is not None:
            last_sent_at = clock.now
        clock.now += 0.01
    assert ends_at - last_sent_at > LINK_S


def test_an_engine_with_a_reporting_daemon_is_used_for_longer():
    assert last_sent_before(10.0, 0.0) < LINK_S
