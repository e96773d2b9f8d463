"""
Back ends that say in their answers that they leave, while their heartbeats go on.

"""

import time

import pytest

from millfork_platform import client_requests
from tests.test_seeded_fleet import request
from tests.utils.loaded import LOAD_PER_S, loaded_fleet

# How long what was under way may still come.
DRAIN_S = 2.0
LOAD_S = 4.0


@pytest.fixture
def fleet(tmp_path):
    with loaded_fleet(tmp_path) as made:
        yield made


def test_a_back_end_that_said_that_it_leaves_gets_nothing_more(fleet):
    leaving = fleet.back_ends[0]
    leaving.says = {client_requests.SERVER_LEAVING: '1'}
    began = time.monotonic()
    replies = fleet.load(lambda: request('/safe/x'), LOAD_PER_S, LOAD_S)
    assert all(reply.status == 200 for reply in replies)
    assert leaving.most_in(LOAD_S, began + DRAIN_S) == 0
