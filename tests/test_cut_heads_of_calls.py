"""
Heads of answers to the daemons' own calls that are cut short: reports, load orders, staged pieces,
pieces and digests from the origin, states of engines, lists of instances and manifests. Such an
answer counts as none, and its connection is not used again.

"""

import hashlib
import json
import socket
import time
from dataclasses import replace

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_core.sockets import RESET_ON_CLOSE
from millfork_platform.adapter import PlatformAdapter
from millfork_routing.documents import OriginSpec
from millfork_settings.models import Address, BackendKind, BackendSettings
from millfork_state.roster import Roster
from millfork_web.client import Client
from millfork_weights.origin import Origin as ChunkOrigin
from millfork_weights.origin import OriginFailed
from millforkd.endpoint import engine_client as engine_client_module
from millforkd.endpoint.engine_client import EngineClient, OrderFailed
from millforkd.sidecar import engine as engine_module
from millforkd.sidecar import origin as origin_module
from millforkd.sidecar.engine import LocalEngine, OrderOutcome
from millforkd.sidecar.origin import Origin
from millforkd.sidecar.pieces import PieceSet, WeightsId
from tests.test_servers import ENGINE

HOST = '127.0.0.1'
# The weights of the model are a single piece.
ONE_PIECE = replace(ENGINE, pieces=1)
WEIGHTS = WeightsId('m', 2)
PIECE = b'twelve bytes'
DIGEST = hashlib.sha256(PIECE).hexdigest()
TIMEOUT_S = 20.0
# The timeouts of calls in the tests of heads that never end.
SHORT_TIMEOUT_S = 0.3
PAUSE_S = 0.5
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


def head_of(status, body):
    return b'HTTP/1.1 %d Text\r\ncontent-length: %d\r\n\r\n' % (status, len(body))


def cut_heads(status, body):
    head = head_of(status, body)
    length = head.index(b'content-length: ')
    first_digit = length + len(b'content-length: ') + 1
    return {
        'before the status line': b'',
        'within the version': head[:7],
        'within the status': head[:11],
        'after the status': head[:12],
        'within the end of the status line': head[: length - 1],
        'after the status line': head[:length],
        'within a name': head[: length + 5],
        'within the length': head[:first_digit],
        'within the end of the last field': head[:-3],
        'after the last field': head[:-2],
        'within the blank line': head[:-1],
        'after an informational response': CONTINUE,
        'within the head after an informational response': CONTINUE + head[:first_digit],
        'after the head': head,
    }


def places_of(body):
    """
    The places that are before the end of an answer; an empty body is whole after its head.

    """
    return [place for place in cut_heads(200, body) if body or place != 'after the head']


class CutServer:
    """
    Answers the first call with `cut`, then closes or resets the connection, pauses for `pause_s`
    and sends `rest`, or, for `end` None, sends nothing more. All other calls get `whole`. `calls`
    has the number of the connection of each call.

    """

    def __init__(self, cut, whole, end, rest=b'', pause_s=0.0):
        self.cut = cut
        self.whole = whole
        self.end = end
        self.rest = rest
        self.pause_s = pause_s
        self.accepted = 0
        self.calls = []

    async def start(self):
        listener = curio.tcp_server_socket(HOST, 0)
        self.port = listener.getsockname()[1]
        self.task = await curio.spawn(curio.network.run_server, listener, self._serve, daemon=True)

    async def _serve(self, sock, address):
        self.accepted += 1
        number = self.accepted
        while await self._read_call(sock):
            self.calls.append(number)
            if len(self.calls) > 1:
                await sock.sendall(self.whole)
                continue
            await sock.sendall(self.cut)
            if self.rest:
                await curio.sleep(self.pause_s)
                await sock.sendall(self.rest)
                continue
            if self.end is None:
                continue
            if self.end == 'reset':
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            return

    async def _read_call(self, sock):
        received = b''
        while b'\r\n\r\n' not in received:
            data = await sock.recv(65536)
            if not data:
                return False
            received += data
        head, _, body = received.partition(b'\r\n\r\n')
        length = int(head.lower().partition(b'content-length: ')[2].split(b'\r\n')[0])
        while len(body) < length:
            body += await sock.recv(65536)
        return True


def env():
    return Environment(InstanceId('a'), ZoneId('zone'))


def local_engine(port):
    return LocalEngine(PlatformAdapter(), Client(HOST, port))


def origin(port):
    spec = OriginSpec(HOST, port, 1)
    return Origin(env(), PlatformAdapter(), '', lambda: spec, lambda: ONE_PIECE)


def engine_client(port):
    address = Address(host=HOST, port=port)
    settings = BackendSettings(kind=BackendKind.ENGINE, service='pool', address=address)
    return EngineClient(env(), settings, '')


class Call:
    """
    A kind of call of a daemon: the status and body of its whole answer, what it returns after one,
    and after none. `make` returns an asynchronous function that makes the call again and again with
    the same client.

    """

    def __init__(self, make, body, whole, none, status=200):
        self.make = make
        self.body = body
        self.whole = whole
        self.none = none
        self.status = status
        self.answer = head_of(status, body) + body


def make_report(port):
    engine = local_engine(port)

    async def call():
        report = await engine.report()
        return report and report.running

    return call


def make_stage(port):
    engine = local_engine(port)
    return lambda: engine.stage('m', 0, PIECE)


def make_read_staged(port):
    engine = local_engine(port)
    return lambda: engine.read_staged('m', 0)


def make_load_layers(port):
    engine = local_engine(port)
    return lambda: engine.load_layers('m', 2, 0, 4, False)


def make_fetch_piece(port):
    client = origin(port)
    held = PieceSet(WEIGHTS)

    async def call():
        if not held.digests:
            await held.set_digests((DIGEST,))
        return await client.fetch_piece(held, 0)

    return call


def make_fetch_digests(port):
    client = origin(port)
    return lambda: client.fetch_digests(PieceSet(WEIGHTS))


def make_poll_engine(port):
    client = engine_client(port)

    async def call():
        return await client.poll() and client.status.incarnation

    return call


def make_query_incarnation(port):
    return engine_client(port).query_incarnation


def make_order(port):
    client = engine_client(port)

    async def call():
        try:
            await client.unload('v1')
        except OrderFailed:
            return False
        return True

    return call


def make_poll_roster(port):
    roster = Roster(env(), (HOST, port), '')

    async def call():
        return await roster.poll() and roster.version

    return call


def make_manifest(port):
    client = ChunkOrigin(HOST, port, '')

    async def call():
        try:
            return await client.manifest('m', 'v1')
        except OriginFailed:
            return None

    return call


STATUS = b'{"incarnation":"one","fencing_number":3,"loaded":[]}'
ROSTER = b'{"version":4,"full":true,"changed":[],"removed":[]}'
DIGESTS = json.dumps({'model': 'm', 'version': 2, 'digests': [DIGEST]}).encode()
CALLS = {
    'report': Call(make_report, b'{"running":3,"queued":0}', 3, None),
    'staging write': Call(make_stage, b'{"held": 12}', True, False),
    'staging write without body': Call(make_stage, b'', True, False),
    'read of a staged piece': Call(make_read_staged, PIECE, PIECE, None),
    'load order': Call(
        make_load_layers, b'{"taken": 1}', OrderOutcome.ACCEPTED, OrderOutcome.UNKNOWN, 202
    ),
    'load order without body': Call(
        make_load_layers, b'', OrderOutcome.ACCEPTED, OrderOutcome.UNKNOWN, 202
    ),
    'refused load order': Call(
        make_load_layers, b'{"seq": 12}!', OrderOutcome.REFUSED, OrderOutcome.UNKNOWN, 409
    ),
    'piece': Call(make_fetch_piece, PIECE, PIECE, None),
    'digests': Call(make_fetch_digests, DIGESTS, True, False),
    'state of an engine': Call(make_poll_engine, STATUS, 'one', False),
    'incarnation of an engine': Call(make_query_incarnation, STATUS, 'one', ''),
    'order of an endpoint': Call(make_order, STATUS, True, False),
    'list of instances': Call(make_poll_roster, ROSTER, 4, False),
    'manifest': Call(make_manifest, b'{"chunks":1}', b'{"chunks":1}', None),
}
ALL_CALLS = pytest.mark.parametrize('name', CALLS)


def call_twice(call, server):
    """
    Make a call to `server` twice; return both results.

    """

    async def scenario():
        async with curio.timeout_after(TIMEOUT_S):
            await server.start()
            results = await twice(call.make(server.port))
            await server.task.cancel()
            return results

    return curio.run(scenario)


@pytest.fixture(autouse=True)
def no_pause_after_failure(monkeypatch):
    monkeypatch.setattr(origin_module, 'PAUSE_AFTER_FAILURE_S', 0.0)


@pytest.mark.parametrize('end', ['close', 'reset'])
@ALL_CALLS
def test_a_cut_head_is_no_answer_to_a_call(name, end):
    call = CALLS[name]
    found = {}
    for place in places_of(call.body):
        cut = cut_heads(call.status, call.body)[place]
        server = CutServer(cut, call.answer, end)
        found[place] = (call_twice(call, server), server.calls)
    assert found == dict.fromkeys(found, ([call.none, call.whole], [1, 2]))


@ALL_CALLS
def test_a_call_whose_answer_pauses_within_its_head_gets_the_whole_answer(name, monkeypatch):
    # The daemon asks for the incarnation with a timeout below the pause.
    monkeypatch.setattr(engine_client_module, 'PROBE_TIMEOUT_S', 4 * PAUSE_S)
    call = CALLS[name]

    async def scenario():
        async with curio.timeout_after(TIMEOUT_S):
            servers, tasks = {}, {}
            for place in places_of(call.body):
                cut = cut_heads(call.status, call.body)[place]
                rest = call.answer[len(cut.removeprefix(CONTINUE)) :]
                server = CutServer(cut, call.answer, None, rest, PAUSE_S)
                await server.start()
                servers[place] = server
                tasks[place] = await curio.spawn(twice, call.make(server.port))
            found = {place: await task.join() for place, task in tasks.items()}
            for server in servers.values():
                await server.task.cancel()
            return found, {place: server.calls for place, server in servers.items()}

    found, connections = curio.run(scenario)
    assert found == dict.fromkeys(found, [call.whole] * 2)
    assert connections == dict.fromkeys(connections, [1, 1])


async def twice(send):
    return [await send(), await send()]


@ALL_CALLS
def test_a_call_whose_head_never_ends_fails_in_time(name, monkeypatch):
    for module, constant in (
        (engine_module, 'CALL_TIMEOUT_S'),
        (origin_module, 'ORIGIN_TIMEOUT_S'),
        (engine_client_module, 'STATUS_TIMEOUT_S'),
        (engine_client_module, 'PROBE_TIMEOUT_S'),
        (engine_client_module, 'ORDER_TIMEOUT_S'),
    ):
        monkeypatch.setattr(module, constant, SHORT_TIMEOUT_S)
    monkeypatch.setattr('millfork_state.roster.POLL_TIMEOUT_S', SHORT_TIMEOUT_S)
    monkeypatch.setattr('millfork_weights.origin.FETCH_TIMEOUT_S', SHORT_TIMEOUT_S)
    call = CALLS[name]

    async def scenario():
        async with curio.timeout_after(TIMEOUT_S):
            servers, tasks = {}, {}
            for place in places_of(call.body):
                server = CutServer(cut_heads(call.status, call.body)[place], call.answer, None)
                await server.start()
                servers[place] = server
                tasks[place] = await curio.spawn(twice, call.make(server.port))
            found = {place: await task.join() for place, task in tasks.items()}
            for server in servers.values():
                await server.task.cancel()
            return found, {place: server.calls for place, server in servers.items()}

    began_at = time.monotonic()
    found, connections = curio.run(scenario)
    assert time.monotonic() - began_at < SHORT_TIMEOUT_S + 2.0
    assert found == dict.fromkeys(found, [call.none, call.whole])
    assert connections == dict.fromkeys(connections, [1, 2])


CLOSED_HEAD = b'HTTP/1.1 200 OK\r\n\r\n'


@pytest.mark.parametrize(
    'name',
    ['report', 'read of a staged piece', 'piece', 'digests', 'state of an engine']
    + ['incarnation of an engine', 'list of instances'],
)
def test_an_answer_that_closes_after_its_head_holds_nothing(name):
    """
    Guards against an empty body, without a length, that is taken for what was asked for.

    """
    call = CALLS[name]
    server = CutServer(CLOSED_HEAD, call.answer, 'close')
    results = call_twice(call, server)
    assert results == [b'' if name == 'read of a staged piece' else call.none, call.whole]
    assert not PieceSet(WEIGHTS, (DIGEST,)).is_piece(0, b'')
