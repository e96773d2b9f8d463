"""
A back end that rejects requests with the header `Retry-After` gets hardly any requests until the
time in the header is over.

"""

import time

import pytest

from millfork_platform import client_requests
from tests.test_seeded_fleet import request
from tests.utils.loaded import ENTRIES, LOAD_PER_S, loaded_fleet

REST_S = 3
# The number of requests that one entry may still send to the back end, from `TOLERANCE_S` after the
# entry's first rejection until the rest is over.
MAX_SENDS_PER_ENTRY = 2
TOLERANCE_S = 0.5
# The time until each entry has sent a request to the back end and received a rejection.
ALL_REJECTED_S = 0.5
LOAD_S = 4.0


@pytest.fixture
def fleet(tmp_path):
    with loaded_fleet(tmp_path) as new_fleet:
        yield new_fleet


def test_a_back_end_gets_the_rest_that_it_asked_for(fleet):
    resting = fleet.back_ends[0]
    resting.extra_headers = {client_requests.RETRY_AFTER: str(REST_S)}
    resting.turns_away = True
    started_at = time.monotonic()
    replies = fleet.send_load(lambda: request('/safe/x'), LOAD_PER_S, LOAD_S)
    since, until = started_at + ALL_REJECTED_S + TOLERANCE_S, started_at + REST_S
    assert sum(since < at < until for at in resting.arrived_at) <= MAX_SENDS_PER_ENTRY * ENTRIES
    assert sum(reply.status == 200 for reply in replies) >= 0.98 * len(replies)
