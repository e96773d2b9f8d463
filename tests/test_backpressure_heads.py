"""
What the head of an answer says of its back end.

"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from millfork_platform.adapter import PlatformAdapter

ADAPTER = PlatformAdapter()


def told(*headers, status=200):
    return ADAPTER.read_answer(status, list(headers)).backpressure


def test_a_limit_is_requests_a_second():
    assert told(('server-limit', '1.8')).limit_per_s == 1.8
    assert told().limit_per_s is None


def test_of_several_limits_the_least_holds():
    assert told(('server-limit', '5'), ('server-limit', '2')).limit_per_s == 2


@pytest.mark.parametrize('text', ['-1', 'nan', 'inf', '1e400', '', 'soon', '1,5'])
def test_a_limit_that_makes_no_sense_is_not_believed(text):
    found = told(('server-limit', text))
    assert found.limit_per_s is None
    assert found.unread


@given(st.text(max_size=20))
def test_any_limit_is_read_or_told_as_unread(text):
    found = told(('server-limit', text))
    assert (found.limit_per_s is None) == bool(found.unread)
