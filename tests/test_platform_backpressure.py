"""
What the head of an answer says of its back end.

"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from millfork_platform.adapter import PlatformAdapter

ADAPTER = PlatformAdapter()


def told(*headers, status=200):
    return ADAPTER.read_answer_head(status, list(headers)).backpressure


def test_a_limit_is_requests_a_second():
    assert told(('server-limit', '1.8')).limit_per_s == 1.8
    assert told().limit_per_s is None


def test_of_several_limits_the_least_holds():
    assert told(('server-limit', '5'), ('server-limit', '2')).limit_per_s == 2


@pytest.mark.parametrize('text', ['-1', 'nan', 'inf', '1e400', '', 'soon', '1,5'])
def test_a_limit_that_makes_no_sense_is_not_believed(text):
    found = told(('server-limit', text))
    assert found.limit_per_s is None
    assert found.invalid_headers


@given(st.text(max_size=20))
def test_any_limit_is_read_or_told_as_unread(text):
    found = told(('server-limit', text))
    assert (found.limit_per_s is None) == bool(found.invalid_headers)


def test_a_back_end_that_leaves_says_so():
    assert told(('server-leaving', '1')).leaving
    assert not told(('server-leaving', '0')).leaving
    assert not told().leaving
    odd = told(('server-leaving', 'soon'))
    assert not odd.leaving
    assert odd.invalid_headers


def test_a_rest_is_asked_for_with_an_answer_that_turns_away():
    assert told(('retry-after', '3'), status=503).rest_s == 3
    assert told(('retry-after', '0.25'), status=429).rest_s == 0.25
    assert told(('retry-after', '3'), status=200).rest_s is None
    assert told(status=503).rest_s is None


def test_of_several_rests_the_longest_holds():
    assert told(('retry-after', '1'), ('retry-after', '4'), status=503).rest_s == 4


def test_a_rest_may_be_a_date():
    sent = ('date', 'Thu, 03 Dec 2026 09:00:00 GMT')
    until = ('retry-after', 'Thu, 03 Dec 2026 09:00:07 GMT')
    assert told(sent, until, status=503).rest_s == 7
    assert told(('retry-after', 'Thu, 03 Dec 2020 09:00:07 GMT'), status=503).rest_s == 0


@pytest.mark.parametrize('text', ['-3', 'nan', 'inf', '', 'later'])
def test_a_rest_that_makes_no_sense_is_not_believed(text):
    found = told(('retry-after', text), status=503)
    assert found.rest_s is None
    assert found.invalid_headers


@given(st.text(max_size=40))
def test_any_rest_is_read_or_told_as_unread(text):
    found = told(('retry-after', text), ('date', text), status=503)
    assert (found.rest_s is None) == bool(found.invalid_headers)
