"""
What became of requests, told from the entries' logs.

"""

import pytest

from millfork.core import run
from millfork.explain import Cause, Ended, cause_of, read, table
from millfork.models import Arguments, Environment
from millfork_core.status import ExitStatus

LINE = (
    '2026-10-08T07:45:{second:06.3f} INFO proxy: Request ended. id=a outcome={outcome} status=200 '
    'route=r service=s first_ms={first} ms=100 reason={reason} verdict= expected_ms={expected} '
    'left_ms=400 occupied=3 elapsed_ms=0'
)


def line(second=0.0, outcome='served', first=100, reason='', expected=90):
    return LINE.format(
        second=second, outcome=outcome, first=first, reason=reason, expected=expected
    )


@pytest.mark.parametrize(
    ('ended', 'cause'),
    [
        (Ended(0, 'served', first_ms=300, expected_ms=200, left_ms=400), Cause.IN_TIME),
        (Ended(0, 'served', first_ms=500, expected_ms=450, left_ms=400), Cause.FULL),
        (Ended(0, 'served', first_ms=500, expected_ms=200, left_ms=400), Cause.UNFORESEEN),
        (Ended(0, 'served', '', 90, 80, -200, elapsed_ms=600), Cause.RETURNED),
        (Ended(0, 'served', first_ms=30), Cause.SERVED),
        (Ended(0, 'refused', 'busy'), Cause.BUSY),
        (Ended(0, 'refused', 'no_endpoint'), Cause.NOTHING_SERVES),
        (Ended(0, 'refused', 'limited'), Cause.LIMITED),
        (Ended(0, 'refused', 'resting'), Cause.RESTING),
        (Ended(0, 'refused', 'leaving'), Cause.LEAVING),
        (Ended(0, 'refused', 'expired'), Cause.REFUSED),
        (Ended(0, 'broken_off', 'connection_lost'), Cause.FAILED),
        (Ended(0, 'caller_gone'), Cause.LEFT),
    ],
)
def test_each_end_has_its_cause(ended, cause):
    assert cause_of(ended) is cause


def test_lines_of_other_kinds_are_passed_over():
    lines = ['garbage', line(1.5), '2026-10-08T07:45:01.000 INFO proxy: Attempt failed. id=a']
    (ended,) = read(lines)
    assert ended.at_s == pytest.approx(7 * 3600 + 45 * 60 + 1.4)
    assert (ended.first_ms, ended.expected_ms, ended.left_ms) == (100, 90, 400)


def test_a_line_for_each_span_and_the_sums():
    lines = [line(0.1), line(0.2, first=900), line(2.5, 'refused', -1, 'busy', 700)]
    head, first, second, total = table(read(lines), 2.0)
    assert head.split()[:2] == ['from', 'second']
    assert first.split() == ['0', '1', '1', '0']
    assert second.split() == ['2', '0', '0', '1']
    assert total.split() == ['all', '1', '1', '1']


def test_the_command_reads_logs_and_says_what_is_wrong_with_them(tmp_path):
    log = tmp_path / 'entry.log'
    log.write_text(line(0.1) + '\n' + line(0.3) + '\n')
    env = Environment(stdout=[], stderr=[])
    assert run(Arguments('explain', [str(log)], [], ''), env) == ExitStatus.SUCCESS
    assert env.stdout[-1].split() == ['all', '2']
    assert run(Arguments('explain', [], [], ''), env) == ExitStatus.USAGE
    assert run(Arguments('explain', [str(tmp_path / 'none')], [], ''), env) == ExitStatus.ERROR
    log.write_text('nothing of use')
    assert run(Arguments('explain', [str(log)], [], ''), env) == ExitStatus.ERROR
    assert len(env.stderr) == 3
