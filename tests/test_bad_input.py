"""
Invalid input to entries, wire ports and `millfork` is refused with a specific reason, and the
processes keep running.

"""

import json
import socket

import pytest
import yaml

from millfork_core.status import ExitStatus
from millfork_standins.layout import ADMIN_PORT, CALLERS_PORT, WIRE_PORT
from millfork_standins.requests import fetch
from tests.utils.fleets import complete, control, wait_until


@pytest.fixture
def entry(serving_fleet):
    return serving_fleet.entries[0]


def metric_value(instance, line):
    text = fetch('GET', instance.host, ADMIN_PORT, '/metrics').body.decode()
    found = [row for row in text.splitlines() if row.startswith(line)]
    return float(found[0].rsplit(' ', 1)[1]) if found else 0.0


def send_raw(host, port, data):
    """
    Send bytes and return the bytes received until the peer closes the connection.

    """
    with socket.create_connection((host, port), timeout=10) as sock:
        sock.sendall(data)
        received = b''
        try:
            while piece := sock.recv(65536):
                received += piece
        except ConnectionResetError:
            pass
        return received


@pytest.mark.parametrize(
    ('data', 'status', 'reason'),
    [
        (b'NONSENSE\r\n\r\n', 400, 'bad_request'),
        (b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n', 400, 'bad_request'),
        (b'GET / HTTP/1.1\r\nx: ' + b'y' * 70000 + b'\r\n\r\n', 400, 'bad_request'),
        (
            b'POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 5000000\r\n\r\n'
            + b'z' * 5000000,
            413,
            'too_large',
        ),
    ],
)
def test_malformed_and_oversized_requests_are_refused(entry, data, status, reason):
    line = f'millfork_refusals_total{{part="http",reason="{reason}"}}'
    before = metric_value(entry, line)
    answer = send_raw(entry.host, CALLERS_PORT, data)
    assert answer.startswith(b'HTTP/1.1 %d' % status)
    assert f'"reason": "{reason}"'.encode() in answer
    assert metric_value(entry, line) == before + 1


@pytest.mark.parametrize(
    ('fields', 'headers', 'status', 'reason'),
    [
        ({}, {'authorization': 'Bearer wrong'}, 401, 'unauthenticated'),
        ({}, {'authorization': 'Basic wrong'}, 401, 'unauthenticated'),
        ({'model': 7}, {}, 400, 'bad_request'),
        ({}, {'millfork-repeatable': 'maybe'}, 400, 'bad_request'),
        ({}, {'millfork-timeout-ms': '-1'}, 400, 'bad_request'),
        ({}, {'idempotency-key': 'k' * 300}, 400, 'bad_request'),
    ],
)
def test_invalid_requests_are_refused(serving_fleet, fields, headers, status, reason):
    token = serving_fleet.caller_tokens[serving_fleet.shape.organisations[0]]
    answer = complete(serving_fleet, token, headers=headers, **fields)
    assert (answer.status, answer.headers['millfork-reason']) == (status, reason)
    assert answer.headers['millfork-verdict'] == 'not_run'
    assert answer.headers['content-type'] == 'application/problem+json'


def test_a_body_that_is_not_json_is_refused(serving_fleet, entry):
    token = serving_fleet.caller_tokens[serving_fleet.shape.organisations[0]]
    headers = {'authorization': f'Bearer {token}'}
    answer = fetch('POST', entry.host, CALLERS_PORT, '/v1/completions', b'{', headers)
    assert answer.status == 400


@pytest.mark.parametrize(
    'data',
    [
        b'GET / HTTP/1.1\r\n\r\n',
        b'\xff\xff\xff\xff' + b'x' * 100,
        b'\x00\x00\x00\x10' + b'\xff' * 16,
        b'\x00\x00\x00\x00',
    ],
)
def test_connections_that_fail_the_handshake_are_closed(entry, data):
    send_raw(entry.host, WIRE_PORT, data)
    wait_until(lambda: metric_value(entry, 'millfork_wire_total{event="handshake_failed"}') > 0)
    assert fetch('GET', entry.host, ADMIN_PORT, '/readyz').status == 200


def test_a_peer_with_the_wrong_key_never_joins(serving_fleet, tmp_path):
    outsider = serving_fleet.instances['register-api-1']
    settings = serving_fleet.build_settings(outsider)
    wrong_key_file = tmp_path / 'key'
    wrong_key_file.write_text('not the key of this fleet')
    host = f'{outsider.host[: outsider.host.rindex(".")]}.240'
    settings.update(instance='stranger', address=host, fleet_key_file=str(wrong_key_file))
    (tmp_path / 'settings.yaml').write_text(yaml.safe_dump(settings))
    (serving_fleet.folder / 'stranger').mkdir()

    def handshakes_failed():
        line = 'millfork_wire_total{event="handshake_failed"}'
        return sum(metric_value(entry, line) for entry in serving_fleet.entries)

    before = handshakes_failed()
    serving_fleet._spawn('stranger', ['-m', 'millforkd', f'--settings={tmp_path}/settings.yaml'])
    wait_until(lambda: handshakes_failed() >= before + 2)
    assert fetch('GET', host, ADMIN_PORT, '/readyz').json()['ready'] is False
    serving_fleet.kill('stranger')


@pytest.mark.parametrize(
    ('body', 'detail'),
    [
        ({'declaration': {'deploymints': {}}}, 'deploymints: unknown key'),
        ({'declaration': {'labels': {'a': {'b': 'c d'}}}}, 'labels.a.b'),
        ({'declaration': {}, 'surplus': 1}, 'surplus'),
        ({'declaration': {'labels': {'a': {'b': 'c'}}}}, 'organisation: a name expected'),
    ],
)
def test_bad_declarations_change_nothing(serving_fleet, body, detail):
    before = control(serving_fleet, serving_fleet.admin_token, 'GET', 'state').json()
    answer = control(serving_fleet, serving_fleet.admin_token, 'POST', 'apply', body)
    assert answer.status == 422
    assert detail in answer.json()['detail']
    after = control(serving_fleet, serving_fleet.admin_token, 'GET', 'state').json()
    assert after == before


def test_a_version_the_origin_does_not_have_is_refused(serving_fleet):
    declaration = serving_fleet.deployment_declaration('v99')
    answer = control(
        serving_fleet, serving_fleet.admin_token, 'POST', 'apply', {'declaration': declaration}
    )
    assert answer.status == 422
    assert 'v99' in answer.json()['detail']


def test_all_problems_of_a_settings_file_are_reported_at_once(serving_fleet, tmp_path):
    settings = serving_fleet.build_settings(serving_fleet.entries[0])
    settings['zone'] = 7
    settings['surplus'] = True
    settings['ports']['wire'] = 70000
    path = tmp_path / 'settings.yaml'
    path.write_text(yaml.safe_dump(settings))
    done = serving_fleet.run_millfork('check', str(path))
    assert done.returncode == ExitStatus.BAD_SETTINGS
    for key in ('zone', 'surplus', 'ports.wire'):
        assert f'{path}: {key}: ' in done.stderr


def test_a_good_declaration_file_passes_the_check(serving_fleet):
    path = serving_fleet.write_declaration('good.yaml', serving_fleet.deployment_declaration('v1'))
    assert serving_fleet.run_millfork('check', str(path)).returncode == ExitStatus.SUCCESS


@pytest.mark.parametrize('text', ['{', '- a', 'deployments: 3', ''])
def test_a_bad_declaration_file_has_its_own_exit_status(serving_fleet, tmp_path, text):
    path = tmp_path / 'bad.yaml'
    path.write_text(text)
    done = serving_fleet.run_millfork('apply', str(path))
    assert done.returncode == ExitStatus.BAD_DECLARATION
    assert str(path) in done.stderr


def test_racing_operators_get_a_conflict_and_its_exit_status(serving_fleet):
    before = control(serving_fleet, serving_fleet.admin_token, 'GET', 'state').json()['revision']
    organisation = serving_fleet.shape.organisations[0]
    arguments = (f'--organisation={organisation}', f'--expect={before}')
    first = serving_fleet.run_millfork('label', 'spare', 'owner=left', *arguments)
    second = serving_fleet.run_millfork('label', 'spare', 'owner=right', *arguments)
    assert (first.returncode, second.returncode) == (ExitStatus.SUCCESS, ExitStatus.CONFLICT)
    state = control(serving_fleet, serving_fleet.admin_token, 'GET', 'state').json()
    assert state['items'][f'labels/{organisation}/spare']['value'] == {'owner': 'left'}


@pytest.mark.parametrize('arguments', [('dance',), ('apply',), ('label', 'one', 'two')])
def test_usage_errors(serving_fleet, arguments):
    assert serving_fleet.run_millfork(*arguments).returncode == ExitStatus.USAGE


def test_json_output_is_json(serving_fleet):
    assert json.loads(serving_fleet.run_millfork('get', '--json').stdout)['revision'] > 0
