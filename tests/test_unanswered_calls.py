"""
Errors in the handling of a call, which must end in an answer or a refusal.

"""

import time
from types import SimpleNamespace

import curio
import h11
import msgspec
import pytest
from curio.io import Socket

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_core.verdicts import Reason, Refusal, Refused, Verdict
from millfork_routing.balance import Backend
from millfork_settings.models import BackendKind, RoutingSettings
from millfork_standins.layout import CALLERS_PORT
from millfork_standins.requests import fetch
from millfork_state.commands import ClaimKey, ClaimResult, ClaimState
from millfork_state.view import View
from millfork_web.client import Client, ExchangeFailed
from millfork_web.server import Server
from millfork_wire import codec
from millfork_wire import outbox as outbox_module
from millfork_wire.connection import Connection, PeerLost, PeerRefused
from millfork_wire.messages import Chunk, GetChunk, Hello, Ping, PushChunk, Reserved
from millfork_wire.transport import Transport
from millforkd.entry.attempts import Call
from millforkd.entry.caller_requests import CallerRequests
from millforkd.entry.delivery import Delivery
from millforkd.entry.dispatcher import Dispatcher
from millforkd.entry.key_claims import KeyClaims
from tests.test_backend_gateway import GatewayHarness, run_steps
from tests.test_connection import tcp_pair
from tests.utils.fleets import complete

TIMEOUT_S = 5.0
DEADLINE_S = 0.1
MAX_REFUSAL_S = 1.0
# Frames that exceed the buffers of a socket, and the queue.
FRAME_BYTES = 1024 * 1024
WAITING_FRAMES = 40
DEEP_JSON = b'[' * 200_000
MALFORMED_CHUNKS = (
    b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n' + b'3\r\nabc\r\n' + b'nonsense\r\n'
)


def environment():
    return Environment(InstanceId('a:1'), ZoneId('zone'))


def send_body(fleet, body, headers=None):
    token = fleet.caller_tokens[fleet.shape.organisations[0]]
    all_headers = {'authorization': f'Bearer {token}', **(headers or {})}
    host = fleet.entries[0].host
    return fetch('POST', host, CALLERS_PORT, '/v1/completions', body, all_headers)


# What callers send.


def test_deeply_nested_json_is_refused(serving_fleet):
    answer = send_body(serving_fleet, DEEP_JSON)
    assert (answer.status, answer.headers['millfork-reason']) == (400, 'bad_request')


@pytest.mark.parametrize('depth', [300, 600, 900, 960])
def test_nested_prompts_are_answered(serving_fleet, depth):
    prompt = b'[' * depth + b']' * depth
    answer = send_body(serving_fleet, b'{"model":"main","messages":' + prompt + b'}')
    assert answer.status in (200, 502)


def test_a_number_with_thousands_of_digits_is_refused(serving_fleet):
    token = serving_fleet.caller_tokens[serving_fleet.shape.organisations[0]]
    answer = complete(serving_fleet, token, headers={'millfork-timeout-ms': '9' * 5000})
    assert (answer.status, answer.headers['millfork-reason']) == (400, 'bad_request')


def test_a_lone_surrogate_in_a_prompt_is_answered(serving_fleet):
    answer = send_body(serving_fleet, b'{"model":"main","prompt":"\\ud800","max_tokens":1}')
    # 502: the stand-in engine can't encode the prompt either.
    assert answer.status in (200, 502)


def test_a_lone_surrogate_in_a_model_name_is_refused(serving_fleet):
    answer = send_body(serving_fleet, b'{"model":"\\ud800","prompt":"p"}')
    assert answer.status == 404


# What back ends send.


def test_a_malformed_chunk_after_valid_data_is_a_failed_exchange():
    async def run():
        near, far = tcp_pair()
        far.sendall(MALFORMED_CHUNKS)
        client = Client('127.0.0.1', 1)

        async def connection():
            return Socket(near), h11.Connection(h11.CLIENT)

        client._connection = connection
        async with curio.timeout_after(TIMEOUT_S):
            reply = await client.send('GET', '/', [])
            with pytest.raises(ExchangeFailed):
                await reply.body()
            await reply.close()
        far.close()

    curio.run(run)


class FailingBackend:
    """
    A back end whose client raises an error that nothing handles.

    """

    async def send(self, method, path, headers, body):
        raise RuntimeError('unexpected')


@pytest.mark.parametrize('kind', list(BackendKind))
def test_any_error_in_a_request_of_an_endpoint_ends_it(kind):
    harness = GatewayHarness(kind)
    harness.gateway.client = FailingBackend()
    run_steps(harness, harness.reserve, harness.start)
    assert [(end.reason, end.verdict) for end in harness.ends()] == [('truncated', 'may_have_run')]
    assert harness.gateway.queue.running == 0


def test_a_time_limit_that_nothing_handles_ends_a_request_of_an_endpoint():
    harness = GatewayHarness()

    async def wait(reservation):
        raise curio.TaskTimeout(1.0)

    harness.gateway._wait_for_start_and_slot = wait
    run_steps(harness, harness.reserve)
    assert [(end.reason, end.verdict) for end in harness.ends()] == [('truncated', 'not_run')]


def test_a_service_that_goes_while_its_request_joins_the_queue_costs_no_slot():
    harness = GatewayHarness()
    gateway = harness.gateway
    join = gateway.queue.join

    async def join_while_the_service_goes(organisation, until):
        await gateway.set_served({})
        return await join(organisation, until)

    gateway.queue.join = join_while_the_service_goes
    run_steps(harness, harness.reserve, harness.start)
    assert [(end.reason, end.verdict) for end in harness.ends()] == [('not_servable', 'not_run')]
    assert (gateway.queue.running, gateway.queue.waiting) == (0, 0)


# Errors of the entry itself.


class FailingDispatcher:
    """
    A dispatcher that fails, after it began to stream an answer if `has_started`.

    """

    def __init__(self, error, has_started):
        self.error = error
        self.has_started = has_started

    async def run(self, call, delivery):
        if self.has_started:
            await delivery.exchange.start(200, [('content-type', 'text/event-stream')])
            await delivery.exchange.write(b'data: 1\n\n')
        raise self.error


class OpenAccess:
    """
    Lets every caller use every service.

    """

    def authenticate_caller(self, request):
        return 'org'

    def may_use(self, organisation, service):
        return True


def answer_of_entry(dispatcher, claims=None, headers=b''):
    """
    Return the bytes that a caller receives from an entry with this dispatcher.

    """
    requests = CallerRequests(
        environment(), RoutingSettings(), View(), OpenAccess(), dispatcher, claims
    )

    async def serve(task, *args):
        await task(*args)

    server = Server('127.0.0.1', 1, requests.handle, spawn=serve)

    async def run():
        near, far = tcp_pair()
        far.settimeout(TIMEOUT_S)
        far.sendall(b'POST /services/s/ HTTP/1.1\r\nhost: a\r\nconnection: close\r\n')
        far.sendall(headers + b'content-length: 0\r\n\r\n')
        async with curio.timeout_after(TIMEOUT_S):
            await server._start_serving(Socket(near), None)
        received = b''
        while data := far.recv(65536):
            received += data
        far.close()
        return received

    return curio.run(run)


ERRORS = pytest.mark.parametrize('error', [RuntimeError('unexpected'), curio.TaskTimeout(1.0)])


@ERRORS
def test_any_error_of_an_entry_is_answered(error):
    answer = answer_of_entry(FailingDispatcher(error, has_started=False))
    assert answer.startswith(b'HTTP/1.1 502 ')
    assert b'"verdict": "may_have_run"' in answer


@ERRORS
def test_an_error_after_the_begin_of_an_answer_breaks_it_off(error):
    answer = answer_of_entry(FailingDispatcher(error, has_started=True))
    assert answer.endswith(b'data: 1\n\n\r\n')


class BusyDispatcher:
    """
    A dispatcher that sends no call to any endpoint.

    """

    async def run(self, call, delivery):
        return Refusal(Reason.BUSY)


class SilentLeaderClient:
    """
    Replicas that answer no command, or only claims of idempotency keys if `grants_claims`.

    """

    def __init__(self, grants_claims):
        self.grants_claims = grants_claims

    async def propose(self, command, timeout_s):
        if self.grants_claims and isinstance(command, ClaimKey):
            return msgspec.msgpack.encode(ClaimResult(ClaimState.GRANTED))
        await curio.sleep(timeout_s)
        raise Refused(Refusal(Reason.NO_QUORUM))


@pytest.mark.parametrize(
    ('grants_claims', 'reason'), [(False, b'claim_unavailable'), (True, b'busy')]
)
def test_a_call_with_a_key_is_refused_at_its_deadline_without_a_quorum(grants_claims, reason):
    claims = KeyClaims(environment(), SilentLeaderClient(grants_claims))
    started_at = time.monotonic()
    headers = b'idempotency-key: k\r\nmillfork-timeout-ms: 100\r\n'
    answer = answer_of_entry(BusyDispatcher(), claims, headers)
    assert b'"reason": "%s"' % reason in answer
    assert time.monotonic() - started_at < MAX_REFUSAL_S


class LateLeaderClient:
    """
    Replicas that grant a claim after the deadline of its call; records the releases of keys.

    """

    def __init__(self):
        self.released = curio.Event()

    async def propose(self, command, timeout_s):
        if isinstance(command, ClaimKey):
            await curio.sleep(2 * DEADLINE_S)
            return msgspec.msgpack.encode(ClaimResult(ClaimState.GRANTED))
        assert command.released
        await self.released.set()
        return b''


def test_a_claim_that_is_granted_after_the_deadline_is_released():
    env = environment()
    leader_client = LateLeaderClient()
    claims = KeyClaims(env, leader_client)
    deadline = env.monotonic() + DEADLINE_S
    call = Call('o', 's', 'POST', '/', [], b'', False, 'k', 'claim', '', 0, deadline)

    async def run():
        with pytest.raises(Refused):
            await claims.claim(call)
        async with curio.timeout_after(TIMEOUT_S):
            await leader_client.released.wait()

    curio.run(run)


# Messages between daemons.


async def pair_of_connections(answer):
    near, far = tcp_pair()

    async def ignore(*arguments):
        return None

    connections = []
    for sock, handler in ((near, ignore), (far, answer)):
        env = environment()
        connection = Connection(
            env, Transport(Socket(sock)), Hello(instance='b:1'), handler, ignore, True
        )
        connection.writer = await env.spawn(connection.write_frames)
        await env.spawn(connection.read_frames)
        connections.append(connection)
    return connections


def test_a_reply_over_the_frame_limit_is_a_failure(monkeypatch):
    monkeypatch.setattr(codec, 'MAX_FRAME_BYTES', 1000)

    async def answer(connection, message):
        return Chunk(True, b'x' * 2000)

    async def run():
        caller, _ = await pair_of_connections(answer)
        with pytest.raises(PeerRefused):
            await caller.call(GetChunk('m@1', 0), TIMEOUT_S)

    curio.run(run)


def test_an_error_in_handling_an_event_loses_no_reply():
    async def answer(connection, message):
        if isinstance(message, GetChunk):
            raise RuntimeError('unexpected')
        return message

    async def run():
        caller, _ = await pair_of_connections(answer)
        await caller.notify(GetChunk('m@1', 0))
        reply = await caller.call(Ping(), TIMEOUT_S)
        assert isinstance(reply, Ping)

    curio.run(run)


def test_messages_that_wait_for_a_full_queue_end_with_the_connection(monkeypatch):
    monkeypatch.setattr(outbox_module, 'MAX_QUEUED_FRAGMENTS', 2)

    async def ignore(*arguments):
        return None

    async def run():
        near, far = tcp_pair()
        env = environment()
        connection = Connection(
            env, Transport(Socket(near)), Hello(instance='b:1'), ignore, ignore, True
        )
        connection.writer = await env.spawn(connection.write_frames)
        reader = await env.spawn(connection.read_frames)
        waiting = [
            await curio.spawn(connection.notify, PushChunk('m@1', number, bytes(FRAME_BYTES)))
            for number in range(WAITING_FRAMES)
        ]
        async with curio.timeout_after(TIMEOUT_S):
            while not (connection.outbox.full() and not waiting[-1].terminated):
                await curio.sleep(0.01)
        far.close()
        async with curio.timeout_after(TIMEOUT_S):
            await reader.wait()
            for task in waiting:
                await task.wait()
        assert isinstance(waiting[-1].exception, PeerLost)

    curio.run(run)


class FullConnection:
    """
    A connection to an endpoint that reserves a slot and then reads no more.

    """

    async def call(self, message, timeout):
        return Reserved(True)

    async def notify(self, message):
        await curio.Event().wait()


def test_a_call_whose_start_message_is_never_sent_ends_at_its_deadline():
    env = environment()
    backend = Backend(InstanceId('e'), ZoneId('z'), served={'s': ''})
    endpoints = SimpleNamespace(
        connections={backend.instance: FullConnection()}, backends_serving=lambda service: [backend]
    )
    dispatcher = Dispatcher(env, RoutingSettings(), endpoints)
    deadline = env.monotonic() + DEADLINE_S
    call = Call('o', 's', 'POST', '/', [], b'', False, '', '', '', 0, deadline)

    async def run():
        async with curio.timeout_after(TIMEOUT_S):
            return await dispatcher.run(call, Delivery(None))

    refusal = curio.run(run)
    assert (refusal.reason, refusal.verdict) == (Reason.TIMED_OUT, Verdict.NOT_RUN)
