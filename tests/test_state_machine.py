from millfork_state.commands import Apply, Change, ClaimKey, ClaimState, SettleKey
from millfork_state.state_machine import (
    CLAIM_LIFETIME_MS,
    CLAIM_OPEN_TIMEOUT_MS,
    StateMachine,
    members_in,
)
from millfork_state.view import View


def machine() -> StateMachine:
    return StateMachine(View())


def put(key: str, value: bytes | None, expect: int | None = None) -> Change:
    return Change(key, value, expect)


def test_each_accepted_change_makes_one_revision():
    state = machine()
    assert state.apply(Apply('one', [put('a', b'1'), put('b', b'1')])).revision == 1
    assert state.apply(Apply('two', [put('a', b'2')])).revision == 2
    assert state.view.items['b'].revision == 1


def test_a_resent_command_gets_its_first_result():
    state = machine()
    first = state.apply(Apply('one', [put('a', b'1')]))
    state.apply(Apply('two', [put('a', b'2')]))
    assert state.apply(Apply('one', [put('a', b'1')])) == first
    assert state.view.items['a'].value == b'2'


def test_of_two_changes_that_expect_the_same_revision_one_wins():
    state = machine()
    state.apply(Apply('base', [put('a', b'0')]))
    won = state.apply(Apply('left', [put('a', b'left', expect=1)]))
    lost = state.apply(Apply('right', [put('a', b'right', expect=1)]))
    assert won.ok and not lost.ok
    assert lost.conflicts == ['a']
    assert state.view.items['a'].value == b'left'


def test_a_removal_conflicts_with_a_concurrent_change():
    state = machine()
    state.apply(Apply('base', [put('a', b'0')]))
    state.apply(Apply('left', [put('a', None, expect=1)]))
    assert not state.apply(Apply('right', [put('a', b'right', expect=1)])).ok


def test_one_conflict_refuses_all_changes():
    state = machine()
    state.apply(Apply('base', [put('a', b'0')]))
    assert not state.apply(Apply('both', [put('b', b'1', 0), put('a', b'1', 0)])).ok
    assert 'b' not in state.view.items


def test_a_change_that_changes_nothing_makes_no_revision():
    state = machine()
    state.apply(Apply('one', [put('a', b'1')]))
    assert state.apply(Apply('two', [put('a', b'1')])).revision == 1


def test_a_key_is_granted_once_until_released():
    state = machine()
    assert state.apply(ClaimKey('k', 'first', 'print', 1)).state is ClaimState.GRANTED
    assert state.apply(ClaimKey('k', 'first', 'print', 2)).state is ClaimState.GRANTED
    assert state.apply(ClaimKey('k', 'second', 'print', 3)).state is ClaimState.IN_PROGRESS
    state.apply(SettleKey('k', 'first', released=True))
    assert state.apply(ClaimKey('k', 'second', 'print', 4)).state is ClaimState.GRANTED


def test_only_the_attempt_that_holds_a_key_settles_it():
    state = machine()
    state.apply(ClaimKey('k', 'first', 'print', 1))
    state.apply(SettleKey('k', 'second', released=True))
    assert state.apply(ClaimKey('k', 'third', 'print', 2)).state is ClaimState.IN_PROGRESS


def test_a_done_key_returns_its_first_answer():
    state = machine()
    state.apply(ClaimKey('k', 'first', 'print', 1))
    state.apply(SettleKey('k', 'first', False, 200, [('a', 'b')], b'body'))
    result = state.apply(ClaimKey('k', 'second', 'print', 2))
    assert (result.state, result.status, result.body) == (ClaimState.DONE, 200, b'body')
    assert state.apply(ClaimKey('k', 'other', 'another', 3)).state is ClaimState.REUSED


def test_a_key_whose_entry_is_lost_may_have_run():
    state = machine()
    state.apply(ClaimKey('k', 'first', 'print', 1))
    late = 2 + CLAIM_OPEN_TIMEOUT_MS
    assert state.apply(ClaimKey('k', 'second', 'print', late)).state is ClaimState.MAY_HAVE_RUN


def test_claims_are_forgotten_after_their_lifetime():
    state = machine()
    state.apply(ClaimKey('k', 'first', 'print', 1))
    state.apply(ClaimKey('other', 'x', 'print', 1 + CLAIM_LIFETIME_MS))
    assert list(state.claims) == ['other']


def test_a_dump_restores_everything():
    state = machine()
    state.apply(Apply('one', [put('a', b'1'), put('gone', b'1')]))
    state.apply(Apply('two', [put('gone', None)]))
    state.apply(ClaimKey('k', 'first', 'print', 1))
    other = machine()
    dump = state.dump([('a', 'disk')])
    other.restore(dump)
    assert members_in(dump) == [('a', 'disk')]
    assert other.dump([('a', 'disk')]) == state.dump([('a', 'disk')])
    assert not other.apply(Apply('three', [put('gone', b'2', expect=1)])).ok
