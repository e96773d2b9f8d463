"""
The history checker accepts possible histories of configuration changes and reads, and rejects
impossible ones.

"""

from dataclasses import replace

import pytest

from millfork_standins.history import History, Observation, Outcome, Put, Read, find_violations

FIRST_PUT = Put('a', 'k', 'a', None, 0.0, 1.0, Outcome.ACCEPTED, 1)
SECOND_PUT = Put('b', 'k', 'b', 1, 2.0, 3.0, Outcome.ACCEPTED, 2)
READ = Read(4.0, 5.0, 2, {'k': ('b', 2)})


def test_a_possible_history_passes():
    resent = replace(SECOND_PUT, invoked=3.0, returned=4.0)
    observations = [Observation('x', 1.0, 1), Observation('x', 2.0, 2), Observation('y', 3.0, 1)]
    assert find_violations(History([FIRST_PUT, SECOND_PUT, resent], [READ], observations)) == []


def test_a_put_with_unknown_outcome_may_have_been_accepted_or_not():
    unknown = replace(SECOND_PUT, outcome=Outcome.UNKNOWN, revision=0)
    assert find_violations(History([FIRST_PUT, unknown], [READ])) == []
    assert (
        find_violations(History([FIRST_PUT, unknown], [Read(4.0, 5.0, 1, {'k': ('a', 1)})])) == []
    )


def test_a_change_may_take_effect_at_an_attempt_of_unknown_outcome_and_be_resent_later():
    """
    The leader is lost after it applied a change and before it answered. Another change of the key
    follows, so that no read shows the first one, and the resent command gets its revision. Only the
    accepted attempt used to count, which began after the other change.

    """
    lost = replace(FIRST_PUT, returned=10.0, outcome=Outcome.UNKNOWN, revision=0)
    resent = replace(FIRST_PUT, invoked=5.0, returned=6.0)
    assert find_violations(History([lost, SECOND_PUT, resent], [READ])) == []
    assert find_violations(History([SECOND_PUT, resent], [READ])) != []


@pytest.mark.parametrize(
    ('history', 'expected_text'),
    [
        (History([FIRST_PUT, replace(FIRST_PUT, revision=2)]), 'got 2 different results'),
        (History([FIRST_PUT, replace(SECOND_PUT, revision=1)]), 'given twice'),
        (History([replace(FIRST_PUT, revision=3), replace(SECOND_PUT, expect=None)]), 'began'),
        (
            History([FIRST_PUT, replace(SECOND_PUT, expect=0)]),
            'ignores revision 1',
        ),
        (
            History([replace(SECOND_PUT, outcome=Outcome.CONFLICT, revision=0)]),
            'conflict without a conflicting change',
        ),
        (
            History([FIRST_PUT, SECOND_PUT], [Read(4.0, 5.0, 1, {'k': ('a', 1)})]),
            'misses revision 2',
        ),
        (
            History([FIRST_PUT, SECOND_PUT], [Read(0.5, 1.5, 2, {'k': ('b', 2)})]),
            'has a change that began later',
        ),
        (
            History([FIRST_PUT, SECOND_PUT], [Read(4.0, 5.0, 2, {'k': ('a', 1)})]),
            "has k as ('a', 1)",
        ),
        (History([FIRST_PUT, SECOND_PUT], [Read(4.0, 5.0, 2, {})]), 'has k as None'),
        (
            History(observations=[Observation('x', 1.0, 2), Observation('x', 2.0, 1)]),
            'went back to revision 1',
        ),
    ],
)
def test_an_impossible_history_is_rejected(history, expected_text):
    assert any(expected_text in violation for violation in find_violations(history))
