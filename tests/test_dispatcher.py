"""
Attempts of a call at several endpoints, retries, and the final refusal.

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
from millforkd.entry.dispatcher import Dispatcher

BUSY = Refusal(Reason.BUSY, Verdict.NOT_RUN, 'busy', 700)
LOST = Refusal(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
UNREACHABLE = Refusal(Reason.UNREACHABLE)


class FakeEndpointConnections:
    """
    Three endpoints that serve every service.

    """

    def __init__(self):
        names = ('a', 'b', 'c')
        self.backends = {n: Backend(InstanceId(n), ZoneId('zone')) for n in names}

    def backends_serving(self, service):
        return list(self.backends.values())


class ScriptedDispatcher(Dispatcher):
    """
    A dispatcher that takes the outcome of each attempt from a list and sends no request.

    """

    def __init__(self, outcomes, **settings):
        env = Environment(InstanceId('entry'), ZoneId('zone'))
        super().__init__(env, RoutingSettings(**settings), FakeEndpointConnections())
        self.outcomes = list(outcomes)
        self.tried_instances = []

    async def _attempt(self, call, backend, delivery, tried):
        self.tried_instances.append(backend.instance)
        refusal = self.outcomes.pop(0)
        if refusal is not None:
            self._apply_refusal(call, backend, refusal)
        return refusal


def run(outcomes, repeatable=False, has_started=False, **settings):
    dispatcher = ScriptedDispatcher(outcomes, **settings)
    deadline = dispatcher.env.monotonic() + 5
    call = Call('o', 's', 'POST', '/', [], b'', repeatable, '', '', '', 0, deadline)
    delivery = Delivery(None)
    delivery.has_started = has_started
    return dispatcher, curio.run(dispatcher.run, call, delivery)


def test_another_endpoint_is_tried_and_never_the_same_twice():
    dispatcher, refusal = run([UNREACHABLE, BUSY, None])
    assert refusal is None
    assert sorted(dispatcher.tried_instances) == ['a', 'b', 'c']


def test_the_last_refusal_is_returned_when_all_endpoints_refuse():
    _, refusal = run([BUSY, BUSY, BUSY])
    assert (refusal.reason, refusal.verdict, refusal.wait_ms) == (
        Reason.BUSY,
        Verdict.NOT_RUN,
        700,
    )


def test_a_request_that_may_have_run_is_retried_only_if_repeatable():
    dispatcher, refusal = run([LOST, None])
    assert (len(dispatcher.tried_instances), refusal) == (1, LOST)
    dispatcher, refusal = run([LOST, None], repeatable=True)
    assert (len(dispatcher.tried_instances), refusal) == (2, None)


def test_a_call_may_have_run_if_any_attempt_may_have_run():
    _, refusal = run([LOST, BUSY, BUSY], repeatable=True)
    assert (refusal.reason, refusal.verdict) == (Reason.BUSY, Verdict.MAY_HAVE_RUN)


def test_no_retry_after_the_answer_has_started():
    dispatcher, refusal = run([LOST, None], repeatable=True, has_started=True)
    assert (len(dispatcher.tried_instances), refusal) == (1, LOST)


@pytest.mark.parametrize('floor', [0, 1])
def test_an_exhausted_retry_budget_keeps_the_retry_after_time(floor):
    dispatcher, refusal = run([BUSY, BUSY, BUSY], retry_floor=floor, retry_ratio=0)
    assert len(dispatcher.tried_instances) == 1 + floor
    assert (refusal.reason, refusal.wait_ms) == (Reason.RETRY_BUDGET, 700)


def test_an_unreachable_endpoint_is_avoided():
    dispatcher, _ = run([UNREACHABLE, None])
    first = dispatcher.tried_instances[0]
    assert dispatcher.endpoints.backends[first].avoided_until > dispatcher.env.monotonic()
