"""
Suspicions of requests that crashed back ends, the quarantine of an entry, and the replicated list
of requests in quarantine.

"""

import socket
from types import SimpleNamespace

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from millfork_core.environment import Environment
from millfork_core.ids import (
    ClusterId,
    Fingerprint,
    IncarnationKey,
    InstanceId,
    ServiceName,
    ZoneId,
)
from millfork_registry.suspicion_store import MAX_SUSPICIONS, SUSPICION_RETENTION_S, SuspicionStore
from millfork_registry.suspicions import Suspicion
from millfork_scheduling.quarantine import MIN_ENDS_AT_FAULT, SuspicionLevel, is_at_fault
from millfork_scheduling.server import Server
from millfork_state.state_machine import StateMachine
from millfork_state.view import View
from millfork_web.models import Request
from millforkd.proxy.end_detection import EndDetector
from millforkd.proxy.fingerprints import Fingerprints
from millforkd.quarantine import Quarantine
from millforkd.replica.quarantine import LISTED_MAX_AGE_MS, MAX_LISTED, QuarantineList
from tests.test_servers import Clock
from tests.utils.suspicions import send_all

FINGERPRINT = Fingerprint('ab')


def test_a_fingerprint_depends_only_on_path_caller_body_key_and_cluster():
    fingerprints = Fingerprints(b'key', lambda: 'cluster')
    first = fingerprints.for_request(Request('POST', '/a', [('x-request-id', '1')], b'text'), 'org')
    assert (
        fingerprints.for_request(Request('POST', '/a', [('x-request-id', '2')], b'text'), 'org')
        == first
    )
    others = [
        fingerprints.for_request(Request('POST', '/b', [], b'text'), 'org'),
        fingerprints.for_request(Request('POST', '/a', [], b'text'), 'other'),
        fingerprints.for_request(Request('POST', '/a', [], b'else'), 'org'),
        Fingerprints(b'key', lambda: 'another').for_request(Request('POST', '/a'), 'org'),
        Fingerprints(b'word', lambda: 'cluster').for_request(Request('POST', '/a'), 'org'),
    ]
    assert len({first, *others}) == 1 + len(others)
    assert 'text' not in first


def test_ends_at_the_same_moment_count_as_one():
    async def run():
        suspicion_store = SuspicionStore(Clock())
        before = suspicion_store.get(FINGERPRINT)
        for _ in range(5):
            await suspicion_store.record(before.with_end())
        assert suspicion_store.get(FINGERPRINT).ends == 1

    curio.run(run)


def test_a_complete_answer_clears_earlier_suspicions():
    async def run():
        suspicion_store = SuspicionStore(Clock())
        late = suspicion_store.get(FINGERPRINT)
        for _ in range(MIN_ENDS_AT_FAULT):
            late = suspicion_store.get(FINGERPRINT)
            await suspicion_store.record(late.with_end())
        assert is_at_fault(suspicion_store.get(FINGERPRINT))
        await suspicion_store.record(suspicion_store.get(FINGERPRINT).cleared())
        assert not await suspicion_store.merge([late.with_end()])
        assert suspicion_store.get(FINGERPRINT).ends == 0

    curio.run(run)


def test_suspicions_are_bounded_in_age_and_number():
    async def run():
        clock = Clock()
        suspicion_store = SuspicionStore(clock)
        for number in range(MAX_SUSPICIONS + 10):
            await suspicion_store.record(Suspicion(Fingerprint(f'{number}'), 0, 1))
        assert len(suspicion_store.table) == len(suspicion_store.changed_at) == MAX_SUSPICIONS
        assert len(suspicion_store.unsent) == MAX_SUSPICIONS
        clock.now += SUSPICION_RETENTION_S
        await suspicion_store.record(Suspicion(FINGERPRINT, 0, 1))
        suspicion_store.forget_expired()
        assert list(suspicion_store.table.values()) == [Suspicion(FINGERPRINT, 0, 1)]

    curio.run(run)


def test_followers_send_all_suspicions_to_a_restarted_replica():
    async def run():
        suspicion_store = SuspicionStore(Clock())
        suspicion = Suspicion(FINGERPRINT, 0, 2)
        await suspicion_store.merge([suspicion])
        assert not suspicion_store.unsent
        await suspicion_store.mark_all_unsent()
        assert suspicion_store.unsent == {FINGERPRINT: suspicion}
        assert suspicion_store.unsent_event.is_set()

    curio.run(run)


STEPS = st.lists(
    st.tuples(st.sampled_from(['end', 'clear', 'tell']), st.integers(0, 2), st.integers(0, 2)),
    max_size=30,
)


@settings(deadline=None)
@given(STEPS)
def test_processes_agree_once_they_have_exchanged_all_suspicions(steps):
    """
    Three processes record ends and complete answers, and send each other their suspicions in
    any order and repeatedly. A process that receives an older suspicion sends back its newer one.

    """

    async def run():
        processes = [SuspicionStore(Clock()) for _ in range(3)]
        for kind, sender, receiver in steps:
            known = processes[sender].get(FINGERPRINT)
            if kind == 'end':
                await processes[sender].record(known.with_end())
            elif kind == 'clear':
                await processes[sender].record(known.cleared())
            else:
                await send_all(processes[sender], processes[receiver])
        newest = max((p.get(FINGERPRINT) for p in processes), key=lambda item: item.sort_key)
        for process in processes:
            await process.merge([newest])
            assert process.get(FINGERPRINT) == newest
            older = Suspicion(FINGERPRINT, newest.epoch, newest.ends - 1)
            assert not await process.merge([older])
            assert newest.sort_key == (0, 0) or process.unsent[FINGERPRINT] == newest

    curio.run(run)


class Entry:
    """
    The suspicions and the quarantine of one entry, and a job of the entry.

    """

    def __init__(self):
        self.suspicion_store = SuspicionStore(Clock())
        self.view = View()
        self.view.cluster = ClusterId('c')
        self.quarantine = Quarantine(
            self.suspicion_store, self.view, Fingerprints(b'key', lambda: self.view.cluster)
        )
        request = Request('POST', '/a', [], b'text')
        self.job = SimpleNamespace(
            fingerprint=None,
            organisation=None,
            caller=SimpleNamespace(key='key'),
            exchange=SimpleNamespace(request=request),
        )

    async def end(self):
        await self.suspicion_store.record(self.quarantine.suspicion_of(self.job).with_end())


def quarantine_list_of(entry, clock, leads=lambda: True):
    machine = StateMachine(entry.view)

    async def propose(command, timeout_s):
        machine.apply(command)

    env = Environment(InstanceId('a:1'), ZoneId('z1'))
    leader_client = SimpleNamespace(propose=propose)
    now_ms = lambda: int(clock.now * 1000)  # noqa: E731
    return QuarantineList(env, entry.view, entry.suspicion_store, leader_client, leads, now_ms)


def test_a_request_is_blocked_after_its_third_end_and_by_the_list_alone():
    async def run():
        entry = Entry()
        quarantine_list = quarantine_list_of(entry, Clock())
        for _ in range(MIN_ENDS_AT_FAULT):
            assert not entry.quarantine.blocking_level(entry.job)
            await entry.end()
        assert entry.quarantine.blocking_level(entry.job)
        await quarantine_list.reconcile()
        # As after a loss of power: suspicions are lost, the replicated state is not.
        entry.suspicion_store.table.remove(entry.job.fingerprint)
        assert entry.quarantine.blocking_level(entry.job)

    curio.run(run)


def test_a_look_at_the_level_of_a_suspected_request_spends_no_trial():
    async def run():
        entry = Entry()
        trials = []
        entry.quarantine.trials = SimpleNamespace(
            start_trial=lambda suspicion: not trials.append(suspicion)
        )
        entry.quarantine.blocking_level(entry.job)
        for _ in range(MIN_ENDS_AT_FAULT):
            suspicion = entry.quarantine.suspicion_of(entry.job)
            incarnation = IncarnationKey(f'i/{len(suspicion.broken)}')
            entry.suspicion_store.record_privately(suspicion.with_broken_answer(incarnation))
        assert entry.quarantine.level_of(entry.job) is SuspicionLevel.SUSPECTED
        assert not trials
        assert entry.quarantine.blocking_level(entry.job) is None
        assert len(trials) == 1

    curio.run(run)


def test_a_complete_answer_removes_a_request_from_the_list():
    async def run():
        entry = Entry()
        quarantine_list = quarantine_list_of(entry, Clock())
        for _ in range(MIN_ENDS_AT_FAULT):
            await entry.end()
        await quarantine_list.reconcile()
        await entry.quarantine.clear_suspicion(entry.job)
        assert not entry.quarantine.blocking_level(entry.job)
        await quarantine_list.reconcile()
        assert entry.view.items == {}

    curio.run(run)


def test_the_list_is_bounded_in_age_and_number():
    async def run():
        entry, clock = Entry(), Clock()
        quarantine_list = quarantine_list_of(entry, clock)
        for number in range(MAX_LISTED + 3):
            clock.now += 0.001
            await entry.suspicion_store.record(
                Suspicion(Fingerprint(f'{number}'), 0, MIN_ENDS_AT_FAULT)
            )
            await quarantine_list.reconcile()
            entry.suspicion_store.table.remove(f'{number}')
        assert len(entry.view.items) == MAX_LISTED
        clock.now += LISTED_MAX_AGE_MS / 1000 + 1
        await quarantine_list.reconcile()
        assert entry.view.items == {}

    curio.run(run)


@pytest.fixture
def listening_socket():
    with socket.create_server(('127.0.0.1', 0)) as sock:
        yield sock


def ends_after_broken_answer(port):
    """
    How many back ends count as ended while running a request whose answer broke off at a back end
    with this port.

    """

    async def run():
        env = Environment(InstanceId('a:1'), ZoneId('z1'))
        suspicion_store = SuspicionStore(env.monotonic)
        end_detector = EndDetector(env, suspicion_store)
        server = Server(InstanceId('i-1'), ServiceName('s'), '127.0.0.1', port, ZoneId('z1'), 16)
        await end_detector.record_broken_connection(server, Suspicion(FINGERPRINT))
        return suspicion_store.get(FINGERPRINT).ends

    return curio.run(run)


def test_a_broken_off_answer_counts_only_if_the_back_end_has_ended(listening_socket):
    port = listening_socket.getsockname()[1]
    assert ends_after_broken_answer(port) == 0
    listening_socket.close()
    assert ends_after_broken_answer(port) == 1


def test_an_answer_after_a_restart_of_all_processes_takes_a_request_out_of_quarantine():
    """
    The answer may be to an attempt that was sent before the request was found to be at fault.

    """

    async def run():
        entry, restarted = Entry(), Entry()
        quarantine_list = quarantine_list_of(entry, Clock())
        for _ in range(MIN_ENDS_AT_FAULT):
            await entry.end()
        await quarantine_list.reconcile()
        restarted.quarantine.listing.view = entry.view
        restarted.view.cluster = entry.view.cluster
        assert restarted.quarantine.level_of(restarted.job) is SuspicionLevel.AT_FAULT
        await restarted.quarantine.clear_suspicion(restarted.job)
        await entry.suspicion_store.merge(list(restarted.suspicion_store.unsent.values()))
        await quarantine_list.reconcile()
        assert entry.quarantine.level_of(entry.job) is SuspicionLevel.FREE
        assert entry.view.items == {}

    curio.run(run)
