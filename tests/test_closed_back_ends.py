"""
Back ends that are closed to requests by their backpressure signals, and when they open again.

"""

from random import Random

import curio
import pytest

from millfork_adapter.exchange import NO_BACKPRESSURE, Backpressure
from millfork_core.ids import UNKNOWN_INCARNATION, Incarnation, ServiceName, ZoneId
from millfork_platform import client_requests
from millfork_platform.adapter import PlatformAdapter
from millfork_scheduling.availability import (
    MAX_REST_S,
    PROBE_TIMEOUT_S,
    REMEMBERED_S,
    Closure,
    ClosureReason,
    SignalEvent,
)
from millfork_scheduling.placement import Requirements
from millfork_scheduling.retry_after import (
    MAX_REST_MS,
    NO_SERVER_WAIT_MS,
    SPREAD_WAIT_MS,
    closed_wait_ms,
)
from millfork_scheduling.server_table import ServerTable
from millfork_web.models import Response
from millforkd.sidecar.engine import LocalEngine
from tests.test_limit_shares import INCARNATION, lease, report, server
from tests.test_servers import ENGINE, Clock

SERVICE = ServiceName('s')
NEXT_INCARNATION = Incarnation(INCARNATION + 5000)
LEAVES = Backpressure(leaving=True)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def table(clock):
    new_table = ServerTable(ZoneId('z1'), Random(1), clock)
    new_table.apply_leases([lease(1), lease(2)])
    return new_table


def answer(table, number, signals, sent_ago_s=0.0):
    now = table.monotonic()
    return server(table, number).availability.apply_answer(signals, now - sent_ago_s, now)


def closed_for(table, number):
    closure = table.closure(server(table, number))
    return closure.closure_reason if closure is not None else None


@pytest.mark.parametrize('engine', [None, ENGINE])
def test_neither_heartbeats_nor_answers_reopen_a_leaving_back_end(table, clock, engine):
    assert [change.event for change in answer(table, 1, LEAVES)] == [SignalEvent.BEGAN]
    # The back end answers a request that was sent earlier.
    clock.now += 1
    answer(table, 1, NO_BACKPRESSURE)
    table.apply_reports([report(1, 1)])
    table.apply_leases([lease(2)])
    table.apply_leases([lease(1), lease(2)])
    assert closed_for(table, 1) is ClosureReason.LEAVING
    requirements = Requirements(SERVICE, engine, 0, 1, 900)
    assert {table.choose(requirements, set()).server.instance for _ in range(20)} == {'i-2'}


def test_a_new_incarnation_at_the_address_starts_without_signals(table):
    answer(table, 1, LEAVES)
    table.apply_leases([lease(1, NEXT_INCARNATION), lease(2)])
    assert closed_for(table, 1) is None
    # The daemon's report still describes the previous incarnation.
    table.apply_reports([report(1, 1, leaving=True)])
    assert closed_for(table, 1) is None


def test_no_back_end_is_chosen_if_all_are_leaving(table):
    answer(table, 1, LEAVES)
    answer(table, 2, LEAVES)
    assert table.choose(Requirements(SERVICE), set()) is None
    assert table.first_to_open(Requirements(SERVICE)).closure_reason is ClosureReason.LEAVING


def test_a_daemon_report_closes_a_leaving_engine(table):
    table.apply_reports([report(1, 1, leaving=True)])
    assert closed_for(table, 1) is ClosureReason.LEAVING


def test_a_daemon_report_about_the_previous_engine_is_corrected_by_the_next(table):
    """
    If engines have no incarnation, a report may describe the previous engine at their address.

    """
    table.apply_leases([lease(1, UNKNOWN_INCARNATION), lease(2)])
    table.apply_reports([report(1, 1, leaving=True, incarnation=UNKNOWN_INCARNATION)])
    assert closed_for(table, 1) is ClosureReason.LEAVING
    table.apply_reports([report(1, 2, incarnation=UNKNOWN_INCARNATION)])
    assert closed_for(table, 1) is None


def test_a_daemon_reads_the_signals_of_its_engine():
    class Client:
        async def fetch(self, method, path, headers, body, timeout, max_bytes):
            headers = [(client_requests.SERVER_LEAVING, '1'), (client_requests.SERVER_LIMIT, '2.5')]
            return Response(200, headers, b'{"running":1,"queued":0}')

    found = curio.run(LocalEngine(PlatformAdapter(), Client()).report)
    assert found.backpressure == Backpressure(2.5, leaving=True)


RESTS = Backpressure(rest_s=3.0)


def reject(table, number, signals=RESTS, sent_ago_s=0.0):
    now = table.monotonic()
    return server(table, number).availability.apply_answer(signals, now - sent_ago_s, now, True)


def test_a_resting_back_end_is_not_used_as_last_resort(table):
    reject(table, 1)
    assert {table.choose(Requirements(SERVICE), set()).server.instance for _ in range(20)} == {
        'i-2'
    }
    reject(table, 2, Backpressure(rest_s=1.0))
    assert table.choose(Requirements(SERVICE), set()) is None
    soonest = table.first_to_open(Requirements(SERVICE))
    assert (soonest.closure_reason, soonest.opens_in_s) == (
        ClosureReason.RESTING,
        pytest.approx(1.0),
    )


def test_answers_sent_earlier_do_not_shorten_a_rest(table, clock):
    reject(table, 1)
    clock.now += 0.2
    reject(table, 1, Backpressure(rest_s=0.5), sent_ago_s=0.3)
    answer(table, 1, NO_BACKPRESSURE, sent_ago_s=0.4)
    clock.now += 2.7
    assert closed_for(table, 1) is ClosureReason.RESTING


def test_one_request_probes_whether_a_rest_is_over(table, clock):
    reject(table, 1)
    clock.now += 3.1
    assert closed_for(table, 1) is None
    table.record_sent([server(table, 1)])
    assert closed_for(table, 1) is ClosureReason.RESTING
    clock.now += 0.1
    ended = answer(table, 1, NO_BACKPRESSURE, sent_ago_s=0.1)
    assert [change.event for change in ended] == [SignalEvent.ENDED]
    table.record_sent([server(table, 1)])
    assert closed_for(table, 1) is None


def test_the_probe_of_a_rest_may_be_turned_away_or_lost(table, clock):
    reject(table, 1)
    clock.now += 3.1
    table.record_sent([server(table, 1)])
    clock.now += 0.1
    reject(table, 1, sent_ago_s=0.1)
    clock.now += 2.9
    assert closed_for(table, 1) is ClosureReason.RESTING
    clock.now += 0.2
    table.record_sent([server(table, 1)])
    clock.now += PROBE_TIMEOUT_S + 0.01
    assert closed_for(table, 1) is None


def test_the_length_of_a_rest_is_bounded(table, clock):
    reject(table, 1, Backpressure(rest_s=1e15))
    clock.now += MAX_REST_S + 0.01
    assert closed_for(table, 1) is None


def test_a_rest_applies_to_one_incarnation_only(table):
    reject(table, 1)
    table.apply_leases([lease(2)])
    table.apply_leases([lease(1), lease(2)])
    assert closed_for(table, 1) is ClosureReason.RESTING
    table.apply_leases([lease(1, NEXT_INCARNATION), lease(2)])
    assert closed_for(table, 1) is None


@pytest.mark.parametrize(
    ('closure', 'min_ms'),
    [
        (Closure(ClosureReason.RESTING, 4.0), 4000),
        (Closure(ClosureReason.RESTING, 200.0), MAX_REST_MS),
        (Closure(ClosureReason.LIMITED, 0.5), 500),
        (Closure(ClosureReason.LEAVING, float('inf')), NO_SERVER_WAIT_MS),
    ],
)
def test_callers_wait_until_the_first_back_end_opens(closure, min_ms):
    waits = {closed_wait_ms(closure, Random(seed)) for seed in range(20)}
    assert min(waits) >= min_ms
    assert max(waits) <= min_ms + SPREAD_WAIT_MS


def test_a_back_end_that_turns_requests_away_is_avoided_longer_each_time(table, clock):
    found = server(table, 1)
    pauses = []
    for _ in range(8):
        found.record_turned_away(clock.now, clock.now)
        pauses.append(found.avoided_until - clock.now)
        clock.now = found.avoided_until
    assert pauses == pytest.approx([0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 2.0, 2.0])
    found.record_accepted(clock.now)
    found.record_turned_away(clock.now, clock.now)
    assert found.avoided_until - clock.now == pytest.approx(0.05)


def test_requests_turned_away_together_count_once(table, clock):
    found = server(table, 1)
    sent_at = clock.now
    clock.now += 0.05
    for _ in range(5):
        found.record_turned_away(sent_at, clock.now)
    assert found.turned_away == 1


def test_back_ends_are_still_tried_if_all_turn_requests_away(table, clock):
    for number in (1, 2):
        server(table, number).record_turned_away(clock.now, clock.now)
    assert table.choose(Requirements(SERVICE), set()) is not None


def test_a_back_end_that_leaves_after_a_long_life_is_remembered(table, clock):
    clock.now += 2 * REMEMBERED_S
    answer(table, 1, LEAVES)
    table.apply_leases([lease(2), lease(3)])
    clock.now += 5
    table.apply_leases([lease(1), lease(2)])
    assert closed_for(table, 1) is ClosureReason.LEAVING


def test_only_back_ends_that_could_serve_count_as_closed(table):
    table.apply_reports([report(1, 1, changing_to=2), report(2, 1, changing_to=2)])
    answer(table, 1, LEAVES)
    assert table.first_to_open(Requirements(SERVICE, ENGINE, 0, 1, 900)) is None
