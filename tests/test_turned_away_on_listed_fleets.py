"""
A back end that answers 503 at once without Retry-After, on a listed fleet.

Guards against relaying these answers to callers, and against preferring this back end because it
seems the least loaded: a back end that turns requests away has few in progress.

"""

import itertools
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import curio
import pytest

from millfork_core.ids import InstanceId, ZoneId
from millfork_core.verdicts import Reason, Verdict
from millfork_routing.balance import FIRST_PASSED_OVER_S, MAX_PASSED_OVER_S, Backend, choose
from millfork_standins.deployments import LANTING
from millfork_standins.execution_log import read_executions
from millfork_standins.fleet import Fleet
from millfork_standins.layout import BACKEND_PORT, FleetOptions
from millfork_standins.service import TURNED_AWAY
from millfork_web.models import Response
from millforkd.entry.attempts import Call, TurnedAway
from millforkd.entry.delivery import Delivery
from tests.test_dispatcher import ScriptedDispatcher
from tests.utils.fleets import call_service, wait_until

SERVICE = 'portal-assets'
ANSWER_MS = 300
# Requests per second from callers; the two other back ends can serve this load.
LOAD_PER_S = 45
LOAD_S = 6.0
THREADS = 48


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    options = FleetOptions(service={'answer_ms': ANSWER_MS}, backend={'slots': 16})
    new_fleet = Fleet(LANTING, tmp_path_factory.mktemp('turned-away'), options)
    try:
        new_fleet.start()
        new_fleet.apply(new_fleet.organisations_declaration())
        yield new_fleet
    finally:
        new_fleet.close()


def send_load(fleet):
    """
    Send repeatable requests at an even pace, spread over the entries, and return the statuses of
    the answers.

    """
    token = fleet.caller_tokens[LANTING.organisations[0]]
    pause = threading.Event()
    started_at = time.monotonic()
    with ThreadPoolExecutor(THREADS) as pool:
        calls = []
        for number in itertools.count():
            due = started_at + number / LOAD_PER_S
            if due > started_at + LOAD_S:
                break
            pause.wait(max(due - time.monotonic(), 0))
            entry = number % len(fleet.entries)
            calls.append(pool.submit(call_service, fleet, token, 'GET', f'{SERVICE}/x', entry))
        return [call.result().status for call in calls]


def count_turned_away(fleet, instance):
    lines = read_executions(fleet.execution_log_path(instance.name))
    return sum(line['kind'] == TURNED_AWAY for line in lines)


def test_a_back_end_that_turns_all_away_gets_at_most_its_share(fleet):
    token = fleet.caller_tokens[LANTING.organisations[0]]
    for entry in range(len(fleet.entries)):
        wait_until(
            lambda entry=entry: (
                call_service(fleet, token, 'GET', f'{SERVICE}/x', entry).status == 200
            )
        )
    rejecting = fleet.instances[f'{SERVICE}-1']
    fleet.kill(f'{rejecting.name}.backend')
    fleet.start_backend(rejecting, turns_away=True)
    fleet.wait_http(f'{rejecting.name}.backend', rejecting.host, BACKEND_PORT, '/x', status=503)
    before = count_turned_away(fleet, rejecting)
    statuses = send_load(fleet)
    assert count_turned_away(fleet, rejecting) - before <= len(statuses) / 3
    assert statuses.count(200) >= 0.9 * len(statuses)


def turned_away_with(status):
    response = Response(status, [], b'busy')
    return TurnedAway(Reason.BUSY, Verdict.MAY_HAVE_RUN, response=response)


def run(outcomes, repeatable=True):
    dispatcher = ScriptedDispatcher(outcomes)
    deadline = dispatcher.env.monotonic() + 5
    call = Call('o', 's', 'GET', '/', [], b'', repeatable, '', '', '', 0, deadline)
    delivery = Delivery(None)
    return dispatcher, curio.run(dispatcher.run, call, delivery), delivery.response


def test_a_repeatable_request_is_sent_to_another_back_end():
    dispatcher, refusal, response = run([turned_away_with(503), None])
    assert (len(dispatcher.tried_instances), refusal, response) == (2, None, None)


@pytest.mark.parametrize(('repeatable', 'attempt_count'), [(True, 3), (False, 1)])
def test_the_last_turning_away_answer_is_relayed_if_all_turn_away(repeatable, attempt_count):
    outcomes = [turned_away_with(503), turned_away_with(503), turned_away_with(429)]
    dispatcher, refusal, response = run(outcomes, repeatable)
    assert (len(dispatcher.tried_instances), refusal) == (attempt_count, None)
    assert response.status == (429 if repeatable else 503)


def test_back_ends_that_turn_away_are_passed_over_for_increasing_times():
    backend = Backend(InstanceId('a'), ZoneId('z'))
    waits = []
    for sent_at in (10, 20, 30, 40, 50, 60, 70, 80):
        backend.record_turned_away(sent_at, sent_at + 1)
        waits.append(backend.passed_over_until - sent_at - 1)
    assert waits == sorted(waits)
    assert waits[0] == pytest.approx(FIRST_PASSED_OVER_S)
    assert waits[-1] == pytest.approx(MAX_PASSED_OVER_S)
    until = backend.passed_over_until
    backend.record_turned_away(70, 82)
    assert backend.passed_over_until == until
    backend.record_accepted(70)
    assert backend.turned_away
    backend.record_accepted(90)
    assert not backend.turned_away


def test_back_ends_are_still_used_if_all_turn_away():
    first, second = (Backend(InstanceId(name), ZoneId('z')) for name in 'ab')
    first.record_turned_away(1, 2)
    assert choose([first, second], ZoneId('z'), 'o', '', set(), 2) is second
    second.record_turned_away(1, 2)
    assert choose([first, second], ZoneId('z'), 'o', '', set(), 2) is not None
