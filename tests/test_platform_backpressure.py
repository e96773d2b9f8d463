"""
The backpressure headers of back ends' responses are parsed, and invalid ones are reported.

"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from millfork_platform.adapter import PlatformAdapter

ADAPTER = PlatformAdapter()


def backpressure(*headers, status=200):
    return ADAPTER.read_answer_head(status, list(headers)).backpressure


def test_the_limit_is_in_requests_per_second():
    assert backpressure(('server-limit', '1.8')).limit_per_s == 1.8
    assert backpressure().limit_per_s is None


def test_the_lowest_of_several_limits_counts():
    assert backpressure(('server-limit', '5'), ('server-limit', '2')).limit_per_s == 2


@pytest.mark.parametrize('text', ['-1', 'nan', 'inf', '1e400', '', 'soon', '1,5'])
def test_an_invalid_limit_is_ignored(text):
    parsed = backpressure(('server-limit', text))
    assert parsed.limit_per_s is None
    assert parsed.invalid_headers


@given(st.text(max_size=20))
def test_any_limit_is_parsed_or_reported_as_invalid(text):
    parsed = backpressure(('server-limit', text))
    assert (parsed.limit_per_s is None) == bool(parsed.invalid_headers)


def test_only_1_means_that_a_back_end_is_leaving():
    assert backpressure(('server-leaving', '1')).leaving
    assert not backpressure(('server-leaving', '0')).leaving
    assert not backpressure().leaving
    invalid = backpressure(('server-leaving', 'soon'))
    assert not invalid.leaving
    assert invalid.invalid_headers


def test_retry_after_counts_only_with_429_and_503():
    assert backpressure(('retry-after', '3'), status=503).rest_s == 3
    assert backpressure(('retry-after', '0.25'), status=429).rest_s == 0.25
    assert backpressure(('retry-after', '3'), status=200).rest_s is None
    assert backpressure(status=503).rest_s is None


def test_the_longest_of_several_retry_after_headers_counts():
    assert backpressure(('retry-after', '1'), ('retry-after', '4'), status=503).rest_s == 4


def test_retry_after_may_be_a_date():
    sent_at = ('date', 'Thu, 03 Dec 2026 09:00:00 GMT')
    until = ('retry-after', 'Thu, 03 Dec 2026 09:00:07 GMT')
    assert backpressure(sent_at, until, status=503).rest_s == 7
    assert backpressure(('retry-after', 'Thu, 03 Dec 2020 09:00:07 GMT'), status=503).rest_s == 0


@pytest.mark.parametrize('text', ['-3', 'nan', 'inf', '', 'later'])
def test_an_invalid_retry_after_is_ignored(text):
    parsed = backpressure(('retry-after', text), status=503)
    assert parsed.rest_s is None
    assert parsed.invalid_headers


@given(st.text(max_size=40))
def test_any_retry_after_is_parsed_or_reported_as_invalid(text):
    parsed = backpressure(('retry-after', text), ('date', text), status=503)
    assert (parsed.rest_s is None) == bool(parsed.invalid_headers)
