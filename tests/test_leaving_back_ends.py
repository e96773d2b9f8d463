"""
Back ends that announce in their responses that they are leaving, and still send heartbeats.

"""

import time

import pytest

from millfork_platform import client_requests
from tests.test_seeded_fleet import request
from tests.utils.loaded import LOAD_PER_S, loaded_fleet

# Requests that were already on their way may arrive for this long after the announcement.
DRAIN_S = 2.0
LOAD_S = 4.0


@pytest.fixture
def fleet(tmp_path):
    with loaded_fleet(tmp_path) as new_fleet:
        yield new_fleet


def test_a_back_end_that_announced_leaving_gets_no_more_requests(fleet):
    leaving = fleet.back_ends[0]
    leaving.extra_headers = {client_requests.SERVER_LEAVING: '1'}
    announced_at = time.monotonic()
    replies = fleet.send_load(lambda: request('/safe/x'), LOAD_PER_S, LOAD_S)
    assert all(reply.status == 200 for reply in replies)
    assert leaving.max_arrivals_within(LOAD_S, announced_at + DRAIN_S) == 0
