"""
Malformed messages from other implementations are refused: missing fields, wrong types, numbers out
of bounds, undecodable bytes. The tests guard against two faults. If a heartbeat with a sequence
number of more than 64 bits is accepted, the feed (the stream of registry updates) that forwards
the number fails with `OverflowError: can't serialize ints < -2**63 or > 2**64 - 1`. If a response
has the header `keep-alive: timeout=\xb2`, the caller's request fails with
`ValueError: could not convert string to float`.

"""

import copy
import json
from types import SimpleNamespace

import curio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from millfork_adapter.calls import Heartbeat, InvalidMessage, LeaveNotice, PutDocument
from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_core.verdicts import Reason
from millfork_platform import PlatformAdapter, client_requests, names
from millfork_registry.records import LeaseState, decode_leases, encode_records
from millfork_registry.registry import Registry
from millfork_routing.routes import RouteTable
from millfork_state.view import View
from millfork_web.models import Request
from millforkd.replica.control import Control
from tests.test_incarnations import FIRST_INCARNATION, lease
from tests.test_platform import DOCUMENT, HEARTBEAT, parse_post
from tests.test_registry import HEARTBEAT_S, Clock
from tests.test_seeded_fleet import document

ADAPTER = PlatformAdapter()
REPORT = {
    'stage': 'both',
    'models': [{'name': 'm', 'version': 1, 'adapters': []}],
    'layers': {'from': 0, 'target_version': 16, 'version': 1},
    'busy': False,
    'seq': 2,
    'queued': 1,
    'running': 12,
    'kv_used': 41000,
    'kv_total': 90000,
    'pace': 1.0,
    'born': FIRST_INCARNATION,
}
HEADERS = sorted(
    {value for value in vars(names).values() if isinstance(value, str) and '/' not in value}
)
PIECE_LIST = {'model': 'm', 'version': 2, 'digests': ['a' * 64]}
FOREIGN_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(10**400), 10**400),
    st.integers(-5, 5),
    st.floats(),
    st.text(max_size=20),
    st.sampled_from(['1e999', '127.0.0.1:\xb2', '1.2.3:80', '10.0.0.9:0', '10.0.0.9:99999']),
    st.lists(st.integers(), max_size=2),
    st.dictionaries(st.text(max_size=3), st.integers(), max_size=2),
)


def paths_in(value, path=()):
    """
    Return the path (a tuple of keys and indexes) of every value in a message.

    """
    found = [path] if path else []
    items = value.items() if isinstance(value, dict) else enumerate(value)
    if isinstance(value, dict | list):
        for key, item in items:
            found += (
                paths_in(item, (*path, key)) if isinstance(item, dict | list) else [(*path, key)]
            )
    return found


@st.composite
def mutated(draw, message):
    """
    Draw a message as bytes, with some values replaced or removed, sometimes truncated or with
    bytes appended.

    """
    changed = copy.deepcopy(message)
    for path in draw(st.lists(st.sampled_from(paths_in(message)), max_size=3, unique=True)):
        try:
            container = changed
            for key in path[:-1]:
                container = container[key]
            if draw(st.booleans()):
                container[path[-1]] = draw(FOREIGN_VALUES)
            else:
                del container[path[-1]]
        except (KeyError, IndexError, TypeError):
            continue
    data = json.dumps(changed).encode()
    if draw(st.integers(0, 9)) == 0:
        data = data[: draw(st.integers(0, len(data)))]
    if draw(st.integers(0, 9)) == 0:
        data += draw(st.binary(max_size=3))
    return data


@settings(max_examples=300, deadline=None)
@given(mutated({**HEARTBEAT, 'born': FIRST_INCARNATION}))
def test_a_heartbeat_is_fully_valid_or_refused(body):
    try:
        call = parse_post('/v1/Instances.Heartbeat/i-1', body)
    except InvalidMessage:
        return
    assert isinstance(call, Heartbeat)
    records = [call.lease]
    assert decode_leases(encode_records(records)) == records
    assert 0 < call.lease.port < 65536
    assert call.lease.state in (LeaseState.READY, LeaseState.DRAINING)


@settings(max_examples=300, deadline=None)
@given(mutated(DOCUMENT))
def test_a_document_is_fully_valid_or_refused(body):
    try:
        call = parse_post('/v1/Config.Put', body)
    except InvalidMessage:
        return
    assert isinstance(call, PutDocument)
    RouteTable(call.document)
    for route in call.document.routes:
        assert route.timeout_ms / 1000 >= 0


@settings(max_examples=200, deadline=None)
@given(mutated(REPORT))
def test_an_engine_report_is_fully_valid_or_refused(body):
    try:
        report = ADAPTER.read_report(body)
    except InvalidMessage:
        return
    assert msgspec.msgpack.encode([report.running, report.queued, report.incarnation])


@given(mutated(PIECE_LIST))
def test_a_list_of_pieces_is_fully_valid_or_refused(body):
    try:
        pieces = ADAPTER.read_piece_list(body)
    except InvalidMessage:
        return
    assert all(len(bytes.fromhex(digest)) == 32 for digest in pieces.digests)


@given(mutated({'model': 'm', 'version': 2}), mutated({'born': FIRST_INCARNATION}))
def test_other_calls_are_accepted_or_refused(version, leave_body):
    for path, body in (('/v1/version-put', version), ('/v1/Instances.Leave/i-1', leave_body)):
        try:
            parse_post(path, body)
        except InvalidMessage:
            continue


@given(st.dictionaries(st.sampled_from(HEADERS), st.text()))
def test_any_headers_are_parsed_or_refused(headers):
    pairs = list(headers.items())
    ADAPTER.read_answer_head(200, pairs)
    try:
        caller = ADAPTER.read_caller_request(Request('GET', '/x', pairs))
    except InvalidMessage:
        return
    assert caller.deadline_ms is None or caller.deadline_ms >= 0


def test_a_keep_alive_that_is_not_a_number_is_ignored():
    assert ADAPTER.read_answer_head(200, [('keep-alive', 'timeout=\xb2')]).keep_alive_s is None


def test_a_leave_notice_with_a_body_names_its_incarnation():
    path = '/v1/Instances.Leave/i-1'
    assert parse_post(path, b'') == LeaveNotice('i-1', None)
    assert parse_post(path, {'born': FIRST_INCARNATION}) == LeaveNotice('i-1', FIRST_INCARNATION)
    assert parse_post(path, {}) == LeaveNotice('i-1', 0)


def test_fractional_counts_in_a_document_are_rounded():
    body = copy.deepcopy(DOCUMENT)
    body['services'][0]['max_conns'] = 66.6
    body['services'][0]['engine']['slots'] = 0.4
    body['routes'][0]['timeout_ms'] = 6000.5
    found = parse_post('/v1/Config.Put', body).document
    assert found.services[0].max_connections == 66
    assert found.services[0].engine.slots == 1
    assert found.routes[0].timeout_ms == 6001


# Calls to a replica.


class ReplicaCalls:
    """
    Sends calls to a replica with one declared service and the lease of one back end.

    """

    def __init__(self):
        self.clock = Clock()
        self.env = Environment(InstanceId('a:1'), ZoneId('z1'), monotonic=self.clock)
        self.registry = Registry(self.env, HEARTBEAT_S)
        self.registry.record_heartbeat(lease(FIRST_INCARNATION, 5))
        self.wake_count = 0
        followers = SimpleNamespace(wake=self.wake)
        self.control = Control(
            self.env, ADAPTER, View(), self.registry, followers, None, None, None, None
        )  # fmt: skip
        self.control.services = frozenset({'s'})
        self.statuses = []

    async def wake(self):
        self.wake_count += 1

    def send(self, request):
        async def respond(response):
            self.statuses.append(response.status)

        curio.run(self.control.answer, SimpleNamespace(request=request, respond=respond))
        return self.statuses[-1]


@pytest.mark.parametrize(
    'change',
    [
        {'service': 'elsewhere'},
        {'state': 'odd'},
        {'seq': 2**70},
        {'seq': None},
        {'born': 1.5},
        {'address': '10.0.0.1'},
        {'slots': -1},
    ],
)
def test_a_foreign_heartbeat_is_refused_and_changes_no_lease(change):
    calls = ReplicaCalls()
    lease_before = calls.registry.leases.get('i-1')
    body = {**HEARTBEAT, 'address': '10.0.0.1:80', 'born': FIRST_INCARNATION + 1, **change}
    for name in ('i-1', 'i-2'):
        request = Request('POST', f'{names.HEARTBEAT_PATH}{name}', [], json.dumps(body).encode())
        assert 400 <= calls.send(request) < 500
    assert list(calls.registry.leases.values()) == [lease_before]
    assert calls.wake_count == 0


def test_all_refused_calls_are_counted_and_some_are_logged(monkeypatch):
    lines = []
    monkeypatch.setattr(
        'millforkd.replica.control.log',
        SimpleNamespace(warning=lambda text, *args: lines.append(args)),
    )
    calls = ReplicaCalls()
    request = Request('POST', names.PUT_DOCUMENT_PATH, [], b'\xff')
    for _ in range(50):
        calls.send(request)
    calls.clock.now += 2.0
    calls.send(request)
    assert [line[2] for line in lines] == [1, 50]
    counted = calls.env.metrics.refusals.get(
        {'reason': Reason.BAD_REQUEST.value, 'part': 'control'}
    )
    assert counted == 51


def test_an_undeclared_service_is_refused_once_there_is_a_document():
    calls = ReplicaCalls()
    calls.control.services = None
    heartbeat = client_requests.heartbeat_request(lease(FIRST_INCARNATION, 6))
    assert calls.send(heartbeat) == 200
    calls.control.services = frozenset(item.name for item in document(1).services)
    assert calls.send(client_requests.heartbeat_request(lease(FIRST_INCARNATION, 7))) == 422
