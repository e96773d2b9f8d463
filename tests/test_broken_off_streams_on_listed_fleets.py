"""
Streams of engines on a listed fleet that end inside an event, or before the event that ends each
stream of an engine, have been broken off; callers see that.

"""

import itertools

import pytest

from millfork_standins.deployments import LANTING
from millfork_standins.fleet import Fleet
from millfork_standins.layout import FleetOptions
from tests.utils.fleets import complete, serve_version

LAST_EVENT = b'data: [DONE]\n\n'
PROMPTS = itertools.count()


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    fleet = Fleet(LANTING, tmp_path_factory.mktemp('broken-off'), FleetOptions())
    try:
        fleet.start()
        serve_version(fleet, 'v1')
        yield fleet
    finally:
        fleet.close()


def stream(fleet, **fields):
    """
    Send a request with a new prompt, for a stream unless the fields say otherwise; return the
    answer, or None if it broke off.

    """
    token = fleet.caller_tokens[LANTING.organisations[0]]
    prompt = f'prompt {next(PROMPTS)}'
    try:
        return complete(fleet, token, prompt=prompt, **{'stream': True, **fields})
    except OSError:
        return None


def whole_stream(fleet):
    answer = stream(fleet)
    assert answer.status == 200 and answer.body.endswith(LAST_EVENT)
    return answer.body


def first_events(body, count):
    return b''.join(part + b'\n\n' for part in body.split(b'\n\n')[:count])


@pytest.mark.parametrize('unframed', [True, False], ids=['connection', 'last-chunk'])
@pytest.mark.parametrize('missing_bytes', [1, 8])
def test_a_stream_that_ends_inside_an_event_is_not_framed_as_complete(
    fleet, unframed, missing_bytes
):
    cut = len(first_events(whole_stream(fleet), 2)) - missing_bytes
    assert stream(fleet, unframed=unframed, cut=cut) is None


@pytest.mark.parametrize('unframed', [True, False], ids=['connection', 'last-chunk'])
def test_a_stream_that_ends_inside_its_first_event_is_no_answer(fleet, unframed):
    answer = stream(fleet, unframed=unframed, cut=10)
    assert (answer.status, answer.headers['millfork-reason']) == (502, 'truncated')


def test_a_stream_that_closes_between_two_events_is_not_framed_as_complete(fleet):
    cut = len(first_events(whole_stream(fleet), 2))
    assert stream(fleet, unframed=True, cut=cut) is None


def test_a_stream_that_closes_before_its_first_event_is_no_answer(fleet):
    answer = stream(fleet, unframed=True, cut=0)
    assert (answer.status, answer.headers['millfork-reason']) == (502, 'truncated')


def test_a_whole_stream_that_ends_with_its_connection_is_passed_on(fleet):
    answer = stream(fleet, unframed=True)
    assert answer.status == 200
    assert answer.body.count(b'data: ') == whole_stream(fleet).count(b'data: ')
    assert answer.body.endswith(LAST_EVENT)


def test_a_document_that_closes_before_its_end_is_no_answer(fleet):
    whole = stream(fleet, stream=False, unframed=True)
    assert (whole.status, whole.json()['nonce']) == (200, 'n')
    answer = stream(fleet, stream=False, unframed=True, cut=len(whole.body) - 1)
    assert (answer.status, answer.headers['millfork-reason']) == (502, 'truncated')
