"""
Planned stops of an entry: requests that have arrived are answered, at the latest by a refusal at
the drain deadline. A second signal cuts off the requests that are still in progress. The log says
which of the two ended the drain.

"""

import signal
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

import pytest

from millfork_core.status import ExitStatus
from millfork_platform import client_requests
from millfork_standins.deployments import LANTING
from millfork_standins.fleet import Fleet
from millfork_standins.layout import CALLERS_PORT, FleetOptions
from millfork_standins.seeded import SeededFleet
from millfork_standins.seeded_ports import CALLERS_PORT as SEEDED_CALLERS_PORT
from millforkd.entry.daemon import BALANCER_GRACE_S
from millforkd.proxy.daemon import BALANCER_REMOVAL_S
from millforkd.proxy.planned_stop import LATE_IN_STOP_S
from tests.test_seeded_fleet import document, request
from tests.utils.fleets import call_service, wait_until

ANSWER_MS = 60_000
RETRY_INTERVAL_S = 0.1
TIMEOUT_S = 30.0
# How late a request arrives after its connection.
LATE_S = 0.2
REQUEST = b'GET /control/v1/status HTTP/1.1\r\nhost: h\r\n\r\n'


@pytest.fixture
def fleet(tmp_path):
    """
    A fleet whose back ends run one request at a time.

    """
    shape = LANTING
    options = FleetOptions(
        service={'answer_ms': ANSWER_MS}, routing={'drain_ms': 1500}, backend={'slots': 1}
    )
    new_fleet = Fleet(shape, tmp_path, options)
    new_fleet.start()
    new_fleet.apply(new_fleet.organisations_declaration())
    yield new_fleet
    new_fleet.close()


def start_long_request(fleet, entry, method='GET'):
    """
    Start a request that takes longer than the drain. Return once its back end runs it; the list
    that is returned gets its answer.

    """
    token = fleet.caller_tokens[fleet.shape.organisations[0]]
    position = fleet.entries.index(entry)
    answers = []
    # The entry answers 401 until it has applied the declaration with the token.
    wait_until(lambda: call_service(fleet, token, 'GET', 'no-such/x', position).status != 401)

    def send_until_accepted():
        try:
            answer = call_service(fleet, token, method, 'billing-misc/x', position)
            while answer.headers.get('millfork-reason') == 'no_endpoint':
                # The endpoint daemon has just started; the entry isn't connected to it yet.
                time.sleep(RETRY_INTERVAL_S)
                answer = call_service(fleet, token, method, 'billing-misc/x', position)
            answers.append(answer)
        except OSError as error:
            answers.append(error)

    threading.Thread(target=send_until_accepted, daemon=True).start()
    log = fleet.execution_log_path('billing-misc-1')
    wait_until(lambda: answers or (log.exists() and 'begin' in log.read_text()))
    assert not answers, (answers, fleet.read_log_tail(entry.name))
    return answers


@pytest.mark.parametrize(
    ('signals', 'expected_line'),
    [(1, 'Drain deadline: 1 requests are cut off'), (2, 'Second signal: 1 requests are cut off')],
)
def test_the_log_says_what_ended_a_drain_early(fleet, signals, expected_line):
    entry = fleet.entries[0]
    start_long_request(fleet, entry)
    process = fleet.processes.pop(entry.name)
    process.terminate()
    wait_until(lambda: 'Stopping; requests in progress go on' in fleet.read_log_tail(entry.name))
    if signals == 2:
        process.terminate()
    assert process.wait(30) == ExitStatus.SUCCESS
    assert expected_line in fleet.read_log_tail(entry.name)


def test_the_requests_at_the_end_of_a_planned_stop_are_answered(fleet):
    """
    Guards against callers whose connection is closed without a word: one whose request runs, one
    whose request waits for the same back end, and one of whose request only a part has arrived.

    """
    entry = fleet.entries[0]
    running = start_long_request(fleet, entry, 'POST')
    token = fleet.caller_tokens[fleet.shape.organisations[0]]
    process = fleet.processes.pop(entry.name)
    with (
        ThreadPoolExecutor() as pool,
        socket.create_connection((entry.host, CALLERS_PORT), TIMEOUT_S) as unread,
    ):
        waiting = pool.submit(call_service, fleet, token, 'POST', 'billing-misc/x')
        unread.sendall(REQUEST[:20])
        process.terminate()
        unread_reply = unread.recv(1000)
        waiting_answer = waiting.result()
    assert process.wait(TIMEOUT_S) == ExitStatus.SUCCESS
    wait_until(lambda: running)
    found = [
        (answer.status, answer.headers['millfork-reason'], answer.headers['millfork-verdict'])
        for answer in (running[0], waiting_answer)
    ]
    assert found == [(502, 'stopping', 'may_have_run'), (503, 'stopping', 'not_run')]
    assert unread_reply.startswith(b'HTTP/1.1 503 ')


@pytest.mark.parametrize('sent_before', [0, 20])
def test_a_request_that_arrives_as_the_drain_ends_is_answered(fleet, sent_before):
    entry = fleet.entries[0]
    process = fleet.processes.pop(entry.name)
    process.terminate()
    wait_until(lambda: 'Stopping; requests in progress go on' in fleet.read_log_tail(entry.name))
    process.send_signal(signal.SIGSTOP)
    # The time that the load balancer gets passes while the process does not run.
    frozen_until = time.monotonic() + 2 * BALANCER_GRACE_S
    with socket.create_connection((entry.host, CALLERS_PORT), timeout=TIMEOUT_S) as caller:
        caller.sendall(REQUEST[:sent_before])
        wait_until(lambda: time.monotonic() > frozen_until)
        process.send_signal(signal.SIGCONT)
        continued_at = time.monotonic()
        wait_until(lambda: process.poll() is not None or time.monotonic() > continued_at + LATE_S)
        caller.sendall(REQUEST[sent_before:])
        reply = caller.recv(1000)
    assert reply.startswith(b'HTTP/1.1 503 ')
    assert b'millfork-reason: stopping' in reply
    assert process.wait(TIMEOUT_S) == ExitStatus.SUCCESS


@pytest.fixture
def seeded_fleet(tmp_path):
    new_fleet = SeededFleet(tmp_path)
    try:
        new_fleet.start()
        new_fleet.add_back_end('plain', 'i-1')
        assert new_fleet.put_document(document(1, '/safe/')).status == 200
        wait_until(lambda: new_fleet.send_request(request('/safe/x')).status == 200)
        yield new_fleet
    finally:
        new_fleet.close()


def encode_request():
    lines = [f'{name}: {value}\r\n' for name, value in request('/safe/x').headers]
    return f'GET /safe/x HTTP/1.1\r\n{"".join(lines)}\r\n'.encode()


def test_requests_that_arrive_as_the_drain_of_a_seeded_entry_ends_are_answered(seeded_fleet):
    host = seeded_fleet.entry_hosts[0]
    process = seeded_fleet.processes[host]
    address = (host, SEEDED_CALLERS_PORT)
    with socket.create_connection(address, TIMEOUT_S) as kept:
        kept.sendall(encode_request())
        assert kept.recv(1000).startswith(b'HTTP/1.1 200 ')
        process.terminate()
        wait_until(lambda: 'Stopping; requests in progress go on' in seeded_fleet.log(host))
        process.send_signal(signal.SIGSTOP)
        frozen_until = time.monotonic() + BALANCER_REMOVAL_S + 0.5
        with (
            socket.create_connection(address, TIMEOUT_S) as sent_at_once,
            socket.create_connection(address, TIMEOUT_S) as sent_late,
        ):
            kept.sendall(encode_request())
            sent_at_once.sendall(encode_request())
            wait_until(lambda: time.monotonic() > frozen_until)
            process.send_signal(signal.SIGCONT)
            continued_at = time.monotonic()
            wait_until(
                lambda: process.poll() is not None or time.monotonic() > continued_at + LATE_S
            )
            sent_late.sendall(encode_request())
            replies = [sock.recv(1000)[:13] for sock in (kept, sent_at_once, sent_late)]
    assert replies == [b'HTTP/1.1 200 '] * 3
    assert process.wait(TIMEOUT_S) == ExitStatus.SUCCESS


# A planned stop of the entry in these tests takes at most this long.
SHORT_GRACE_S = 5
LATE_IN_GRACE_S = LATE_IN_STOP_S + 0.3


@pytest.fixture
def stopping_fleet(tmp_path):
    """
    A fleet with one back end, whose entry has a short grace period.

    """
    new_fleet = SeededFleet(tmp_path)
    new_fleet.bounds['grace_s'] = SHORT_GRACE_S
    try:
        new_fleet.start()
        new_fleet.add_back_end('plain', 'i-1')
        routes = tuple(
            replace(route, timeout_ms=60_000) for route in document(1, '/unsafe/').routes
        )
        declared = replace(document(1, '/unsafe/'), routes=routes)
        assert new_fleet.put_document(declared).status == 200
        wait_until(lambda: new_fleet.send_request(request('/unsafe/x', 'POST')).status == 200)
        yield new_fleet
    finally:
        new_fleet.close()


class PartialPost:
    """
    A request that must not run twice, of which the last byte is sent later.

    """

    def __init__(self, host):
        sent = request('/unsafe/x', 'POST')
        headers = [item for item in sent.headers if item[0] != client_requests.DEADLINE_MS]
        headers += [(client_requests.DEADLINE_MS, '60000'), ('content-length', '2')]
        self.id = dict(headers)[client_requests.REQUEST_ID]
        lines = ''.join(f'{name}: {value}\r\n' for name, value in headers)
        self.sock = socket.create_connection((host, SEEDED_CALLERS_PORT), TIMEOUT_S)
        self.sock.sendall(f'POST /unsafe/x HTTP/1.1\r\n{lines}\r\nt'.encode())

    def complete(self):
        self.sock.sendall(b'!')

    def reply(self):
        with self.sock:
            return self.sock.recv(1000)


def test_the_requests_at_the_end_of_a_planned_stop_of_a_seeded_entry_are_answered(stopping_fleet):
    """
    Guards against callers whose connection is closed without a word: one whose request was sent to
    a back end before the stop, one whose request is complete late in the grace period, and one
    whose request never is.

    """
    fleet = stopping_fleet
    host = fleet.entry_hosts[0]
    back_end = fleet.back_ends[0]
    sent, late, unread = (PartialPost(host) for _ in range(3))
    back_end.pause(SHORT_GRACE_S * 2)
    sent.complete()
    process = fleet.processes[host]
    process.terminate()
    wait_until(lambda: 'Stopping; requests in progress go on' in fleet.log(host))
    stopped_at = time.monotonic()
    wait_until(lambda: time.monotonic() > stopped_at + LATE_IN_GRACE_S)
    late.complete()
    late_reply = late.reply()
    assert late_reply.startswith(b'HTTP/1.1 503 ')
    assert time.monotonic() < stopped_at + LATE_IN_GRACE_S + 0.5
    # It may have run, so that nothing promises that it has not.
    assert sent.reply().startswith(b'HTTP/1.1 502 ')
    assert unread.reply().startswith(b'HTTP/1.1 503 ')
    assert process.wait(TIMEOUT_S) == ExitStatus.SUCCESS
    assert time.monotonic() < stopped_at + SHORT_GRACE_S
    back_end.silent_until = 0.0
    assert late.id not in back_end.executed_ids()
    assert unread.id not in back_end.executed_ids()
