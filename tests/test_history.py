"""
The checker must reject what no correct system could have done.

"""

from dataclasses import replace

import pytest

from millfork_standins.history import History, Observation, Outcome, Put, Read, find_violations

FIRST = Put('a', 'k', 'a', None, 0.0, 1.0, Outcome.ACCEPTED, 1)
SECOND = Put('b', 'k', 'b', 1, 2.0, 3.0, Outcome.ACCEPTED, 2)
READ = Read(4.0, 5.0, 2, {'k': ('b', 2)})


def test_a_good_history_passes():
    resent = replace(SECOND, invoked=3.0, returned=4.0)
    seen = [Observation('x', 1.0, 1), Observation('x', 2.0, 2), Observation('y', 3.0, 1)]
    assert find_violations(History([FIRST, SECOND, resent], [READ], seen)) == []


def test_an_unknown_outcome_may_have_been_accepted_or_not():
    unknown = replace(SECOND, outcome=Outcome.UNKNOWN, revision=0)
    assert find_violations(History([FIRST, unknown], [READ])) == []
    assert find_violations(History([FIRST, unknown], [Read(4.0, 5.0, 1, {'k': ('a', 1)})])) == []


@pytest.mark.parametrize(
    ('history', 'complaint'),
    [
        (History([FIRST, replace(FIRST, revision=2)]), 'answered in 2 ways'),
        (History([FIRST, replace(SECOND, revision=1)]), 'given twice'),
        (History([replace(FIRST, revision=3), replace(SECOND, expect=None)]), 'began'),
        (
            History([FIRST, replace(SECOND, expect=0)]),
            'overlooked 1',
        ),
        (
            History([replace(SECOND, outcome=Outcome.CONFLICT, revision=0)]),
            'conflict with nobody',
        ),
        (History([FIRST, SECOND], [Read(4.0, 5.0, 1, {'k': ('a', 1)})]), 'misses revision 2'),
        (History([FIRST, SECOND], [Read(0.5, 1.5, 2, {'k': ('b', 2)})]), 'saw the future'),
        (History([FIRST, SECOND], [Read(4.0, 5.0, 2, {'k': ('a', 1)})]), "has k as ('a', 1)"),
        (History([FIRST, SECOND], [Read(4.0, 5.0, 2, {})]), 'has k as None'),
        (
            History(observations=[Observation('x', 1.0, 2), Observation('x', 2.0, 1)]),
            'went back to revision 1',
        ),
    ],
)
def test_what_must_be_rejected_is(history, complaint):
    assert any(complaint in found for found in find_violations(history))
