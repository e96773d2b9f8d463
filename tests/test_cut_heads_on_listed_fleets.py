"""
Heads of answers of engines on a listed fleet that are cut short, or pause. No part of a head
reaches a caller, no request runs twice, and a pause costs no caller its answer.

"""

import itertools
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from millfork_standins.deployments import LANTING
from millfork_standins.execution_log import read_executions
from millfork_standins.fleet import Fleet
from millfork_standins.layout import FleetOptions
from tests.utils.fleets import complete, serve_version

NONCES = itertools.count()
DEADLINE_S = 1.0
# The time by which an answer may be later than the deadline.
MAX_LATE_S = 0.5
# An entry sends at most this many of the requests of a test at the same time.
CALLERS = 8

SUCCESS = 'HTTP/1.1 200 OK\r\n'
NAMED = f'{SUCCESS}x-request-id: @id\r\nmillfork-version: @version\r\n'
LENGTH = 'content-length: 12\r\n'
CHUNKED = 'transfer-encoding: chunked\r\n'
CONTINUE = 'HTTP/1.1 100 Continue\r\n\r\n'
NOT_LOADED = 'HTTP/1.1 404 Not Found\r\nx-request-id: @id\r\n'
RESTING = 'HTTP/1.1 503 Service Unavailable\r\nx-request-id: @id\r\nretry-after: 15\r\n'
CUT_HEADS = {
    'before the status line': '',
    'within the version': 'HTTP/1.',
    'within the status': 'HTTP/1.1 20',
    'after the status': 'HTTP/1.1 200',
    'within the end of the status line': SUCCESS[:-1],
    'after the status line': SUCCESS,
    'within a name': NAMED + LENGTH[:5],
    'within the length': NAMED + LENGTH[:17],
    'within the end of the last field': NAMED + LENGTH[:-1],
    'after the last field': NAMED + LENGTH,
    'within the blank line': NAMED + LENGTH + '\r',
    'within the blank line of a head without length': NAMED + '\r',
    'after an informational response': CONTINUE,
    'within the head after an informational response': CONTINUE + NAMED + LENGTH[:17],
    'after the head': NAMED + LENGTH + '\r\n',
    'after the head of an answer in chunks': NAMED + CHUNKED + '\r\n',
    'within a status that says it is not loaded': NOT_LOADED[:11],
    'after a status that says it is not loaded': NOT_LOADED,
    'within a rest period': RESTING[:-3],
    'after a rest period': RESTING,
}
ENDS = {'close': {}, 'reset': {'resets': True}}
KINDS = {'document': False, 'stream': True}
BODIES = {'document': '{"nonce":"n"}', 'stream': 'data: {}\n\ndata: [DONE]\n\n'}
TYPES = {'document': 'application/json', 'stream': 'text/event-stream'}


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    fleet = Fleet(LANTING, tmp_path_factory.mktemp('cut-heads'), FleetOptions())
    try:
        fleet.start()
        serve_version(fleet, 'v1')
        yield fleet
    finally:
        fleet.close()


def send(fleet, kind, headers=None, **fields):
    """
    Send a request of this kind with a new prompt; return its answer, None if that broke off, and
    how often the request ran.

    """
    answer, ran, _ = send_timed(fleet, kind, headers, **fields)
    return answer, ran


def send_timed(fleet, kind, headers=None, **fields):
    """
    Send a request as `send` does; return the time to the end of its answer, in seconds, as well.

    """
    token = fleet.caller_tokens[LANTING.organisations[0]]
    nonce = f'cut {next(NONCES)}'
    began_at = time.monotonic()
    try:
        answer = complete(
            fleet, token, prompt=nonce, nonce=nonce, stream=KINDS[kind], headers=headers, **fields
        )
    except OSError:
        answer = None
    taken_s = time.monotonic() - began_at
    ran = [
        line
        for engine in fleet.engines
        for line in read_executions(fleet.execution_log_path(engine.name))
        if line['kind'] == 'begin' and line.get('nonce') == nonce
    ]
    return answer, len(ran), taken_s


def send_all(fleet, kind, fields_by_place, headers=None):
    with ThreadPoolExecutor(CALLERS) as pool:
        replies = pool.map(
            lambda fields: send(fleet, kind, headers, **fields), fields_by_place.values()
        )
        return dict(zip(fields_by_place, replies, strict=True))


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('end', ENDS)
def test_no_part_of_a_head_is_the_answer_to_a_request(fleet, kind, end):
    fields = {place: {'raw': head, **ENDS[end]} for place, head in CUT_HEADS.items()}
    replies = send_all(fleet, kind, fields)
    found = {
        place: (answer.status, answer.headers['millfork-reason'], ran)
        for place, (answer, ran) in replies.items()
    }
    assert found == dict.fromkeys(CUT_HEADS, (502, 'truncated', 1))
    # No engine is taken to be empty or resting.
    answers = [send(fleet, kind)[0].status for _ in range(2 * len(fleet.engines))]
    assert set(answers) == {200}


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('pause_s', [0.5, 2.0])
def test_a_pause_within_a_head_costs_no_caller_its_answer(fleet, kind, pause_s):
    body = BODIES[kind]
    whole = f'{NAMED}content-type: {TYPES[kind]}\r\ncontent-length: {len(body)}\r\n\r\n{body}'
    end = whole.index('\r\n\r\n')
    places = [0, 7, 11, 12, len(SUCCESS) - 1, len(SUCCESS), len(NAMED) + 5, end - 1]
    fields = {
        stop: {'raw': whole[:stop], 'rest': whole[stop:], 'pause_s': pause_s}
        for stop in (*places, *range(end, end + 5))
    }
    fields['after an informational response'] = {
        'raw': CONTINUE, 'rest': whole, 'pause_s': pause_s
    }  # fmt: skip
    replies = send_all(fleet, kind, fields)
    found = {place: (answer.status, answer.body, ran) for place, (answer, ran) in replies.items()}
    assert found == dict.fromkeys(fields, (200, body.encode(), 1))


@pytest.mark.parametrize('kind', KINDS)
def test_a_request_whose_head_never_ends_is_answered_by_its_deadline(fleet, kind):
    headers = {'millfork-timeout-ms': str(int(DEADLINE_S * 1000))}
    with ThreadPoolExecutor(CALLERS) as pool:
        replies = pool.map(
            lambda head: send_timed(fleet, kind, headers, raw=head, holds=True), CUT_HEADS.values()
        )
        found = dict(zip(CUT_HEADS, replies, strict=True))
    assert {place: ran for place, (_, ran, _) in found.items()} == dict.fromkeys(CUT_HEADS, 1)
    times = {place: taken_s for place, (_, _, taken_s) in found.items()}
    assert max(times.values()) < DEADLINE_S + MAX_LATE_S, times
    assert {answer.status for answer, _, _ in found.values()} <= {502, 504}


@pytest.mark.parametrize('kind', KINDS)
def test_an_answer_that_closes_after_its_head_is_no_answer(fleet, kind):
    head = f'{NAMED}content-type: {TYPES[kind]}\r\n\r\n'
    answer, ran = send(fleet, kind, raw=head)
    assert (answer.status, answer.headers['millfork-reason'], ran) == (502, 'truncated', 1)
