"""
All entries together keep to what a cold back end bears.

"""

from bisect import bisect_left
from random import Random

import pytest

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ServiceName, ZoneId
from millfork_registry.records import Lease, LeaseState
from millfork_registry.registry import RecordChange, Registry
from millfork_scheduling.availability import ClosureReason
from millfork_scheduling.cold_share import (
    SPAN_S,
    ColdBounds,
    ColdShare,
    allowed_probability,
    cold_bounds,
)
from millfork_scheduling.placement import Requirements
from millfork_scheduling.server_table import ServerTable
from tests.test_servers import ENGINE, SERVICE, Clock, report
from tests.test_servers import lease as warm_lease

BOUNDS = cold_bounds(per_s=18, start_s=3, over=1.5, slack=5)
START_S = BOUNDS.start_s


def lease(number, cold_for_ms=0, sequence=1, zone='z1'):
    held = warm_lease(number, zone)
    return Lease(
        held.instance, held.service, held.host, held.port, zone, 16, LeaseState.READY, sequence,
        'r:1', held.served, cold_for_ms=cold_for_ms,
    )  # fmt: skip


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def table(clock):
    new_table = ServerTable(ZoneId('z1'), Random(1), clock, lambda: 6, lambda: 6)
    new_table.set_cold_bounds({SERVICE: BOUNDS})
    return new_table


def most_within_a_second(times):
    ordered = sorted(times)
    return max(
        (bisect_left(ordered, first + 1.0) - index for index, first in enumerate(ordered)),
        default=0,
    )


def send_in_a_rush(entries, seed, restart_share=0.0):
    """
    Returns the times at which a cold back end receives requests from entries that all want to send
    at all times, learn of the coldness within 0.3 s, and of which a share restarts.

    """
    random = Random(seed)
    received = []
    for _ in range(entries):
        learned_at = random.random() * 0.3
        restarts_at = random.uniform(0.5, 3.0) if random.random() < restart_share else 100.0
        share = ColdShare(Random(random.random()), BOUNDS)
        share.record_notice(10.0, learned_at)
        now = learned_at
        while now < 8.0:
            if now > restarts_at:
                # A process is back after more than the span in which sends are bounded.
                restarts_at, now = 100.0, now + SPAN_S + 0.1
                share = ColdShare(Random(random.random()), BOUNDS)
                share.record_notice(10.0, now)
            if not share.opens_in_s(now, entries):
                share.record_sent(now)
                received.append(now + random.random() * 0.3)
            now += 0.05
    return received


@pytest.mark.parametrize('entries', [1, 6, 31, 36, 71, 98, 380])
@pytest.mark.parametrize('restart_share', [0.0, 0.5])
def test_a_rush_of_all_entries_keeps_to_the_bound(entries, restart_share):
    """
    Guards against a back end that crashes after its return, as entries that can't coordinate send
    it their requests in one second.

    """
    for seed in range(20):
        received = send_in_a_rush(entries, seed, restart_share)
        assert most_within_a_second(received) <= BOUNDS.max_requests == 32


@pytest.mark.parametrize('entries', [1, 6, 31, 36, 71, 98, 380])
def test_most_of_what_a_cold_back_end_bears_is_used(entries):
    """
    Guards against shares so careful that callers are refused beside cold back ends with room.

    """
    sent = sum(len(send_in_a_rush(entries, seed)) for seed in range(20))
    assert sent / 20 / 8.0 > 18 / 2


@pytest.mark.parametrize('entries', [33, 98, 380, 100_000])
def test_the_probability_keeps_the_stated_deviations(entries):
    probability = allowed_probability(32, entries)
    deviation = (entries * probability * (1 - probability)) ** 0.5
    assert probability * entries + 3.5 * deviation == pytest.approx(32)


def test_a_back_end_that_bears_nothing_gets_nothing_while_it_is_cold():
    share = ColdShare(Random(1), ColdBounds(0, 3.0))
    share.record_notice(2.0, 10.0)
    assert share.opens_in_s(10.0, 1) == pytest.approx(2.0)
    assert share.opens_in_s(12.0, 1) == 0.0


def test_a_back_end_that_stays_cold_is_not_believed_for_ever():
    """
    Guards against a back end with a wrong clock or a fault that gets few requests for ever.

    """
    share = ColdShare(Random(1), BOUNDS)
    for second in range(40):
        share.record_notice(1e9, 100.0 + second)
    assert not share.is_cold(100.0 + BOUNDS.believed_s + 1.0)


def test_a_late_notice_does_not_shorten_the_coldness():
    share = ColdShare(Random(1), BOUNDS)
    share.record_notice(3.0, 10.0)
    share.record_notice(0.5, 10.5)
    assert share.is_cold(12.9)
    share.record_notice(0.0, 11.0)
    assert not share.is_cold(11.0)


def test_entries_pass_a_cold_back_end_over_once_their_share_is_used(table, clock):
    """
    Guards against choices that don't know of the coldness: the cold back end, without load, seemed
    the freest.

    """
    table.apply_leases([lease(1, 3000), lease(2)])
    table.apply_reports([report(1), report(2)])
    cold = table.servers[InstanceId('i-1')]
    for _ in range(BOUNDS.max_requests // 6):
        assert table.closure(cold) is None
        table.record_sent([cold])
    assert table.closure(cold).closure_reason is ClosureReason.COLD
    requirements = Requirements(SERVICE, ENGINE)
    assert {table.choose(requirements, set()).server.instance for _ in range(20)} == {'i-2'}
    assert table.choose(requirements, {InstanceId('i-2')}) is None
    assert 0 < table.first_to_open(requirements).opens_in_s <= SPAN_S + 0.001
    clock.now += START_S
    assert table.closure(cold) is None


def test_the_sends_before_a_back_end_became_cold_count(table, clock):
    table.apply_leases([lease(1)])
    server = table.servers[InstanceId('i-1')]
    for _ in range(9):
        table.record_sent([server])
    table.apply_leases([lease(1, 3000, sequence=2)])
    assert table.closure(server).closure_reason is ClosureReason.COLD


def test_a_lease_that_is_received_again_does_not_prolong_the_coldness(table, clock):
    """
    Guards against a back end that stays cold as all leases are applied again with each change.

    """
    table.apply_leases([lease(1, 3000)])
    clock.now += 2.0
    table.apply_leases([lease(1, 3000), lease(2)])
    assert table.servers[InstanceId('i-1')].lease_cold_until == clock.now + 1.0


def test_a_back_end_without_bounds_is_never_closed_as_cold(clock):
    table = ServerTable(ZoneId('z1'), Random(1), clock)
    table.apply_leases([lease(1, 3000)])
    server = table.servers[InstanceId('i-1')]
    for _ in range(100):
        table.record_sent([server])
    assert table.closure(server) is None


def test_coldness_that_was_told_before_the_document_counts(clock):
    """
    Guards against a rush after a loss of power: leases arrive before the document that says what
    the service bears.

    """
    table = ServerTable(ZoneId('z1'), Random(1), clock)
    table.apply_leases([lease(1, 3000)])
    table.set_cold_bounds({ServiceName('s'): BOUNDS})
    assert table.servers[InstanceId('i-1')].availability.is_cold(clock.now)


def test_back_ends_of_a_zone_in_doubt_are_cold(table, clock):
    table.apply_leases([lease(1, zone='z1'), lease(2, zone='z2')])
    table.doubt_zone(ZoneId('z2'), 4.0)
    cold = [key for key, server in table.servers.items() if server.availability.is_cold(clock.now)]
    assert cold == ['i-2']
    clock.now += 4.0
    assert not table.servers[InstanceId('i-2')].availability.is_cold(clock.now)


def test_a_notice_from_before_the_doubt_does_not_end_it(table, clock):
    """
    Guards against a rush at a zone that is taken back: an entry that turns to another replica then
    receives leases with heartbeats from before the doubt, which named the back ends warm.

    """
    table.apply_leases([lease(1)])
    table.doubt_zone(ZoneId('z1'), 4.0)
    availability = table.servers[InstanceId('i-1')].availability
    table.apply_leases([lease(1, sequence=2)])
    assert availability.is_cold(clock.now)
    table.apply_leases([lease(1, 6000, sequence=3)])
    table.apply_leases([lease(1, sequence=4)])
    clock.now += 3.9
    assert availability.is_cold(clock.now)
    clock.now += 0.2
    assert not availability.is_cold(clock.now)


@pytest.mark.parametrize(
    ('before_ms', 'after_ms', 'expected'),
    [(0, 3000, True), (1800, 600, False), (600, 3000, True), (600, 0, True), (0, 0, False)],
)
def test_a_change_of_coldness_is_sent_to_entries_at_once(before_ms, after_ms, expected):
    """
    Guards against entries that learn of coldness only with the next change of the lease.

    """
    older = lease(1, before_ms)
    assert lease(1, after_ms, sequence=2).needs_announcement_after(older) is expected


@pytest.mark.parametrize(
    ('left_ms', 'expected'),
    [(1800, RecordChange.RENEWED), (1700, RecordChange.RENEWED), (2900, RecordChange.CHANGED)],
)
def test_a_back_end_that_becomes_cold_again_while_cold_is_told_to_entries(clock, left_ms, expected):
    """
    Guards against entries that take a back end for warm at the end of its first period of coldness,
    although it became cold again before: its later heartbeats named no longer times than the first.

    """
    env = Environment(InstanceId('r:1'), ZoneId('z1'), monotonic=clock)
    registry = Registry(env, heartbeat_s=1.2)
    registry.record_heartbeat(lease(1, 3000))
    clock.now += 1.2
    assert registry.record_heartbeat(lease(1, left_ms, sequence=2)) is expected


def test_a_back_end_whose_lease_comes_later_is_in_doubt_with_its_zone(table, clock):
    """
    Guards against back ends that were unknown when their zone was taken back, and get a rush.

    """
    table.doubt_zone(ZoneId('z2'), 4.0)
    clock.now += 1.0
    table.apply_leases([lease(1, zone='z1'), lease(2, zone='z2')])
    cold = [key for key, server in table.servers.items() if server.availability.is_cold(clock.now)]
    assert cold == ['i-2']
