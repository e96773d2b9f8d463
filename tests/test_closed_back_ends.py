"""
Back ends that are not sent to by their own word, and when they are again.

"""

from random import Random

import curio
import pytest

from millfork_adapter.exchange import NO_BACKPRESSURE, Backpressure
from millfork_core.ids import UNTOLD_INCARNATION, Incarnation, ServiceName, ZoneId
from millfork_platform.adapter import PlatformAdapter
from millfork_scheduling.availability import ClosedFor, Turn
from millfork_scheduling.book import ServerBook
from millfork_scheduling.placement import Wanted
from millfork_web.models import Response
from millforkd.beside.engine import LocalEngine
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
    assert [change.turn for change in answer(book, 1, LEAVES)] == [Turn.BEGAN]
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
    assert book.soonest(SERVICE).closed_for is ClosedFor.LEAVING


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
            said = [('server-leaving', '1'), ('server-limit', '2.5')]
            return Response(200, said, b'{"running":1,"queued":0}')

    found = curio.run(LocalEngine(PlatformAdapter(), Client()).report)
    assert found.backpressure == Backpressure(2.5, leaving=True)
