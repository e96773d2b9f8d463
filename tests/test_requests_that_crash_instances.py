"""
A request that crashes whole instances: the endpoint daemon together with the engine.

The endpoint daemon that would report the crash of its engine has crashed too. An entry that
doesn't count the lost connection to the daemon as a crash sends the request to one instance after
another.
"""

import threading

import pytest

from millfork_standins.execution_log import read_executions
from tests.test_crashing_requests import ENDS_BEFORE_QUARANTINE, MAX_FURTHER_ENDS
from tests.utils.crashing import CrashingFleet
from tests.utils.fleets import wait_until

CALLS = 10
# The engine crashes this long after the request starts: long enough for the test to kill the whole
# instance first.
CRASH_AFTER_MS = 2000


@pytest.fixture
def crashing(tmp_path):
    new_fleet = CrashingFleet(tmp_path, crash_after_ms=CRASH_AFTER_MS)
    try:
        new_fleet.start()
        yield new_fleet
    finally:
        new_fleet.close()


def running_instance(crashing, nonce):
    """
    The instance whose engine started the request with this nonce and has logged nothing since; None
    if there is none.

    """
    for instance in crashing.fleet.engines:
        lines = read_executions(crashing.fleet.execution_log_path(instance.name))
        if lines and lines[-1].get('nonce') == nonce and lines[-1]['kind'] == 'begin':
            return instance
    return None


def call_and_kill_instance(crashing, number):
    """
    Send one call and kill the instance that runs the call. Returns whether there was one.

    """
    nonce = 'takes all'
    caller = threading.Thread(target=lambda: crashing.call(0, nonce=nonce))
    caller.start()
    wait_until(lambda: running_instance(crashing, nonce) is not None or not caller.is_alive())
    instance = running_instance(crashing, nonce)
    if instance is not None:
        crashing.fleet.kill(instance.name)
        crashing.fleet.processes[f'{instance.name}.backend'].kill()
    caller.join()
    if instance is None:
        return False
    # `restart` logs another line, so that this instance no longer counts as running the request.
    wait_until(
        lambda: running_instance(crashing, nonce) is not instance or restart(crashing, instance)
    )
    return True


def restart(crashing, instance):
    crashing.fleet.execution_log_path(instance.name).open('a').write('{"kind": "over"}\n')
    crashing.fleet.start_daemon(instance)
    return True


def test_a_request_that_ended_instances_is_no_longer_sent(crashing):
    ended_count = sum(call_and_kill_instance(crashing, number) for number in range(CALLS))
    assert ended_count <= ENDS_BEFORE_QUARANTINE + MAX_FURTHER_ENDS
