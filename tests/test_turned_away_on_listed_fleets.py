"""
A back end that answers 503 at once, without a word for how long, on a listed fleet.

Its answers went on to callers, and as it had few requests in progress it looked the least loaded.
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
from tests.test_dispatch import ScriptedDispatch
from tests.utils.fleets import call_service, wait_until

SERVICE = 'portal-assets'
WORKS_MS = 300
# The two others can carry all.
LOAD_PER_S = 45
LOAD_S = 6.0
THREADS = 48


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    options = FleetOptions(service={'answer_ms': WORKS_MS}, backend={'slots': 16})
    made = Fleet(LANTING, tmp_path_factory.mktemp('turned-away'), options)
    try:
        made.start()
        made.apply(made.organisations_declaration())
        yield made
    finally:
        made.close()


def load(fleet):
    """
    Statuses of callers' repeatable requests at an even pace, spread over the entries.

    """
    token = fleet.caller_tokens[LANTING.organisations[0]]
    pause = threading.Event()
    began = time.monotonic()
    with ThreadPoolExecutor(THREADS) as pool:
        calls = []
        for number in itertools.count():
            due = began + number / LOAD_PER_S
            if due > began + LOAD_S:
                break
            pause.wait(max(due - time.monotonic(), 0))
            entry = number % len(fleet.entries)
            calls.append(pool.submit(call_service, fleet, token, 'GET', f'{SERVICE}/x', entry))
        return [call.result().status for call in calls]


def turned_away(fleet, instance):
    lines = read_executions(fleet.execution_log_path(instance.name))
    return sum(line['kind'] == TURNED_AWAY for line in lines)


def test_a_back_end_that_turns_all_away_draws_no_more_than_its_share(fleet):
    token = fleet.caller_tokens[LANTING.organisations[0]]
    for entry in range(len(fleet.entries)):
        wait_until(
            lambda entry=entry: (
                call_service(fleet, token, 'GET', f'{SERVICE}/x', entry).status == 200
            )
        )
    full = fleet.instances[f'{SERVICE}-1']
    fleet.kill(f'{full.name}.backend')
    fleet.start_backend(full, turns_away=True)
    fleet.wait_http(f'{full.name}.backend', full.host, BACKEND_PORT, '/x', status=503)
    before = turned_away(fleet, full)
    statuses = load(fleet)
    assert turned_away(fleet, full) - before <= len(statuses) / 3
    assert statuses.count(200) >= 0.9 * len(statuses)


def turned_away_with(status):
    response = Response(status, [], b'busy')
    return TurnedAway(Reason.BUSY, Verdict.MAY_HAVE_RUN, response=response)


def run(outcomes, repeatable=True):
    dispatch = ScriptedDispatch(outcomes)
    deadline = dispatch.env.monotonic() + 5
    call = Call('o', 's', 'GET', '/', [], b'', repeatable, '', '', '', 0, deadline)
    delivery = Delivery(None)
    return dispatch, curio.run(dispatch.run, call, delivery), delivery.response


def test_another_back_end_is_asked_for_a_repeatable_request():
    dispatch, refusal, response = run([turned_away_with(503), None])
    assert (len(dispatch.asked), refusal, response) == (2, None, None)


@pytest.mark.parametrize(('repeatable', 'asked'), [(True, 3), (False, 1)])
def test_where_none_does_better_the_back_end_s_own_answer_is_passed_on(repeatable, asked):
    outcomes = [turned_away_with(503), turned_away_with(503), turned_away_with(429)]
    dispatch, refusal, response = run(outcomes, repeatable)
    assert (len(dispatch.asked), refusal) == (asked, None)
    assert response.status == (429 if repeatable else 503)


def test_one_that_turns_away_is_passed_over_for_longer_each_time_until_it_takes_one():
    backend = Backend(InstanceId('a'), ZoneId('z'))
    waits = []
    for sent_at in (10, 20, 30, 40, 50, 60, 70, 80):
        backend.note_turned_away(sent_at, sent_at + 1)
        waits.append(backend.passed_over_until - sent_at - 1)
    assert waits == sorted(waits)
    assert waits[0] == pytest.approx(FIRST_PASSED_OVER_S)
    assert waits[-1] == pytest.approx(MAX_PASSED_OVER_S)
    until = backend.passed_over_until
    backend.note_turned_away(70, 82)
    assert backend.passed_over_until == until
    backend.note_accepted(70)
    assert backend.turned_away
    backend.note_accepted(90)
    assert not backend.turned_away


def test_where_all_turn_away_they_are_asked_all_the_same():
    first, second = (Backend(InstanceId(name), ZoneId('z')) for name in 'ab')
    first.note_turned_away(1, 2)
    assert choose([first, second], ZoneId('z'), 'o', '', set(), 2) is second
    second.note_turned_away(1, 2)
    assert choose([first, second], ZoneId('z'), 'o', '', set(), 2) is not None
