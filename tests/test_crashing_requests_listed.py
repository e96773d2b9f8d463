"""
A request that crashes the back ends that run it, on a listed fleet.

Crashes must be counted by the content of a call. Guards against counting them separately for each
call: a caller that retries makes a new call, so one request was sent 18 times in 8 calls and
crashed an engine each time.

"""

import curio

from millfork_core.verdicts import Reason, Refusal, Verdict
from millforkd.entry.attempts import Call
from millforkd.entry.delivery import Delivery
from tests.test_dispatcher import ScriptedDispatcher

BROKE_OFF = Refusal(Reason.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, 'the back end broke off')
CALLS = 8
ENDS_BEFORE_QUARANTINE = 3
MAX_RUNS_AFTER_QUARANTINE = 3


def test_a_request_that_ends_back_ends_is_quarantined():
    dispatcher = ScriptedDispatcher([BROKE_OFF] * CALLS * 3)

    async def run():
        for _ in range(CALLS):
            deadline = dispatcher.env.monotonic() + 5
            call = Call('o', 's', 'POST', '/', [], b'crash', True, '', '', '', 0, deadline)
            await dispatcher.run(call, Delivery(None))

    curio.run(run)
    assert len(dispatcher.tried_instances) <= ENDS_BEFORE_QUARANTINE + MAX_RUNS_AFTER_QUARANTINE
