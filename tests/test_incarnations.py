"""
Back ends that restart under the same id.

The sequence numbers of their heartbeats start from 1 again. Replicas that compared only sequence
numbers ignored the heartbeats of the new process for as long as the first process had lived, or
for two minutes after a leave notice. Where the heartbeats were accepted, entries kept using the
weights, load and failures recorded for the process that had ended.

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
from millfork_core.ids import Fingerprint, InstanceId, ServiceName, ZoneId
from millfork_registry.followers import Follower, Followers
from millfork_registry.records import (
    EndpointState,
    Lease,
    LeaseState,
    ServedVersion,
    decode_leases,
)
from millfork_registry.registry import RecordChange, Registry
from millfork_registry.roles import REPLICA_ROLE
from millfork_registry.suspicions import Suspicion
from millfork_scheduling.placement import Choice, Requirements
from millfork_scheduling.server_table import ServerTable
from millforkd.proxy.attempts import Attempt
from millforkd.proxy.connections import SendFailed
from millforkd.proxy.response_monitor import ResponseMonitor
from millforkd.sidecar.expiry import ExpiryWatcher
from millforkd.sidecar.pieces import WeightsId
from tests.test_forwarding import NO_SECOND_ATTEMPTS
from tests.test_registry import HEARTBEAT_S, LEASE_S, Clock, state_of
from tests.test_rollouts import RolloutUnderTest
from tests.test_servers import ENGINE

FIRST_INCARNATION, SECOND_INCARNATION = 1_000_000, 2_000_000
WHOLE = (ServedVersion('m', 1, 0, 16),)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def registry(clock):
    return Registry(Environment(InstanceId('a:1'), ZoneId('z1'), monotonic=clock), HEARTBEAT_S)


def lease(
    incarnation, sequence=1, instance='i-1', port=80, state=LeaseState.READY, served=WHOLE, owner=''
):
    return Lease(
        instance, 's', '10.0.0.1', port, 'z1', 16, state, sequence, owner, served, incarnation
    )  # fmt: skip


# Replicas.


@pytest.mark.parametrize('ended', [LeaseState.READY, LeaseState.DRAINING, LeaseState.GONE])
def test_a_restarted_back_end_is_usable_immediately(registry, ended):
    registry.record_heartbeat(lease(FIRST_INCARNATION, 50))
    if ended is LeaseState.GONE:
        registry.record_leave('i-1', FIRST_INCARNATION)
    if ended is LeaseState.DRAINING:
        registry.record_heartbeat(lease(FIRST_INCARNATION, 51, state=ended))
    assert registry.record_heartbeat(lease(SECOND_INCARNATION, 1)) is RecordChange.CHANGED
    assert state_of(registry) is LeaseState.READY


def test_delayed_messages_of_an_earlier_incarnation_change_nothing(registry):
    registry.record_heartbeat(lease(SECOND_INCARNATION, 1))
    held = registry.leases.get('i-1')
    assert registry.record_heartbeat(lease(FIRST_INCARNATION, 51)) is RecordChange.NONE
    assert (
        registry.merge_lease(lease(FIRST_INCARNATION, 51, state=LeaseState.EXPIRED, owner='b:1'))
        is RecordChange.NONE
    )
    assert registry.record_leave('i-1', FIRST_INCARNATION) is RecordChange.NONE
    assert registry.record_heartbeat(lease(0, 52)) is RecordChange.NONE
    assert registry.leases.get('i-1') == held


def test_a_leave_notice_without_incarnation_ends_the_known_one(registry):
    registry.record_heartbeat(lease(SECOND_INCARNATION, 1))
    registry.record_leave('i-1')
    assert state_of(registry) is LeaseState.GONE
    assert registry.record_heartbeat(lease(SECOND_INCARNATION, 2)) is RecordChange.NONE


def test_a_later_process_ends_the_known_one_at_its_address(registry):
    registry.record_heartbeat(lease(FIRST_INCARNATION, 7, 'i-1'))
    registry.record_heartbeat(lease(FIRST_INCARNATION, 9, 'i-2', port=81))
    registry.record_heartbeat(lease(SECOND_INCARNATION, 1, 'i-2', port=80))
    assert state_of(registry, 'i-1') is LeaseState.EXPIRED
    assert registry.record_heartbeat(lease(FIRST_INCARNATION, 8, 'i-1')) is RecordChange.NONE
    assert state_of(registry, 'i-2') is LeaseState.READY


def test_a_back_end_that_moved_is_not_ended_by_another_at_its_old_address(registry):
    registry.record_heartbeat(lease(FIRST_INCARNATION, 7, 'i-1', port=80))
    registry.record_heartbeat(lease(SECOND_INCARNATION, 1, 'i-1', port=81))
    registry.record_heartbeat(lease(SECOND_INCARNATION + 1, 1, 'i-2', port=80))
    assert state_of(registry, 'i-1') is LeaseState.READY
    assert state_of(registry, 'i-2') is LeaseState.READY


# Entries.


def report(incarnation, sequence, running=0, served=WHOLE):
    return EndpointState(
        'e-1', 's', 'z1', '10.0.0.1', 80, sequence, reachable=True, running=running,
        served=served, incarnation=incarnation,
    )  # fmt: skip


def test_an_entry_resets_all_state_for_the_next_incarnation(clock):
    server_table = ServerTable(ZoneId('z1'), Random(1), clock)
    server_table.apply_leases([lease(FIRST_INCARNATION, 9)])
    server_table.apply_reports([report(FIRST_INCARNATION, 500, running=16)])
    before = server_table.servers['i-1']
    before.own_requests = 3
    before.refused[1] = clock.now + 60
    before.record_failure(clock.now)
    before.lateness.record(500.0, clock.now)
    assert server_table.apply_leases([lease(SECOND_INCARNATION, 1, served=())]) == [before]
    assert before.replaced
    after = server_table.servers['i-1']
    assert after is not before
    assert (after.served, after.own_requests, after.reported) == ((), 0, 0)
    assert (after.failures, after.refused, after.lateness.mean_ms) == (0, {}, 0.0)


def test_a_delayed_report_of_the_earlier_incarnation_is_not_applied_to_the_next(clock):
    server_table = ServerTable(ZoneId('z1'), Random(1), clock)
    server_table.apply_leases([lease(SECOND_INCARNATION, 1, served=())])
    server_table.apply_reports([report(FIRST_INCARNATION, 500)])
    assert server_table.choose(Requirements(ServiceName('s'), ENGINE), set()) is None
    server_table.apply_reports([report(SECOND_INCARNATION, 501)])
    assert server_table.choose(Requirements(ServiceName('s'), ENGINE), set()) is not None


def test_an_engine_whose_next_incarnation_already_reports_is_not_chosen(clock):
    server_table = ServerTable(ZoneId('z1'), Random(1), clock)
    server_table.apply_leases([lease(FIRST_INCARNATION, 9)])
    server_table.apply_reports([report(SECOND_INCARNATION, 501, served=())])
    assert server_table.choose(Requirements(ServiceName('s'), ENGINE), set()) is None


def test_a_request_that_waits_at_an_earlier_incarnation_is_withdrawn(clock):
    server_table = ServerTable(ZoneId('z1'), Random(1), clock)
    server_table.apply_leases([lease(FIRST_INCARNATION, 9)])
    suspicion = Suspicion(Fingerprint('ab'))
    attempt = Attempt(Choice(server_table.servers['i-1']), clock.now, suspicion)
    job = SimpleNamespace(requirements=Requirements(ServiceName('s')))
    env = Environment(InstanceId('a:1'), ZoneId('z1'), monotonic=clock)
    monitor = ResponseMonitor(env, None, None, None, NO_SECOND_ATTEMPTS, None)
    monitor.check_engine(job, attempt, None)
    server_table.apply_leases([lease(SECOND_INCARNATION, 1)])
    with pytest.raises(SendFailed):
        monitor.check_engine(job, attempt, None)


# The daemon beside an engine.


def engine_report(incarnation):
    return EngineReport(0, 0, 0, 1, 1.0, False, (('m', 1, 0, 16),), incarnation)


def test_a_daemon_resets_its_state_for_a_restarted_engine():
    async def run():
        rollout = RolloutUnderTest(turn=0).rollout
        rollout.record_report(engine_report(FIRST_INCARNATION))
        rollout.staged_checked = True
        rollout.staged_weights = WeightsId('m', 2)
        expiry = ExpiryWatcher(rollout.env, rollout.engine, rollout.store, rollout)
        expiry.emptied_for = (rollout.incarnation, 2)
        target = overdue_target(rollout)
        assert not expiry._serves_ending_version(target)
        rollout.record_report(None)
        rollout.record_report(engine_report(SECOND_INCARNATION))
        assert (rollout.staged_checked, rollout.staged_weights, rollout.assignment) == (
            False,
            None,
            None,
        )
        assert expiry._serves_ending_version(target)

    curio.run(run)


def overdue_target(rollout):
    """
    The rollout's target, changed so that the engine should have begun to load it already.

    """
    target = rollout.get_target()
    return type(target)(target.weights, target.layers, target.pieces, 0.0, 0.0)


# All replicas together.

REPLICAS = ('a:1', 'b:1', 'c:1')
BACK_ENDS = st.sampled_from(['i-1', 'i-2'])
PORTS = st.sampled_from([80, 81])
REPLICA_INDEXES = st.integers(0, len(REPLICAS) - 1)


class RestartingBackEnds(RuleBasedStateMachine):
    """
    Two back ends that stop and restart at two addresses, while their messages arrive late, more
    than once, or not at all at some replicas.

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
        self.partitioned = set()
        # The last heartbeat of each live back end, and all heartbeats ever sent.
        self.last_sent = {}
        self.sent = []
        # The newest incarnation of each back end that any replica received.
        self.newest = {}

    @rule(instance=BACK_ENDS, port=PORTS)
    def start_back_end(self, instance, port):
        self.clock.now += 0.1
        used_ports = {
            heartbeat.port for name, heartbeat in self.last_sent.items() if name != instance
        }
        if port in used_ports:
            return
        self.last_sent[instance] = lease(int(self.clock.now * 1000), 0, instance, port)

    @rule(instance=BACK_ENDS, replica_index=REPLICA_INDEXES, lost=st.booleans())
    def send_heartbeat(self, instance, replica_index, lost):
        if instance not in self.last_sent:
            return
        before = self.last_sent[instance]
        heartbeat = msgspec.structs.replace(before, sequence=before.sequence + 1)
        self.last_sent[instance] = heartbeat
        self.sent.append(heartbeat)
        if not lost:
            self.deliver(replica_index, heartbeat)

    @rule(instance=BACK_ENDS, replica_index=REPLICA_INDEXES)
    def send_leave_notice(self, instance, replica_index):
        heartbeat = self.last_sent.pop(instance, None)
        if heartbeat is not None:
            self.replicas[replica_index][0].record_leave(instance, heartbeat.incarnation)
            self.record_incarnation(heartbeat)

    @rule(replica_index=REPLICA_INDEXES, data=st.data())
    def deliver_late(self, replica_index, data):
        if self.sent:
            self.deliver(replica_index, data.draw(st.sampled_from(self.sent)))

    def deliver(self, replica_index, heartbeat):
        self.replicas[replica_index][0].record_heartbeat(heartbeat)
        self.record_incarnation(heartbeat)

    def record_incarnation(self, heartbeat):
        newest = self.newest.get(heartbeat.instance, 0)
        self.newest[heartbeat.instance] = max(newest, heartbeat.incarnation)

    @rule(first=REPLICA_INDEXES, second=REPLICA_INDEXES, healed=st.booleans())
    def partition_or_heal(self, first, second, healed):
        self.partitioned.clear()
        if not healed and first != second:
            self.partitioned = {(first, second), (second, first)}

    @rule()
    def exchange(self):
        for source, (_, followers) in enumerate(self.replicas):
            for target, (registry, _) in enumerate(self.replicas):
                if source == target or (source, target) in self.partitioned:
                    continue
                feed = self.feeds.setdefault((source, target), Follower(None, REPLICA_ROLE))
                received = followers._next_leases_message(feed)
                for record in decode_leases(received.leases):
                    registry.merge_lease(record)

    @rule(seconds=st.sampled_from([0.5, LEASE_S + 0.1]))
    def wait(self, seconds):
        self.clock.now += seconds
        for registry, _ in self.replicas:
            registry.expire(set())

    @invariant()
    def no_earlier_incarnation_returns(self):
        if not hasattr(self, 'replicas'):
            return
        for registry, _ in self.replicas:
            for record in registry.leases.values():
                assert record.incarnation <= self.newest[record.instance]

    def teardown(self):
        if not hasattr(self, 'replicas'):
            return
        self.partitioned.clear()
        for _ in range(4):
            self.exchange()
        for name, newest in self.newest.items():
            held = [registry.leases.get(name) for registry, _ in self.replicas]
            received = {record.incarnation for record in held if record is not None}
            assert received <= {newest}, (name, newest, held)
            states = {record.state for record in held if record is not None}
            assert len(states) <= 1, (name, held)


TestRestartingBackEnds = RestartingBackEnds.TestCase
TestRestartingBackEnds.settings = settings(deadline=None, max_examples=100, stateful_step_count=30)
