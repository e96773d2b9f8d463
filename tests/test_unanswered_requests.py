"""
Requests that arrived at a server get an answer or a refusal; where none can be sent, the log tells
why.

"""

import socket
import struct
import time
from types import SimpleNamespace

import curio
import logbook
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_core.sockets import RESET_ON_CLOSE
from millfork_core.verdicts import Reason
from millfork_web import server as server_module
from millfork_web.client import Client
from millfork_web.models import Response
from millfork_web.server import Server
from millforkd.entry.caller_requests import CallerRequests
from millforkd.proxy.connections import ServerConnection

TIMEOUT_S = 10.0
REQUEST = b'GET /x HTTP/1.1\r\nhost: h\r\n\r\n'
HALF_BODY = b'POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nhalf'


class Harness:
    """
    A server on a free port, in the event loop of the test, and its callers.

    """

    def __init__(self, handler):
        self.requests = []
        self.tasks = []
        self.refusals = []
        self.handler = handler
        self.server = Server('127.0.0.1', 0, self.handle, on_refusal=self.refusals.append)

    async def __aenter__(self):
        listener = curio.tcp_server_socket('127.0.0.1', 0)
        self.address = listener.getsockname()
        self.server.acceptor = await curio.spawn(self.server._accept, listener)
        return self

    async def __aexit__(self, *args):
        await self.server.acceptor.cancel()

    async def handle(self, exchange):
        self.requests.append(exchange.request)
        self.tasks.append(await curio.current_task())
        await self.handler(exchange)

    async def connect(self):
        return await curio.open_connection(*self.address)


def run(scenario, handler):
    """
    Run a scenario with a server, within TIMEOUT_S; returns its result and the lines of the log.

    """

    async def main():
        async with curio.timeout_after(TIMEOUT_S), Harness(handler) as harness:
            return await scenario(harness)

    with logbook.TestHandler() as records:
        result = curio.run(main)
        return result, [record.message for record in records.records]


async def wait_until(condition):
    while not condition():
        await curio.sleep(0.01)


async def read_to_end(sock):
    received = b''
    try:
        while data := await sock.recv(65536):
            received += data
    except ConnectionResetError:
        return received + b' (reset)'
    return received


async def answer(exchange):
    await exchange.respond(Response(200, [], b'here'))


def unanswered(lines):
    return [line for line in lines if 'Request not answered.' in line]


@pytest.mark.parametrize(
    ('sent', 'reason'),
    [(REQUEST[:10], 'the head did not arrive'), (HALF_BODY, 'the body did not arrive')],
)
def test_a_request_that_arrives_in_part_only_is_refused_and_logged(monkeypatch, sent, reason):
    monkeypatch.setattr(server_module, 'BODY_TIMEOUT_S', 0.1)

    async def scenario(harness):
        harness.server.idle_timeout_s = 0.1
        sock = await harness.connect()
        await sock.sendall(sent)
        return await read_to_end(sock), harness.requests, harness.refusals

    (reply, requests, refusals), lines = run(scenario, answer)
    assert reply.startswith(b'HTTP/1.1 408 ')
    assert b'millfork-verdict: not_run' in reply
    assert b'connection: close' in reply.lower()
    assert requests == []
    assert refusals == [Reason.REQUEST_TIMEOUT]
    assert len([line for line in lines if reason in line]) == 1


def test_a_caller_that_leaves_within_a_request_is_logged():
    async def scenario(harness):
        sock = await harness.connect()
        await sock.sendall(REQUEST[:10])
        await wait_until(lambda: harness.server.idle_sockets or harness.server.active)
        await sock.close()
        await wait_until(lambda: not (harness.server.idle_sockets or harness.server.active))

    _, lines = run(scenario, answer)
    assert len([line for line in lines if 'peer unexpectedly closed' in line]) == 1


def test_a_caller_that_leaves_before_its_answer_is_logged():
    async def scenario(harness):
        sock = await harness.connect()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        await sock.sendall(REQUEST)
        await wait_until(lambda: harness.requests)
        await sock.close()
        await wait_until(lambda: not harness.server.active)

    async def answer_late(exchange):
        await exchange.wait_for_disconnect()
        await answer(exchange)

    _, lines = run(scenario, answer_late)
    assert len(unanswered(lines)) == 1


def test_the_end_of_an_idle_connection_is_not_logged():
    async def scenario(harness):
        harness.server.idle_timeout_s = 0.1
        idle = await harness.connect()
        await idle.sendall(REQUEST)
        assert (await read_to_end(idle)).endswith(b'here')
        leaving = await harness.connect()
        await leaving.sendall(REQUEST)
        await leaving.recv(1000)
        await leaving.close()
        await wait_until(lambda: not harness.server.idle_sockets)

    _, lines = run(scenario, answer)
    assert unanswered(lines) == []


async def raise_error():
    raise ValueError('no answer')


async def raise_timeout():
    async with curio.timeout_after(0.01):
        await curio.sleep(1)


async def raise_outer_timeout():
    raise curio.errors.TimeoutCancellationError(0)


async def raise_uncaught_timeout():
    async with curio.timeout_after(10):
        await raise_timeout()


async def return_without_answer():
    return


FAILURES = [
    raise_error,
    raise_timeout,
    raise_outer_timeout,
    raise_uncaught_timeout,
    return_without_answer,
]


@pytest.mark.parametrize('failure', FAILURES)
@pytest.mark.parametrize('method', ['GET', 'HEAD'])
def test_a_request_whose_handler_fails_is_refused_without_a_promise(failure, method):
    async def scenario(harness):
        sock = await harness.connect()
        await sock.sendall(REQUEST.replace(b'GET', method.encode()))
        reply = await read_to_end(sock)
        return reply, harness.refusals, harness.server.active

    (reply, refusals, active), lines = run(scenario, lambda exchange: failure())
    assert reply.startswith(b'HTTP/1.1 500 ')
    assert b'millfork-verdict: may_have_run' in reply
    assert refusals == [Reason.INTERNAL]
    assert active == 0
    assert [line for line in lines if 'Handling GET /x failed' in line or 'HEAD /x' in line]


@pytest.mark.parametrize('failure', FAILURES)
def test_an_answer_that_breaks_off_in_the_handler_does_not_look_complete(failure):
    async def answer_in_part(exchange):
        await exchange.start(200, [])
        await exchange.write(b'first')
        await failure()

    async def scenario(harness):
        sock = await harness.connect()
        await sock.sendall(REQUEST)
        return await read_to_end(sock), harness.refusals

    (reply, refusals), lines = run(scenario, answer_in_part)
    assert b'first' in reply
    assert b'500' not in reply
    assert not reply.endswith(b'0\r\n\r\n')
    assert refusals == [Reason.INTERNAL]
    assert [line for line in lines if 'Handling GET /x failed' in line]


def test_an_answer_that_h11_rejects_is_replaced_by_a_refusal():
    async def answer_with_invalid_head(exchange):
        await exchange.respond(Response(200, [('bad name', 'x')], b'here'))

    async def scenario(harness):
        sock = await harness.connect()
        await sock.sendall(REQUEST)
        return await read_to_end(sock)

    reply, _ = run(scenario, answer_with_invalid_head)
    assert reply.startswith(b'HTTP/1.1 500 ')
    assert b'here' not in reply


def test_a_task_that_is_cancelled_ends_without_a_refusal():
    async def scenario(harness):
        sock = await harness.connect()
        await sock.sendall(REQUEST)
        await wait_until(lambda: harness.tasks)
        await harness.tasks[0].cancel()
        return await read_to_end(sock), harness.refusals, harness.tasks[0].exception

    (reply, refusals, exception), lines = run(scenario, lambda exchange: curio.sleep(TIMEOUT_S))
    assert (reply, refusals) == (b'', [])
    assert isinstance(exception, curio.TaskCancelled)
    assert len(unanswered(lines)) == 1


LATIN_HEADER = ('x-name', 'caf\xe9 \xff')


async def echo_header(exchange):
    await exchange.respond(Response(200, [('x-name', exchange.request.header('x-name'))], b'here'))


def test_an_answer_header_with_bytes_outside_ascii_is_passed_on():
    async def scenario(harness):
        sock = await harness.connect()
        await sock.sendall(b'GET /x HTTP/1.1\r\nhost: h\r\nx-name: caf\xe9 \xff\r\n\r\n')
        return await sock.recv(1000)

    reply, _ = run(scenario, echo_header)
    assert b'\r\nx-name: caf\xe9 \xff\r\n' in reply


def test_a_request_header_with_bytes_outside_ascii_is_sent_to_the_back_end():
    async def scenario(harness):
        connection = ServerConnection(await harness.connect())
        await connection.send('GET', '/x', [('host', 'h'), LATIN_HEADER], b'')
        await connection.read_head()
        return connection.headers

    headers, _ = run(scenario, echo_header)
    assert LATIN_HEADER in headers


def test_a_client_sends_a_header_with_bytes_outside_ascii():
    async def scenario(harness):
        client = Client(*harness.address)
        response = await client.fetch('GET', '/x', [LATIN_HEADER])
        await client.close()
        return response.headers

    headers, _ = run(scenario, echo_header)
    assert LATIN_HEADER in headers


CONNECTIONS = 20


async def open_idle_connections(harness, count):
    """
    Open connections that each have had one answer, and return once the server waits on all of them.

    """
    connections = []
    for _ in range(count):
        sock = await harness.connect()
        await sock.sendall(REQUEST)
        assert b'here' in await sock.recv(1000)
        connections.append(sock)
    await wait_until(lambda: len(harness.server.idle_sockets) == count)
    harness.requests.clear()
    return connections


def send_at_once(sock, data):
    """
    Send without giving other tasks the chance to run.

    """
    with sock.blocking() as raw:
        raw.sendall(data)


async def close_for_stop(server):
    server.closing = True
    await server._close_idle(CONNECTIONS)


@pytest.mark.parametrize('close', [close_for_stop, Server._free_descriptors])
def test_a_connection_whose_next_request_has_arrived_is_not_closed_as_idle(close):
    async def scenario(harness):
        connections = await open_idle_connections(harness, CONNECTIONS)
        for sock in connections:
            send_at_once(sock, REQUEST)
        await close(harness.server)
        return [await sock.recv(1000) for sock in connections], len(harness.requests)

    (replies, handled), lines = run(scenario, answer)
    assert handled == CONNECTIONS
    assert len([reply for reply in replies if reply.endswith(b'here')]) == CONNECTIONS
    assert unanswered(lines) == []


@pytest.mark.parametrize('sent', [REQUEST[:10], HALF_BODY])
def test_a_connection_with_a_part_of_a_request_is_served_before_it_is_closed(sent):
    async def scenario(harness):
        sock = await harness.connect()
        await sock.sendall(sent)
        await wait_until(lambda: harness.server.active)
        await close_for_stop(harness.server)
        await sock.sendall(REQUEST[10:] if sent == REQUEST[:10] else b' more')
        return await read_to_end(sock)

    reply, _ = run(scenario, answer)
    assert reply.endswith(b'here')
    assert b'connection: close' in reply.lower()


@pytest.mark.parametrize('close', [close_for_stop, Server._free_descriptors])
def test_a_request_that_arrives_as_its_connection_is_closed_as_idle_is_not_handled(
    monkeypatch, close
):
    shut_down = curio.io.Socket.shutdown

    async def scenario(harness):
        [sock] = await open_idle_connections(harness, 1)

        async def send_and_shut_down(self, how):
            send_at_once(sock, REQUEST)
            await shut_down(self, how)

        monkeypatch.setattr(curio.io.Socket, 'shutdown', send_and_shut_down)
        await close(harness.server)
        await read_to_end(sock)
        await wait_until(lambda: not (harness.server.idle_sockets or harness.server.active))
        return harness.requests

    assert run(scenario, answer)[0] == []


def test_pipelined_requests_are_all_answered_on_a_stop():
    servers = []

    async def answer_and_stop(exchange):
        servers[0].closing = True
        await answer(exchange)

    async def scenario(harness):
        servers.append(harness.server)
        sock = await harness.connect()
        await sock.sendall(REQUEST * 3)
        return await read_to_end(sock)

    reply, _ = run(scenario, answer_and_stop)
    assert reply.count(b'here') == 3
    assert reply.lower().count(b'connection: close') == 1


async def stop(server):
    """
    Stop a server, and wait until it has ended all connections.

    """
    await server.stop_accepting()
    await server.wait_until_finished()


def connect_at_once(harness, data=b''):
    """
    Connect and send without giving other tasks the chance to run.

    """
    caller = socket.create_connection(harness.address)
    caller.sendall(data)
    return curio.io.Socket(caller)


def test_connections_that_wait_to_be_accepted_are_served_on_a_stop():
    async def scenario(harness):
        _kept = await open_idle_connections(harness, 1)
        callers = [connect_at_once(harness, REQUEST) for _ in range(CONNECTIONS)]
        await stop(harness.server)
        return [await read_to_end(sock) for sock in callers]

    replies, lines = run(scenario, answer)
    assert len([reply for reply in replies if reply.endswith(b'here')]) == CONNECTIONS
    assert unanswered(lines) == []


@pytest.mark.parametrize('is_accepted', [True, False])
def test_a_new_connection_whose_request_arrives_late_is_served_on_a_stop(is_accepted):
    async def scenario(harness):
        _kept = await open_idle_connections(harness, 1)
        caller = connect_at_once(harness)
        if is_accepted:
            await wait_until(lambda: len(harness.server.idle_sockets) == 2)
        stopping = await curio.spawn(stop, harness.server)
        await wait_until(lambda: harness.server.acceptor.terminated)
        try:
            await caller.sendall(REQUEST)
        except OSError:
            return b''
        reply = await read_to_end(caller)
        await stopping.join()
        return reply

    assert run(scenario, answer)[0].endswith(b'here')


def test_a_new_connection_that_sends_nothing_delays_a_stop_only_for_a_short_time(monkeypatch):
    monkeypatch.setattr(server_module, 'NEW_CONNECTION_WAIT_S', 0.2)

    async def scenario(harness):
        caller = connect_at_once(harness)
        await wait_until(lambda: harness.server.idle_sockets)
        await stop(harness.server)
        return await read_to_end(caller)

    started = time.monotonic()
    assert run(scenario, answer)[0] == b''
    assert time.monotonic() - started < TIMEOUT_S / 2


IDLE_TIMEOUT_S = 0.6


@pytest.mark.parametrize('sent', [REQUEST, REQUEST[:10]])
def test_a_request_that_arrives_as_the_idle_time_passes_is_served(sent):
    async def scenario(harness):
        harness.server.idle_timeout_s = IDLE_TIMEOUT_S
        [sock] = await open_idle_connections(harness, 1)

        async def send_late():
            await curio.sleep(IDLE_TIMEOUT_S - 0.25)
            send_at_once(sock, sent)

        async def block():
            await curio.sleep(IDLE_TIMEOUT_S - 0.3)
            # The event loop then handles the end of both sleeps at once, the other task's first.
            time.sleep(0.5)

        tasks = [await curio.spawn(send_late), await curio.spawn(block)]
        for task in tasks:
            await task.join()
        harness.server.idle_timeout_s = TIMEOUT_S
        if sent != REQUEST:
            await sock.sendall(REQUEST[len(sent) :])
        return await sock.recv(1000)

    assert run(scenario, answer)[0].endswith(b'here')


def test_a_raised_idle_timeout_holds_for_connections_that_are_idle_already():
    async def scenario(harness):
        harness.server.idle_timeout_s = IDLE_TIMEOUT_S
        [sock] = await open_idle_connections(harness, 1)
        harness.server.idle_timeout_s = TIMEOUT_S
        await curio.sleep(1.5 * IDLE_TIMEOUT_S)
        try:
            await sock.sendall(REQUEST)
            return await sock.recv(1000)
        except ConnectionResetError:
            return b''

    assert run(scenario, answer)[0].endswith(b'here')


MAX_BODY_BYTES = 1000
MANY_BYTES = 8_000_000
LARGE_BODY_HEAD = b'POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n' % MANY_BYTES


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (LARGE_BODY_HEAD + bytes(MANY_BYTES), 413),
        (b'GET /x HTTP/1.1\r\nhost: h\r\nx: ' + b'a' * MANY_BYTES + b'\r\n\r\n', 400),
    ],
    ids=['body', 'head'],
)
def test_a_caller_that_sends_too_much_reads_its_refusal(sent, status):
    async def scenario(harness):
        harness.server.max_body = MAX_BODY_BYTES
        sock = await harness.connect()
        await sock.sendall(sent)
        return await read_to_end(sock), harness.requests

    (reply, requests), _ = run(scenario, answer)
    assert reply.startswith(b'HTTP/1.1 %d ' % status)
    assert b'(reset)' not in reply
    assert requests == []


def test_a_caller_that_sends_too_much_without_an_end_is_cut_off(monkeypatch):
    monkeypatch.setattr(server_module, 'LINGER_TIMEOUT_S', 0.2)

    async def scenario(harness):
        harness.server.max_body = MAX_BODY_BYTES
        sock = await harness.connect()
        await sock.sendall(b'POST /x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n')
        with pytest.raises(OSError):
            while True:
                await sock.sendall(b'10000\r\n' + bytes(0x10000) + b'\r\n')
        await wait_until(lambda: not harness.server.active)

    run(scenario, answer)


def test_a_head_request_is_answered_without_a_body():
    async def scenario(harness):
        sock = await harness.connect()
        await sock.sendall(REQUEST.replace(b'GET', b'HEAD') + REQUEST)
        await wait_until(lambda: len(harness.requests) == 2)
        return await sock.recv(1000)

    reply, _ = run(scenario, answer)
    assert reply.count(b'HTTP/1.1 200 ') == 2
    assert reply.count(b'content-length: 4') == 2
    assert reply.count(b'here') == 1


def test_an_aborted_answer_does_not_look_complete_to_a_caller_of_http_1_0():
    async def abort_answer(exchange):
        await exchange.start(200, [])
        await exchange.write(b'first')
        await exchange.abort()

    async def scenario(harness):
        sock = await harness.connect()
        await sock.sendall(b'GET /x HTTP/1.0\r\n\r\n')
        return await read_to_end(sock)

    reply, _ = run(scenario, abort_answer)
    assert reply.endswith(b'(reset)')


class WaitingCalls(CallerRequests):
    """
    The requests of an entry in a listed fleet, with calls that wait for their answers too long.

    """

    def __init__(self):
        env = Environment(InstanceId('a:1'), ZoneId('zone'))
        super().__init__(env, SimpleNamespace(organisation_slots=1), None, None, None, None)
        self.cancelled_calls = 0

    async def _answer_call(self, exchange, call):
        try:
            await curio.sleep(TIMEOUT_S)
        except curio.TaskCancelled:
            self.cancelled_calls += 1
            raise


@pytest.mark.parametrize('linger', [struct.pack('ii', 0, 0), RESET_ON_CLOSE], ids=['fin', 'reset'])
def test_a_call_whose_caller_leaves_is_cancelled_and_logged_as_such(linger):
    calls = WaitingCalls()
    call = SimpleNamespace(key='')

    async def scenario(harness):
        sock = await harness.connect()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        await sock.sendall(REQUEST)
        await wait_until(lambda: harness.requests)
        await sock.close()
        await wait_until(lambda: not harness.server.active)
        return harness.refusals

    refusals, lines = run(
        scenario, lambda exchange: calls._answer_until_caller_leaves(exchange, call)
    )
    assert calls.cancelled_calls == 1
    assert refusals == []
    assert [line for line in lines if 'failed' in line] == []
    assert len(unanswered(lines)) == 1
