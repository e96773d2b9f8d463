"""
Suspicions of parts of prompts: how much evidence blames a part, what clears it, and when a blamed
part is tried again.

"""

from types import SimpleNamespace

import curio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from millfork_core.environment import Environment
from millfork_core.ids import (
    ClusterId,
    Fingerprint,
    IncarnationKey,
    InstanceId,
    RequestId,
    ServiceName,
    ZoneId,
)
from millfork_registry.answered_parts import ANSWERED_MEMORY_S, MAX_ANSWERED_PARTS
from millfork_registry.suspicion_index import Rivals
from millfork_registry.suspicion_store import MAX_SUSPICIONS, SUSPICION_RETENTION_S, SuspicionStore
from millfork_registry.suspicions import MAX_WITNESSES, Suspicion
from millfork_scheduling.incarnation_status import IncarnationStatus
from millfork_scheduling.quarantine import (
    MAX_CRASH_DELAY_S,
    MAX_RIVALS,
    MIN_BACK_ENDS_OF_ANSWERED_PART,
    MIN_ENDS_DESPITE_RIVALS,
    MIN_ENDS_OF_ANSWERED_PART,
    MIN_ENDS_OF_PART,
    MIN_WITNESSES_OF_FAST_ENDS,
    is_at_fault,
    is_at_fault_among,
)
from millfork_scheduling.server import Server
from millfork_state.commands import Raise, decode_command
from millfork_state.keys import quarantine_key, trial_key
from millfork_state.state_machine import StateMachine
from millfork_state.view import View
from millfork_wire.messages import Proposed
from millforkd.proxy.attempts import Attempt
from millforkd.proxy.end_detection import EndDetector, ProbeResult
from millforkd.proxy.part_quarantine import PartQuarantine
from millforkd.proxy.part_trials import (
    CLAIM_RETRY_S,
    FIRST_TRIAL_WAIT_S,
    MAX_TRIALS,
    NARROWER_TRIAL_WAIT_S,
    REPEATED_TRIAL_WAIT_S,
    PartTrials,
)
from millforkd.quarantine import QuarantineListing
from tests.test_quarantine import Entry, quarantine_list_of
from tests.test_servers import Clock
from tests.utils.suspicions import exchange_all, send_all

PART = Fingerprint('ab')
OTHER_PART = Fingerprint('cd')
THIRD_PART = Fingerprint('ef')
BACK_ENDS = 16


def request(number):
    return Fingerprint(f'{number:032x}'[::-1])


def back_end(number):
    return IncarnationKey(f'i-{number}/0')


def after_ends(numbers, start=Suspicion(PART)):  # noqa: B008
    """
    The suspicion of a part after back ends ended one after another, each under the request with one
    of these numbers.

    """
    suspicion = start
    for position, number in enumerate(numbers):
        suspicion = suspicion.with_witnessed_end(request(number), back_end(position))
    return suspicion


def after_ends_at_once(number, start=Suspicion(PART)):  # noqa: B008
    """
    The suspicion of a part after back ends ended together, each under another request.

    """
    suspicion = start
    for index in range(number):
        suspicion = suspicion.merged_with(
            start.with_witnessed_end(request(index), back_end(f'together-{index}'))
        )
    return suspicion


def test_a_part_is_blamed_after_three_ends_of_several_requests():
    assert not is_at_fault(after_ends([1, 2]))
    assert is_at_fault(after_ends([1, 2, 3]))
    assert is_at_fault(after_ends([1, 1, 2]))


def test_a_request_that_is_sent_again_and_again_is_a_single_witness():
    assert not is_at_fault(after_ends([1] * MIN_ENDS_OF_ANSWERED_PART))


def test_an_answered_part_needs_more_ends():
    answered = Suspicion(PART).as_answered_before()
    assert not is_at_fault(after_ends(range(MIN_ENDS_OF_ANSWERED_PART - 1), answered))
    assert is_at_fault(after_ends(range(MIN_ENDS_OF_ANSWERED_PART), answered))


def test_an_answered_part_is_blamed_only_if_it_stands_out():
    async def run():
        store = SuspicionStore(Clock())
        suspicion = after_ends(range(MIN_ENDS_OF_ANSWERED_PART), Suspicion(PART))
        await store.record(suspicion.as_answered_before())
        for number in range(MAX_RIVALS):
            rival = after_ends(range(MIN_ENDS_OF_ANSWERED_PART), Suspicion(request(number)))
            await store.record(rival)
        assert is_at_fault_among(store.get(PART), store)
        await store.record(after_ends(range(MIN_ENDS_OF_ANSWERED_PART), Suspicion(OTHER_PART)))
        assert not is_at_fault_among(store.get(PART), store)
        await store.clear_part(OTHER_PART)
        assert is_at_fault_among(store.get(PART), store)

    curio.run(run)


def test_an_answered_part_with_many_ends_need_not_stand_out():
    many = after_ends(range(MIN_ENDS_DESPITE_RIVALS), Suspicion(PART).as_answered_before())
    rivals = Rivals(BACK_ENDS, BACK_ENDS)
    assert is_at_fault(many, rivals)
    assert not is_at_fault(many.with_ends(MIN_ENDS_DESPITE_RIVALS - 1), rivals)


def test_an_answered_part_that_most_back_ends_ended_with_is_blamed_if_no_other_is_as_suspicious():
    fast = after_ends_at_once(MIN_BACK_ENDS_OF_ANSWERED_PART).as_answered_before()
    assert not is_at_fault(fast.with_ends(MIN_ENDS_OF_PART - 1))
    fast = fast.with_ends(MIN_ENDS_OF_PART)
    assert is_at_fault(fast, Rivals(by_ends=BACK_ENDS))
    assert not is_at_fault(fast, Rivals(by_back_ends=1))
    few = after_ends_at_once(MIN_BACK_ENDS_OF_ANSWERED_PART - 1).as_answered_before()
    assert not is_at_fault(few.with_ends(MIN_ENDS_OF_PART))


def test_a_part_has_one_witness_for_each_back_end():
    ends = [Suspicion(PART).with_witnessed_end(request(number), back_end(1)) for number in (1, 2)]
    merged = ends[1].merged_with(ends[0])
    assert merged == ends[0].merged_with(ends[1])
    assert len(merged.witnesses) == 1


def test_the_count_of_rivals_follows_all_changes():
    async def run():
        store = SuspicionStore(Clock())
        for number in range(MAX_SUSPICIONS + 10):
            await store.record_part(after_ends([1], Suspicion(Fingerprint(f'{number}'))))
        await store.record_part(after_ends([1, 2]))
        assert store.count_rivals(after_ends([1])).by_ends == MAX_SUSPICIONS - 1
        assert store.count_rivals(after_ends([1])).by_back_ends == MAX_SUSPICIONS - 1
        assert store.count_rivals(store.get(PART)) == Rivals()
        store.monotonic.now += 2 * SUSPICION_RETENTION_S
        store.forget_expired()
        assert not any(store.index.parts_by_ends.values())
        assert not any(store.index.parts_by_back_ends.values())

    curio.run(run)


def test_a_loss_of_power_of_all_back_ends_blames_no_part():
    assert not is_at_fault(after_ends_at_once(BACK_ENDS))


def test_ends_faster_than_one_after_another_blame_a_part_after_two_in_a_row():
    few = after_ends_at_once(MIN_WITNESSES_OF_FAST_ENDS - 2)
    assert not is_at_fault(few.with_witnessed_end(request(BACK_ENDS), back_end('next')))
    many = after_ends_at_once(MIN_WITNESSES_OF_FAST_ENDS - 1)
    assert is_at_fault(many.with_witnessed_end(request(BACK_ENDS), back_end('next')))


def test_a_complete_answer_clears_a_part_for_good_against_older_ends():
    async def run():
        store = SuspicionStore(Clock())
        before = store.get(PART)
        await store.record_part(after_ends([1, 2]))
        await store.clear_part(PART)
        assert store.get(PART).is_clear
        await store.record_part(before.with_witnessed_end(request(3), back_end(3)))
        assert store.get(PART).is_clear

    curio.run(run)


def test_an_answer_seen_by_one_entry_counts_for_all():
    async def run():
        entry, replica = SuspicionStore(Clock()), SuspicionStore(Clock())
        await entry.clear_part(PART)
        blamed = after_ends(range(MIN_ENDS_OF_PART))
        await replica.merge([blamed])
        assert is_at_fault(replica.get(PART))
        await entry.merge([blamed])
        assert not is_at_fault(entry.get(PART))
        await replica.merge(list(entry.unsent.values()))
        assert not is_at_fault(replica.get(PART))

    curio.run(run)


def test_the_end_of_one_back_end_sends_no_suspicion_of_an_answered_part():
    async def run():
        store = SuspicionStore(Clock())
        for _ in range(2):
            await store.clear_part(PART)
            await store.record_part(after_ends([1], store.get(PART)))
            assert not store.unsent
        assert store.get(PART).answered_before
        await store.record_part(after_ends([1], Suspicion(OTHER_PART)))
        assert list(store.unsent) == [OTHER_PART]

    curio.run(run)


def test_a_private_end_after_a_published_answer_stays_in_a_later_epoch():
    async def run():
        store = SuspicionStore(Clock())
        await store.record_part(after_ends([1]))
        await store.clear_part(PART)
        store.unsent.clear()
        await store.record_part(store.get(PART).with_witnessed_end(request(2), back_end(2)))
        await store.clear_part(PART)
        assert not store.unsent
        assert store.get(PART).epoch == 2

    curio.run(run)


def test_the_memory_of_answers_is_bounded_in_age_and_number():
    clock = Clock()
    store = SuspicionStore(clock)
    for number in range(MAX_ANSWERED_PARTS + 5):
        store.answered_parts.record(Fingerprint(f'{number}'))
    assert len(store.answered_parts.answered_at) == MAX_ANSWERED_PARTS
    latest = Fingerprint(f'{MAX_ANSWERED_PARTS + 4}')
    assert store.answered_parts.contains(latest)
    clock.now += ANSWERED_MEMORY_S
    assert not store.answered_parts.contains(latest)


def test_single_ends_give_way_to_parts_with_more_evidence():
    async def run():
        store = SuspicionStore(Clock())
        await store.record_part(after_ends([1, 2]))
        for number in range(2 * MAX_SUSPICIONS):
            await store.record_part(after_ends([1], Suspicion(Fingerprint(f'{number}'))))
        assert len(store.table) == MAX_SUSPICIONS
        assert store.get(PART).ends == 2

    curio.run(run)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(['end', 'answer', 'tell']),
        st.integers(0, 2),
        st.integers(0, 2),
        st.integers(0, MAX_WITNESSES + 2),
    ),
    max_size=30,
)


@settings(deadline=None)
@given(STEPS)
def test_all_processes_agree_on_a_part_after_exchanging_suspicions(steps):
    async def run():
        processes = [SuspicionStore(Clock()) for _ in range(3)]

        for kind, sender, receiver, number in steps:
            store = processes[sender]
            if kind == 'end':
                await store.record_part(
                    store.get(PART).with_witnessed_end(request(number), back_end(number))
                )
            elif kind == 'answer':
                await store.clear_part(PART)
            else:
                await send_all(processes[sender], processes[receiver])
        await exchange_all(processes)
        assert len({process.get(PART) for process in processes}) == 1

    curio.run(run)


class Ends:
    """
    An entry whose requests break off at back ends, all of which have ended.

    """

    def __init__(self):
        env = Environment(InstanceId('a:1'), ZoneId('z1'))
        self.store = SuspicionStore(env.monotonic)
        self.detector = EndDetector(env, self.store, lambda server, at: IncarnationStatus.UNKNOWN)
        self.detector.probe = self.probe

    async def probe(self, server):
        return ProbeResult.REFUSES

    async def break_off(self, number, *parts):
        """
        Break off the request with this number at a back end of its own.

        """
        server = Server(InstanceId(f'i-{number}'), ServiceName('s'), 'h', 1, ZoneId('z1'), 16)
        before = tuple(self.store.get(part) for part in parts)
        await self.detector.record_broken_connection(server, Suspicion(request(number)), before)
        while self.detector.watches:
            await curio.sleep(0)


def test_an_end_that_a_blamed_part_explains_counts_against_no_other_part():
    async def run():
        ends = Ends()
        for number in range(MIN_ENDS_OF_PART):
            await ends.break_off(number, PART)
        assert is_at_fault(ends.store.get(PART))
        await ends.break_off(4, PART, OTHER_PART)
        assert ends.store.get(OTHER_PART).is_clear
        await ends.break_off(5, OTHER_PART)
        assert ends.store.get(OTHER_PART).ends == 1

    curio.run(run)


def test_requests_whose_callers_left_count_by_their_parts():
    async def run():
        ends = Ends()
        for number in range(2):
            server = Server(InstanceId(f'i-{number}'), ServiceName('s'), 'h', 1, ZoneId('z1'), 16)
            await ends.detector.record_caller_left(
                [server], Suspicion(request(number)), (Suspicion(PART), Suspicion(OTHER_PART))
            )
        assert len(ends.detector.watches) == 2
        while ends.detector.watches:
            await curio.sleep(0)
        witnesses = ends.store.get(PART).witnesses
        assert {witness.incarnation for witness in witnesses} == {'i-0/0', 'i-1/0'}

    curio.run(run)


def test_callers_that_leave_prompts_with_answered_parts_start_no_watch():
    async def run():
        ends = Ends()
        await ends.store.clear_part(PART)
        for number in range(2):
            server = Server(InstanceId(f'i-{number}'), ServiceName('s'), 'h', 1, ZoneId('z1'), 16)
            await ends.detector.record_caller_left(
                [server], Suspicion(request(number)), (Suspicion(PART),)
            )
        assert not ends.detector.watches

    curio.run(run)


def test_parts_of_an_answer_that_began_long_ago_are_not_suspected():
    attempt = Attempt(None, 0.0, Suspicion(request(1)), (Suspicion(PART),))
    assert attempt.suspect_parts(100.0) == (Suspicion(PART),)
    attempt.record_data(1.0)
    attempt.record_data(50.0)
    assert attempt.suspect_parts(1.0 + MAX_CRASH_DELAY_S) == (Suspicion(PART),)
    assert attempt.suspect_parts(1.1 + MAX_CRASH_DELAY_S) == ()


@pytest.mark.parametrize(
    ('status', 'has_data', 'expected'), [(200, True, True), (200, False, False), (500, True, False)]
)
def test_only_an_answer_to_the_prompt_clears_its_parts(status, has_data, expected):
    attempt = Attempt(None, 0.0, Suspicion(request(1)))
    attempt.connection = SimpleNamespace(status=status)
    if has_data:
        attempt.record_data(1.0)
    assert attempt.has_written_answer is expected


class Leader:
    """
    The leader of the replicas, and a replica that names it.

    """

    def __init__(self):
        self.view = View()
        self.view.cluster = ClusterId('c')
        self.machine = StateMachine(self.view)
        self.asked = []

    async def call(self, address, message, timeout_s):
        self.asked.append(address.instance)
        if address.instance == 'replica:1':
            return Proposed(False, b'not_run', 'no_quorum', 'leader:1')
        result = self.machine.apply(decode_command(message.command))
        return Proposed(True, msgspec.msgpack.encode(result))


class TryingEntry:
    """
    An entry that may try the parts on the quarantine list of a leader.

    """

    def __init__(self, leader, clock):
        env = Environment(InstanceId('a:1'), ZoneId('z1'), monotonic=clock)
        replica = SimpleNamespace(instance='replica:1')
        discovery = SimpleNamespace(addresses=lambda: [replica])
        self.trials = PartTrials(env, QuarantineListing(leader.view), leader, discovery)
        self.trials.refresh()

    def is_due(self, *parts):
        return self.trials.is_due(parts)

    async def claim(self, *parts):
        return await self.trials.claim(parts, RequestId('r'))


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def leader():
    return Leader()


def put_in_quarantine(leader, clock, *parts):
    """
    Put parts on the quarantine list; return its maintainer.

    """
    entry = Entry()
    entry.view = leader.view
    quarantine_list = quarantine_list_of(entry, clock)

    async def run():
        for part in parts:
            blamed = after_ends(range(MIN_ENDS_OF_PART), Suspicion(part))
            await quarantine_list.suspicion_store.record(blamed)
        await quarantine_list.reconcile()

    curio.run(run)
    assert all(quarantine_key(part) in leader.view.items for part in parts)
    return quarantine_list


def test_all_entries_together_make_one_trial_at_a_time(leader, clock):
    put_in_quarantine(leader, clock, PART)

    async def run():
        entries = [TryingEntry(leader, clock) for _ in range(4)]
        assert not any([await entry.claim(PART) for entry in entries])
        clock.now += FIRST_TRIAL_WAIT_S
        # Each entry claims before the view has told it of the others' claims.
        views = [entry.trials.made.copy() for entry in entries]
        claimed = []
        for entry, made in zip(entries, views, strict=True):
            entry.trials.made = made
            entry.trials.position = leader.view.position
            claimed.append(await entry.claim(PART))
        assert claimed == [True, False, False, False]
        clock.now += CLAIM_RETRY_S
        for entry in entries:
            entry.trials.position = None
            assert not entry.is_due(PART)

    curio.run(run)


def test_a_part_is_tried_a_bounded_number_of_times(leader, clock):
    put_in_quarantine(leader, clock, PART)

    async def run():
        entry = TryingEntry(leader, clock)
        claimed_at = []
        started_at = clock.now
        while clock.now < started_at + 3 * REPEATED_TRIAL_WAIT_S:
            clock.now += 1.0
            if await entry.claim(PART):
                claimed_at.append(clock.now - started_at)
        assert len(claimed_at) == MAX_TRIALS
        assert claimed_at[0] >= FIRST_TRIAL_WAIT_S
        assert claimed_at[1] - claimed_at[0] >= REPEATED_TRIAL_WAIT_S

    curio.run(run)


def test_a_prompt_with_one_blamed_part_is_tried_before_one_with_two(leader, clock):
    put_in_quarantine(leader, clock, PART, OTHER_PART)
    entry = TryingEntry(leader, clock)
    clock.now += FIRST_TRIAL_WAIT_S
    assert entry.is_due(PART)
    assert not entry.is_due(PART, OTHER_PART)
    clock.now += FIRST_TRIAL_WAIT_S
    assert entry.is_due(PART, OTHER_PART)


def test_an_entry_that_just_started_waits_as_long(leader, clock):
    put_in_quarantine(leader, clock, PART)
    clock.now += 2 * FIRST_TRIAL_WAIT_S
    assert not TryingEntry(leader, clock).is_due(PART)


def test_a_cleared_part_is_tried_anew_when_it_is_blamed_again(leader, clock):
    quarantine_list = put_in_quarantine(leader, clock, PART)

    async def run():
        entry = TryingEntry(leader, clock)
        clock.now += FIRST_TRIAL_WAIT_S
        assert await entry.claim(PART)
        await quarantine_list.suspicion_store.clear_part(PART)
        await quarantine_list.reconcile()
        assert quarantine_key(PART) not in leader.view.items
        assert trial_key(PART) not in leader.view.items

    curio.run(run)


def test_a_trial_claimed_after_its_part_was_cleared_leaves_no_count(leader, clock):
    quarantine_list = put_in_quarantine(leader, clock, PART)

    async def run():
        entry = TryingEntry(leader, clock)
        clock.now += FIRST_TRIAL_WAIT_S
        await quarantine_list.suspicion_store.clear_part(PART)
        made = entry.trials.made.copy()
        await quarantine_list.reconcile()
        entry.trials.made, entry.trials.position = made, leader.view.position
        await entry.claim(PART)
        assert trial_key(PART) in leader.view.items
        await quarantine_list.reconcile()
        assert leader.view.items == {}

    curio.run(run)


def test_a_part_may_be_cleared_while_its_trial_is_claimed(leader, clock):
    quarantine_list = put_in_quarantine(leader, clock, PART, OTHER_PART)

    async def run():
        entry = TryingEntry(leader, clock)
        clock.now += FIRST_TRIAL_WAIT_S * 2

        async def clear_both(address, message, timeout_s):
            for part in (PART, OTHER_PART):
                await quarantine_list.suspicion_store.clear_part(part)
            await quarantine_list.reconcile()
            entry.trials.refresh()
            return await leader.call(address, message, timeout_s)

        entry.trials.proposer.peers = SimpleNamespace(call=clear_both)
        await entry.claim(PART, OTHER_PART)
        assert not entry.trials.made

    curio.run(run)


@pytest.mark.parametrize('sound', [(PART,), (PART, THIRD_PART)], ids=len)
def test_a_trial_of_a_crashing_prompt_leaves_one_to_the_sound_parts_in_it(leader, clock, sound):
    """
    Guards against sound parts that stay in quarantine because a prompt that also has the crashing
    part was tried.

    """
    put_in_quarantine(leader, clock, *sound, OTHER_PART)
    together = (*sound, OTHER_PART)

    async def run():
        entry = TryingEntry(leader, clock)
        clock.now += FIRST_TRIAL_WAIT_S * len(together)
        assert await entry.claim(*together)
        assert not entry.is_due(*sound)
        clock.now += NARROWER_TRIAL_WAIT_S
        restarted = TryingEntry(leader, clock)
        assert not entry.is_due(*together)
        assert entry.is_due(*sound)
        # Restarts neither shorten the wait nor add trials.
        assert not restarted.is_due(*sound)
        clock.now += NARROWER_TRIAL_WAIT_S
        assert restarted.is_due(*sound)
        assert await restarted.claim(*sound)

    curio.run(run)


def test_a_part_is_tried_a_bounded_number_of_times_with_whatever_others(leader, clock):
    """
    Guards against back ends that a crashing part ends because it is tried beside many sound ones.

    """
    others = [Fingerprint(f'{number:02}') for number in range(8)]
    put_in_quarantine(leader, clock, PART, *others)

    async def run():
        entry = TryingEntry(leader, clock)
        claims = 0
        for _ in range(3 * MAX_TRIALS):
            for other in others:
                clock.now += REPEATED_TRIAL_WAIT_S
                claims += await entry.claim(PART, other)
        assert claims == MAX_TRIALS

    curio.run(run)


def test_a_claim_takes_a_trial_of_all_parts_or_of_none(leader, clock):
    """
    Guards against the loss of a trial of one part when another entry has just claimed the other's.

    """
    put_in_quarantine(leader, clock, PART, OTHER_PART)

    async def run():
        entry, late = TryingEntry(leader, clock), TryingEntry(leader, clock)
        clock.now += 2 * FIRST_TRIAL_WAIT_S
        made = late.trials.made.copy()
        assert await entry.claim(OTHER_PART)
        late.trials.made, late.trials.position = made, leader.view.position
        assert not await late.claim(PART, OTHER_PART)
        assert trial_key(PART) not in leader.view.items

    curio.run(run)


def test_trials_that_an_earlier_version_counted_still_count(leader, clock):
    """
    The replicated state of the version before has the number of trials only.

    """
    put_in_quarantine(leader, clock, PART)
    leader.machine.apply(Raise(trial_key(PART), 1, b''))

    async def run():
        entry = TryingEntry(leader, clock)
        clock.now += REPEATED_TRIAL_WAIT_S - 1
        assert not entry.is_due(PART)
        clock.now += 1
        assert await entry.claim(PART)
        clock.now += 2 * REPEATED_TRIAL_WAIT_S
        assert not entry.is_due(PART)

    curio.run(run)


def test_an_answer_after_a_restart_of_all_processes_takes_a_part_out_of_quarantine(leader, clock):
    """
    Guards against parts that stay in quarantine for a day because the suspicions of them, which
    are kept in memory, were lost.

    """
    put_in_quarantine(leader, clock, PART)

    async def run():
        entry, replica = Entry(), Entry()
        replica.view = leader.view
        quarantine = PartQuarantine(
            entry.suspicion_store,
            QuarantineListing(leader.view),
            SimpleNamespace(compute_parts=lambda job: (PART, OTHER_PART)),
            TryingEntry(leader, clock).trials,
        )
        await quarantine.clear(entry.job)
        assert quarantine.blocked_parts(entry.job) == ()
        unsent = list(entry.suspicion_store.unsent.values())
        assert [suspicion.fingerprint for suspicion in unsent] == [PART]
        quarantine_list = quarantine_list_of(replica, clock)
        await quarantine_list.suspicion_store.merge(unsent)
        await quarantine_list.reconcile()
        assert quarantine_key(PART) not in leader.view.items

    curio.run(run)
