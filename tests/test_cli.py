"""
The command lines of `millfork` and `millforkd`: help, usage and exit statuses.

"""

import subprocess
import sys

import pytest

from millfork.cli.argtypes import BadArgument, parse_entries, parse_labels
from millfork.core import COMMANDS, run
from millfork.models import Arguments, Environment
from millfork_core.status import ExitStatus


def run_program(program, *arguments):
    command = [sys.executable, '-m', program, *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)


@pytest.mark.parametrize('program', ['millfork', 'millforkd'])
def test_help_shows_usage_and_exit_statuses(program):
    completed = run_program(program, '--help')
    assert completed.returncode == ExitStatus.SUCCESS
    assert 'usage: ' in completed.stdout
    assert 'xit statuses' in completed.stdout


def test_every_command_is_in_the_help():
    text = run_program('millfork', '--help').stdout
    for command in COMMANDS:
        assert f'\n  {command} ' in text


@pytest.mark.parametrize(
    ('program', 'arguments', 'status'),
    [
        ('millfork', [], ExitStatus.USAGE),
        ('millfork', ['apply', 'x', '--nonsense'], ExitStatus.USAGE),
        ('millfork', ['get', '--entries=nowhere'], ExitStatus.USAGE),
        ('millfork', ['apply', 'missing.yaml'], ExitStatus.BAD_DECLARATION),
        ('millforkd', [], ExitStatus.USAGE),
        ('millforkd', ['--nonsense'], ExitStatus.USAGE),
        ('millforkd', ['--settings=missing.yaml'], ExitStatus.BAD_SETTINGS),
    ],
)
def test_each_error_has_its_exit_status(program, arguments, status):
    completed = run_program(program, *arguments)
    assert completed.returncode == status
    assert completed.stderr or not arguments


def test_an_unreachable_entry_has_its_exit_status():
    env = Environment(stdout=[], stderr=[])
    arguments = Arguments('get', [], [('127.9.9.9', 9)], 'token')
    assert run(arguments, env) == ExitStatus.UNREACHABLE
    assert '127.9.9.9:9' in env.stderr[0]


def test_entries_and_labels_are_parsed():
    assert parse_entries('10.0.0.1:80, 10.0.0.2:81') == [('10.0.0.1', 80), ('10.0.0.2', 81)]
    assert parse_labels(['a=b', 'c=D-1']) == {'a': 'b', 'c': 'D-1'}


@pytest.mark.parametrize('labels', [['a'], ['=b'], ['a='], ['A=b'], ['a=b c']])
def test_malformed_labels_are_rejected(labels):
    with pytest.raises(BadArgument):
        parse_labels(labels)
