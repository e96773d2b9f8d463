"""
How entries of a fleet with a list of instances share what they suspect.

"""

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from millfork_core.environment import Environment
from millfork_core.ids import Fingerprint, InstanceId, ZoneId
from millfork_registry.suspicion_store import Suspicion, SuspicionStore, decode_suspicions
from millfork_state.config import InstanceFacts
from millfork_wire.connection import PeerUnreachable
from millfork_wire.messages import AskSuspicions, SuspicionReport
from millforkd.entry import spreading as spreading_module
from millforkd.entry.spreading import SuspicionSpreading, told_by

FINGERPRINT = Fingerprint('ab')


@given(st.integers(2, 200))
def test_all_hear_within_few_steps(count):
    order = [InstanceId(f'entry-{number:03}') for number in range(count)]
    heard = {order[0]}
    for _ in range(count.bit_length()):
        heard |= {told for name in heard for told in told_by(order, name)}
    assert heard == set(order)
    assert all(name not in told_by(order, name) for name in order)
    assert max(len(told_by(order, name)) for name in order) <= count.bit_length()


def test_an_entry_that_the_list_does_not_know_tells_one():
    assert told_by([InstanceId('a'), InstanceId('b')], InstanceId('c')) == ['a']
    assert told_by([], InstanceId('c')) == []


class Network:
    """
    Entries that call each other directly.

    """

    def __init__(self, names):
        self.entries = {}
        self.unreachable = set()
        for name in names:
            self.add(name)

    def add(self, name):
        env = Environment(InstanceId(name), ZoneId('z'))
        roster = FakeRoster(self.entries)
        made = SuspicionSpreading(env, FakePeers(self), roster, SuspicionStore(env.monotonic))
        self.entries[InstanceId(name)] = made
        return made


class FakeRoster:
    version = 1

    def __init__(self, entries):
        self.entries = entries

    def all_entries(self):
        return [
            InstanceFacts(name, '127.0.0.1', 1, ZoneId('z'), 'r', 'entry', '')
            for name in sorted(self.entries)
        ]

    def address(self, name):
        return next((facts for facts in self.all_entries() if facts.instance == name), None)


class FakePeers:
    def __init__(self, network):
        self.network = network

    async def call(self, address, message, timeout):
        await curio.sleep(0)
        if address.instance in self.network.unreachable:
            raise PeerUnreachable('cut off')
        asked = self.network.entries[address.instance]
        if isinstance(message, AskSuspicions):
            return asked.on_ask()

        class Sender:
            peer = 'other'

        return await asked.on_report(Sender(), message)


async def until(holds):
    async with curio.timeout_after(5):
        while not holds():
            await curio.sleep(0.01)


def known(network, ends):
    return [entry.suspects.get(FINGERPRINT).ends for entry in network.entries.values()] == [
        ends
    ] * len(network.entries)


@pytest.fixture
def quick(monkeypatch):
    monkeypatch.setattr(spreading_module, 'AGAIN_S', 0.02)


def test_all_entries_hear_of_an_end_also_those_cut_off_for_a_while(quick):
    async def run():
        network = Network([f'entry-{number}' for number in range(9)])
        for entry in network.entries.values():
            await entry.env.spawn(entry.keep)
        network.unreachable = {InstanceId('entry-1'), InstanceId('entry-4')}
        first = network.entries[InstanceId('entry-0')]
        await first.suspects.record(Suspicion(FINGERPRINT, 0, 1))
        reached = [e for name, e in network.entries.items() if name not in network.unreachable]
        await until(lambda: all(e.suspects.get(FINGERPRINT).ends == 1 for e in reached))
        network.unreachable = set()
        await until(lambda: known(network, 1))
        await until(lambda: not any(entry.telling for entry in network.entries.values()))

    curio.run(run)


def test_an_entry_that_starts_learns_what_others_know():
    async def run():
        network = Network(['entry-0', 'entry-1'])
        other = network.entries[InstanceId('entry-1')]
        await other.suspects.record(Suspicion(FINGERPRINT, 0, 2))
        other.suspects.record_privately(Suspicion(Fingerprint('cd'), 0, 1))
        starting = network.add('entry-2')
        assert not starting.learned
        await starting.env.spawn(starting.keep)
        await until(lambda: starting.learned)
        assert list(starting.suspects.table.values()) == [Suspicion(FINGERPRINT, 0, 2)]

    curio.run(run)


def test_one_that_reaches_nobody_serves_all_the_same():
    async def run():
        network = Network(['entry-0', 'entry-1'])
        network.unreachable = {InstanceId('entry-1')}
        starting = network.entries[InstanceId('entry-0')]
        await starting.env.spawn(starting.keep)
        await until(lambda: starting.learned)

    curio.run(run)


def test_what_can_not_be_read_changes_nothing():
    async def run():
        network = Network(['entry-0'])
        entry = network.entries[InstanceId('entry-0')]

        class Sender:
            peer = 'other'

        reply = await entry.on_report(Sender(), SuspicionReport(b'\xff'))
        assert not reply.ok
        assert decode_suspicions(entry.on_ask().body) == []

    curio.run(run)
