"""
Data of a faulty back end that parses as a response, but is no answer to the request. No caller gets
it, as a success or as a promise that the request has not run.

"""

import itertools
from dataclasses import replace

import pytest

from millfork_adapter.exchange import AnswerHead
from millfork_platform import client_requests
from millfork_platform.adapter import PlatformAdapter
from millfork_standins.back_end import RawAnswer, stream_event
from millfork_standins.seeded import SeededFleet
from millforkd.proxy.answer_validation import find_problem
from tests.test_seeded_fleet import document as seeded_document
from tests.test_seeded_fleet import request
from tests.utils.fleets import wait_until
from tests.utils.streams import (
    EARNED_RETRIES,
    SAFE_PATH,
    WHOLE_STREAM,
    document,
    earn_retries,
    start_streaming_fleet,
    stream,
)

CALLS = 8
UNSAFE_PATH = '/unsafe/'
# Streams break off before this event.
BROKEN_EVENT = 5
ID = f'{client_requests.REQUEST_ID}: @id\r\n'.encode()
OTHER_ID = f'{client_requests.REQUEST_ID}: other\r\n'.encode()
SIGNATURE = f'{client_requests.SIGNATURE}: i\r\n'.encode()
EMPTY_SIGNATURE = f'{client_requests.SIGNATURE}: \r\n'.encode()
NOT_RUN = f'{client_requests.NOT_RUN}: 1\r\n'.encode()
LEAVING = f'{client_requests.SERVER_LEAVING}: 1\r\n'.encode()
ENCODED = b'content-encoding: gzip\r\n'
LENGTH = b'content-length: 5\r\n\r\nwrong'
SUCCESS = b'HTTP/1.1 200 OK\r\n'
NOT_FOUND = b'HTTP/1.1 404 Not Found\r\n'
UNAVAILABLE = b'HTTP/1.1 503 Service Unavailable\r\n'

INVALID_ANSWERS = {
    'neither signature nor id': SUCCESS + LENGTH,
    'no signature': SUCCESS + ID + LENGTH,
    'an empty signature': SUCCESS + ID + EMPTY_SIGNATURE + LENGTH,
    'no id': SUCCESS + SIGNATURE + LENGTH,
    'two ids': SUCCESS + ID + OTHER_ID + SIGNATURE + LENGTH,
    'an encoded body': SUCCESS + ID + SIGNATURE + ENCODED + LENGTH,
    'a success that did not run': SUCCESS + ID + SIGNATURE + NOT_RUN + LENGTH,
    'another success': b'HTTP/1.1 201 Created\r\n' + LENGTH,
    'a redirect': b'HTTP/1.1 302 Found\r\nlocation: /\r\n' + LENGTH,
    'not found': NOT_FOUND + LENGTH,
    'a failure': b'HTTP/1.1 500 Internal Server Error\r\n' + LENGTH,
    'not run': UNAVAILABLE + NOT_RUN + LENGTH,
    'misdirected': b'HTTP/1.1 421 Misdirected Request\r\n' + LENGTH,
    'unavailable': UNAVAILABLE + LENGTH,
    **{
        f'status {status}': b'HTTP/1.1 %s Text\r\n' % status.encode() + ID + SIGNATURE + LENGTH
        for status in ('000', '099', '600', '999')
    },
    # Informational answers have no body, so the answer itself would be still to come.
    **{
        f'a body behind status {status}': b'HTTP/1.1 %d Text\r\n' % status + ID + LENGTH
        for status in (100, 199)
    },
}
# Answers to the request, but without a word on whether it ran.
PROMISING_ANSWERS = {
    '408': b'HTTP/1.1 408 Request Timeout\r\n' + ID + LENGTH,
    '429': b'HTTP/1.1 429 Too Many Requests\r\n' + ID + LENGTH,
    '503': UNAVAILABLE + ID + SIGNATURE + LENGTH,
}
FAILURES = {
    302: b'HTTP/1.1 302 Found\r\nlocation: /\r\n' + ID + LENGTH,
    404: NOT_FOUND + ID + LENGTH,
    500: b'HTTP/1.1 500 Internal Server Error\r\n' + ID + SIGNATURE + LENGTH,
}
UNUSABLE_ANSWERS = INVALID_ANSWERS | PROMISING_ANSWERS


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    fleet = SeededFleet(tmp_path_factory.mktemp('invalid'))
    try:
        start_streaming_fleet(fleet, max_attempts=3)
        documents = document(3, version=2), seeded_document(2, UNSAFE_PATH)
        routes = (*documents[0].routes, *documents[1].routes)
        assert fleet.put_document(replace(documents[0], routes=routes)).status == 200
        wait_until(lambda: fleet.send_request(request(UNSAFE_PATH)).status == 200)
        yield fleet
    finally:
        fleet.close()


def send_calls(fleet, path, data):
    """
    Send CALLS requests of which at least half are first answered with `data`; return the replies,
    and how often the requests ran.

    """
    fleet.raw_answer = RawAnswer(data)
    sent = [request(path, 'POST', body=b'text') for _ in range(CALLS)]
    replies = [fleet.send_request(item) for item in sent]
    fleet.raw_answer = None
    ids = {dict(item.headers)[client_requests.REQUEST_ID] for item in sent}
    ran = [name for back_end in fleet.back_ends for name in back_end.executed_ids()]
    return replies, sum(name in ids for name in ran)


@pytest.mark.parametrize('name', UNUSABLE_ANSWERS)
def test_an_invalid_answer_to_a_repeatable_request_is_replaced_by_another_back_end(fleet, name):
    for _ in range(CALLS // EARNED_RETRIES):
        earn_retries(fleet)
    replies, _ = send_calls(fleet, SAFE_PATH, UNUSABLE_ANSWERS[name])
    assert [(reply.status, reply.body) for reply in replies] == [(200, b'answer')] * CALLS


@pytest.mark.parametrize('name', UNUSABLE_ANSWERS)
def test_an_invalid_answer_to_an_unsafe_request_promises_nothing_and_repeats_nothing(fleet, name):
    replies, ran = send_calls(fleet, UNSAFE_PATH, UNUSABLE_ANSWERS[name])
    outcomes = sorted((reply.status, reply.body == b'answer') for reply in replies)
    assert outcomes == [(200, True)] * (CALLS // 2) + [(502, False)] * (CALLS // 2)
    assert ran == CALLS


@pytest.mark.parametrize('status', FAILURES)
def test_a_failure_that_names_its_request_reaches_the_caller(fleet, status):
    replies, ran = send_calls(fleet, UNSAFE_PATH, FAILURES[status])
    outcomes = sorted((reply.status, reply.body) for reply in replies)
    expected = [(200, b'answer')] * (CALLS // 2) + [(status, b'wrong')] * (CALLS // 2)
    assert outcomes == expected
    assert ran == CALLS


def test_signals_in_an_invalid_answer_are_ignored(fleet):
    replies, _ = send_calls(fleet, UNSAFE_PATH, SUCCESS + LEAVING + LENGTH)
    assert [reply.status for reply in replies].count(502) == CALLS // 2
    assert 'signal=leaving' not in fleet.log(fleet.entry_hosts[0])


def test_a_connection_that_brought_an_invalid_answer_is_not_used_again(fleet):
    before = [set(back_end.open_connections) for back_end in fleet.back_ends]
    send_calls(fleet, UNSAFE_PATH, SUCCESS + LENGTH)
    opened = [
        len(back_end.open_connections - known)
        for back_end, known in zip(fleet.back_ends, before, strict=True)
    ]
    assert sum(opened) >= CALLS // 2


def test_a_stream_is_not_continued_from_an_invalid_answer(fleet):
    event = stream_event(BROKEN_EVENT)
    head = b'content-type: text/event-stream\r\ncontent-length: %d\r\n\r\n' % len(event)
    for number in range(CALLS):
        earn_retries(fleet)
        fleet.raw_answer = RawAnswer(SUCCESS + ID + head + event)
        # The second back end that is asked sends the invalid answer.
        fleet.raw_answer_turns = itertools.count()
        fleet.break_before_event, fleet.breaks_left = BROKEN_EVENT, 1
        reply = stream(fleet, b'prompt %d' % number)
        fleet.raw_answer = None
        assert (reply.status, reply.body) == (200, WHOLE_STREAM)


@pytest.mark.parametrize(
    ('status', 'headers'),
    [
        (204, {client_requests.SIGNATURE: 's'}),
        (404, {}),
        (503, {client_requests.NOT_RUN: '1'}),
        (421, {}),
    ],
)
def test_answers_that_name_their_request_are_valid(status, headers):
    fields = [(client_requests.REQUEST_ID, 'a'), *headers.items()]
    head = PlatformAdapter().read_answer_head(status, fields)
    assert find_problem(head, 'a') == ''
    assert find_problem(head, 'b') != ''


def test_an_encoded_failure_is_no_answer():
    assert find_problem(AnswerHead(404, 'a', is_encoded=True), 'a') != ''
