"""
Answers that break off after they have begun. A stream is resumed at another back end, also if the
first one that is asked for the rest answers with an error.

"""

import pytest

from millfork_standins.seeded import LARGE_PATH, SeededFleet
from tests.test_seeded_fleet import request
from tests.utils.fleets import wait_until
from tests.utils.streams import EARNED_RETRIES, WHOLE_STREAM, start_streaming_fleet, stream

# Each call spends two retries.
CALLS = EARNED_RETRIES // 2


@pytest.fixture
def fleet(tmp_path):
    fleet = SeededFleet(tmp_path)
    try:
        start_streaming_fleet(fleet, max_attempts=3)
        yield fleet
    finally:
        fleet.close()


def entry_log(fleet):
    return fleet.log(fleet.entry_hosts[0])


def test_a_resumed_stream_that_meets_an_error_goes_on_at_the_next_back_end(fleet):
    fleet.break_before_event = 5
    replies = []
    for number in range(CALLS):
        fleet.breaks_left = 1
        fleet.resume_failures_left = 1
        replies.append(stream(fleet, b'prompt %d' % number))
    assert all(reply.body == WHOLE_STREAM for reply in replies)
    assert 'Traceback' not in entry_log(fleet)


def test_a_large_answer_that_breaks_off_is_not_glued_to_another_one(fleet):
    fleet.break_before_event = 1
    fleet.breaks_left = 1
    assert fleet.send_request(request(LARGE_PATH)).status == 0
    assert fleet.breaks_left == 0
    wait_until(lambda: 'outcome=broken_off' in entry_log(fleet))
    assert 'Traceback' not in entry_log(fleet)
