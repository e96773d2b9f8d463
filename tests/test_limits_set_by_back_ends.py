"""
Back ends that name how many requests a second they take.

"""

import time

import pytest

from millfork_platform import client_requests
from tests.test_seeded_fleet import request
from tests.utils.loaded import LOAD_PER_S, loaded_fleet

# How long the word of a back end may take to be heeded, and the time that is looked at.
HEEDED_S = 3.0
WINDOW_S = 4.0


def allowed(limit_per_s):
    return 1.5 * limit_per_s * WINDOW_S + 5


@pytest.fixture
def fleet(tmp_path):
    with loaded_fleet(tmp_path) as made:
        yield made


def play(fleet):
    """
    Callers' load, as long as it takes to look at one window after the word is heeded.

    """
    named_at = time.monotonic()
    replies = fleet.load(lambda: request('/safe/x'), LOAD_PER_S, HEEDED_S + WINDOW_S + 0.5)
    served = sum(reply.status == 200 for reply in replies) / len(replies)
    return served, named_at + HEEDED_S


def test_a_back_end_that_names_a_limit_gets_no_more_than_it_takes(fleet):
    limited = fleet.back_ends[0]
    limited.says = {client_requests.SERVER_LIMIT: '1.8'}
    served, since = play(fleet)
    assert limited.most_in(WINDOW_S, since) <= allowed(1.8)
    # The two others can carry all.
    assert served == 1


def test_what_no_back_end_takes_is_refused_at_once(fleet):
    for back_end in fleet.back_ends:
        back_end.says = {client_requests.SERVER_LIMIT: '2'}
    served, since = play(fleet)
    assert all(back_end.most_in(WINDOW_S, since) <= allowed(2) for back_end in fleet.back_ends)
    assert served < 0.5
    refused = next(
        reply for _ in range(LOAD_PER_S) if (reply := fleet.ask(request('/safe/x'))).status != 200
    )
    assert refused.status == 503
    assert float(refused.headers['retry-after']) > 0
