"""
Back ends that turn requests away at once, without a word for how long.

"""

import pytest

from tests.test_seeded_fleet import request
from tests.utils.loaded import LOAD_PER_S, loaded_fleet

# The two others can carry all.
WORKS_S = 0.3
LOAD_S = 6.0


@pytest.fixture
def fleet(tmp_path):
    with loaded_fleet(tmp_path, WORKS_S) as made:
        yield made


def test_a_back_end_that_turns_all_away_draws_no_more_than_its_share(fleet):
    full = fleet.back_ends[0]
    full.turns_away = True
    before = [len(back_end.arrived_at) for back_end in fleet.back_ends]
    replies = fleet.load(lambda: request('/safe/x'), LOAD_PER_S, LOAD_S)
    sends = [
        len(back_end.arrived_at) - count
        for back_end, count in zip(fleet.back_ends, before, strict=True)
    ]
    assert sends[0] <= sum(sends) / 3
    assert sum(reply.status == 200 for reply in replies) >= 0.9 * len(replies)
