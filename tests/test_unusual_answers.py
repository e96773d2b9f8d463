"""
Answers of back ends that are unusual or malformed, as every second one on a route that allows two
attempts. Each caller gets the whole answer to its own request, or none.

"""

import pytest

from millfork_platform import client_requests
from millfork_standins.back_end import RawAnswer
from millfork_standins.seeded import SeededFleet
from tests.test_seeded_fleet import request
from tests.utils.streams import SAFE_PATH, earn_retries, start_streaming_fleet

CALLS = 8
ID = f'{client_requests.REQUEST_ID}: @id\r\n'.encode()
SIGNATURE = f'{client_requests.SIGNATURE}: i\r\n'.encode()
OK = b'HTTP/1.1 200 OK\r\n' + ID + SIGNATURE
LENGTH = b'content-length: 6\r\n\r\n'
WHOLE = OK + LENGTH + b'answer'
OTHER = WHOLE.replace(b'@id', b'other').replace(b'answer', b'others')
WHOLE_HTTP_1_0 = b'HTTP/1.0 200 OK\r\n' + ID + SIGNATURE + b'\r\nanswer'
CHUNKS = b'6\r\nanswer\r\n0\r\n'

WHOLE_ANSWERS = {
    'early hints first': RawAnswer(b'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n' + WHOLE),
    'trailers': RawAnswer(OK + b'transfer-encoding: chunked\r\n\r\n' + CHUNKS + b'x: y\r\n\r\n'),
    'HTTP/1.0': RawAnswer(WHOLE.replace(b'1.1', b'1.0'), closes=True),
    'HTTP/1.0 without length': RawAnswer(WHOLE_HTTP_1_0, closes=True),
    'neither length nor chunks': RawAnswer(OK + b'\r\nanswer', closes=True),
    'the same length twice': RawAnswer(OK + b'content-length: 6\r\n' + LENGTH + b'answer'),
    'announced close': RawAnswer(OK + b'connection: close\r\n' + LENGTH + b'answer', closes=True),
    'short keep-alive': RawAnswer(OK + b'keep-alive: timeout=1\r\n' + LENGTH + b'answer'),
    'close without notice': RawAnswer(WHOLE, closes=True),
    'bytes after the answer': RawAnswer(WHOLE + b'more'),
    'a second answer': RawAnswer(WHOLE + OTHER),
}
MALFORMED_ANSWERS = {
    'a length that is cut': RawAnswer(OK + b'content-length: 9\r\n\r\nanswer', closes=True),
    'chunks that are cut': RawAnswer(
        OK + b'transfer-encoding: chunked\r\n\r\n9\r\nanswer', closes=True
    ),
    'two lengths': RawAnswer(OK + b'content-length: 9\r\n' + LENGTH + b'answer'),
    'no answer': RawAnswer(b'answer\r\n\r\n', closes=True),
    'nothing': RawAnswer(b'', closes=True),
    'a head that is cut': RawAnswer(OK, closes=True),
    'the answer to another request': RawAnswer(OTHER),
    'no id': RawAnswer(b'HTTP/1.1 200 OK\r\n' + SIGNATURE + LENGTH + b'answer'),
}


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    fleet = SeededFleet(tmp_path_factory.mktemp('unusual'))
    try:
        start_streaming_fleet(fleet, max_attempts=2)
        yield fleet
    finally:
        fleet.close()


def send_calls(fleet, raw_answer, calls=CALLS):
    fleet.raw_answer = None
    if calls == CALLS:
        # The fixed allowance of repeats covers fewer calls.
        earn_retries(fleet)
    fleet.raw_answer = raw_answer
    replies = []
    for _ in range(calls):
        sent = request(SAFE_PATH)
        reply = fleet.send_request(sent)
        echoed = reply.headers.get(client_requests.REQUEST_ID.lower(), '')
        assert echoed in ('', dict(sent.headers)[client_requests.REQUEST_ID])
        replies.append((reply.status, reply.body))
    return replies


@pytest.mark.parametrize('name', WHOLE_ANSWERS)
def test_a_whole_answer_is_passed_on(fleet, name):
    assert send_calls(fleet, WHOLE_ANSWERS[name]) == [(200, b'answer')] * CALLS


@pytest.mark.parametrize('name', MALFORMED_ANSWERS)
def test_a_malformed_answer_is_asked_for_again(fleet, name):
    assert send_calls(fleet, MALFORMED_ANSWERS[name]) == [(200, b'answer')] * CALLS


def test_an_answer_without_a_body_is_passed_on(fleet):
    replies = send_calls(
        fleet, RawAnswer(b'HTTP/1.1 204 No Content\r\n' + ID + SIGNATURE + b'\r\n')
    )
    assert sorted(replies) == [(200, b'answer')] * (CALLS // 2) + [(204, b'')] * (CALLS // 2)
