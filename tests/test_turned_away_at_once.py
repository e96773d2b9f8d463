"""
Back ends that turn requests away immediately, without a retry-after time.

"""

import pytest

from tests.test_seeded_fleet import request
from tests.utils.loaded import LOAD_PER_S, loaded_fleet

# With this service time, the two back ends that don't turn requests away can serve the whole load.
SERVICE_TIME_S = 0.3
LOAD_S = 6.0


@pytest.fixture
def fleet(tmp_path):
    with loaded_fleet(tmp_path, SERVICE_TIME_S) as started_fleet:
        yield started_fleet


def test_a_back_end_that_turns_all_requests_away_gets_no_more_than_its_share(fleet):
    refusing = fleet.back_ends[0]
    refusing.turns_away = True
    before = [len(back_end.arrived_at) for back_end in fleet.back_ends]
    replies = fleet.send_load(lambda: request('/safe/x'), LOAD_PER_S, LOAD_S)
    sent_counts = [
        len(back_end.arrived_at) - count
        for back_end, count in zip(fleet.back_ends, before, strict=True)
    ]
    assert sent_counts[0] <= sum(sent_counts) / 3
    assert sum(reply.status == 200 for reply in replies) >= 0.9 * len(replies)
