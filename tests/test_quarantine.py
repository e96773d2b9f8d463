"""
What is known of requests under which back ends ended, and who acts on it.

"""

import socket
from types import SimpleNamespace

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from millfork_core.environment import Environment
from millfork_core.ids import ClusterId, Fingerprint, InstanceId, ServiceName, ZoneId
from millfork_registry.suspects import (
    MOST_SUSPECTS,
    REMEMBERED_S,
    Suspects,
    Suspicion,
    decode_suspicions,
    encode_suspicions,
)
from millfork_scheduling.quarantine import ENDS, is_at_fault
from millfork_scheduling.server import Server
from millfork_state.state_machine import StateMachine
from millfork_state.view import View
from millfork_web.models import Request
from millforkd.proxy.ends import Ends
from millforkd.proxy.fingerprints import Fingerprints
from millforkd.quarantine import Quarantine
from millforkd.replica.quarantine import HELD_MS, MOST_HELD, QuarantineList
from tests.test_servers import Clock

FINGERPRINT = Fingerprint('ab')


def test_a_fingerprint_is_of_path_caller_and_body_alone():
    made = Fingerprints(b'key', lambda: 'cluster')
    first = made.of_request(Request('POST', '/a', [('x-request-id', '1')], b'text'), 'org')
    assert made.of_request(Request('POST', '/a', [('x-request-id', '2')], b'text'), 'org') == first
    others = [
        made.of_request(Request('POST', '/b', [], b'text'), 'org'),
        made.of_request(Request('POST', '/a', [], b'text'), 'other'),
        made.of_request(Request('POST', '/a', [], b'else'), 'org'),
        Fingerprints(b'key', lambda: 'another').of_request(Request('POST', '/a'), 'org'),
        Fingerprints(b'word', lambda: 'cluster').of_request(Request('POST', '/a'), 'org'),
    ]
    assert len({first, *others}) == 1 + len(others)
    assert 'text' not in first


def test_ends_at_the_same_moment_count_as_one():
    async def run():
        suspects = Suspects(Clock())
        before = suspects.of(FINGERPRINT)
        for _ in range(5):
            await suspects.note(before.with_end())
        assert suspects.of(FINGERPRINT).ends == 1

    curio.run(run)


def test_an_answer_that_came_whole_clears_what_was_known_before_it():
    async def run():
        suspects = Suspects(Clock())
        late = suspects.of(FINGERPRINT)
        for _ in range(ENDS):
            late = suspects.of(FINGERPRINT)
            await suspects.note(late.with_end())
        assert is_at_fault(suspects.of(FINGERPRINT))
        await suspects.note(suspects.of(FINGERPRINT).cleared())
        assert not await suspects.hear([late.with_end()])
        assert suspects.of(FINGERPRINT).ends == 0

    curio.run(run)


def test_old_suspicions_are_forgotten_and_their_number_is_bounded():
    async def run():
        clock = Clock()
        suspects = Suspects(clock)
        for number in range(MOST_SUSPECTS + 10):
            await suspects.note(Suspicion(Fingerprint(f'{number}'), 0, 1))
        assert len(suspects.table) == len(suspects.changed_at) == MOST_SUSPECTS
        assert len(suspects.untold) == MOST_SUSPECTS
        clock.now += REMEMBERED_S
        await suspects.note(Suspicion(FINGERPRINT, 0, 1))
        suspects.forget_old()
        assert list(suspects.table.values()) == [Suspicion(FINGERPRINT, 0, 1)]

    curio.run(run)


def test_a_replica_that_started_anew_is_told_all_by_its_followers():
    async def run():
        suspects = Suspects(Clock())
        suspicion = Suspicion(FINGERPRINT, 0, 2)
        await suspects.hear([suspicion])
        assert not suspects.untold
        await suspects.tell_again()
        assert suspects.untold == {FINGERPRINT: suspicion}
        assert suspects.news.is_set()

    curio.run(run)


STEPS = st.lists(
    st.tuples(st.sampled_from(['end', 'clear', 'tell']), st.integers(0, 2), st.integers(0, 2)),
    max_size=30,
)


@settings(deadline=None)
@given(STEPS)
def test_all_agree_once_they_heard_all(steps):
    """
    Three processes note ends and whole answers, and tell each other in any order, also the
    same again; who knows less is told by whoever hears that.

    """

    async def run():
        processes = [Suspects(Clock()) for _ in range(3)]
        for kind, one, other in steps:
            known = processes[one].of(FINGERPRINT)
            if kind == 'end':
                await processes[one].note(known.with_end())
            elif kind == 'clear':
                await processes[one].note(known.cleared())
            else:
                body = encode_suspicions(list(processes[one].table.values()))
                await processes[other].hear(decode_suspicions(body))
        newest = max((p.of(FINGERPRINT) for p in processes), key=lambda item: item.order)
        for process in processes:
            await process.hear([newest])
            assert process.of(FINGERPRINT) == newest
            older = Suspicion(FINGERPRINT, newest.epoch, newest.ends - 1)
            assert not await process.hear([older])
            assert newest.order == (0, 0) or process.untold[FINGERPRINT] == newest

    curio.run(run)


class Entry:
    """
    An entry's quarantine, and a job of it.

    """

    def __init__(self):
        self.suspects = Suspects(Clock())
        self.view = View()
        self.view.cluster = ClusterId('c')
        self.quarantine = Quarantine(
            self.suspects, self.view, Fingerprints(b'key', lambda: self.view.cluster)
        )
        request = Request('POST', '/a', [], b'text')
        self.job = SimpleNamespace(
            fingerprint=None,
            organisation=None,
            caller=SimpleNamespace(key='key'),
            exchange=SimpleNamespace(request=request),
        )

    async def end(self):
        await self.suspects.note(self.quarantine.known(self.job).with_end())


def list_of(entry, clock, leads=lambda: True):
    machine = StateMachine(entry.view)

    async def propose(command, patience_s):
        machine.apply(command)

    env = Environment(InstanceId('a:1'), ZoneId('z1'))
    proposals = SimpleNamespace(propose=propose)
    now_ms = lambda: int(clock.now * 1000)  # noqa: E731
    return QuarantineList(env, entry.view, entry.suspects, proposals, leads, now_ms)


def test_a_request_is_barred_after_its_third_end_and_by_the_list_alone():
    async def run():
        entry = Entry()
        listing = list_of(entry, Clock())
        for _ in range(ENDS):
            assert not entry.quarantine.bars(entry.job)
            await entry.end()
        assert entry.quarantine.bars(entry.job)
        await listing.settle()
        # As after a loss of power: suspicions are gone, the state is not.
        entry.suspects.table.drop(entry.job.fingerprint)
        assert entry.quarantine.bars(entry.job)

    curio.run(run)


def test_a_request_is_taken_off_the_list_once_an_answer_came_whole():
    async def run():
        entry = Entry()
        listing = list_of(entry, Clock())
        for _ in range(ENDS):
            await entry.end()
        await listing.settle()
        await entry.quarantine.clear(entry.job)
        assert not entry.quarantine.bars(entry.job)
        await listing.settle()
        assert entry.view.items == {}

    curio.run(run)


def test_the_list_is_bounded_in_time_and_number():
    async def run():
        entry, clock = Entry(), Clock()
        listing = list_of(entry, clock)
        for number in range(MOST_HELD + 3):
            clock.now += 0.001
            await entry.suspects.note(Suspicion(Fingerprint(f'{number}'), 0, ENDS))
            await listing.settle()
            entry.suspects.table.drop(f'{number}')
        assert len(entry.view.items) == MOST_HELD
        clock.now += HELD_MS / 1000 + 1
        await listing.settle()
        assert entry.view.items == {}

    curio.run(run)


@pytest.fixture
def listening():
    with socket.create_server(('127.0.0.1', 0)) as sock:
        yield sock


def broke_off(port):
    """
    What is known of a request whose answer broke off at a back end with this port.

    """

    async def run():
        env = Environment(InstanceId('a:1'), ZoneId('z1'))
        suspects = Suspects(env.monotonic)
        ends = Ends(env, suspects)
        server = Server(InstanceId('i-1'), ServiceName('s'), '127.0.0.1', port, ZoneId('z1'), 16)
        await ends.note_broken(server, Suspicion(FINGERPRINT))
        return suspects.of(FINGERPRINT).ends

    return curio.run(run)


def test_an_answer_that_broke_off_counts_only_where_the_back_end_has_ended(listening):
    port = listening.getsockname()[1]
    assert broke_off(port) == 0
    listening.close()
    assert broke_off(port) == 1
