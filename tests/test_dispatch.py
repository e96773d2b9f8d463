"""
From a call to an answer: attempts, retries, and the final word.

"""

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_core.verdicts import Reason, Refusal, Verdict
from millfork_routing.balance import Backend
from millfork_settings.models import RoutingSettings
from millforkd.entry.attempts import Call
from millforkd.entry.delivery import Delivery
from millforkd.entry.dispatch import Dispatch

BUSY = Refusal(Reason.BUSY, Verdict.NOT_RUN, 'busy', 700)
LOST = Refusal(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
UNREACHABLE = Refusal(Reason.UNREACHABLE)


class FakeBook:
    """
    Three endpoints that serve everything.

    """

    def __init__(self):
        names = ('a', 'b', 'c')
        self.backends = {n: Backend(InstanceId(n), ZoneId('zone')) for n in names}

    def serving(self, service):
        return list(self.backends.values())


class ScriptedDispatch(Dispatch):
    """
    Takes the outcome of each attempt from a list.

    """

    def __init__(self, outcomes, **settings):
        env = Environment(InstanceId('entry'), ZoneId('zone'))
        super().__init__(env, RoutingSettings(**settings), FakeBook())
        self.outcomes = list(outcomes)
        self.asked = []

    async def _attempt(self, call, backend, delivery):
        self.asked.append(backend.instance)
        refusal = self.outcomes.pop(0)
        if refusal is not None:
            self._learn(call, backend, refusal)
        return refusal


def run(outcomes, repeatable=False, begun=False, **settings):
    dispatch = ScriptedDispatch(outcomes, **settings)
    deadline = dispatch.env.monotonic() + 5
    call = Call('o', 's', 'POST', '/', [], b'', repeatable, '', '', '', 0, deadline)
    delivery = Delivery(None)
    delivery.begun = begun
    return dispatch, curio.run(dispatch.run, call, delivery)


def test_another_endpoint_is_tried_and_never_the_same_twice():
    dispatch, refusal = run([UNREACHABLE, BUSY, None])
    assert refusal is None
    assert sorted(dispatch.asked) == ['a', 'b', 'c']


def test_when_all_refuse_the_last_word_is_passed_on_at_once():
    _, refusal = run([BUSY, BUSY, BUSY])
    assert (refusal.reason, refusal.verdict, refusal.wait_ms) == (
        Reason.BUSY,
        Verdict.NOT_RUN,
        700,
    )


def test_what_may_have_run_is_not_tried_again_unless_repeatable():
    dispatch, refusal = run([LOST, None])
    assert (len(dispatch.asked), refusal) == (1, LOST)
    dispatch, refusal = run([LOST, None], repeatable=True)
    assert (len(dispatch.asked), refusal) == (2, None)


def test_one_attempt_that_may_have_run_marks_the_whole():
    _, refusal = run([LOST, BUSY, BUSY], repeatable=True)
    assert (refusal.reason, refusal.verdict) == (Reason.BUSY, Verdict.MAY_HAVE_RUN)


def test_nothing_is_tried_again_once_the_answer_has_begun():
    dispatch, refusal = run([LOST, None], repeatable=True, begun=True)
    assert (len(dispatch.asked), refusal) == (1, LOST)


@pytest.mark.parametrize('floor', [0, 1])
def test_the_budget_ends_the_tries_and_keeps_the_wait(floor):
    dispatch, refusal = run([BUSY, BUSY, BUSY], retry_floor=floor, retry_ratio=0)
    assert len(dispatch.asked) == 1 + floor
    assert (refusal.reason, refusal.wait_ms) == (Reason.RETRY_BUDGET, 700)


def test_an_endpoint_that_vanished_is_passed_over_by_the_next_call():
    dispatch, _ = run([UNREACHABLE, None])
    first = dispatch.asked[0]
    assert dispatch.book.backends[first].suspect_until > dispatch.env.monotonic()
