"""
A request that ends the back ends that run it, on a fleet with a list of instances.

A caller that comes back makes a new call, and attempts were counted by call: the same request
went to endpoint after endpoint again, 18 times in 8 calls, and each time the engine behind it
ended. An endpoint now says which back end ended, and an entry counts that by what a call says.

"""

import curio

from millfork_core.verdicts import Reason, Refusal, Verdict
from millforkd.entry.attempts import Call
from millforkd.entry.delivery import Delivery
from tests.test_dispatch import ScriptedDispatch

BROKE_OFF = Refusal(Reason.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, 'the back end broke off')
CALLS = 8
ENDS = 3
MOST_AFTER = 3


def test_a_request_that_ends_back_ends_is_sent_no_more():
    dispatch = ScriptedDispatch([BROKE_OFF] * CALLS * 3)

    async def run():
        for _ in range(CALLS):
            deadline = dispatch.env.monotonic() + 5
            call = Call('o', 's', 'POST', '/', [], b'crash', True, '', '', '', 0, deadline)
            await dispatch.run(call, Delivery(None))

    curio.run(run)
    assert len(dispatch.asked) <= ENDS + MOST_AFTER
