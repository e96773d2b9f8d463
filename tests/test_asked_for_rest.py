"""
Back ends that turn requests away and say for how long they want nothing.

"""

import time

import pytest

from millfork_platform import client_requests
from tests.test_seeded_fleet import request
from tests.utils.loaded import ENTRIES, LOAD_PER_S, loaded_fleet

REST_S = 3
# Sends of one entry from half a second after it was told until the rest is over.
TOLERATED = 2
HEEDED_S = 0.5
# By then each entry has sent there and was told.
ALL_TOLD_S = 0.5
LOAD_S = 4.0


@pytest.fixture
def fleet(tmp_path):
    with loaded_fleet(tmp_path) as made:
        yield made


def test_a_back_end_that_asked_for_rest_gets_it(fleet):
    resting = fleet.back_ends[0]
    resting.says = {client_requests.RETRY_AFTER: str(REST_S)}
    resting.turns_away = True
    began = time.monotonic()
    replies = fleet.load(lambda: request('/safe/x'), LOAD_PER_S, LOAD_S)
    since, until = began + ALL_TOLD_S + HEEDED_S, began + REST_S
    assert sum(since < at < until for at in resting.arrived_at) <= TOLERATED * ENTRIES
    assert sum(reply.status == 200 for reply in replies) >= 0.98 * len(replies)
