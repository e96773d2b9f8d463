"""
The daemon beside an engine announces a change of the weights and then ends, so that it never tells
that the change is over.

"""

from random import Random

import pytest
from msgspec.structs import replace

from millfork_core.ids import ZoneId
from millfork_scheduling.placement import Requirements
from millfork_scheduling.server import CHANGE_LAPSES_S
from millfork_scheduling.server_table import ServerTable
from tests.test_servers import ENGINE, SERVICE, Clock, lease, report

REQUIREMENTS = Requirements(SERVICE, ENGINE)


def chosen_version(table):
    choice = table.choose(REQUIREMENTS, set())
    return choice.version(ENGINE.layers) if choice is not None else None


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def changing(clock):
    table = ServerTable(ZoneId('z1'), Random(1), clock)
    table.apply_leases([lease(1)])
    table.apply_reports([report(1, 1, changing_to=2)])
    return table


def test_the_engine_is_used_again_with_what_its_lease_says(clock, changing):
    clock.now += 1.0
    changing.apply_leases([lease(1, version=2)])
    assert chosen_version(changing) is None
    clock.now += CHANGE_LAPSES_S
    assert [server.instance for server in changing.forget_lapsed_changes()] == ['i-1']
    assert chosen_version(changing) == 2


def test_a_change_goes_on_while_the_daemon_reports(clock, changing):
    for sequence in range(2, 5):
        clock.now += CHANGE_LAPSES_S / 2
        changing.apply_reports([report(1, sequence, changing_to=2)])
        assert changing.forget_lapsed_changes() == []
        assert chosen_version(changing) is None


def test_a_change_goes_on_while_the_daemon_reports_a_silent_engine(clock, changing):
    clock.now += CHANGE_LAPSES_S / 2
    silent = report(1, 2, changing_to=2, served=())
    changing.apply_reports([replace(silent, reachable=False)])
    clock.now += CHANGE_LAPSES_S / 2 + 1.0
    assert changing.forget_lapsed_changes() == []
