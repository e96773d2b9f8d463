"""
A request that crashes the back ends that run it, where the listening socket closes later than
the connections, as happens while the kernel tears down a large process.

Guards against an entry that probes the address twice within about 20 ms, takes an accepted
connection as proof that the back end is alive, and doesn't probe again. Such an entry counts no
crash and sends the request to further back ends.
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
# How many further back ends may crash because one of the two entries sends the request before the
# other entry's report of the third crash arrives.
MAX_CONCURRENT_ENDS = 1


@pytest.fixture
def fleet(tmp_path):
    new_fleet = SeededFleet(tmp_path, entries=2)
    try:
        new_fleet.start()
        for number in range(BACK_ENDS):
            new_fleet.add_back_end('plain', f'i-{number}')
        assert new_fleet.put_document(document(1, '/safe/')).status == 200
        for entry in (0, 1):
            wait_until(
                lambda entry=entry: new_fleet.send_request(request('/safe/x'), entry).status == 200
            )
        yield new_fleet
    finally:
        new_fleet.close()


@pytest.mark.parametrize('address_close_delay_s', [0.03, 0.1, 1.0])
def test_an_end_counts_however_late_the_address_closes(fleet, address_close_delay_s):
    for back_end in fleet.back_ends:
        back_end.address_close_delay_s = address_close_delay_s
    replies = [fleet.send_request(crashing_request(), number % 2) for number in range(CALLS)]
    assert count_ended(fleet) <= ENDS_BEFORE_QUARANTINE + MAX_CONCURRENT_ENDS + MAX_FURTHER_ENDS
    assert all(reply.status in (502, 503) for reply in replies)


def test_broken_off_answers_of_living_back_ends_do_not_count_as_ends(fleet):
    """
    The answers to one request break off at all back ends, in consecutive calls, while the back
    ends answer other requests. Once the back ends answer this request as well, callers are served.

    """
    innocent = request('/safe/x', 'POST', body=b'innocent')
    for back_end in fleet.back_ends:
        back_end.drops_requests = True
    for number in range(ENDS_BEFORE_QUARANTINE + 1):
        assert fleet.send_request(innocent, number % 2).status in (502, 503)
    for back_end in fleet.back_ends:
        back_end.drops_requests = False

    def is_served():
        for number in range(2 * BACK_ENDS):
            assert fleet.send_request(request('/safe/x'), number % 2).status in (200, 503)
        return (
            fleet.send_request(innocent).status == 200
            and fleet.send_request(innocent, 1).status == 200
        )

    wait_until(is_served)
    assert not any('Back end ended' in fleet.log(host) for host in fleet.entry_hosts)
