"""
No organisation sees or changes the state of another.

"""

import pytest

from millfork_standins.execution_log import read_executions
from tests.utils.fleets import call_service, complete, control


@pytest.fixture
def owner(serving_fleet):
    return serving_fleet.shape.organisations[0]


@pytest.fixture
def other(serving_fleet):
    return serving_fleet.shape.organisations[1]


def test_the_deployment_of_another_organisation_looks_nonexistent(serving_fleet, other):
    token = serving_fleet.caller_tokens[other]
    private = complete(serving_fleet, token)
    absent = complete(serving_fleet, token, model='never-was')
    assert private.status == absent.status == 404
    assert private.body == absent.body


def test_the_owner_is_answered(serving_fleet, owner):
    assert complete(serving_fleet, serving_fleet.caller_tokens[owner]).status == 200


def test_operators_cannot_use_a_callers_token(serving_fleet, owner):
    token = serving_fleet.caller_tokens[owner]
    assert control(serving_fleet, token, 'GET', 'state').status == 401


def test_callers_cannot_use_an_operators_token(serving_fleet, owner):
    assert complete(serving_fleet, serving_fleet.operator_tokens[owner]).status == 401


def test_operators_see_only_their_own_keys(serving_fleet, owner, other):
    state = control(serving_fleet, serving_fleet.operator_tokens[other], 'GET', 'state').json()
    assert set(state['items']) <= {f'organisations/{other}'}
    status = control(serving_fleet, serving_fleet.operator_tokens[other], 'GET', 'status').json()
    assert status['deployments'] == []
    own_status = control(
        serving_fleet, serving_fleet.operator_tokens[owner], 'GET', 'status'
    ).json()
    assert [row['deployment'] for row in own_status['deployments']] == [f'{owner}/main']


@pytest.mark.parametrize(
    'declaration',
    [
        {'organisation': 'OWNER', 'labels': {'x': {'a': 'b'}}},
        {'organisations': {'mine': {}}},
        {'drains': {'register-api-1': True}},
    ],
)
def test_operators_cannot_change_other_organisations(serving_fleet, owner, other, declaration):
    if 'organisation' in declaration:
        declaration = {**declaration, 'organisation': owner}
    token = serving_fleet.operator_tokens[other]
    answer = control(serving_fleet, token, 'POST', 'apply', {'declaration': declaration})
    assert (answer.status, answer.headers['millfork-reason']) == (403, 'forbidden')


def test_idempotency_keys_of_two_organisations_are_separate(serving_fleet, owner, other):
    headers = {'idempotency-key': 'shared', 'nonce': 'from-owner'}
    own_answer = call_service(
        serving_fleet, serving_fleet.caller_tokens[owner], 'POST', 'register-api/r', headers=headers
    )
    headers = {'idempotency-key': 'shared', 'nonce': 'from-other'}
    other_answer = call_service(
        serving_fleet, serving_fleet.caller_tokens[other], 'POST', 'register-api/r', headers=headers
    )
    assert (own_answer.json()['nonce'], other_answer.json()['nonce']) == (
        'from-owner',
        'from-other',
    )


def test_a_repeated_idempotency_key_is_answered_and_runs_once(serving_fleet, owner):
    token = serving_fleet.caller_tokens[owner]
    headers = {'idempotency-key': 'again', 'nonce': 'again'}
    first = call_service(serving_fleet, token, 'POST', 'register-api/r', 0, headers)
    second = call_service(serving_fleet, token, 'POST', 'register-api/r', 3, headers)
    assert first.status == second.status == 200
    assert first.body == second.body
    runs = [
        line
        for instance in serving_fleet.instances.values()
        for line in read_executions(serving_fleet.execution_log_path(instance.name))
        if line['kind'] == 'begin' and line.get('nonce') == 'again'
    ]
    assert len(runs) == 1


def test_an_idempotency_key_with_another_body_is_refused(serving_fleet, owner):
    token = serving_fleet.caller_tokens[owner]
    headers = {'idempotency-key': 'reused'}
    call_service(serving_fleet, token, 'POST', 'register-api/r', 0, headers)
    answer = call_service(serving_fleet, token, 'POST', 'register-api/elsewhere', 0, headers)
    assert (answer.status, answer.headers['millfork-reason']) == (422, 'key_reused')
