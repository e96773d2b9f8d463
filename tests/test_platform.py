"""
The platform adapter parses valid messages and rejects invalid ones with `InvalidMessage`.

"""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from millfork_adapter.calls import (
    Heartbeat,
    InvalidMessage,
    LeaveNotice,
    PutDocument,
    ReadDocument,
    SetEvacuation,
    SetModelVersion,
    UnknownCall,
)
from millfork_adapter.exchange import ForwardOptions, PathSegment
from millfork_core.ids import ZoneId
from millfork_platform import PlatformAdapter, client_requests
from millfork_registry.records import Lease, LeaseState, ServedVersion
from millfork_routing.documents import Document, RouteKind, Service
from millfork_web.models import Request

ADAPTER = PlatformAdapter()
HEARTBEAT = {
    'service': 's',
    'address': '10.0.0.9:8080',
    'zone': 'z',
    'version': 'v1',
    'slots': 16,
    'state': 'ready',
    'cold_left_ms': 0,
    'models': [{'name': 'm', 'version': 1, 'adapters': []}],
    'layers': {'from': 0, 'target_version': 16, 'version': 1},
    'seq': 4,
}
DOCUMENT = {
    'version': 7,
    'routes': [
        {
            'name': 'r',
            'host': 'h.example',
            'path_prefix': '/a/',
            'kind': 'streaming',
            'timeout_ms': 6000,
            'target_latency_ms': 405,
            'priority': 1,
            'weighted_backends': [{'service': 's', 'weight': 90}, {'service': 't', 'weight': 10}],
            'max_attempts': 2,
            'public': False,
            'sticky': True,
            'resumable': True,
            'target_gap_ms': 400,
        }
    ],
    'services': [
        {'name': 's', 'max_conns': 264, 'engine': {'slots': 16, 'models': [{'name': 'm'}]}},
        {'name': 't', 'origin': '172.20.0.3:8006', 'max_conns': 48, 'link_mbps': 4.0},
    ],
    'limits': {'max_body_bytes': 1000, 'idle_timeout_ms': 15000},
    'tenants': [{'name': 'o', 'api_keys': ['k1', 'k2'], 'priority': 1}],
    'something_new': {'x': 1},
}


def parse_post(path, body):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return ADAPTER.read_call(Request('POST', path, [], data))


def parse_heartbeat(**changes):
    return parse_post('/v1/Instances.Heartbeat/i-1', {**HEARTBEAT, **changes})


def test_a_heartbeat_carries_a_lease():
    call = parse_heartbeat()
    assert isinstance(call, Heartbeat)
    lease = call.lease
    assert (lease.instance, lease.host, lease.port, lease.sequence) == ('i-1', '10.0.0.9', 8080, 4)
    assert lease.state is LeaseState.READY
    assert lease.served == (ServedVersion('m', 1, 0, 16),)


def test_a_cold_back_end_of_a_stand_in_says_so_in_its_heartbeat():
    """
    Guards against stand-ins whose coldness never reaches the fleet, so that no run tests it.

    """
    lease = Lease(
        'i-1', 's', '10.0.0.9', 8080, 'z', 4, LeaseState.READY, 1, incarnation=5, cold_for_ms=2500
    )
    assert ADAPTER.read_call(client_requests.heartbeat_request(lease)).lease == lease


def test_a_document_of_a_stand_in_names_what_cold_back_ends_bear():
    service = Service('s', 64, usual_cold_s=3.0, cold_requests_per_s=18.0)
    request = client_requests.put_document_request(Document(1, (), (service,), ()))
    assert ADAPTER.read_call(request).document.services == (service,)


@pytest.mark.parametrize('organisations', [None, ()])
def test_a_document_without_organisations_differs_from_one_with_none_left(organisations):
    sent = Document(1, (), (), organisations)
    request = client_requests.put_document_request(sent)
    assert ADAPTER.read_call(request).document.organisations == organisations


def test_an_empty_engine_serves_nothing():
    assert parse_heartbeat(layers={'from': 0, 'target_version': 0, 'version': 1}).lease.served == ()


def test_a_back_end_without_layers_serves_its_models_whole():
    plain = {key: value for key, value in HEARTBEAT.items() if key != 'layers'}
    lease = parse_post('/v1/Instances.Heartbeat/i-1', plain).lease
    assert lease.served == (ServedVersion('m', 1),)


@pytest.mark.parametrize('change', [{'state': 'odd'}, {'address': 'x'}, {'seq': 'x'}])
def test_an_invalid_heartbeat_is_rejected(change):
    with pytest.raises(InvalidMessage):
        parse_heartbeat(**change)


def test_other_calls_are_parsed():
    assert parse_post('/v1/Instances.Leave/i-1', b'') == LeaveNotice('i-1')
    assert parse_post('/v1/version-put', {'model': 'm', 'version': 2}) == SetModelVersion('m', 2)
    assert ADAPTER.read_call(Request('GET', '/v1/Config.Get')) == ReadDocument()
    assert parse_post('/elsewhere', b'') == UnknownCall()
    assert ADAPTER.read_call(Request('DELETE', '/v1/Config.Put')) == UnknownCall()


def test_a_document_is_parsed_and_its_bytes_are_kept():
    body = json.dumps(DOCUMENT).encode()
    call = parse_post('/v1/Config.Put', body)
    assert isinstance(call, PutDocument)
    assert call.body == body
    document = call.document
    assert document.version == 7
    route = document.routes[0]
    assert route.kind is RouteKind.STREAMING
    assert [(share.service, share.weight) for share in route.shares] == [('s', 90), ('t', 10)]
    assert document.services[0].engine.model == 'm'
    assert document.services[1].origin.port == 8006
    assert document.services[1].origin.bytes_per_s == 500_000
    assert document.organisations[0].keys == ('k1', 'k2')
    assert document.limits.max_body_bytes == 1000


@given(st.integers(0, len(json.dumps(DOCUMENT)) - 1))
def test_a_truncated_document_is_rejected(length):
    with pytest.raises(InvalidMessage):
        parse_post('/v1/Config.Put', json.dumps(DOCUMENT).encode()[:length])


@given(
    st.sampled_from(
        ['/v1/Config.Put', '/v1/version-put', '/v1/Instances.Heartbeat/i-1', '/v1/other']
    ),
    st.binary(max_size=200) | st.text(max_size=100).map(lambda text: json.dumps(text).encode()),
)
def test_any_body_is_parsed_or_rejected(path, body):
    try:
        parse_post(path, body)
    except InvalidMessage as error:
        assert str(error)


@given(st.dictionaries(st.sampled_from(sorted(HEARTBEAT)), st.none() | st.integers() | st.text()))
def test_a_heartbeat_with_any_wrong_fields_is_parsed_or_rejected(changes):
    try:
        parse_heartbeat(**changes)
    except InvalidMessage as error:
        assert str(error)


REPORT = json.dumps(
    {
        'running': 3,
        'queued': 1,
        'kv_used': 5,
        'kv_total': 9,
        'pace': 1.5,
        'models': HEARTBEAT['models'],
    }
).encode()
PIECE_LIST = b'{"model":"m","version":2,"digests":["9f","07"]}'


@given(st.sampled_from([REPORT, PIECE_LIST]), st.integers(0, 200), st.binary(max_size=20))
def test_any_answer_of_an_engine_or_origin_is_parsed_or_rejected(body, length, suffix):
    for read in (ADAPTER.read_report, ADAPTER.read_piece_list, ADAPTER.read_document):
        for corrupted in (body[:length], body[:length] + suffix, suffix + body):
            try:
                read(corrupted)
            except InvalidMessage as error:
                assert str(error)


@given(st.binary(max_size=40))
def test_any_header_of_a_caller_is_parsed_or_rejected(value):
    text = value.decode('latin-1')
    for name, _ in CALLER_HEADERS:
        changed = [(key, text if key == name else held) for key, held in CALLER_HEADERS]
        try:
            ADAPTER.read_caller_request(Request('POST', '/a/b', changed))
        except InvalidMessage as error:
            assert str(error)


CALLER_HEADERS = [
    ('host', 'h.example'),
    ('x-request-id', '9c41'),
    ('last-event-id', '12'),
    ('x-model', 'm'),
    ('x-token-count', '1460,80'),
    ('x-prefix-hash', '5c1e:800,91bd:410'),
    ('x-deadline-ms', '6077'),
    ('authorization', 'Bearer k1'),
    ('connection', 'keep-alive, x-mine'),
    ('x-mine', '1'),
    ('x-tenant', 'forged'),
    ('x-other', 'kept'),
]


def test_the_headers_of_a_caller_are_parsed():
    caller = ADAPTER.read_caller_request(Request('POST', '/a/b?c=1', CALLER_HEADERS))
    assert (caller.request_id, caller.key, caller.deadline_ms) == ('9c41', 'k1', 6077)
    assert (caller.prompt_tokens, caller.answer_tokens) == (1460, 80)
    assert caller.prefix_parts == (('5c1e', 800), ('91bd', 410))
    assert caller.last_event_id == 12


@pytest.mark.parametrize('bad', [('x-deadline-ms', 'soon'), ('x-token-count', 'a,b')])
def test_invalid_headers_of_a_caller_are_rejected(bad):
    head = [item for item in CALLER_HEADERS if item[0] != bad[0]]
    with pytest.raises(InvalidMessage):
        ADAPTER.read_caller_request(Request('POST', '/', [*head, bad]))
    with pytest.raises(InvalidMessage):
        ADAPTER.read_caller_request(Request('POST', '/', [('host', 'h')]))


def test_headers_sent_to_a_back_end():
    options = ForwardOptions('i-7', 500, 'o', True, 2, 4, 15)
    headers = dict(ADAPTER.back_end_headers(Request('POST', '/', CALLER_HEADERS), options))
    assert headers['x-expect-instance'] == 'i-7'
    assert headers['x-deadline-ms'] == '500'
    assert headers['x-tenant'] == 'o'
    assert headers['x-expect-version'] == '2'
    assert headers['x-request-priority'] == '4'
    assert headers['last-event-id'] == '15'
    assert headers['x-other'] == 'kept'
    assert not {'authorization', 'connection', 'x-mine'} & set(headers)


def test_the_path_header_lists_its_segments_in_order():
    path = (PathSegment('10.0.0.1', 80, 0, 8), PathSegment('10.0.0.2', 81, 8, 16))
    forged = [*CALLER_HEADERS, ('path', 'elsewhere')]
    headers = dict(
        ADAPTER.back_end_headers(Request('POST', '/', forged), ForwardOptions('i', 5, path=path))
    )
    assert headers['path'] == '10.0.0.1:80=0-8,10.0.0.2:81=8-16'
    assert 'path' not in dict(
        ADAPTER.back_end_headers(Request('POST', '/', forged), ForwardOptions('i', 5))
    )


def test_a_forged_organisation_is_dropped():
    headers = dict(
        ADAPTER.back_end_headers(Request('POST', '/', CALLER_HEADERS), ForwardOptions('i-7', 500))
    )
    assert 'x-tenant' not in headers
    assert headers['last-event-id'] == '12'


def test_the_headers_of_an_answer_are_parsed():
    head = ADAPTER.read_answer_head(
        503, [('x-not-executed', '1'), ('keep-alive', 'timeout=5, max=9'), ('x-request-id', 'a')]
    )
    assert (head.not_run, head.misdirected, head.keep_alive_s, head.request_id) == (
        True,
        False,
        5.0,
        'a',
    )
    assert ADAPTER.read_answer_head(421, []).misdirected
    assert not ADAPTER.read_answer_head(503, []).not_run
    assert ADAPTER.read_answer_head(200, [('connection', 'Close')]).closes_connection


def test_headers_sent_to_a_caller():
    headers = [('x-server-stamp', 's'), ('connection', 'close'), ('content-type', 'a')]
    assert ADAPTER.caller_headers(headers) == [('x-server-stamp', 's'), ('content-type', 'a')]
    assert ('retry-after', '0.250') in ADAPTER.refusal_headers('id', 250)


def test_engine_messages():
    body = json.dumps(
        {'running': 3, 'queued': 1, 'kv_used': 5, 'models': HEARTBEAT['models'], 'layers': None}
    ).encode()
    report = ADAPTER.read_report(body)
    assert (report.running, report.queued, report.served) == (3, 1, (('m', 1, 0, None),))
    digest = 'a' * 64
    body = f'{{"model":"m","version":2,"digests":["{digest}"]}}'.encode()
    pieces = ADAPTER.read_piece_list(body)
    assert pieces.digests == (digest,)
    assert ADAPTER.piece_request('m', 2, 5).path == '/v1/piece/m?item_count=5&version=2'
    assert ADAPTER.stage_piece_request('m', 5, b'x').method == 'PUT'
    order = json.loads(ADAPTER.load_layers_request('m', 2, 8, 16, False).body)
    assert (order['manner'], order['from'], order['target_version']) == ('queue', 8, 16)
    order = json.loads(ADAPTER.load_layers_request('m', 2, 8, 16, True).body)
    assert (order['manner'], order['from'], order['target_version']) == ('preempt', 8, 16)


def test_regions_of_routes_and_organisations_are_read():
    """
    Guards against requests that leave the regions of their route or organisation because the
    regions in the document are passed over.

    """
    route = {**DOCUMENT['routes'][0], 'allowed_regions': ['north', 'south']}
    tenant = {'name': 'o', 'api_keys': ['k'], 'allowed_regions': ['north']}
    text = json.dumps({**DOCUMENT, 'routes': [route], 'tenants': [tenant]}).encode()
    document = ADAPTER.read_document(text)
    assert document.routes[0].regions == {'north', 'south'}
    assert document.organisations[0].regions == {'north'}
    unrestricted = ADAPTER.read_document(json.dumps(DOCUMENT).encode())
    assert unrestricted.routes[0].regions == frozenset()


def test_regions_that_are_no_list_of_names_are_an_error():
    route = {**DOCUMENT['routes'][0], 'allowed_regions': 'north'}
    with pytest.raises(InvalidMessage):
        ADAPTER.read_document(json.dumps({**DOCUMENT, 'routes': [route]}).encode())


@pytest.mark.parametrize(('order', 'evacuated'), [('Start', True), ('End', False)])
def test_orders_to_evacuate_zones_are_read(order, evacuated):
    request = Request('POST', f'/v1/Evacuations.{order}/zone%20a')
    assert ADAPTER.read_call(request) == SetEvacuation(ZoneId('zone a'), evacuated)


@pytest.mark.parametrize('zone', ['', 'a/b', 'z' * 201])
def test_orders_without_the_name_of_a_zone_are_an_error(zone):
    with pytest.raises(InvalidMessage):
        ADAPTER.read_call(Request('POST', f'/v1/Evacuations.Start/{zone}'))
