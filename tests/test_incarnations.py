"""
A back end that started again under the id that it had was not used: its heartbeats count
from 1 again and were older than what replicas held, so they were ignored for as long as its
first life had lasted, and after a goodbye for two minutes. Where they were taken, entries
went on by the weights, load and failures of the process that had ended.

"""

from random import Random
from types import SimpleNamespace

import curio
import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from millfork_adapter.exchange import EngineReport
from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ServiceName, ZoneId
from millfork_registry.followers import Follower, Followers
from millfork_registry.records import (
    EndpointState,
    Lease,
    LeaseState,
    ServedVersion,
    decode_leases,
)
from millfork_registry.registry import Change, Registry
from millfork_registry.roles import REPLICA_ROLE
from millfork_scheduling.book import ServerBook
from millfork_scheduling.placement import Choice, Wanted
from millforkd.proxy.connections import SendFailed
from millforkd.proxy.job import Attempt
from millforkd.proxy.waiting import Waiting
from millforkd.sidecar.expiry import ExpiryWatcher
from millforkd.sidecar.pieces import WeightsId
from tests.test_registry import HEARTBEAT_S, LEASE_S, Clock, state_of
from tests.test_rollouts import RolloutUnderTest
from tests.test_servers import ENGINE

FIRST, SECOND = 1_000_000, 2_000_000
WHOLE = (ServedVersion('m', 1, 0, 16),)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def registry(clock):
    return Registry(Environment(InstanceId('a:1'), ZoneId('z1'), monotonic=clock), HEARTBEAT_S)


def lease(
    born, sequence=1, instance='i-1', port=80, state=LeaseState.READY, served=WHOLE, owner=''
):
    return Lease(
        instance, 's', '10.0.0.1', port, 'z1', 16, state, sequence, owner, served, born
    )  # fmt: skip


# Replicas.


@pytest.mark.parametrize('ended', [LeaseState.READY, LeaseState.DRAINING, LeaseState.GONE])
def test_a_back_end_that_starts_again_is_usable_at_once(registry, ended):
    registry.take_heartbeat(lease(FIRST, 50))
    if ended is LeaseState.GONE:
        registry.take_goodbye('i-1', FIRST)
    if ended is LeaseState.DRAINING:
        registry.take_heartbeat(lease(FIRST, 51, state=ended))
    assert registry.take_heartbeat(lease(SECOND, 1)) is Change.CHANGED
    assert state_of(registry) is LeaseState.READY


def test_what_comes_late_of_an_earlier_incarnation_changes_nothing(registry):
    registry.take_heartbeat(lease(SECOND, 1))
    held = registry.leases.get('i-1')
    assert registry.take_heartbeat(lease(FIRST, 51)) is Change.NONE
    assert registry.take(lease(FIRST, 51, state=LeaseState.EXPIRED, owner='b:1')) is Change.NONE
    assert registry.take_goodbye('i-1', FIRST) is Change.NONE
    assert registry.take_heartbeat(lease(0, 52)) is Change.NONE
    assert registry.leases.get('i-1') == held


def test_a_goodbye_that_names_no_incarnation_is_of_the_one_known(registry):
    registry.take_heartbeat(lease(SECOND, 1))
    registry.take_goodbye('i-1')
    assert state_of(registry) is LeaseState.GONE
    assert registry.take_heartbeat(lease(SECOND, 2)) is Change.NONE


def test_a_later_process_ends_the_one_before_it_at_its_address_though_both_are_known(registry):
    registry.take_heartbeat(lease(FIRST, 7, 'i-1'))
    registry.take_heartbeat(lease(FIRST, 9, 'i-2', port=81))
    registry.take_heartbeat(lease(SECOND, 1, 'i-2', port=80))
    assert state_of(registry, 'i-1') is LeaseState.EXPIRED
    assert registry.take_heartbeat(lease(FIRST, 8, 'i-1')) is Change.NONE
    assert state_of(registry, 'i-2') is LeaseState.READY


def test_a_back_end_that_moved_is_not_ended_by_who_takes_its_old_address(registry):
    registry.take_heartbeat(lease(FIRST, 7, 'i-1', port=80))
    registry.take_heartbeat(lease(SECOND, 1, 'i-1', port=81))
    registry.take_heartbeat(lease(SECOND + 1, 1, 'i-2', port=80))
    assert state_of(registry, 'i-1') is LeaseState.READY
    assert state_of(registry, 'i-2') is LeaseState.READY


# Entries.


def report(born, sequence, running=0, served=WHOLE):
    return EndpointState(
        'e-1', 's', 'z1', '10.0.0.1', 80, sequence, reachable=True, running=running,
        served=served, incarnation=born,
    )  # fmt: skip


def test_an_entry_carries_nothing_over_to_the_next_incarnation(clock):
    book = ServerBook(ZoneId('z1'), Random(1), clock)
    book.take_leases([lease(FIRST, 9)])
    book.take_reports([report(FIRST, 500, running=16)])
    before = book.servers['i-1']
    before.mine = 3
    before.refused[1] = clock.now + 60
    before.note_failure(clock.now)
    before.lateness.note(500.0, clock.now)
    assert book.take_leases([lease(SECOND, 1, served=())]) == [before]
    assert before.replaced
    after = book.servers['i-1']
    assert after is not before
    assert (after.served, after.mine, after.reported) == ((), 0, 0)
    assert (after.failures, after.refused, after.lateness.mean_ms) == (0, {}, 0.0)


def test_a_late_report_of_the_earlier_incarnation_says_nothing_of_the_next(clock):
    book = ServerBook(ZoneId('z1'), Random(1), clock)
    book.take_leases([lease(SECOND, 1, served=())])
    book.take_reports([report(FIRST, 500)])
    assert book.choose(Wanted(ServiceName('s'), ENGINE), set()) is None
    book.take_reports([report(SECOND, 501)])
    assert book.choose(Wanted(ServiceName('s'), ENGINE), set()) is not None


def test_an_engine_whose_next_incarnation_reports_already_is_chosen_no_more(clock):
    book = ServerBook(ZoneId('z1'), Random(1), clock)
    book.take_leases([lease(FIRST, 9)])
    book.take_reports([report(SECOND, 501, served=())])
    assert book.choose(Wanted(ServiceName('s'), ENGINE), set()) is None


def test_a_request_that_waits_at_an_earlier_incarnation_is_taken_back(clock):
    book = ServerBook(ZoneId('z1'), Random(1), clock)
    book.take_leases([lease(FIRST, 9)])
    attempt = Attempt(Choice(book.servers['i-1']), clock.now)
    job = SimpleNamespace(wanted=Wanted(ServiceName('s')))
    waiting = Waiting(Environment(InstanceId('a:1'), ZoneId('z1'), monotonic=clock), None)
    waiting.check_engine(job, attempt, None)
    book.take_leases([lease(SECOND, 1)])
    with pytest.raises(SendFailed):
        waiting.check_engine(job, attempt, None)


# The daemon beside an engine.


def engine_report(born):
    return EngineReport(0, 0, 0, 1, 1.0, False, (('m', 1, 0, 16),), born)


def test_a_daemon_forgets_what_it_did_to_the_engine_before_this_one():
    async def run():
        rollout = RolloutUnderTest(turn=0).rollout
        rollout.record_report(engine_report(FIRST))
        rollout.staged_checked = True
        rollout.staged_weights = WeightsId('m', 2)
        expiry = ExpiryWatcher(rollout.env, rollout.engine, rollout.store, rollout)
        expiry.emptied_for = (rollout.incarnation, 2)
        target = ended_target(rollout)
        assert not expiry._has_ended(target)
        rollout.record_report(None)
        rollout.record_report(engine_report(SECOND))
        assert (rollout.staged_checked, rollout.staged_weights, rollout.assignment) == (
            False,
            None,
            None,
        )
        assert expiry._has_ended(target)

    curio.run(run)


def ended_target(rollout):
    """
    The rollout's target, whose version before it has ended.

    """
    target = rollout.target()
    return type(target)(target.weights, target.layers, target.pieces, 0.0, 0.0)


# All replicas together.

REPLICAS = ('a:1', 'b:1', 'c:1')
BACK_ENDS = st.sampled_from(['i-1', 'i-2'])
PORTS = st.sampled_from([80, 81])
PLACES = st.integers(0, len(REPLICAS) - 1)


class Lives(RuleBasedStateMachine):
    """
    Two back ends at two addresses that end and start again, while what they say is
    delayed, doubled and kept from some replicas.

    """

    @initialize()
    def start(self):
        self.clock = Clock()
        self.replicas = []
        for name in REPLICAS:
            env = Environment(InstanceId(name), ZoneId('z1'), monotonic=self.clock)
            registry = Registry(env, HEARTBEAT_S)
            self.replicas.append((registry, Followers(env, None, registry)))
        self.feeds = {}
        self.cut = set()
        # The last word of each back end, and all that was ever said.
        self.alive = {}
        self.said = []
        # The newest incarnation of each that any replica took.
        self.newest = {}

    @rule(instance=BACK_ENDS, port=PORTS)
    def begin(self, instance, port):
        self.clock.now += 0.1
        taken = {word.port for name, word in self.alive.items() if name != instance}
        if port in taken:
            return
        self.alive[instance] = lease(int(self.clock.now * 1000), 0, instance, port)

    @rule(instance=BACK_ENDS, place=PLACES, lost=st.booleans())
    def beat(self, instance, place, lost):
        if instance not in self.alive:
            return
        before = self.alive[instance]
        word = msgspec.structs.replace(before, sequence=before.sequence + 1)
        self.alive[instance] = word
        self.said.append(word)
        if not lost:
            self.hear(place, word)

    @rule(instance=BACK_ENDS, place=PLACES)
    def leave(self, instance, place):
        word = self.alive.pop(instance, None)
        if word is not None:
            self.replicas[place][0].take_goodbye(instance, word.incarnation)
            self.note(word)

    @rule(place=PLACES, data=st.data())
    def hear_late(self, place, data):
        if self.said:
            self.hear(place, data.draw(st.sampled_from(self.said)))

    def hear(self, place, word):
        self.replicas[place][0].take_heartbeat(word)
        self.note(word)

    def note(self, word):
        newest = self.newest.get(word.instance, 0)
        self.newest[word.instance] = max(newest, word.incarnation)

    @rule(first=PLACES, second=PLACES, whole=st.booleans())
    def cut_or_join(self, first, second, whole):
        self.cut.clear()
        if not whole and first != second:
            self.cut = {(first, second), (second, first)}

    @rule()
    def exchange(self):
        for source, (_, followers) in enumerate(self.replicas):
            for target, (registry, _) in enumerate(self.replicas):
                if source == target or (source, target) in self.cut:
                    continue
                feed = self.feeds.setdefault((source, target), Follower(None, REPLICA_ROLE))
                told = followers._leases_for(feed)
                for record in decode_leases(told.leases):
                    registry.take(record)

    @rule(seconds=st.sampled_from([0.5, LEASE_S + 0.1]))
    def wait(self, seconds):
        self.clock.now += seconds
        for registry, _ in self.replicas:
            registry.expire(set())

    @invariant()
    def no_earlier_incarnation_comes_back(self):
        if not hasattr(self, 'replicas'):
            return
        for registry, _ in self.replicas:
            for record in registry.leases.values():
                assert record.incarnation <= self.newest[record.instance]

    def teardown(self):
        if not hasattr(self, 'replicas'):
            return
        self.cut.clear()
        for _ in range(4):
            self.exchange()
        for name, newest in self.newest.items():
            held = [registry.leases.get(name) for registry, _ in self.replicas]
            told = {record.incarnation for record in held if record is not None}
            assert told <= {newest}, (name, newest, held)
            states = {record.state for record in held if record is not None}
            assert len(states) <= 1, (name, held)


TestLives = Lives.TestCase
TestLives.settings = settings(deadline=None, max_examples=100, stateful_step_count=30)
