"""
Leases of back ends: which of two records is newer, and which replica expires a lease.

"""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_registry.records import (
    EndpointState,
    HeldVersion,
    Lease,
    LeaseState,
    decode_leases,
    encode_records,
)
from millfork_registry.registry import ENDED_RETENTION_S, RecordChange, Registry
from millfork_registry.versioned_table import VersionedTable

HEARTBEAT_S = 1.0
LEASE_S = 3.5


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def registry(clock):
    env = Environment(InstanceId('a:1'), ZoneId('zone'), monotonic=clock)
    return Registry(env, HEARTBEAT_S)


def lease(instance='i-1', sequence=1, state=LeaseState.READY, owner='b:1', port=80):
    return Lease(instance, 'service', '10.0.0.1', port, 'zone', 4, state, sequence, owner)


def state_of(registry, instance='i-1'):
    return registry.leases.get(instance).state


def test_an_older_heartbeat_changes_nothing(registry):
    registry.merge_lease(lease(sequence=5, state=LeaseState.DRAINING))
    assert registry.merge_lease(lease(sequence=4)) is RecordChange.NONE
    assert state_of(registry) is LeaseState.DRAINING


def test_a_renewal_is_not_announced(registry):
    registry.merge_lease(lease(sequence=1))
    version = registry.leases.version
    assert registry.merge_lease(lease(sequence=2)) is RecordChange.RENEWED
    assert registry.leases.version == version


def test_a_leave_notice_is_final(registry):
    registry.record_heartbeat(lease(sequence=1))
    registry.record_leave('i-1')
    assert registry.record_heartbeat(lease(sequence=9)) is RecordChange.NONE
    assert state_of(registry) is LeaseState.GONE


def test_a_leave_notice_of_an_unknown_back_end_is_recorded(registry):
    registry.record_leave('i-1')
    assert registry.merge_lease(lease(sequence=3)) is RecordChange.NONE


def test_a_lease_owned_here_expires_and_a_heartbeat_renews_it(registry, clock):
    registry.record_heartbeat(lease(sequence=1))
    clock.now += LEASE_S + 0.1
    assert [item.instance for item in registry.expire(set())] == ['i-1']
    assert state_of(registry) is LeaseState.EXPIRED
    registry.record_heartbeat(lease(sequence=2))
    assert state_of(registry) is LeaseState.READY


def test_a_lease_owned_elsewhere_expires_only_when_its_owner_is_lost(registry, clock):
    registry.merge_lease(lease(owner='b:1'))
    clock.now += 60
    assert registry.expire(set()) == []
    clock.now += LEASE_S + 0.1
    assert [item.instance for item in registry.expire({'b:1'})] == ['i-1']


def test_a_lease_with_a_new_owner_does_not_expire_here(registry, clock):
    registry.record_heartbeat(lease(sequence=1))
    registry.merge_lease(lease(sequence=2, owner='c:1'))
    clock.now += LEASE_S + 0.1
    assert registry.expire(set()) == []


def test_a_new_back_end_ends_the_lease_of_its_predecessor_at_the_address(registry):
    registry.record_heartbeat(lease('i-1', sequence=7))
    registry.record_heartbeat(lease('i-2', sequence=1))
    assert state_of(registry, 'i-1') is LeaseState.EXPIRED
    assert registry.record_heartbeat(lease('i-1', sequence=8)) is RecordChange.NONE
    assert state_of(registry, 'i-1') is LeaseState.EXPIRED
    assert state_of(registry, 'i-2') is LeaseState.READY


def test_a_back_end_returns_once_the_other_at_its_address_has_ended(registry, clock):
    registry.record_heartbeat(lease('i-1', sequence=7))
    registry.record_heartbeat(lease('i-2', sequence=1))
    clock.now += LEASE_S + 0.1
    registry.expire(set())
    assert registry.record_heartbeat(lease('i-1', sequence=8)) is RecordChange.CHANGED
    assert state_of(registry, 'i-1') is LeaseState.READY


def test_a_new_back_end_ends_no_lease_at_another_address(registry):
    registry.record_heartbeat(lease('i-1'))
    registry.record_heartbeat(lease('i-2', port=81))
    assert state_of(registry, 'i-1') is LeaseState.READY


def test_ended_leases_are_forgotten(registry, clock):
    registry.record_heartbeat(lease())
    registry.record_leave('i-1')
    clock.now += ENDED_RETENTION_S + 1
    registry.expire(set())
    assert len(registry.leases) == 0


def test_records_unknown_to_a_complete_replica_are_dropped(registry):
    registry.merge_lease(lease('i-1'))
    registry.merge_lease(lease('i-2'))
    registry.retain_only({'i-2'}, set())
    assert [item.instance for item in registry.leases.values()] == ['i-2']


def test_a_change_of_load_alone_is_not_announced_immediately(registry):
    state = EndpointState('e:1', 'service', 'zone', '10.0.0.1', 80, 1, reachable=True)
    assert registry.merge_endpoint_state(state) is RecordChange.CHANGED
    busier = msgspec.structs.replace(state, sequence=2, running=9)
    assert registry.merge_endpoint_state(busier) is RecordChange.RENEWED
    changing = msgspec.structs.replace(state, sequence=3, changing_to=2)
    assert registry.merge_endpoint_state(changing) is RecordChange.CHANGED
    assert registry.merge_endpoint_state(state) is RecordChange.NONE


def test_transfer_progress_is_not_announced_immediately(registry):
    """
    While the weights of a version are transferred, each daemon receives a piece every 0.05 s. If
    each piece were announced immediately, a replica would send each follower a message per piece.

    """
    first = EndpointState('e:1', 'service', 'zone', '10.0.0.1', 80, 1, reachable=True)
    registry.merge_endpoint_state(first)
    in_transfer = msgspec.structs.replace(first, sequence=2, held=(HeldVersion('m', 2, 0, 3),))
    assert registry.merge_endpoint_state(in_transfer) is RecordChange.CHANGED
    further = msgspec.structs.replace(first, sequence=3, held=(HeldVersion('m', 2, 0, 9),))
    assert registry.merge_endpoint_state(further) is RecordChange.RENEWED
    assert registry.endpoints.changed_since(registry.endpoints.version - 1) == [further]


def test_leases_are_unchanged_by_encoding():
    records = [lease('i-1'), lease('i-2', state=LeaseState.GONE)]
    assert decode_leases(encode_records(records)) == records
    assert decode_leases(b'') == []


RECORDS = st.builds(
    lease,
    instance=st.sampled_from(['i-1', 'i-2']),
    sequence=st.integers(1, 5),
    state=st.sampled_from(LeaseState),
    owner=st.sampled_from(['b:1', 'c:1']),
)


@given(st.lists(RECORDS, max_size=12), st.randoms())
def test_the_order_of_records_does_not_matter(records, random):
    def outcome(items):
        env = Environment(InstanceId('a:1'), ZoneId('zone'), monotonic=Clock())
        registry = Registry(env, HEARTBEAT_S)
        for item in items:
            registry.merge_lease(item)
        return {key: registry.leases.get(key).sort_key for key in registry.leases.rows}

    shuffled = list(records)
    random.shuffle(shuffled)
    assert outcome(records) == outcome(shuffled)


@given(st.lists(st.tuples(st.sampled_from('abc'), st.integers(0, 9)), max_size=20))
def test_a_table_returns_exactly_the_records_changed_since_a_version(changes):
    table = VersionedTable()
    read_version = 0
    reader_copy = {}
    for position, (key, value) in enumerate(changes):
        table.put(key, (key, value))
        if position % 3 == 2:
            reader_copy.update({item[0]: item for item in table.changed_since(read_version)})
            read_version = table.version
    reader_copy.update({item[0]: item for item in table.changed_since(read_version)})
    assert reader_copy == {item[0]: item for item in table.values()}
