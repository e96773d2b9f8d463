"""
Back ends that fall silent for up to two seconds and go on, which must cost no caller an answer.

Real daemons with simulated back ends. Each back end pauses once, so that the entry finds none that
it has not yet seen silent.

"""

import pytest

from millfork_standins.seeded import SeededFleet
from tests.utils.streams import WHOLE_STREAM, start_streaming_fleet, stream

CALLS = 6
PAUSE_S = 1.9


@pytest.fixture
def fleet(tmp_path):
    fleet = SeededFleet(tmp_path)
    yield fleet
    fleet.close()


def pause_all(fleet, after_event, pause_s):
    for back_end in fleet.back_ends:
        back_end.pause_s = pause_s
        back_end.pause_after_event = after_event


@pytest.mark.parametrize('max_attempts', [1, 2])
@pytest.mark.parametrize('after_event', [0, 3], ids=['before-the-head', 'in-the-stream'])
def test_a_pause_costs_no_caller_an_answer(fleet, max_attempts, after_event):
    start_streaming_fleet(fleet, max_attempts)
    pause_all(fleet, after_event, PAUSE_S)
    replies = [stream(fleet) for _ in range(CALLS)]
    assert [reply.status for reply in replies] == [200] * CALLS
    assert all(reply.body == WHOLE_STREAM for reply in replies)


@pytest.mark.parametrize('other', ['turns_away', 'fails_requests', 'drops_requests'])
@pytest.mark.parametrize('after_event', [0, 3], ids=['before-the-head', 'in-the-stream'])
def test_a_pause_costs_no_answer_if_the_other_back_end_fails(fleet, other, after_event):
    start_streaming_fleet(fleet, max_attempts=3, back_ends=2)
    setattr(fleet.back_ends[1], other, True)
    replies = []
    for number in range(2):
        fleet.back_ends[0].pause_s = PAUSE_S
        fleet.back_ends[0].pause_after_event = after_event
        replies.append(stream(fleet, b'prompt %d' % number))
    assert all(reply.body == WHOLE_STREAM for reply in replies)


@pytest.mark.parametrize('after_event', [0, 3], ids=['before-the-head', 'in-the-stream'])
def test_another_back_end_goes_on_for_one_that_stays_silent(fleet, after_event):
    start_streaming_fleet(fleet, max_attempts=2)
    stays_silent = fleet.back_ends[0]
    stays_silent.pause_s = 10.0
    stays_silent.pause_after_event = after_event
    executed = len(stays_silent.executed)
    replies = []
    while len(stays_silent.executed) == executed:
        replies.append(stream(fleet))
    assert all(reply.body == WHOLE_STREAM for reply in replies)
