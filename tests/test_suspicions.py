"""
Requests whose answers broke off, before it is known whether their back ends ended.

"""

import random

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from millfork_core.environment import Environment
from millfork_core.ids import (
    Fingerprint,
    Incarnation,
    IncarnationKey,
    InstanceId,
    ServiceName,
    ZoneId,
)
from millfork_core.windows import Allowance
from millfork_registry.suspicion_store import (
    MAX_BROKEN_INCARNATIONS,
    MAX_SUSPICIONS,
    Suspicion,
    SuspicionStore,
    decode_suspicions,
    encode_suspicions,
)
from millfork_scheduling.fates import Fate
from millfork_scheduling.quarantine import (
    ENDS,
    TRIAL_AFTER_S,
    TRIAL_SPREAD_S,
    Standing,
    Trials,
    ends_after,
    standing_of,
)
from millfork_scheduling.server import Server
from millforkd.proxy import ends as ends_module
from millforkd.proxy.ends import Address, Ends
from tests.test_servers import Clock

FINGERPRINT = Fingerprint('ab')
LONG_S = 200.0
MOST_TRIALS_A_S = 2


def suspected(number=ENDS):
    suspicion = Suspicion(FINGERPRINT)
    for index in range(number):
        suspicion = suspicion.with_broken_answer(IncarnationKey(f'i-{index}/1'))
    return suspicion


STEPS = st.lists(
    st.tuples(
        st.sampled_from(['break', 'lives', 'end', 'clear', 'tell']),
        st.integers(0, 2),
        st.integers(0, 2),
        st.integers(0, MAX_BROKEN_INCARNATIONS + 2),
    ),
    max_size=30,
)


@settings(deadline=None)
@given(STEPS)
def test_all_agree_once_each_has_told_what_it_knows(steps):
    async def run():
        processes = [SuspicionStore(Clock()) for _ in range(3)]

        async def tell(one, other):
            body = encode_suspicions(list(processes[one].table.values()))
            await processes[other].merge(decode_suspicions(body))

        for kind, one, other, number in steps:
            suspects = processes[one]
            known = suspects.get(FINGERPRINT)
            key = IncarnationKey(f'i-{number}/1')
            if kind == 'break':
                await suspects.record(known.with_broken_answer(key))
            elif kind == 'lives' and key in known.broken:
                await suspects.withdraw(known.without_broken(key))
            elif kind == 'end':
                await suspects.record(known.with_end())
            elif kind == 'clear':
                await suspects.withdraw(known.cleared())
            elif kind == 'tell':
                await tell(one, other)
        for one in (0, 1, 2, 0, 1, 2):
            for other in range(3):
                await tell(one, other)
        assert len({process.get(FINGERPRINT) for process in processes}) == 1

    curio.run(run)


def test_a_request_is_suspected_after_it_broke_off_at_three_back_ends():
    standings = [standing_of(suspected(number)) for number in range(ENDS + 1)]
    assert standings == [Standing.FREE] * ENDS + [Standing.SUSPECTED]
    again = suspected(1).with_broken_answer(IncarnationKey('i-0/1'))
    assert again == suspected(1)


def test_ends_count_by_sequence_and_each_incarnation_once():
    now = suspected()
    assert ends_after(Suspicion(FINGERPRINT), now, IncarnationKey('i-0/1')) == 1
    assert ends_after(suspected(2), now, IncarnationKey('i-2/1')) == ENDS
    assert ends_after(suspected(2), now, IncarnationKey('i-1/1')) == 2
    lives_on = now.without_broken(IncarnationKey('i-0/1'))
    assert ends_after(suspected(2), lives_on, IncarnationKey('i-2/1')) == 2
    assert ends_after(suspected(0).with_end(), now, IncarnationKey('i-2/1')) == 2


def test_one_that_lives_on_is_suspected_no_more():
    left = suspected().with_end().without_broken(IncarnationKey('i-1/1'))
    assert standing_of(left) is Standing.FREE
    assert (left.epoch, left.ends, left.broken) == (1, 1, ('i-0/1', 'i-2/1'))


def test_what_nobody_was_told_is_withdrawn_without_a_trace():
    async def run():
        suspects = SuspicionStore(Clock())
        suspects.record_privately(suspected(1))
        await suspects.mark_all_unsent()
        assert not suspects.unsent
        await suspects.withdraw(suspected(1).without_broken(IncarnationKey('i-0/1')))
        assert not len(suspects.table)
        suspects.record_privately(suspected(1))
        await suspects.publish(FINGERPRINT)
        assert suspects.unsent == {FINGERPRINT: suspected(1)}
        await suspects.withdraw(suspected(1).without_broken(IncarnationKey('i-0/1')))
        assert suspects.unsent[FINGERPRINT] == Suspicion(FINGERPRINT, 1)

    curio.run(run)


def test_where_records_are_many_those_that_suspect_nothing_go_first():
    async def run():
        suspects = SuspicionStore(Clock())
        await suspects.record(suspected())
        for number in range(MAX_SUSPICIONS):
            await suspects.record(Suspicion(Fingerprint(f'{number}'), 1))
        assert suspects.get(FINGERPRINT) == suspected()

    curio.run(run)


def test_a_suspected_request_is_tried_once_in_a_while_and_by_few_entries():
    clock = Clock()
    entries = 20
    trials = [Trials(random.Random(number), clock, lambda: entries) for number in range(entries)]
    begun = []
    started_at = clock.now
    while clock.now < started_at + LONG_S:
        begun += [clock.now for trial in trials if trial.begin(suspected())]
        clock.now += 0.05
    assert begun[0] - started_at >= TRIAL_AFTER_S
    assert LONG_S / (TRIAL_AFTER_S + entries * TRIAL_SPREAD_S) * entries <= len(begun)
    assert len(begun) <= MOST_TRIALS_A_S * LONG_S


def test_what_is_learned_of_a_request_puts_its_trial_off():
    clock = Clock()
    trials = Trials(random.Random(1), clock, lambda: 1)
    assert not trials.begin(suspected())
    clock.now += TRIAL_AFTER_S + TRIAL_SPREAD_S
    assert not trials.begin(suspected(ENDS + 1))
    assert not trials.begin(suspected(ENDS + 1))
    clock.now += TRIAL_AFTER_S + TRIAL_SPREAD_S
    assert trials.begin(suspected(ENDS + 1))
    assert not trials.begin(suspected(ENDS + 1))


def test_an_allowance_is_there_again_after_its_time():
    allowance = Allowance(2, 10)
    assert [allowance.spend(now) for now in (0, 1, 2, 10.5, 10.6, 12)] == [
        True,
        True,
        False,
        True,
        False,
        True,
    ]


class Broken:
    """
    Back ends under which the same request breaks off one after another.

    """

    def __init__(self):
        self.env = Environment(InstanceId('a:1'), ZoneId('z1'))
        self.suspects = SuspicionStore(self.env.monotonic)
        self.fates = {}
        self.ends = Ends(self.env, self.suspects, self.fate)
        self.found = Address.ANSWERS
        self.ends.look = self.look

    def fate(self, server, since):
        return self.fates.get(server.instance, Fate.UNKNOWN)

    async def look(self, server):
        return self.found

    async def break_off(self, number):
        server = Server(
            InstanceId(f'i-{number}'), ServiceName('s'), '127.0.0.1', 1, ZoneId('z1'), 16
        )
        server.incarnation = Incarnation(1)
        await self.ends.note_broken(server, self.known)

    @property
    def known(self):
        return self.suspects.get(FINGERPRINT)

    async def until(self, holds):
        async with curio.timeout_after(5):
            while not holds():
                await curio.sleep(0.005)


@pytest.mark.parametrize('fate', [Fate.ENDED, Fate.LIVES])
def test_a_request_is_suspected_until_the_fates_of_its_back_ends_are_known(fate):
    async def run():
        broken = Broken()
        for number in range(ENDS):
            await broken.break_off(number)
        assert standing_of(broken.known) is Standing.SUSPECTED
        broken.fates = {f'i-{number}': fate for number in range(ENDS)}
        await broken.until(lambda: not broken.ends.watches)
        standing = Standing.AT_FAULT if fate is Fate.ENDED else Standing.FREE
        assert standing_of(broken.known) is standing

    curio.run(run)


def test_back_ends_of_which_nothing_is_heard_count_as_living(monkeypatch):
    monkeypatch.setattr(ends_module, 'WATCHED_S', 0.1)

    async def run():
        broken = Broken()
        for number in range(ENDS):
            await broken.break_off(number)
        await broken.until(lambda: not broken.ends.watches)
        assert broken.known.is_clear

    curio.run(run)


def test_ends_at_one_moment_count_as_one_and_are_suspected():
    """
    As in a loss of power: each was sent there before anything was known.

    """

    async def run():
        broken = Broken()
        broken.found = Address.REFUSES
        before = broken.known
        for number in range(2 * ENDS):
            server = Server(
                InstanceId(f'i-{number}'), ServiceName('s'), '127.0.0.1', 1, ZoneId('z1'), 16
            )
            await broken.ends.note_broken(server, before)
        await broken.until(lambda: not broken.ends.watches)
        assert broken.known.ends == 1
        assert standing_of(broken.known) is Standing.SUSPECTED

    curio.run(run)


def test_a_back_end_that_answers_others_may_end_after_a_caller_left():
    """
    Its answers tell nothing then: it may go on with the request of the one that left.

    """

    async def run():
        broken = Broken()
        broken.fates = {'i-0': Fate.LIVES}
        server = Server(InstanceId('i-0'), ServiceName('s'), '127.0.0.1', 1, ZoneId('z1'), 16)
        for _ in range(2):
            await broken.ends.note_left(server, broken.known)
        await curio.sleep(0.05)
        broken.fates = {'i-0': Fate.ENDED}
        await broken.until(lambda: broken.known.ends == 1)

    curio.run(run)
