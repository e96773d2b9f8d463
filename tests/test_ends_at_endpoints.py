"""
How an endpoint reports an interrupted answer, and which outcomes an entry counts as the end of a
back end.

"""

import curio
import pytest

from millfork_core.verdicts import Reason, Refusal, Verdict
from millfork_settings.models import Address
from millfork_web.client import ExchangeFailed
from millforkd.entry.attempts import Call
from millforkd.entry.delivery import Delivery
from tests.test_backend_gateway import GatewayHarness
from tests.test_dispatcher import ScriptedDispatcher

ENDED = Refusal(Reason.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, 'the back end ended')
BROKE_OFF = Refusal(Reason.TRUNCATED, Verdict.MAY_HAVE_RUN, 'the connection broke off')
UNSENT = Refusal(Reason.BACKEND_FAILED, Verdict.NOT_RUN, 'the endpoint failed')


class BreakingBackend:
    """
    A back end whose connection breaks off during each request.

    """

    async def send(self, method, path, headers, body):
        raise ExchangeFailed(Verdict.MAY_HAVE_RUN, 'reset')


async def close_connection(sock, address):
    await sock.close()


@pytest.mark.parametrize(
    ('listens', 'reason'), [(True, Reason.TRUNCATED), (False, Reason.BACKEND_FAILED)]
)
def test_only_a_back_end_whose_address_refuses_has_ended(listens, reason):
    harness = GatewayHarness()
    harness.gateway.client = BreakingBackend()

    async def run():
        sock = curio.tcp_server_socket('127.0.0.1', 0)
        host, port = sock.getsockname()
        harness.gateway.settings = harness.gateway.settings.model_copy(
            update={'address': Address(host=host, port=port)}
        )
        if not listens:
            await sock.close()
        assert (await harness.reserve()).ok
        await harness.start()
        async with curio.timeout_after(5):
            while not harness.ends():
                await curio.sleep(0.01)
        await sock.close()

    curio.run(run)
    [end] = harness.ends()
    assert (end.reason, end.verdict) == (reason.value, Verdict.MAY_HAVE_RUN.value)


class Callers:
    """
    Callers of one entry. Each call makes at most one attempt, whose outcome is the next in a list.

    """

    def __init__(self, outcomes):
        self.dispatcher = ScriptedDispatcher(outcomes)

    def call(self, body):
        deadline = self.dispatcher.env.monotonic() + 5
        call = Call('o', 's', 'POST', '/', [], body, False, '', '', '', 0, deadline)
        return curio.run(self.dispatcher.run, call, Delivery(None))


def test_a_call_is_quarantined_after_it_ended_three_back_ends():
    callers = Callers([ENDED] * 3 + [None])
    assert [callers.call(b'crash').reason for _ in range(3)] == [Reason.BACKEND_FAILED] * 3
    refusal = callers.call(b'crash')
    assert (refusal.reason, refusal.verdict) == (Reason.QUARANTINED, Verdict.NOT_RUN)
    assert callers.call(b'another') is None


@pytest.mark.parametrize('outcome', [BROKE_OFF, UNSENT, None])
def test_outcomes_without_an_end_do_not_count(outcome):
    callers = Callers([ENDED, ENDED, outcome, ENDED, None])
    for _ in range(3):
        callers.call(b'body')
    if outcome is not None:
        callers.call(b'body')
        assert callers.call(b'body').reason is Reason.QUARANTINED
        return
    assert callers.call(b'body').reason is Reason.BACKEND_FAILED
    assert callers.call(b'body') is None
