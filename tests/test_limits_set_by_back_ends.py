"""
Back ends that limit the requests per second with the header `server-limit`.

"""

import time

import pytest

from millfork_platform import client_requests
from tests.test_seeded_fleet import request
from tests.utils.loaded import LOAD_PER_S, loaded_fleet

# How long entries may take to apply a new limit, and the window in which arrivals are counted.
APPLIED_AFTER_S = 3.0
WINDOW_S = 4.0


def max_arrivals(limit_per_s):
    return 1.5 * limit_per_s * WINDOW_S + 5


@pytest.fixture
def fleet(tmp_path):
    with loaded_fleet(tmp_path) as new_fleet:
        yield new_fleet


def send_load(fleet):
    """
    Send load until a whole window has passed after the moment at which all entries must have
    applied the limits. Returns the share of requests that were served, and that moment.

    """
    limited_at = time.monotonic()
    replies = fleet.send_load(
        lambda: request('/safe/x'), LOAD_PER_S, APPLIED_AFTER_S + WINDOW_S + 0.5
    )
    served_share = sum(reply.status == 200 for reply in replies) / len(replies)
    return served_share, limited_at + APPLIED_AFTER_S


def test_a_back_end_gets_no_more_requests_than_its_limit(fleet):
    limited = fleet.back_ends[0]
    limited.extra_headers = {client_requests.SERVER_LIMIT: '1.8'}
    served_share, since = send_load(fleet)
    assert limited.max_arrivals_within(WINDOW_S, since) <= max_arrivals(1.8)
    # The two other back ends can serve the whole load.
    assert served_share == 1


def test_requests_beyond_the_limits_of_all_back_ends_are_refused_at_once(fleet):
    for back_end in fleet.back_ends:
        back_end.extra_headers = {client_requests.SERVER_LIMIT: '2'}
    served_share, since = send_load(fleet)
    assert all(
        back_end.max_arrivals_within(WINDOW_S, since) <= max_arrivals(2)
        for back_end in fleet.back_ends
    )
    assert served_share < 0.5
    refused = next(
        reply
        for _ in range(LOAD_PER_S)
        if (reply := fleet.send_request(request('/safe/x'))).status != 200
    )
    assert refused.status == 503
    assert float(refused.headers['retry-after']) > 0
