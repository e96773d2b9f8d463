"""
The choice of an engine from a random sample in large fleets: the number of examined engines does
not grow with the fleet, and no engine is chosen that a scan of all engines would exclude.

"""

from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from millfork_core.ids import ServiceName, ZoneId
from millfork_registry.records import EndpointState, Lease, LeaseState, ServedVersion
from millfork_scheduling.fleet_index import ENTRIES_PER_ENGINE, FAR_LIMIT, NEAR_LIMIT
from millfork_scheduling.paths import find_paths
from millfork_scheduling.placement import Requirements, SelectionContext
from millfork_scheduling.server_table import (
    MAX_SCANNED,
    SAMPLE_SIZE,
    ServerTable,
)
from tests.test_servers import ENGINE, Clock

SERVICE = ServiceName('s')
ZONES = 5
OLD, NEW = (ServedVersion('m', 1, 0, 16),), (ServedVersion('m', 2, 0, 16),)
LOWER, UPPER = (ServedVersion('m', 2, 0, 8),), (ServedVersion('m', 2, 8, 16),)
SERVED = st.sampled_from([OLD, NEW, NEW, LOWER, UPPER, ()])


def lease(number, served):
    zone = f'z{number % ZONES}'
    return Lease(
        f'i-{number}', SERVICE, '10.0.0.1', number + 1, zone, 8, LeaseState.READY, 1, 'r', served
    )  # fmt: skip


def report(number, sequence, served, changing_to=0):
    return EndpointState(
        f'e-{number}', SERVICE, f'z{number % ZONES}', '10.0.0.1', number + 1, sequence,
        reachable=True, served=served, changing_to=changing_to,
    )  # fmt: skip


def table_of(served_by_engine, seed=1):
    table = ServerTable(ZoneId('z1'), Random(seed), Clock())
    table.apply_leases(lease(number, served) for number, served in enumerate(served_by_engine))
    return table


@pytest.mark.parametrize('engines', [60, 2800])
def test_the_number_of_examined_engines_does_not_grow_with_the_fleet(engines, monkeypatch):
    table = table_of([NEW] * engines)
    checks = []
    original = ServerTable._can_serve_now

    def counting_check(self, *arguments):
        checks.append(arguments)
        return original(self, *arguments)

    monkeypatch.setattr(ServerTable, '_can_serve_now', counting_check)
    for _ in range(50):
        assert table.choose(Requirements(SERVICE, ENGINE, 2, 2), set()) is not None
    assert len(checks) <= 50 * 2 * SAMPLE_SIZE


@pytest.mark.parametrize(('engines', 'entries'), [(60, 1), (60, 3), (200, 8), (2800, 380)])
def test_every_engine_is_used_by_some_entry(engines, entries):
    """
    In a large fleet an entry uses only some engines, as it keeps a connection to the daemon beside
    each of them. When the limit was the same for any number of entries, a single entry used only
    28 of 60 engines, and in the model it refused 0.44 of its callers at 0.9 times the capacity of
    the engines.

    """
    used = Counter()
    share = ENTRIES_PER_ENGINE * engines // entries
    for number in range(entries):
        table = ServerTable(ZoneId(f'z{number % ZONES}'), Random(number), Clock(), lambda: entries)
        table.apply_leases(lease(number, NEW) for number in range(engines))
        connected = [*table.index.near.get(SERVICE, []), *table.index.far.get(SERVICE, [])]
        assert len(connected) <= max(NEAR_LIMIT, share) + max(FAR_LIMIT, share)
        used.update(server.instance for server in connected)
    assert len(used) == engines


@settings(max_examples=60, deadline=None)
@given(
    st.lists(SERVED, min_size=MAX_SCANNED + 1, max_size=60),
    st.sets(st.integers(0, 59), max_size=30),
    st.sets(st.integers(0, 59), max_size=20),
    st.sets(st.integers(0, 59), max_size=30),
    st.integers(1, 2),
)
def test_no_excluded_engine_is_chosen(served_by_engine, tried, avoided, changing, min_version):
    table = table_of(served_by_engine)
    now = table.monotonic()
    table.apply_reports(
        report(number, 5, served_by_engine[number], changing_to=2)
        for number in changing
        if number < len(served_by_engine)
    )
    for number in avoided:
        if number < len(served_by_engine):
            table.servers[f'i-{number}'].avoided_until = now + 1
    requirements = Requirements(SERVICE, ENGINE, min_version, 2)
    excluded = {f'i-{number}' for number in tried}
    paths = table.current_paths(SERVICE, ENGINE, 2)
    full_scan_choice = table._choose_from_all(requirements, paths, excluded, _context(table))
    for _ in range(20):
        choice = table.choose(requirements, excluded)
        assert (choice is None) == (full_scan_choice is None)
        if choice is None:
            continue
        for server in choice.servers:
            assert server.instance not in excluded
            assert not server.changes_version
        assert choice.version(ENGINE.layers) >= min_version


def _context(table):
    return SelectionContext(table.monotonic(), table.zone, 1)


@given(
    st.lists(SERVED, min_size=4, max_size=12),
    st.lists(st.tuples(st.integers(0, 11), SERVED, st.booleans()), max_size=10),
)
def test_cached_paths_follow_every_change_of_the_engines(served_by_engine, changes):
    table = table_of(served_by_engine)
    for sequence, (number, served, changing) in enumerate(changes, 2):
        table.current_paths(SERVICE, ENGINE, 2)
        table.apply_reports([report(number, sequence, served, 2 if changing else 0)])
        fresh = find_paths(table.index.by_service[SERVICE], ENGINE, 2)
        assert table.current_paths(SERVICE, ENGINE, 2) == fresh
