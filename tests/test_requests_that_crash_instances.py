"""
A request under which whole instances end, endpoint daemon and engine at once, on a listed fleet.

The endpoint that would tell of its engine's end is gone with it. An entry that lost the connection
to an endpoint counted nothing, so the request was sent on to one instance after another.
"""

import threading

import pytest

from millfork_standins.execution_log import read_executions
from tests.test_crashing_requests import ENDS_BEFORE_QUARANTINE, MAX_FURTHER_ENDS
from tests.utils.crashing import CrashingFleet
from tests.utils.fleets import wait_until

CALLS = 10
# Long enough for the test to end the instance first.
CRASH_AFTER_MS = 2000


@pytest.fixture
def crashing(tmp_path):
    made = CrashingFleet(tmp_path, crash_after_ms=CRASH_AFTER_MS)
    try:
        made.start()
        yield made
    finally:
        made.close()


def running(crashing, nonce):
    """
    The engine that began a request and has not ended since.

    """
    for instance in crashing.fleet.engines:
        lines = read_executions(crashing.fleet.executions(instance.name))
        if lines and lines[-1].get('nonce') == nonce and lines[-1]['kind'] == 'begin':
            return instance
    return None


def call_and_end_instance(crashing, number):
    """
    One call, and the end of the instance that runs it; whether one did.

    """
    nonce = 'takes all'
    asking = threading.Thread(target=lambda: crashing.call(0, nonce=nonce))
    asking.start()
    wait_until(lambda: running(crashing, nonce) is not None or not asking.is_alive())
    instance = running(crashing, nonce)
    if instance is not None:
        crashing.fleet.kill(instance.name)
        crashing.fleet.processes[f'{instance.name}.backend'].kill()
    asking.join()
    if instance is None:
        return False
    # What it began is over.
    wait_until(lambda: running(crashing, nonce) is not instance or restart(crashing, instance))
    return True


def restart(crashing, instance):
    crashing.fleet.executions(instance.name).open('a').write('{"kind": "over"}\n')
    crashing.fleet.start_daemon(instance)
    return True


def test_a_request_under_which_instances_end_is_sent_no_more(crashing):
    ended = sum(call_and_end_instance(crashing, number) for number in range(CALLS))
    assert ended <= ENDS_BEFORE_QUARANTINE + MAX_FURTHER_ENDS
