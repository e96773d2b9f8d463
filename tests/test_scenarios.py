from pathlib import Path

import pytest

from millfork_standins.scenario import steps
from millfork_standins.scenario.parser import ScenarioSyntaxError, parse
from millfork_standins.scenario.runner import Runner, ScenarioFailed

FOLDER = Path(__file__).parent.parent / 'scenarios'
SCENARIOS = sorted(FOLDER.glob('*.txt'))


@pytest.mark.parametrize('path', SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path, tmp_path):
    Runner(tmp_path).run(parse(path))


def test_steps_are_parsed_with_their_line_numbers(tmp_path):
    path = tmp_path / 'one.txt'
    path.write_text('# why\nfleet lanting relay=yes engine.token_ms=20\n\ncut 1-2 1-3  # two\n')
    assert parse(path) == [
        steps.MakeFleet(2, 'lanting', {'relay': 'yes', 'engine.token_ms': '20'}),
        steps.Cut(4, ((1, 2), (1, 3))),
    ]


@pytest.mark.parametrize('text', ['dance', 'wait ready entry-1', 'cut 1', 'corrupt much'])
def test_an_invalid_step_is_reported_with_file_and_line(tmp_path, text):
    path = tmp_path / 'bad.txt'
    path.write_text(f'fleet lanting\n{text}\n')
    with pytest.raises(ScenarioSyntaxError, match='bad.txt:[23]:'):
        parse(path)


def test_a_condition_that_is_not_met_in_time_fails_the_run(tmp_path):
    runner = Runner(tmp_path)
    with pytest.raises(ScenarioFailed, match='line 7: condition not met within 0.01 s: never'):
        runner._wait(steps.Wait(7, 0.01), 'never', lambda: False)
