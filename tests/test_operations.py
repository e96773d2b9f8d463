"""
Operations other than rollouts: weight adapters, drains, changed selectors, removed deployments.

"""

import pytest

from millfork_core.status import ExitStatus
from millfork_standins.callers import Callers, RequestKind
from millfork_standins.deployments import LANTING
from millfork_standins.fleet import Fleet
from millfork_standins.layout import FleetOptions
from millfork_standins.run_summary import summarize_fleet_run
from millfork_standins.versions import fetch_version
from millfork_standins.weights import answer_text, weights_key
from tests.utils.fleets import complete, control, serve_version, serving, wait_until

MODEL = LANTING.model
MIB = 1024 * 1024


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    versions = [
        {'name': MODEL, 'version': 'v1', 'size': 2 * MIB},
        {'name': 'quiz-style', 'version': 'a1', 'size': MIB},
    ]
    options = FleetOptions(versions=versions)
    new_fleet = Fleet(LANTING, tmp_path_factory.mktemp('fleet'), options)
    try:
        new_fleet.start()
        serve_version(new_fleet, 'v1')
        yield new_fleet
    finally:
        new_fleet.close()


def rollout(fleet, name):
    rows = control(fleet, fleet.admin_token, 'GET', 'status').json()['deployments']
    return next(row for row in rows if row['deployment'].endswith(f'/{name}'))


def caller_token(fleet):
    return fleet.caller_tokens[fleet.shape.organisations[0]]


def apply(fleet, **sections):
    return fleet.apply({'organisation': fleet.shape.organisations[0], **sections})


def test_a_base_model_with_an_adapter_answers_by_both(fleet):
    spec = {
        'model': MODEL,
        'version': 'v1',
        'adapters': [{'name': 'quiz-style', 'version': 'a1'}],
        'selector': {'service': 'millfork-pool'},
    }
    apply(fleet, deployments={'quizzes': spec})
    wait_until(lambda: rollout(fleet, 'quizzes')['serving'] == 6)
    answer = complete(fleet, caller_token(fleet), model='quizzes', prompt='p', max_tokens=3)
    base = fetch_version(fleet, 'v1')
    adapter = fetch_version(fleet, 'a1', 'quiz-style')
    assert answer.headers['millfork-version'] == f'{base.id}+{adapter.id}'
    key = weights_key([base.weights_digest, adapter.weights_digest])
    assert answer.json()['choices'][0]['text'] == answer_text(key, 'p', 3)
    fleet.run_millfork('remove', 'quizzes', f'--organisation={fleet.shape.organisations[0]}')
    wait_until(lambda: complete(fleet, caller_token(fleet), model='quizzes').status == 404)
    assert complete(fleet, caller_token(fleet)).status == 200


def test_a_drained_instance_gets_no_work_until_it_is_undone(fleet):
    name = fleet.engines[0].name
    assert fleet.run_millfork('drain', name).returncode == ExitStatus.SUCCESS
    version = fetch_version(fleet, 'v1')
    callers = Callers(fleet, {version.id: version.key}, 4, (RequestKind.WHOLE, RequestKind.STREAM))
    callers.start()

    def count_started():
        return fleet.execution_log_path(name).read_text().count('"begin"')

    wait_until(lambda: f'drains/{name}' in fleet.run_millfork('get', 'drains/').stdout)
    wait_until(lambda: len(callers.records) > 20)
    counts = [count_started()]
    wait_until(lambda: len(callers.records) > 80)
    counts.append(count_started())
    assert counts[0] == counts[1]
    assert fleet.run_millfork('drain', name, '--undo').returncode == ExitStatus.SUCCESS
    wait_until(lambda: count_started() > counts[1])
    callers.stop()
    assert summarize_fleet_run(fleet, callers.records).is_clean


def test_a_selector_moves_a_deployment_under_load(fleet):
    first, second = fleet.engines[0].name, fleet.engines[1].name
    apply(fleet, labels={first: {'set': 'left'}, second: {'set': 'right'}})
    spec = {'model': MODEL, 'version': 'v1', 'selector': {'set': 'left'}}
    apply(fleet, deployments={'main': spec})
    wait_until(lambda: serving(fleet) == 1 and rollout(fleet, 'main')['selected'] == 1)
    version = fetch_version(fleet, 'v1')
    callers = Callers(fleet, {version.id: version.key}, 4, (RequestKind.WHOLE, RequestKind.STREAM))
    callers.start()
    wait_until(lambda: len(callers.records) > 20)
    apply(fleet, deployments={'main': {**spec, 'selector': {'set': 'right'}}})
    wait_until(lambda: [r['instance'] for r in rollout(fleet, 'main')['instances']] == [second])
    wait_until(lambda: rollout(fleet, 'main')['serving'] == 1)
    count_before = len(callers.records)
    wait_until(lambda: len(callers.records) > count_before + 40)
    callers.stop()
    summary = summarize_fleet_run(fleet, callers.records)
    assert summary.is_clean, summary
