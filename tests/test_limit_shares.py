"""
How entries keep, together, to a limit that a back end names.

"""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from millfork_adapter.exchange import NO_BACKPRESSURE, Backpressure
from millfork_core.ids import UNTOLD_INCARNATION, Incarnation, InstanceId, ServiceName, ZoneId
from millfork_registry.records import EndpointState, Lease, LeaseState, ServedVersion
from millfork_scheduling.availability import REPORT_LAG_S, ClosedFor, Signal, SignalEvent
from millfork_scheduling.book import ServerBook
from millfork_scheduling.limit_share import LEAST_PER_S, LimitShare
from millfork_scheduling.placement import Wanted
from millfork_standins.bench.limit_shares import (
    Shares,
    allowed,
    most_in_window,
    play,
)
from tests.test_servers import ENGINE, Clock

SERVICE = ServiceName('s')
BORN = Incarnation(1_700_000_000_000)
WHOLE = (ServedVersion('m', 1, 0, 16),)


@settings(deadline=None, max_examples=40)
@given(
    st.sampled_from([1, 2, 6, 7, 9, 13, 40, 98, 380]),
    st.floats(0.5, 20),
    st.floats(0.5, 20),
    st.integers(0, 2**32),
)
def test_the_sends_of_all_entries_keep_to_the_limit(entries, limit, demand, seed):
    random = Random(seed)
    sent = play(Shares(limit, entries, random), limit, entries, demand, random)
    assert most_in_window(sent) <= allowed(limit)


@pytest.mark.parametrize('entries', [1, 6])
def test_a_few_entries_with_many_callers_use_the_limit(entries):
    random = Random(entries)
    sent = play(Shares(2.0, entries, random), 2.0, entries, 20.0, random)
    assert len(sent) >= 0.9 * 2.0 * 60


def test_a_back_end_that_takes_nothing_is_asked_now_and_then():
    share = LimitShare(Random(1), 0.0, 100.0)
    sent = sum(share.take(100 + step * 0.1, 1) for step in range(1000))
    assert sent == pytest.approx(LEAST_PER_S * 100, abs=2)


def lease(number, incarnation=BORN, state=LeaseState.READY):
    return Lease(
        f'i-{number}', SERVICE, '10.0.0.1', number, 'z1', 16, state, 1, 'r', WHOLE, incarnation
    )


def report(number, sequence, limit=None, incarnation=BORN, **fields):
    return EndpointState(
        f'e-{number}', SERVICE, 'z1', '10.0.0.1', number, sequence, reachable=True, served=WHOLE,
        incarnation=incarnation, limit_per_s=limit, **fields,
    )  # fmt: skip


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def book(clock):
    made = ServerBook(ZoneId('z1'), Random(1), clock, lambda: 6, lambda: 6)
    made.take_leases([lease(1), lease(2)])
    return made


def server(book, number):
    return book.servers[InstanceId(f'i-{number}')]


def name(book, number, limit, sent_at):
    told = Backpressure(limit)
    return server(book, number).availability.take_answer(told, sent_at, book.monotonic())


@pytest.mark.parametrize('engine', [None, ENGINE])
def test_others_get_what_is_over_a_limit(book, clock, engine):
    name(book, 1, 0.2, clock.now)
    wanted = Wanted(SERVICE, engine, 0, 1, 900)
    assert {book.choose(wanted, set()).server.instance for _ in range(20)} == {'i-2'}
    assert book.closure(server(book, 1)).closed_for is ClosedFor.LIMITED


def test_a_limited_back_end_is_no_last_resort(book, clock):
    name(book, 1, 0.2, clock.now)
    name(book, 2, 0.2, clock.now)
    assert book.choose(Wanted(SERVICE), set()) is None
    assert 0 < book.soonest(Wanted(SERVICE)).opens_in_s <= 6 / 0.2


def test_slots_of_limited_engines_are_not_free(book, clock):
    book.take_reports([report(1, 1), report(2, 1)])
    wanted = Wanted(SERVICE, ENGINE, 0, 1, 900)
    name(book, 1, 0.2, clock.now)
    assert [found.instance for found in book.compare_freest(wanted, set())] == ['i-2']


def test_only_an_answer_to_what_was_sent_since_ends_a_limit(book, clock):
    named = name(book, 1, 2.0, clock.now - 0.1)
    assert [(change.signal, change.event) for change in named] == [
        (Signal.LIMIT, SignalEvent.BEGAN)
    ]
    clock.now += 0.5
    availability = server(book, 1).availability
    assert availability.take_answer(NO_BACKPRESSURE, clock.now - 0.6, clock.now) == []
    assert availability.limit is not None
    ended = availability.take_answer(NO_BACKPRESSURE, clock.now - 0.1, clock.now)
    assert [change.event for change in ended] == [SignalEvent.ENDED]
    assert book.closure(server(book, 1)) is None


def test_a_limit_that_changes_leaves_what_is_saved(book, clock):
    name(book, 1, 6.0, clock.now)
    clock.now += 1.5
    assert book.closure(server(book, 1)) is None
    changed = name(book, 1, 0.6, clock.now - 0.1)
    assert [change.event for change in changed] == [SignalEvent.CHANGED]
    assert book.closure(server(book, 1)) is None
    book.note_sent([server(book, 1)])
    assert book.closure(server(book, 1)) is not None


def test_one_daemon_tells_all_entries_when_a_limit_begins_and_ends(book, clock):
    [(told, changes)] = book.take_reports([report(1, 1, limit=0.5)])
    assert told.instance == 'i-1'
    assert [change.event for change in changes] == [SignalEvent.BEGAN]
    assert book.closure(server(book, 1)) is not None
    # Made before the engine named its limit, as it comes this soon.
    clock.now += REPORT_LAG_S / 2
    book.take_reports([report(1, 2)])
    assert book.closure(server(book, 1)) is not None
    clock.now += REPORT_LAG_S
    book.take_reports([report(1, 3)])
    assert book.closure(server(book, 1)) is None


def test_daemons_tell_of_engines_that_do_not_say_when_they_started(book, clock):
    book.take_leases([lease(1, UNTOLD_INCARNATION), lease(2)])
    book.take_reports([report(1, 1, 0.5, UNTOLD_INCARNATION)])
    assert book.closure(server(book, 1)) is not None


def test_a_limit_is_of_one_incarnation(book, clock):
    name(book, 1, 0.2, clock.now)
    book.take_leases([lease(2)])
    book.take_leases([lease(1), lease(2)])
    assert book.closure(server(book, 1)) is not None
    book.take_leases([lease(1, Incarnation(BORN + 5000)), lease(2)])
    assert book.closure(server(book, 1)) is None
    book.take_reports([report(1, 1, limit=0.2)])
    assert book.closure(server(book, 1)) is None


def test_a_limit_that_changes_with_each_report_waits_for_the_next_feed():
    first = report(1, 1, limit=2.0)
    assert not report(1, 2, limit=2.1).needs_announcement_after(first)
    assert report(1, 2).needs_announcement_after(first)
    assert first.needs_announcement_after(report(1, 0))
