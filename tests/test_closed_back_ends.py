"""
Back ends that are not sent to by their own word, and when they are again.

"""

from random import Random

import curio
import pytest

from millfork_adapter.exchange import NO_BACKPRESSURE, Backpressure
from millfork_core.ids import UNTOLD_INCARNATION, Incarnation, ServiceName, ZoneId
from millfork_platform import standins
from millfork_platform.adapter import PlatformAdapter
from millfork_scheduling.availability import (
    ANSWER_WITHIN_S,
    MOST_REST_S,
    REMEMBERED_S,
    ClosedFor,
    Closure,
    SignalEvent,
)
from millfork_scheduling.book import ServerBook
from millfork_scheduling.placement import Wanted
from millfork_scheduling.returning import (
    MOST_REST_MS,
    NOTHING_SERVES_MS,
    SPREAD_WAIT_MS,
    while_closed,
)
from millfork_web.models import Response
from millforkd.sidecar.engine import LocalEngine
from tests.test_limit_shares import BORN, lease, report, server
from tests.test_servers import ENGINE, Clock

SERVICE = ServiceName('s')
LATER = Incarnation(BORN + 5000)
LEAVES = Backpressure(leaving=True)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def book(clock):
    made = ServerBook(ZoneId('z1'), Random(1), clock)
    made.take_leases([lease(1), lease(2)])
    return made


def answer(book, number, told, sent_ago_s=0.0):
    now = book.monotonic()
    return server(book, number).availability.take_answer(told, now - sent_ago_s, now)


def closed_for(book, number):
    closure = book.closure(server(book, number))
    return closure.closed_for if closure is not None else None


@pytest.mark.parametrize('engine', [None, ENGINE])
def test_neither_heartbeats_nor_answers_bring_back_one_that_leaves(book, clock, engine):
    assert [change.event for change in answer(book, 1, LEAVES)] == [SignalEvent.BEGAN]
    # Its answer to a request that was sent before.
    clock.now += 1
    answer(book, 1, NO_BACKPRESSURE)
    book.take_reports([report(1, 1)])
    book.take_leases([lease(2)])
    book.take_leases([lease(1), lease(2)])
    assert closed_for(book, 1) is ClosedFor.LEAVING
    wanted = Wanted(SERVICE, engine, 0, 1, 900)
    assert {book.choose(wanted, set()).server.instance for _ in range(20)} == {'i-2'}


def test_another_incarnation_at_the_address_begins_clean(book):
    answer(book, 1, LEAVES)
    book.take_leases([lease(1, LATER), lease(2)])
    assert closed_for(book, 1) is None
    # What the daemon still tells is of the one before.
    book.take_reports([report(1, 1, leaving=True)])
    assert closed_for(book, 1) is None


def test_where_all_leave_nobody_is_sent_there(book):
    answer(book, 1, LEAVES)
    answer(book, 2, LEAVES)
    assert book.choose(Wanted(SERVICE), set()) is None
    assert book.soonest(Wanted(SERVICE)).closed_for is ClosedFor.LEAVING


def test_the_daemon_beside_an_engine_tells_all_entries_that_it_leaves(book):
    book.take_reports([report(1, 1, leaving=True)])
    assert closed_for(book, 1) is ClosedFor.LEAVING


def test_a_daemon_that_told_of_an_engine_before_corrects_itself(book):
    """
    Where engines do not say when they started, a report may be of the one that was at the
    address before.

    """
    book.take_leases([lease(1, UNTOLD_INCARNATION), lease(2)])
    book.take_reports([report(1, 1, leaving=True, incarnation=UNTOLD_INCARNATION)])
    assert closed_for(book, 1) is ClosedFor.LEAVING
    book.take_reports([report(1, 2, incarnation=UNTOLD_INCARNATION)])
    assert closed_for(book, 1) is None


def test_a_daemon_reads_what_its_engine_says_of_itself():
    class Client:
        async def fetch(self, method, path, headers, body, timeout):
            said = [(standins.LEAVING, '1'), (standins.LIMIT, '2.5')]
            return Response(200, said, b'{"running":1,"queued":0}')

    found = curio.run(LocalEngine(PlatformAdapter(), Client()).report)
    assert found.backpressure == Backpressure(2.5, leaving=True)


RESTS = Backpressure(rest_s=3.0)


def turn_away(book, number, told=RESTS, sent_ago_s=0.0):
    now = book.monotonic()
    return server(book, number).availability.take_answer(told, now - sent_ago_s, now, True)


def test_a_back_end_that_rests_is_no_last_resort(book):
    turn_away(book, 1)
    assert {book.choose(Wanted(SERVICE), set()).server.instance for _ in range(20)} == {'i-2'}
    turn_away(book, 2, Backpressure(rest_s=1.0))
    assert book.choose(Wanted(SERVICE), set()) is None
    soonest = book.soonest(Wanted(SERVICE))
    assert (soonest.closed_for, soonest.opens_in_s) == (ClosedFor.RESTING, pytest.approx(1.0))


def test_answers_that_were_under_way_do_not_shorten_a_rest(book, clock):
    turn_away(book, 1)
    clock.now += 0.2
    turn_away(book, 1, Backpressure(rest_s=0.5), sent_ago_s=0.3)
    answer(book, 1, NO_BACKPRESSURE, sent_ago_s=0.4)
    clock.now += 2.7
    assert closed_for(book, 1) is ClosedFor.RESTING


def test_one_request_asks_whether_a_rest_is_over(book, clock):
    turn_away(book, 1)
    clock.now += 3.1
    assert closed_for(book, 1) is None
    book.note_sent([server(book, 1)])
    assert closed_for(book, 1) is ClosedFor.RESTING
    clock.now += 0.1
    ended = answer(book, 1, NO_BACKPRESSURE, sent_ago_s=0.1)
    assert [change.event for change in ended] == [SignalEvent.ENDED]
    book.note_sent([server(book, 1)])
    assert closed_for(book, 1) is None


def test_the_one_that_asks_may_be_turned_away_or_lost(book, clock):
    turn_away(book, 1)
    clock.now += 3.1
    book.note_sent([server(book, 1)])
    clock.now += 0.1
    turn_away(book, 1, sent_ago_s=0.1)
    clock.now += 2.9
    assert closed_for(book, 1) is ClosedFor.RESTING
    clock.now += 0.2
    book.note_sent([server(book, 1)])
    clock.now += ANSWER_WITHIN_S + 0.01
    assert closed_for(book, 1) is None


def test_no_rest_closes_a_back_end_for_good(book, clock):
    turn_away(book, 1, Backpressure(rest_s=1e15))
    clock.now += MOST_REST_S + 0.01
    assert closed_for(book, 1) is None


def test_a_rest_is_of_one_incarnation(book):
    turn_away(book, 1)
    book.take_leases([lease(2)])
    book.take_leases([lease(1), lease(2)])
    assert closed_for(book, 1) is ClosedFor.RESTING
    book.take_leases([lease(1, LATER), lease(2)])
    assert closed_for(book, 1) is None


@pytest.mark.parametrize(
    ('closure', 'least_ms'),
    [
        (Closure(ClosedFor.RESTING, 4.0), 4000),
        (Closure(ClosedFor.RESTING, 200.0), MOST_REST_MS),
        (Closure(ClosedFor.LIMITED, 0.5), 500),
        (Closure(ClosedFor.LEAVING, float('inf')), NOTHING_SERVES_MS),
    ],
)
def test_callers_are_told_when_the_first_back_end_opens(closure, least_ms):
    waits = {while_closed(closure, Random(seed)) for seed in range(20)}
    assert min(waits) >= least_ms
    assert max(waits) <= least_ms + SPREAD_WAIT_MS


def test_one_that_turns_away_is_left_to_others_for_longer_each_time(book, clock):
    found = server(book, 1)
    pauses = []
    for _ in range(8):
        found.note_turned_away(clock.now, clock.now)
        pauses.append(found.suspect_until - clock.now)
        clock.now = found.suspect_until
    assert pauses == pytest.approx([0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 2.0, 2.0])
    found.note_taken(clock.now)
    found.note_turned_away(clock.now, clock.now)
    assert found.suspect_until - clock.now == pytest.approx(0.05)


def test_requests_turned_away_together_count_once(book, clock):
    found = server(book, 1)
    sent_at = clock.now
    clock.now += 0.05
    for _ in range(5):
        found.note_turned_away(sent_at, clock.now)
    assert found.turned_away == 1


def test_where_all_turn_away_they_are_still_tried(book, clock):
    for number in (1, 2):
        server(book, number).note_turned_away(clock.now, clock.now)
    assert book.choose(Wanted(SERVICE), set()) is not None


def test_one_that_leaves_after_a_long_life_is_remembered(book, clock):
    clock.now += 2 * REMEMBERED_S
    answer(book, 1, LEAVES)
    book.take_leases([lease(2), lease(3)])
    clock.now += 5
    book.take_leases([lease(1), lease(2)])
    assert closed_for(book, 1) is ClosedFor.LEAVING


def test_refusals_name_only_back_ends_that_could_serve(book):
    book.take_reports([report(1, 1, changing_to=2), report(2, 1, changing_to=2)])
    answer(book, 1, LEAVES)
    assert book.soonest(Wanted(SERVICE, ENGINE, 0, 1, 900)) is None
