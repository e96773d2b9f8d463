"""
How all entries together keep to a rate limit that a back end announces.

"""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from millfork_adapter.exchange import NO_BACKPRESSURE, Backpressure
from millfork_core.ids import UNKNOWN_INCARNATION, Incarnation, InstanceId, ServiceName, ZoneId
from millfork_registry.records import EndpointState, Lease, LeaseState, ServedVersion
from millfork_scheduling.availability import REPORT_LAG_S, ClosureReason, Signal, SignalEvent
from millfork_scheduling.limit_share import MIN_PER_S, LimitShare
from millfork_scheduling.placement import Requirements
from millfork_scheduling.server_table import ServerTable
from millfork_standins.bench.limit_shares import (
    LimitShares,
    allowed_in_window,
    max_in_window,
    simulate_sends,
)
from tests.test_servers import ENGINE, Clock

SERVICE = ServiceName('s')
INCARNATION = Incarnation(1_700_000_000_000)
ALL_LAYERS = (ServedVersion('m', 1, 0, 16),)


@settings(deadline=None, max_examples=40)
@given(
    st.sampled_from([1, 2, 6, 7, 9, 13, 40, 98, 380]),
    st.floats(0.5, 20),
    st.floats(0.5, 20),
    st.integers(0, 2**32),
)
def test_the_sends_of_all_entries_keep_to_the_limit(entries, limit, demand, seed):
    random = Random(seed)
    sent = simulate_sends(LimitShares(limit, entries, random), limit, entries, demand, random)
    assert max_in_window(sent) <= allowed_in_window(limit)


@pytest.mark.parametrize('entries', [1, 6])
def test_a_few_entries_with_many_callers_use_up_the_limit(entries):
    random = Random(entries)
    sent = simulate_sends(LimitShares(2.0, entries, random), 2.0, entries, 20.0, random)
    assert len(sent) >= 0.9 * 2.0 * 60


def test_a_back_end_with_limit_0_is_still_sent_a_few_requests():
    share = LimitShare(Random(1), 0.0, 100.0)
    sent = sum(share.consume(100 + step * 0.1, 1) for step in range(1000))
    assert sent == pytest.approx(MIN_PER_S * 100, abs=2)


def lease(number, incarnation=INCARNATION, state=LeaseState.READY):
    return Lease(
        f'i-{number}', SERVICE, '10.0.0.1', number, 'z1', 16, state, 1, 'r', ALL_LAYERS, incarnation
    )


def report(number, sequence, limit=None, incarnation=INCARNATION, **fields):
    return EndpointState(
        f'e-{number}', SERVICE, 'z1', '10.0.0.1', number, sequence, reachable=True,
        served=ALL_LAYERS, incarnation=incarnation, limit_per_s=limit, **fields,
    )  # fmt: skip


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def table(clock):
    new_table = ServerTable(ZoneId('z1'), Random(1), clock, lambda: 6, lambda: 6)
    new_table.apply_leases([lease(1), lease(2)])
    return new_table


def server(table, number):
    return table.servers[InstanceId(f'i-{number}')]


def announce_limit(table, number, limit, sent_at):
    backpressure = Backpressure(limit)
    return server(table, number).availability.apply_answer(backpressure, sent_at, table.monotonic())


@pytest.mark.parametrize('engine', [None, ENGINE])
def test_requests_over_a_limit_go_to_other_back_ends(table, clock, engine):
    announce_limit(table, 1, 0.2, clock.now)
    requirements = Requirements(SERVICE, engine, 0, 1, 900)
    assert {table.choose(requirements, set()).server.instance for _ in range(20)} == {'i-2'}
    assert table.closure(server(table, 1)).closure_reason is ClosureReason.LIMITED


def test_a_limited_back_end_is_not_used_as_last_resort(table, clock):
    announce_limit(table, 1, 0.2, clock.now)
    announce_limit(table, 2, 0.2, clock.now)
    assert table.choose(Requirements(SERVICE), set()) is None
    assert 0 < table.first_to_open(Requirements(SERVICE)).opens_in_s <= 6 / 0.2


def test_slots_of_limited_engines_are_not_free(table, clock):
    table.apply_reports([report(1, 1), report(2, 1)])
    requirements = Requirements(SERVICE, ENGINE, 0, 1, 900)
    announce_limit(table, 1, 0.2, clock.now)
    assert [found.instance for found in table.freest_candidates(requirements, set())] == ['i-2']


def test_only_an_answer_to_a_later_request_ends_a_limit(table, clock):
    begun = announce_limit(table, 1, 2.0, clock.now - 0.1)
    assert [(change.signal, change.event) for change in begun] == [
        (Signal.LIMIT, SignalEvent.BEGAN)
    ]
    clock.now += 0.5
    availability = server(table, 1).availability
    assert availability.apply_answer(NO_BACKPRESSURE, clock.now - 0.6, clock.now) == []
    assert availability.limit is not None
    ended = availability.apply_answer(NO_BACKPRESSURE, clock.now - 0.1, clock.now)
    assert [change.event for change in ended] == [SignalEvent.ENDED]
    assert table.closure(server(table, 1)) is None


def test_a_changed_limit_keeps_saved_requests(table, clock):
    announce_limit(table, 1, 6.0, clock.now)
    clock.now += 1.5
    assert table.closure(server(table, 1)) is None
    changed = announce_limit(table, 1, 0.6, clock.now - 0.1)
    assert [change.event for change in changed] == [SignalEvent.CHANGED]
    assert table.closure(server(table, 1)) is None
    table.record_sent([server(table, 1)])
    assert table.closure(server(table, 1)) is not None


def test_daemon_reports_begin_and_end_a_limit(table, clock):
    [(found, changes)] = table.apply_reports([report(1, 1, limit=0.5)])
    assert found.instance == 'i-1'
    assert [change.event for change in changes] == [SignalEvent.BEGAN]
    assert table.closure(server(table, 1)) is not None
    # The next report arrives so soon that it may have been made before the engine announced its
    # limit.
    clock.now += REPORT_LAG_S / 2
    table.apply_reports([report(1, 2)])
    assert table.closure(server(table, 1)) is not None
    clock.now += REPORT_LAG_S
    table.apply_reports([report(1, 3)])
    assert table.closure(server(table, 1)) is None


def test_daemon_reports_apply_to_engines_without_incarnation(table, clock):
    table.apply_leases([lease(1, UNKNOWN_INCARNATION), lease(2)])
    table.apply_reports([report(1, 1, 0.5, UNKNOWN_INCARNATION)])
    assert table.closure(server(table, 1)) is not None


def test_a_limit_applies_to_one_incarnation_only(table, clock):
    announce_limit(table, 1, 0.2, clock.now)
    table.apply_leases([lease(2)])
    table.apply_leases([lease(1), lease(2)])
    assert table.closure(server(table, 1)) is not None
    table.apply_leases([lease(1, Incarnation(INCARNATION + 5000)), lease(2)])
    assert table.closure(server(table, 1)) is None
    table.apply_reports([report(1, 1, limit=0.2)])
    assert table.closure(server(table, 1)) is None


def test_a_slightly_changed_limit_waits_for_the_next_feed():
    first = report(1, 1, limit=2.0)
    assert not report(1, 2, limit=2.1).needs_announcement_after(first)
    assert report(1, 2).needs_announcement_after(first)
    assert first.needs_announcement_after(report(1, 0))
