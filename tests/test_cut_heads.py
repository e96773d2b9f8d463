"""
Heads of answers that are cut short: the connection of the back end ends or stops within the head,
or pauses there and goes on. No part of a head is believed, and a pause costs no caller its answer.

"""

import itertools
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from http.client import HTTPConnection, HTTPException

import pytest

from millfork_platform import client_requests
from millfork_standins.back_end import STREAM_PATH, RawAnswer, stream_event
from millfork_standins.http_calls import CALL_TIMEOUT_S, Reply
from millfork_standins.seeded import SeededFleet
from millfork_standins.seeded_ports import CALLERS_PORT
from millfork_web.models import Request
from tests.test_seeded_fleet import document as seeded_document
from tests.test_seeded_fleet import request
from tests.utils.fleets import wait_until
from tests.utils.streams import SAFE_PATH, WHOLE_STREAM, document, start_streaming_fleet

UNSAFE_PATH = '/unsafe/'
# A stream that can't be resumed.
UNSAFE_STREAM_PATH = f'{STREAM_PATH}unsafe/'
BACK_ENDS = 8
PROMPTS = itertools.count()
# A resumed stream continues with the event after this one.
LAST_EVENT = 4
# The time by which an answer may be later than the deadline.
MAX_LATE_S = 0.5
SHORT_DEADLINE_S = 1.0
# A caller's answer to a request that may have run.
FAILURES = {502, 504}
# No complete answer arrived.
BROKEN_OFF = 0

ID = f'{client_requests.REQUEST_ID}: @id\r\n'.encode()
SIGNATURE = f'{client_requests.SIGNATURE}: signed\r\n'.encode()
NOT_RUN = f'{client_requests.NOT_RUN}: 1\r\n'.encode()
LEAVING = f'{client_requests.SERVER_LEAVING}: 1\r\n'.encode()
LIMIT = f'{client_requests.SERVER_LIMIT}: 12.5\r\n'.encode()
RETRY_AFTER = f'{client_requests.RETRY_AFTER}: 15\r\n'.encode()
SUCCESS = b'HTTP/1.1 200 OK\r\n'
NAMED = SUCCESS + ID + SIGNATURE
UNAVAILABLE = b'HTTP/1.1 503 Service Unavailable\r\n'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
LENGTH = b'content-length: 12\r\n'
CHUNKED = b'transfer-encoding: chunked\r\n'
STREAM = b'content-type: text/event-stream\r\n'

CUT_HEADS = {
    'before the status line': b'',
    'within the version': b'HTTP/1.',
    'within the status': b'HTTP/1.1 20',
    'after the status': b'HTTP/1.1 200',
    'within the end of the status line': SUCCESS[:-1],
    'after the status line': SUCCESS,
    'within the id': SUCCESS + ID[:-3],
    'within the signature': NAMED[:-4],
    'within a name': NAMED + LENGTH[:5],
    'after a name': NAMED + LENGTH[:15],
    'within the length': NAMED + LENGTH[:17],
    'within the end of the last field': NAMED + LENGTH[:-1],
    'after the last field': NAMED + LENGTH,
    'within the blank line': NAMED + LENGTH + b'\r',
    'within the blank line of a head without length': NAMED + b'\r',
    'after an informational response': CONTINUE,
    'within the head after an informational response': CONTINUE + NAMED + LENGTH[:17],
    'after the head': NAMED + LENGTH + b'\r\n',
    'after the head of an answer in chunks': NAMED + CHUNKED + b'\r\n',
    'within the length of a chunk': NAMED + CHUNKED + b'\r\n1',
    'within a limit': NAMED + LIMIT[: LIMIT.index(b'2')],
    'after a limit': NAMED + LIMIT,
    'after the word that it is leaving': NAMED + LEAVING,
    'after the word that it did not run': UNAVAILABLE + ID + NOT_RUN,
    'within a rest period': UNAVAILABLE + ID + NOT_RUN + RETRY_AFTER[:-3],
    'after a rest period': UNAVAILABLE + ID + NOT_RUN + RETRY_AFTER,
}
ENDS = {'close': {'closes': True}, 'reset': {'resets': True}}


def chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


def events(first, last):
    return b''.join(chunk(stream_event(number)) for number in range(first, last + 1))


BROKEN_STREAM = RawAnswer(NAMED + STREAM + CHUNKED + b'\r\n' + events(1, LAST_EVENT), closes=True)
WHOLE_ANSWER = NAMED + b'content-length: 6\r\n\r\nanswer'
STREAM_HEAD = NAMED + STREAM + CHUNKED + b'\r\n'
# By kind of request: its path, the answers before the one whose head is cut, and a whole answer in
# place of that one.
KINDS = {
    'unsafe': (UNSAFE_PATH, [], WHOLE_ANSWER),
    'safe': (SAFE_PATH, [], WHOLE_ANSWER),
    'unsafe stream': (UNSAFE_STREAM_PATH, [], STREAM_HEAD + events(1, 8) + chunk(b'')),
    'stream': (STREAM_PATH, [], STREAM_HEAD + events(1, 8) + chunk(b'')),
    'resumed stream': (
        STREAM_PATH,
        [BROKEN_STREAM],
        STREAM_HEAD + events(LAST_EVENT + 1, 8) + chunk(b''),
    ),
}
UNSAFE_KINDS = ('unsafe', 'unsafe stream')
REPEATABLE_KINDS = ('safe', 'stream', 'resumed stream')
ALL_KINDS = pytest.mark.parametrize('kind', KINDS)


def expected_body(kind):
    return WHOLE_STREAM if 'stream' in kind else b'answer'


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    fleet = SeededFleet(tmp_path_factory.mktemp('cut-heads'))
    # Most requests of these tests are sent twice or more.
    fleet.bounds = {'retry_ratio': 10.0}
    try:
        start_streaming_fleet(fleet, 3, BACK_ENDS)
        streams = document(3, version=2)
        stream_route = next(item for item in streams.routes if item.prefix == STREAM_PATH)
        unsafe_stream = replace(
            stream_route, name='unsafe', prefix=UNSAFE_STREAM_PATH, resumable=False
        )
        routes = (*streams.routes, *seeded_document(2, UNSAFE_PATH).routes, unsafe_stream)
        assert fleet.put_document(replace(streams, routes=routes)).status == 200
        for path in (UNSAFE_PATH, UNSAFE_STREAM_PATH):
            wait_until(lambda path=path: fleet.send_request(request(path, 'POST')).status == 200)
        yield fleet
    finally:
        fleet.close()


class Caller:
    """
    A caller that keeps its connection to the entry.

    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.connection = HTTPConnection(fleet.entry_hosts[0], CALLERS_PORT, timeout=CALL_TIMEOUT_S)

    def send(self, call):
        """
        Send a request and return the reply, which must not be one to another request.

        """
        headers = dict(call.headers)
        try:
            self.connection.request(call.method, call.path, call.body, headers)
            response = self.connection.getresponse()
            body = response.read()
        except (OSError, HTTPException):
            self.connection.close()
            return Reply(BROKEN_OFF)
        named = response.getheader(client_requests.REQUEST_ID, '')
        assert named in ('', headers[client_requests.REQUEST_ID])
        return Reply(response.status, dict(response.getheaders()), body)

    def send_kind(self, kind, raw_answers, deadline_s=4.0):
        """
        Send a request of this kind, to which back ends give `raw_answers`, and one more on the same
        connection; return the reply and the number of back ends that ran the request.

        """
        path, answers_before, _ = KINDS[kind]
        body = b'prompt %d' % next(PROMPTS)
        self.fleet.raw_answers[body] = [*answers_before, *raw_answers]
        call = request(path, 'POST', body=body)
        headers = [item for item in call.headers if item[0] != client_requests.DEADLINE_MS]
        headers.append((client_requests.DEADLINE_MS, str(int(deadline_s * 1000))))
        sent_at = time.monotonic()
        reply = self.send(Request(call.method, call.path, headers, call.body))
        assert time.monotonic() - sent_at < deadline_s + MAX_LATE_S
        next_reply = self.send(request(SAFE_PATH))
        assert (next_reply.status, next_reply.body) == (200, b'answer')
        request_id = dict(headers)[client_requests.REQUEST_ID]
        ran = [name for item in self.fleet.back_ends for name in item.executed_ids()]
        return reply, ran.count(request_id)


def send_to_all(fleet, kind, raw_answers_by_place, deadline_s=4.0):
    """
    Send one request for each place at the same time, each from a caller of its own; return their
    replies and the numbers of their runs, by place.

    """

    def send(place):
        return Caller(fleet).send_kind(kind, raw_answers_by_place[place], deadline_s)

    with ThreadPoolExecutor(len(raw_answers_by_place)) as pool:
        return dict(zip(raw_answers_by_place, pool.map(send, raw_answers_by_place), strict=True))


def check_whole_once(kind, results):
    found = {place: (reply.status, reply.body) for place, (reply, _) in results.items()}
    assert found == dict.fromkeys(results, (200, expected_body(kind)))
    if kind in UNSAFE_KINDS:
        assert {place: ran for place, (_, ran) in results.items()} == dict.fromkeys(results, 1)


@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize('place', CUT_HEADS)
def test_a_request_that_runs_once_gets_no_part_of_a_head_as_its_answer(fleet, place, end):
    caller = Caller(fleet)
    for kind in UNSAFE_KINDS:
        reply, ran = caller.send_kind(kind, [RawAnswer(CUT_HEADS[place], **ENDS[end])])
        assert (kind, reply.status, ran) == (kind, 502, 1)


@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize('place', CUT_HEADS)
def test_a_repeatable_request_whose_head_is_cut_is_sent_to_another_back_end(fleet, place, end):
    caller = Caller(fleet)
    for kind in REPEATABLE_KINDS:
        reply, _ = caller.send_kind(kind, [RawAnswer(CUT_HEADS[place], **ENDS[end])])
        assert (kind, reply.status, reply.body) == (kind, 200, expected_body(kind))


@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize('place', CUT_HEADS)
def test_heads_that_all_back_ends_cut_make_no_answer(fleet, place, end):
    caller = Caller(fleet)
    for kind in REPEATABLE_KINDS:
        raw_answers = [RawAnswer(CUT_HEADS[place], **ENDS[end])] * 3
        reply, _ = caller.send_kind(kind, raw_answers)
        assert (kind, reply.status) == (kind, BROKEN_OFF if kind == 'resumed stream' else 502)


def test_signals_in_cut_heads_are_ignored(fleet):
    for place in CUT_HEADS:
        Caller(fleet).send_kind('unsafe', [RawAnswer(CUT_HEADS[place], closes=True)])
    assert 'signal=' not in fleet.log(fleet.entry_hosts[0])


def splits(kind):
    """
    The beginnings of a whole answer, by the place in the head at which they stop.

    """
    whole = KINDS[kind][2]
    end = whole.index(b'\r\n\r\n')
    places = {
        'before the status line': 0,
        'within the version': 7,
        'within the status': 11,
        'after the status': 12,
        'within the end of the status line': len(SUCCESS) - 1,
        'after the status line': len(SUCCESS),
        'within the signature': len(NAMED) - 4,
        'within a name': len(NAMED) + 5,
        'after a name': whole.index(b':', len(NAMED)) + 1,
        'before the end of the last field': end,
        'within the end of the last field': end + 1,
        'after the last field': end + 2,
        'within the blank line': end + 3,
        'after the head': end + 4,
    }
    return whole, places


@ALL_KINDS
@pytest.mark.parametrize('pause_s', [0.5, 2.0])
def test_a_pause_within_a_head_costs_no_caller_its_answer(fleet, kind, pause_s):
    whole, places = splits(kind)
    raw_answers = {
        place: [RawAnswer(whole[:stop], rest=whole[stop:], pause_s=pause_s)]
        for place, stop in places.items()
    }
    raw_answers['after an informational response'] = [
        RawAnswer(CONTINUE, rest=whole, pause_s=pause_s)
    ]
    check_whole_once(kind, send_to_all(fleet, kind, raw_answers))


@ALL_KINDS
def test_a_request_whose_head_never_ends_is_answered_by_its_deadline(fleet, kind):
    raw_answers = {place: [RawAnswer(head)] * 3 for place, head in CUT_HEADS.items()}
    results = send_to_all(fleet, kind, raw_answers, SHORT_DEADLINE_S)
    outcomes = {place: reply.status for place, (reply, _) in results.items()}
    failures = {BROKEN_OFF} if kind == 'resumed stream' else FAILURES
    assert {place: status in failures for place, status in outcomes.items()} == dict.fromkeys(
        CUT_HEADS, True
    ), outcomes
    if kind in UNSAFE_KINDS:
        assert {ran for _, ran in results.values()} == {1}


@pytest.mark.parametrize('kind', REPEATABLE_KINDS)
def test_a_repeatable_request_whose_head_never_ends_is_sent_to_another_back_end(fleet, kind):
    raw_answers = {place: [RawAnswer(head)] for place, head in CUT_HEADS.items()}
    check_whole_once(kind, send_to_all(fleet, kind, raw_answers))


@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize('kind', ['safe', 'stream'])
def test_a_second_attempt_whose_head_is_cut_leaves_the_first_one_its_answer(fleet, kind, end):
    whole, places = splits(kind)
    stop = places['within a name']
    first = RawAnswer(whole[:stop], rest=whole[stop:], pause_s=2.0)
    raw_answers = {
        place: [first, RawAnswer(head, **ENDS[end])] for place, head in CUT_HEADS.items()
    }
    check_whole_once(kind, send_to_all(fleet, kind, raw_answers))


@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize('kind', ['safe', 'stream'])
def test_a_head_that_is_cut_beside_a_second_attempt_leaves_that_one_its_answer(fleet, kind, end):
    whole, _ = splits(kind)
    second = RawAnswer(b'', rest=whole, pause_s=0.8)
    raw_answers = {
        place: [RawAnswer(head[:5], rest=head[5:], pause_s=1.6, **ENDS[end]), second]
        for place, head in CUT_HEADS.items()
    }
    check_whole_once(kind, send_to_all(fleet, kind, raw_answers))


@pytest.mark.parametrize('kind', ['unsafe stream', 'stream'])
def test_a_stream_that_closes_after_its_head_is_no_answer(fleet, kind):
    reply, _ = Caller(fleet).send_kind(kind, [RawAnswer(NAMED + STREAM + b'\r\n', closes=True)] * 3)
    assert reply.status == 502


def test_a_resumed_stream_that_closes_after_its_head_is_not_framed_as_complete(fleet):
    closed = RawAnswer(NAMED + STREAM + b'\r\n', closes=True)
    reply, _ = Caller(fleet).send_kind('resumed stream', [closed])
    assert (reply.status, reply.body) == (200, WHOLE_STREAM)
    reply, _ = Caller(fleet).send_kind('resumed stream', [closed] * 2)
    assert reply.status == BROKEN_OFF


def test_a_stream_that_its_caller_resumes_and_that_closes_after_its_head_is_no_answer(fleet):
    closed = RawAnswer(NAMED + STREAM + b'\r\n', closes=True)
    whole = RawAnswer(KINDS['resumed stream'][2])
    body = b'prompt %d' % next(PROMPTS)
    for answers, status in (([closed, whole], 200), ([closed] * 3, 502)):
        fleet.raw_answers[body] = answers
        call = request(STREAM_PATH, 'POST', body=body)
        call.headers.append((client_requests.LAST_EVENT_ID, str(LAST_EVENT)))
        assert Caller(fleet).send(call).status == status
