"""
Planned stops: the deadline and the second signal are choices of their own.

"""

import threading
import time

import pytest

from millfork_core.status import ExitStatus
from millfork_standins.deployments import LANTING
from millfork_standins.fleet import Fleet
from millfork_standins.layout import FleetOptions
from tests.utils.fleets import call_service, wait_until

LONG_MS = 60_000
ASK_AGAIN_S = 0.1


@pytest.fixture
def fleet(tmp_path):
    shape = LANTING
    options = FleetOptions(service={'answer_ms': LONG_MS}, routing={'drain_ms': 1500})
    made = Fleet(shape, tmp_path, options)
    made.start()
    made.apply(made.organisations_declaration())
    yield made
    made.close()


def begin_long_call(fleet, entry):
    """
    Ask for something that takes longer than any drain.

    """
    token = fleet.caller_tokens[fleet.shape.organisations[0]]
    position = fleet.entries.index(entry)
    answers = []
    # What was applied is in force at this entry once it knows the token.
    wait_until(lambda: call_service(fleet, token, 'GET', 'no-such/x', position).status != 401)

    def ask():
        try:
            answer = call_service(fleet, token, 'GET', 'billing-misc/x', position)
            while answer.headers.get('millfork-reason') == 'no_endpoint':
                # Its endpoint daemon has just started; the entry has no connection yet.
                time.sleep(ASK_AGAIN_S)
                answer = call_service(fleet, token, 'GET', 'billing-misc/x', position)
            answers.append(answer)
        except OSError as error:
            answers.append(error)

    threading.Thread(target=ask, daemon=True).start()
    log = fleet.execution_log_path('billing-misc-1')
    wait_until(lambda: answers or (log.exists() and 'begin' in log.read_text()))
    assert not answers, (answers, fleet.read_log_tail(entry.name))


@pytest.mark.parametrize(
    ('signals', 'word'),
    [(1, 'Drain deadline: 1 requests are cut off'), (2, 'Second signal: 1 requests are cut off')],
)
def test_what_ends_a_drain_early_is_said(fleet, signals, word):
    entry = fleet.entries[0]
    begin_long_call(fleet, entry)
    process = fleet.processes.pop(entry.name)
    process.terminate()
    wait_until(lambda: 'Stopping; requests in progress go on' in fleet.read_log_tail(entry.name))
    if signals == 2:
        process.terminate()
    assert process.wait(30) == ExitStatus.SUCCESS
    assert word in fleet.read_log_tail(entry.name)
