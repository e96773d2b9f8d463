"""
The endpoint's gateway to its back end: admission of requests, withheld answers and verdicts.

"""

import json
import time

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_core.verdicts import Reason, Verdict
from millfork_settings.models import Address, BackendKind, BackendSettings
from millfork_state.commands import SettleKey, decode_command, encode_command
from millfork_web.framing import Framing
from millfork_web.models import Response
from millfork_wire.connection import PeerLost
from millfork_wire.messages import Cancel, End, Head, Part, Reserve, Start
from millforkd.endpoint.backend_gateway import BackendGateway
from tests.test_servers import Clock

VERSION = 'version-1'
BODY = json.dumps({'model': 'main', 'prompt': 'p'}).encode()


class FakeReply:
    """
    An answer of the back end whose body has arrived completely.

    """

    def __init__(self, response):
        self.status = response.status
        self.headers = response.headers
        self.framing = Framing.CONNECTION
        self.response = response

    def header(self, name):
        return self.response.header(name)

    async def parts(self):
        yield self.response.body

    async def close(self):
        return


class FakeBackend:
    """
    A back end that records the requests it ran; it answers once `gate` is set.

    """

    def __init__(self, response):
        self.response = response
        self.ran = []
        self.gate = curio.Event()

    async def send(self, method, path, headers, body):
        self.ran.append((path, body))
        await self.gate.wait()
        headers = [*self.response.headers, ('x-request-id', dict(headers)['x-request-id'])]
        return FakeReply(Response(self.response.status, headers, self.response.body))


class FakeConnection:
    """
    The connection to an entry; records the messages sent to it.

    """

    def __init__(self):
        self.peer = InstanceId('entry')
        self.closed = False
        self.sent = []

    async def notify(self, message):
        if self.closed:
            raise PeerLost('gone')
        self.sent.append(message)


class FakeLeaderClient:
    """
    Records the commands that the gateway proposes.

    """

    def __init__(self):
        self.commands = []

    async def propose(self, command, timeout_s):
        self.commands.append(decode_command(encode_command(command)))
        return b''


class GatewayHarness:
    """
    A gateway between a fake entry and a fake back end.

    """

    def __init__(self, kind=BackendKind.ENGINE, version=VERSION, status=200, clock=time.monotonic):
        settings = BackendSettings(
            kind=kind,
            service='pool',
            address=Address(host='127.0.0.1', port=1),
            slots=1,
            queue=1,
            coalesce_ms=0,
        )
        env = Environment(InstanceId('e'), ZoneId('z'), monotonic=clock)
        self.leader_client = FakeLeaderClient()
        self.gateway = BackendGateway(env, settings, '127.0.0.1', self.leader_client)
        if kind is BackendKind.ENGINE:
            self.gateway.served = {'org/main': VERSION}
        self.backend = FakeBackend(Response(status, [('millfork-version', version)], b'answer'))
        self.gateway.client = self.backend
        self.connection = FakeConnection()
        self.service = 'org/main' if kind is BackendKind.ENGINE else 'pool'

    async def reserve(self, name='r', **fields):
        request = Reserve(name, 'org', self.service, 5000, 0, 'POST', '/x', [], BODY, **fields)
        return await self.gateway.on_reserve(self.connection, request)

    async def start(self, name='r'):
        await self.gateway.on_start(self.connection, Start(name))

    async def run_pending_tasks(self):
        """
        Let all tasks run that are ready.

        """
        for _ in range(50):
            await curio.sleep(0)

    def ends(self):
        return [message for message in self.connection.sent if isinstance(message, End)]


def run_steps(harness, *steps):
    async def run():
        last_result = None
        for step in steps:
            last_result = await step()
            await harness.run_pending_tasks()
        return last_result

    return curio.run(run)


def test_no_request_runs_before_its_start_message():
    harness = GatewayHarness()
    assert run_steps(harness, harness.reserve).ok
    assert harness.backend.ran == []


def test_an_answer_is_relayed_with_its_version():
    harness = GatewayHarness()
    run_steps(harness, harness.reserve, harness.start, harness.backend.gate.set)
    head, part, end = harness.connection.sent
    assert isinstance(head, Head) and isinstance(part, Part)
    assert [h.value for h in head.headers if h.name == 'millfork-version'] == [VERSION]
    assert (end.parts, end.bytes, end.reason) == (1, len(part.data), '')
    assert json.loads(harness.backend.ran[0][1])['model'] == VERSION
    assert harness.gateway.in_progress == 0


def test_a_start_without_a_reservation_is_refused():
    harness = GatewayHarness()
    run_steps(harness, harness.start)
    assert harness.backend.ran == []
    assert [(e.reason, e.verdict) for e in harness.ends()] == [('expired', 'not_run')]


@pytest.mark.parametrize(
    ('version', 'status', 'reason', 'verdict'),
    [
        ('version-2', 200, 'version_mismatch', 'may_have_run'),
        ('', 200, 'version_mismatch', 'may_have_run'),
        ('', 404, 'engine_empty', 'not_run'),
    ],
)
def test_an_answer_from_other_weights_is_withheld(version, status, reason, verdict):
    harness = GatewayHarness(version=version, status=status)
    run_steps(harness, harness.reserve, harness.start, harness.backend.gate.set)
    assert [type(message) for message in harness.connection.sent] == [End]
    assert [(e.reason, e.verdict) for e in harness.ends()] == [(reason, verdict)]


def test_leaving_and_unservable_requests_are_refused_at_once():
    harness = GatewayHarness()

    async def leave():
        await harness.gateway.set_leaving(True)

    assert run_steps(harness, leave, harness.reserve).reason == Reason.LEAVING.value
    harness = GatewayHarness()
    harness.service = 'org/other'
    assert run_steps(harness, harness.reserve).reason == Reason.NOT_SERVABLE.value


def test_a_full_queue_refuses_with_a_retry_after_time():
    harness = GatewayHarness()

    async def reserve_many():
        return [await harness.reserve(f'r{number}') for number in range(4)]

    replies = run_steps(harness, reserve_many)
    assert [reply.ok for reply in replies] == [True, True, False, False]
    assert replies[-1].reason == Reason.BUSY.value
    assert replies[-1].retry_after_ms >= 100


def test_a_cancel_reports_whether_the_request_may_have_run():
    async def cancel(harness):
        return await harness.gateway.on_cancel(harness.connection, Cancel('r'))

    early = GatewayHarness()
    assert run_steps(early, early.reserve, lambda: cancel(early)).verdict == Verdict.NOT_RUN.value
    assert run_steps(early, early.start, early.backend.gate.set) is None
    assert early.backend.ran == []
    late = GatewayHarness()
    steps = (late.reserve, late.start, lambda: cancel(late))
    assert run_steps(late, *steps).verdict == Verdict.MAY_HAVE_RUN.value


async def lose_entry(harness):
    harness.connection.closed = True
    await harness.gateway.on_closed(harness.connection)


def test_engine_requests_are_cancelled_when_their_entry_is_lost():
    harness = GatewayHarness()
    run_steps(harness, harness.reserve, harness.start, lambda: lose_entry(harness))
    assert harness.gateway.in_progress == 0


def test_the_outcome_of_a_keyed_request_is_recorded_when_its_entry_is_lost():
    harness = GatewayHarness(BackendKind.PLAIN)

    async def reserve():
        return await harness.reserve(key='org/pool/k', attempt='claim')

    run_steps(
        harness, reserve, harness.start, lambda: lose_entry(harness), harness.backend.gate.set
    )
    (command,) = harness.leader_client.commands
    assert isinstance(command, SettleKey)
    assert (command.key, command.attempt, command.released) == ('org/pool/k', 'claim', False)
    assert command.body == b'answer'


def test_a_stream_that_ends_inside_an_event_is_not_stored_under_its_key():
    harness = GatewayHarness(BackendKind.PLAIN)
    headers = [('content-type', 'text/event-stream')]
    harness.backend.response = Response(200, headers, b'data: 1\n\ndata: ')

    async def reserve():
        return await harness.reserve(key='org/pool/k', attempt='claim')

    run_steps(
        harness, reserve, harness.start, lambda: lose_entry(harness), harness.backend.gate.set
    )
    assert harness.gateway.in_progress == 0
    assert harness.leader_client.commands == []


def test_a_key_is_never_released_by_an_endpoint():
    harness = GatewayHarness(BackendKind.PLAIN)

    async def reserve():
        return await harness.reserve(key='org/pool/k', attempt='claim')

    run_steps(harness, reserve, lambda: lose_entry(harness))
    assert harness.gateway.in_progress == 0
    assert harness.leader_client.commands == []


def test_one_trial_request_is_sent_after_a_rest_period():
    clock = Clock()
    harness = GatewayHarness(BackendKind.PLAIN, status=503, clock=clock)
    harness.backend.response.headers.append(('retry-after', '3'))

    async def run():
        await harness.backend.gate.set()
        assert (await harness.reserve('a')).ok
        await harness.start('a')
        await harness.run_pending_tasks()
        refused = await harness.reserve('b')
        assert (refused.ok, refused.reason) == (False, Reason.RESTING.value)
        assert refused.retry_after_ms == pytest.approx(3000, abs=1)
        clock.now += 3.01
        harness.backend.gate = curio.Event()
        harness.backend.response = Response(200, [], b'answer')
        assert (await harness.reserve('c')).ok
        await harness.start('c')
        await harness.run_pending_tasks()
        assert not (await harness.reserve('d')).ok
        await harness.backend.gate.set()
        await harness.run_pending_tasks()
        assert (await harness.reserve('e')).ok

    curio.run(run)
    assert len(harness.backend.ran) == 2


def test_queued_requests_are_not_sent_to_a_resting_back_end():
    harness = GatewayHarness(BackendKind.PLAIN, status=503)
    harness.backend.response.headers.append(('retry-after', '3'))

    async def run():
        for name in ('a', 'b'):
            assert (await harness.reserve(name)).ok
            await harness.start(name)
        await harness.run_pending_tasks()
        await harness.backend.gate.set()
        await harness.run_pending_tasks()

    curio.run(run)
    assert len(harness.backend.ran) == 1
    end = harness.ends()[-1]
    assert (end.reason, end.verdict) == (Reason.RESTING.value, Verdict.NOT_RUN.value)
