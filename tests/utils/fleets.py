"""
Operations on a fleet that several tests use.

"""

import json
import time

from millfork_standins.fleet import Fleet
from millfork_standins.layout import CALLERS_PORT
from millfork_standins.requests import Answer, fetch

TIMEOUT_S = 30.0


def wait_until(condition, timeout_s=TIMEOUT_S):
    """
    Wait until a condition holds; fail after `timeout_s` seconds.

    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, 'the condition does not hold in time'
        time.sleep(0.05)


def serve_version(fleet: Fleet, version: str) -> None:
    """
    Apply organisations and a deployment of the version, and wait until all engines serve it.

    """
    fleet.apply(fleet.organisations_declaration())
    fleet.apply(fleet.deployment_declaration(version))
    wait_until(lambda: serving(fleet) == len(fleet.engines))


def serving(fleet: Fleet) -> int:
    answer = control(fleet, fleet.admin_token, 'GET', 'status')
    rows = answer.json()['deployments'] if answer.status == 200 else []
    return rows[0]['serving'] if rows else 0


def control(fleet: Fleet, token: str, method: str, action: str, body=None, entry=0) -> Answer:
    """
    Send a control request to one entry.

    """
    headers = {'authorization': f'Bearer {token}'}
    data = b'' if body is None else json.dumps(body).encode()
    host = fleet.entries[entry].host
    return fetch(method, host, CALLERS_PORT, f'/control/v1/{action}', data, headers)


def complete(fleet: Fleet, token: str, entry=0, headers=None, **fields) -> Answer:
    """
    Send a completion request to one entry.

    """
    body = {'model': 'main', 'prompt': 'draft it', 'max_tokens': 4, 'nonce': 'n', **fields}
    all_headers = {'authorization': f'Bearer {token}', **(headers or {})}
    host = fleet.entries[entry].host
    data = json.dumps(body).encode()
    return fetch('POST', host, CALLERS_PORT, '/v1/completions', data, all_headers)


def call_service(fleet: Fleet, token: str, method: str, path: str, entry=0, headers=None) -> Answer:
    """
    Send a request for a plain service to one entry.

    """
    all_headers = {'authorization': f'Bearer {token}', **(headers or {})}
    host = fleet.entries[entry].host
    return fetch(method, host, CALLERS_PORT, f'/services/{path}', b'{}', all_headers)
