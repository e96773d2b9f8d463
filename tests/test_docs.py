"""
The documentation, examples and scenarios match the code and each other.

"""

import re
from pathlib import Path

import pytest

from millfork_core.logs import Component
from millfork_core.verdicts import Reason
from millfork_settings.declarations import Declaration
from millfork_settings.document import document
from millfork_settings.loading import load
from millfork_settings.models import Settings
from millfork_standins.deployments import SHAPES
from millfork_standins.examples import build_examples, write_examples

ROOT = Path(__file__).parent.parent
DOCS = ROOT / 'docs'
EXAMPLES = sorted((ROOT / 'examples').glob('*/*.yaml'))


def test_the_settings_page_matches_the_definitions():
    assert (DOCS / 'SETTINGS.md').read_text() == document()


@pytest.mark.parametrize('path', EXAMPLES, ids=lambda path: f'{path.parent.name}-{path.stem}')
def test_examples_are_valid(path):
    load(path, Declaration if path.stem == 'declaration' else Settings)


def test_examples_are_those_of_both_deployments(tmp_path):
    write_examples(tmp_path)
    for name, shape in SHAPES.items():
        for file in build_examples(shape):
            expected = (tmp_path / name / file).read_text()
            assert (ROOT / 'examples' / name / file).read_text() == expected


@pytest.mark.parametrize('reason', Reason, ids=lambda reason: reason.value)
def test_each_reason_is_explained_to_operators(reason):
    assert f'| `{reason.value}` |' in (DOCS / 'OPERATIONS.md').read_text()


@pytest.mark.parametrize('part', Component, ids=lambda part: part.value)
def test_each_log_prefix_is_explained_to_operators(part):
    assert f'| `{part.value}` |' in (DOCS / 'OPERATIONS.md').read_text()


def test_the_proofs_page_names_scenarios_and_tests_that_exist():
    text = (DOCS / 'PROOFS.md').read_text()
    scenarios = re.findall(r'`scenarios/(\w+)\.txt`', text)
    assert set(scenarios) == {path.stem for path in (ROOT / 'scenarios').glob('*.txt')}
    for name in re.findall(r'`tests/(\w+\.py)`', text):
        assert (ROOT / 'tests' / name).exists()


@pytest.mark.parametrize('page', sorted(DOCS.glob('*.md')), ids=lambda page: page.stem)
def test_links_between_pages_are_valid(page):
    for target in re.findall(r'\]\(([^)#:]+)\)', page.read_text()):
        assert (page.parent / target).exists(), target
