"""
A request that ends the back ends that run it, where an address closes later than its
connections, as while a large process is torn down.

An entry looked at the address twice within some 20 ms, took one that still answered for a
life that goes on, and never looked again: no end was counted, and the request was sent on.
"""

import pytest

from millfork_standins.seeded import SeededFleet
from tests.test_crashing_requests import (
    ENDS_BEFORE_QUARANTINE,
    MAX_FURTHER_ENDS,
    count_ended,
    crashing_request,
)
from tests.test_seeded_fleet import document, request
from tests.utils.fleets import wait_until

BACK_ENDS = 24
CALLS = 20
# Of two entries, one may send before it hears of the other's third end.
MOST_CROSSING = 1


@pytest.fixture
def fleet(tmp_path):
    made = SeededFleet(tmp_path, entries=2)
    try:
        made.start()
        for number in range(BACK_ENDS):
            made.add_back_end('plain', f'i-{number}')
        assert made.put(document(1, '/safe/')).status == 200
        for entry in (0, 1):
            wait_until(lambda entry=entry: made.ask(request('/safe/x'), entry).status == 200)
        yield made
    finally:
        made.close()


@pytest.mark.parametrize('closes_after_s', [0.03, 0.1, 1.0])
def test_an_end_counts_however_late_the_address_closes(fleet, closes_after_s):
    for back_end in fleet.back_ends:
        back_end.closes_after_s = closes_after_s
    replies = [fleet.ask(crashing_request(), number % 2) for number in range(CALLS)]
    assert count_ended(fleet) <= ENDS_BEFORE_QUARANTINE + MOST_CROSSING + MAX_FURTHER_ENDS
    assert all(reply.status in (502, 503) for reply in replies)


def test_answers_that_break_off_while_their_back_end_lives_on_are_no_ends(fleet):
    """
    The same request breaks off wherever it is sent, in calls one after another, while its
    back ends answer others; once they answer it as well, it is served.

    """
    innocent = request('/safe/x', 'POST', body=b'innocent')
    for back_end in fleet.back_ends:
        back_end.breaks_off = True
    for number in range(ENDS_BEFORE_QUARANTINE + 1):
        assert fleet.ask(innocent, number % 2).status in (502, 503)
    for back_end in fleet.back_ends:
        back_end.breaks_off = False

    def is_served():
        for number in range(2 * BACK_ENDS):
            assert fleet.ask(request('/safe/x'), number % 2).status in (200, 503)
        return fleet.ask(innocent).status == 200 and fleet.ask(innocent, 1).status == 200

    wait_until(is_served)
    assert not any('Back end ended' in fleet.log(host) for host in fleet.entry_hosts)
