"""
A whole seeded fleet (one whose daemons start from the addresses of a few replicas): processes of
replicas and an entry, with simulated back ends and a simulated operator.

"""

import itertools
import signal
import threading
from dataclasses import replace

import pytest

from millfork_core.ids import OrganisationId, ServiceName
from millfork_platform import client_requests
from millfork_routing.documents import (
    Document,
    Organisation,
    Route,
    RouteKind,
    Service,
    Share,
)
from millfork_standins.http_calls import call
from millfork_standins.seeded import SeededFleet
from millfork_standins.seeded_ports import READY_PORT
from millfork_standins.soak.signals import handles_signal
from millfork_web.models import Request
from tests.utils.fleets import wait_until

IDS = itertools.count(1)


def route(prefix, kind=RouteKind.SAFE, service='plain'):
    shares = (Share(ServiceName(service), 1),)
    return Route(prefix, 'h.example', prefix, kind, 4000, 300, 1, shares, 2, False, False, 0)


def document(version, *prefixes, keys=('key',), service='plain'):
    kinds = {'/unsafe/': RouteKind.UNSAFE}
    return Document(
        version,
        tuple(route(prefix, kinds.get(prefix, RouteKind.SAFE), service) for prefix in prefixes),
        (Service(ServiceName('plain'), 64), Service(ServiceName('other'), 64)),
        (Organisation(OrganisationId('org'), tuple(keys)),),
    )


def request(path, method='GET', key='key', body=b''):
    headers = [
        ('host', 'h.example'),
        ('authorization', f'Bearer {key}'),
        (client_requests.REQUEST_ID, f'request-{next(IDS)}'),
        (client_requests.DEADLINE_MS, '4000'),
    ]
    return Request(method, path, headers, body)


@pytest.fixture
def fleet(tmp_path):
    new_fleet = SeededFleet(tmp_path)
    try:
        new_fleet.start()
        new_fleet.back_end = new_fleet.add_back_end('plain', 'i-1')
        assert new_fleet.put_document(document(1, '/safe/', '/unsafe/')).status == 200
        wait_until(lambda: new_fleet.send_request(request('/safe/x')).status == 200)
        yield new_fleet
    finally:
        new_fleet.close()


def leader(fleet):
    """
    Return the host of the running replica that became leader in the highest term.

    """
    terms = {}
    for host in fleet.replica_hosts:
        lines = [line for line in fleet.log(host).splitlines() if 'Leader of term' in line]
        if lines and host in fleet.processes:
            terms[int(lines[-1].rstrip('.').split()[-1])] = host
    return terms[max(terms)]


def test_a_request_reaches_its_back_end_and_the_answer_its_caller(fleet):
    sent = request('/safe/y')
    reply = fleet.send_request(sent)
    assert (reply.status, reply.body) == (200, b'answer')
    assert reply.headers[client_requests.SIGNATURE] == 'i-1'
    received = fleet.back_end.executed[-1]
    assert received[client_requests.REQUEST_ID] == dict(sent.headers)[client_requests.REQUEST_ID]
    assert received[client_requests.EXPECT_INSTANCE] == 'i-1'
    assert received[client_requests.ORGANISATION] == 'org'
    assert 0 < int(received[client_requests.DEADLINE_MS]) <= 4000
    assert 'authorization' not in received
    assert fleet.send_request(request('/safe/y', key='unknown')).status == 401
    assert fleet.send_request(request('/nowhere/')).status == 404


def test_an_unsafe_request_runs_once_if_its_answer_is_lost(fleet):
    fleet.add_back_end('plain', 'i-2')
    for back_end in fleet.back_ends:
        back_end.drops_requests = True
        back_end.executed.clear()
    reply = fleet.send_request(request('/unsafe/x', 'POST', body=b'filing'))
    assert reply.status == 502
    assert sum(len(back_end.executed) for back_end in fleet.back_ends) == 1


def test_a_safe_request_is_retried_on_another_back_end(fleet):
    second = fleet.add_back_end('plain', 'i-2')
    fleet.back_end.drops_requests = True
    wait_until(lambda: second.executed or fleet.send_request(request('/safe/x')).status == 0)
    assert all(fleet.send_request(request('/safe/x')).status == 200 for _ in range(10))


def test_a_draining_back_end_gets_no_more_requests(fleet):
    second = fleet.add_back_end('plain', 'i-2')
    wait_until(lambda: fleet.send_request(request('/safe/x')).status == 200 and second.executed)
    assert second.drain()
    wait_until(lambda: 'Lease draining. instance=i-2' in fleet.log(fleet.entry_hosts[0]))
    before = len(second.executed)
    assert all(fleet.send_request(request('/safe/x')).status == 200 for _ in range(20))
    assert len(second.executed) == before


def test_the_document_survives_a_restart_of_all_replicas(fleet):
    fleet.kill(leader(fleet))
    assert fleet.put_document(document(5, '/safe/', '/new/')).status == 200
    wait_until(lambda: fleet.send_request(request('/new/x')).status == 200)
    for host in list(fleet.processes):
        if host in fleet.replica_hosts:
            fleet.kill(host)
    for host in fleet.replica_hosts:
        fleet.start_process(host)
    reply = fleet.control(client_requests.read_document_request())
    assert reply.status == 200
    assert reply.body == client_requests.put_document_request(document(5, '/safe/', '/new/')).body
    assert fleet.send_request(request('/new/x')).status == 200


def test_the_highest_version_wins_and_an_invalid_document_is_rejected(fleet):
    assert fleet.put_document(document(9, '/safe/', '/nine/')).status == 200
    assert fleet.put_document(document(4, '/safe/')).status == 200
    assert fleet.put_document(document(9, '/other/')).status == 200
    assert fleet.put_document(document(12, '/safe/', service='unknown')).status == 422
    reply = fleet.control(client_requests.read_document_request())
    assert reply.body == client_requests.put_document_request(document(9, '/safe/', '/nine/')).body
    wait_until(lambda: fleet.send_request(request('/nine/x')).status == 200)


def test_a_replica_that_lost_its_disk_rejoins(fleet):
    lost_host = leader(fleet)
    fleet.kill(lost_host)
    for path in sorted((fleet.folder / lost_host).rglob('*'), reverse=True):
        path.rmdir() if path.is_dir() else path.unlink()
    fleet.start_process(lost_host)
    others = [host for host in fleet.replica_hosts if host != lost_host]
    wait_until(lambda: any(fleet.log(host).count('Voters are now') >= 2 for host in others))
    fleet.kill(others[0])
    assert fleet.put_document(document(7, '/safe/', '/seven/')).status == 200


def test_an_entry_that_stops_is_not_ready_and_finishes_running_requests(fleet):
    host = fleet.entry_hosts[0]
    ready = Request('GET', client_requests.READY_PATH)
    assert call(host, READY_PORT, ready).status == 200
    fleet.back_end.release.clear()
    replies = []
    caller = threading.Thread(
        target=lambda: replies.append(fleet.send_request(request('/safe/slow')))
    )
    executed_before = len(fleet.back_end.executed)
    caller.start()
    wait_until(lambda: len(fleet.back_end.executed) > executed_before)
    fleet.signal(host, signal.SIGTERM)
    wait_until(lambda: call(host, READY_PORT, ready).status != 200)
    fleet.back_end.release.set()
    caller.join(10)
    assert replies[0].status == 200
    assert fleet.processes[host].wait(10) == 0


def test_a_reload_while_a_daemon_starts_does_not_end_it(fleet):
    host = fleet.entry_hosts[0]
    fleet.kill(host)
    starts = fleet.log(host).count('Starting.')
    fleet.start_process(host)
    pid = fleet.processes[host].pid
    wait_until(lambda: handles_signal(pid, signal.SIGHUP))
    assert fleet.log(host).count('Starting.') == starts
    fleet.signal(host, signal.SIGHUP)
    wait_until(lambda: fleet.send_request(request('/safe/x')).status == 200)
    assert fleet.processes[host].poll() is None


def test_a_daemon_that_is_stopped_while_it_starts_exits_with_status_0(fleet):
    host = fleet.entry_hosts[0]
    fleet.kill(host)
    fleet.start_process(host)
    process = fleet.processes[host]
    wait_until(lambda: handles_signal(process.pid, signal.SIGTERM))
    process.terminate()
    assert process.wait(20) == 0


def test_no_key_is_taken_once_the_last_organisation_is_gone(fleet):
    # Guards against routes that open to everybody when the last organisation is taken out.
    empty = replace(document(2, '/safe/', '/unsafe/'), organisations=())
    assert fleet.put_document(empty).status == 200
    wait_until(lambda: fleet.send_request(request('/safe/x')).status == 401)
    before = len(fleet.back_end.executed)
    for key in ('key', 'unknown'):
        assert fleet.send_request(request('/safe/x', key=key)).status == 401
    assert len(fleet.back_end.executed) == before
    assert fleet.put_document(replace(empty, version=3, organisations=None)).status == 200
    wait_until(lambda: fleet.send_request(request('/safe/x', key='unknown')).status == 200)
