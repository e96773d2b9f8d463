"""
Engines, plain services and daemons of a listed fleet that pause for 1.9 s and go on, which must
cost no caller an answer.

Real processes. All back ends, or all endpoint daemons, pause at once, so that an entry finds none
that goes on.

"""

import time
from concurrent.futures import ThreadPoolExecutor

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_routing.limits import FairQueue
from millfork_settings.models import Address, BackendKind, BackendSettings
from millfork_standins.deployments import LANTING
from millfork_standins.fleet import Fleet
from millfork_standins.layout import FleetOptions
from millfork_web.models import json_response
from millfork_web.server import Server
from millforkd.endpoint.engine_client import EngineClient
from tests.test_backend_gateway import FakeConnection, GatewayHarness
from tests.utils.fleets import call_service, complete, serve_version, wait_until

PAUSE_S = 1.9
# How long a stream is under way when the pause begins, of about 0.6 s that it takes.
STREAM_S = 0.2
STREAM_TOKENS = 30
TOKEN_MS = 20
# A pause of the longest length, and the time around it.
LONGEST_PAUSE_S = 2.1
SERVICE_TIME_S = 0.1
CALLS = 24
SHORT_TIMEOUT_MS = 50
# More calls than the retry budget of an entry allows to retry.
BURST_CALLS = 40
LAST_EVENT = b'data: [DONE]\n\n'


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    options = FleetOptions(engine={'token_ms': TOKEN_MS})
    fleet = Fleet(LANTING, tmp_path_factory.mktemp('silent'), options)
    try:
        fleet.start()
        serve_version(fleet, 'v1')
        yield fleet
    finally:
        fleet.close()


def token_of(fleet):
    return fleet.caller_tokens[LANTING.organisations[0]]


def complete_numbered(fleet, number, **fields):
    """
    Send a completion to one of the entries in turn; calls differ in their prompts.

    """
    entry = number % len(fleet.entries)
    prompt = f'prompt {number} {time.monotonic()}'
    return complete(fleet, token_of(fleet), entry, prompt=prompt, **fields)


def stream_numbered(fleet, number):
    return complete_numbered(fleet, number, stream=True, max_tokens=STREAM_TOKENS)


def call_numbered_service(fleet, number, service):
    entry = number % len(fleet.entries)
    return call_service(fleet, token_of(fleet), 'POST', f'{service}/{number}', entry)


def call_portal(fleet, number):
    return call_numbered_service(fleet, number, 'portal-assets')


def call_billing(fleet, number):
    return call_numbered_service(fleet, number, 'billing-misc')


CALL_KINDS = (complete_numbered, stream_numbered, call_portal, call_billing)


def pause(fleet, names):
    for name in names:
        fleet.freeze(name)
    time.sleep(PAUSE_S)
    for name in names:
        fleet.thaw(name)


def back_ends(fleet):
    return [f'{i.name}.backend' for i in fleet.instances.values() if i.role == 'endpoint']


def endpoint_daemons(fleet):
    return [i.name for i in fleet.instances.values() if i.role == 'endpoint']


def entry_daemons(fleet):
    return [entry.name for entry in fleet.entries]


def send_beside_pause(fleet, names, send, calls=CALLS, under_way_s=0.0):
    """
    Send calls at once, `under_way_s` before the processes pause or, without it, just after the
    pause has begun. Return all answers, with None for a connection that broke.

    """

    def send_one(number):
        try:
            return send(fleet, number)
        except OSError:
            return None

    with ThreadPoolExecutor(calls + 1) as pool:
        if under_way_s:
            sent = [pool.submit(send_one, number) for number in range(calls)]
            time.sleep(under_way_s)
            pause(fleet, names)
        else:
            pausing = pool.submit(pause, fleet, names)
            time.sleep(0.05)
            sent = [pool.submit(send_one, number) for number in range(calls)]
            pausing.result()
        return [answer.result() for answer in sent]


def statuses(answers):
    return [
        (answer.status, answer.headers.get('millfork-reason')) if answer else 'broken off'
        for answer in answers
    ]


def assert_all_answered(answers):
    assert statuses(answers) == [(200, None)] * len(answers)


def assert_serves(fleet):
    """
    Check that every entry answers calls of each kind.

    """
    numbers = range(len(fleet.entries))
    with ThreadPoolExecutor(4 * len(numbers)) as pool:
        sent = [pool.submit(send, fleet, n) for n in numbers for send in CALL_KINDS]
        assert_all_answered([answer.result() for answer in sent])


PAUSED = pytest.mark.parametrize('paused', [back_ends, endpoint_daemons, entry_daemons])


@PAUSED
@pytest.mark.parametrize('under_way_s', [0.0, STREAM_S], ids=['before-the-head', 'in-the-stream'])
def test_a_pause_breaks_off_no_stream(fleet, paused, under_way_s):
    answers = send_beside_pause(fleet, paused(fleet), stream_numbered, under_way_s=under_way_s)
    assert_all_answered(answers)
    assert all(answer.body.endswith(LAST_EVENT) for answer in answers)
    assert_serves(fleet)


@PAUSED
@pytest.mark.parametrize('under_way_s', [0.0, 0.05], ids=['before-the-call', 'during-the-call'])
def test_a_pause_costs_no_whole_answer(fleet, paused, under_way_s):
    assert_all_answered(
        send_beside_pause(fleet, paused(fleet), complete_numbered, under_way_s=under_way_s)
    )
    assert_serves(fleet)


@PAUSED
@pytest.mark.parametrize('send', [call_portal, call_billing])
def test_a_pause_costs_no_answer_of_a_plain_service(fleet, paused, send):
    assert_all_answered(send_beside_pause(fleet, paused(fleet), send))
    assert_serves(fleet)


@PAUSED
def test_a_pause_costs_no_answer_of_a_burst_at_one_entry(fleet, paused):
    def send(fleet, number):
        return complete_numbered(fleet, number * len(fleet.entries))

    assert_all_answered(send_beside_pause(fleet, paused(fleet), send, BURST_CALLS))
    assert_serves(fleet)


def test_callers_with_short_deadlines_cost_other_callers_no_answer(fleet):
    for number in range(2 * len(fleet.engines)):
        headers = {'millfork-timeout-ms': str(SHORT_TIMEOUT_MS)}
        prompt = f'short {number}'
        answer = complete(fleet, token_of(fleet), headers=headers, prompt=prompt)
        assert answer.headers['millfork-reason'] == 'timed_out'
    assert_serves(fleet)


@pytest.mark.parametrize('number', range(LANTING.disks))
def test_a_pause_of_a_replica_costs_no_answer_of_a_call_with_a_key(fleet, number):
    paused = fleet.replicas[number]
    others = [n for n, entry in enumerate(fleet.entries) if entry is not paused]

    def send(fleet, number):
        entry = others[number % len(others)]
        headers = {'idempotency-key': f'{paused.name} {number}'}
        token = token_of(fleet)
        return call_service(fleet, token, 'POST', 'portal-assets/k', entry, headers)

    assert_all_answered(send_beside_pause(fleet, [paused.name], send))
    assert_serves(fleet)


def test_a_key_whose_claim_met_a_pause_is_free_afterwards(fleet):
    paused = [replica.name for replica in fleet.replicas]
    entry = next(n for n, e in enumerate(fleet.entries) if e.name not in paused)
    headers = {'idempotency-key': 'late claim', 'millfork-timeout-ms': '500'}

    def send(fleet, number):
        token = token_of(fleet)
        return call_service(fleet, token, 'POST', 'portal-assets/l', entry, headers)

    answers = send_beside_pause(fleet, paused, send, calls=1)
    assert statuses(answers) == [(503, 'claim_unavailable')]
    wait_until(lambda: send(fleet, 0).status == 200)


def test_an_engine_that_pauses_during_a_poll_keeps_its_versions():
    async def answer(exchange):
        await curio.sleep(LONGEST_PAUSE_S)
        await exchange.respond(json_response({'incarnation': 'i', 'loaded': ['v1']}))

    async def run():
        env = Environment(InstanceId('e'), ZoneId('z'))
        listener = curio.tcp_server_socket('127.0.0.1', 0)
        port = listener.getsockname()[1]
        server = Server('127.0.0.1', port, answer)
        await curio.spawn(server._accept, listener, daemon=True)
        address = Address(host='127.0.0.1', port=port)
        settings = BackendSettings(kind=BackendKind.ENGINE, service='pool', address=address)
        client = EngineClient(env, settings, '127.0.0.1')
        assert await client.poll()
        assert client.status.loaded == ['v1']

    curio.run(run)


def test_an_entry_that_pauses_before_its_start_message_keeps_its_slot():
    harness = GatewayHarness()

    async def run():
        assert (await harness.reserve()).ok
        await curio.sleep(LONGEST_PAUSE_S)
        await harness.start()
        await harness.backend.gate.set()
        await harness.run_pending_tasks()
        assert [end.reason for end in harness.ends()] == ['']

    curio.run(run)


class PausedEntryConnection(FakeConnection):
    """
    The connection to an entry that reads no messages, after its queue has become full.

    """

    async def notify(self, message):
        await curio.Event().wait()


def test_a_paused_entry_keeps_no_load_report_from_another():
    harness = GatewayHarness()

    async def run():
        for name, connection in (('a', PausedEntryConnection()), ('b', harness.connection)):
            connection.peer = InstanceId(name)
            await harness.gateway.subscribe_to_load(connection)
        await curio.spawn(harness.gateway.report_load, daemon=True)
        await harness.gateway.set_leaving(True)
        async with curio.timeout_after(5):
            while not harness.connection.sent:
                await curio.sleep(0.01)

    curio.run(run)


def test_the_expected_wait_is_not_that_of_a_pause():
    slots = 8
    queue = FairQueue(slots, 64, lambda organisation: 1, time.monotonic)
    for _ in range(100):
        queue.learn_service_time(SERVICE_TIME_S)
    for _ in range(slots):
        queue.learn_service_time(PAUSE_S + SERVICE_TIME_S)

    async def run():
        for _ in range(2 * slots):
            await queue.join('org', time.monotonic() + 60)
        # Eight requests are ahead, which take 0.1 s together.
        assert queue.refusal_wait_ms('org', 10 * SERVICE_TIME_S) == 0

    curio.run(run)
