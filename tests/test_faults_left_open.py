"""
Faults that the postmortems leave open, each brought about. Those that fail are in KNOWN-RED.txt.

"""

import statistics
from random import Random

import curio
import pytest

from millfork_core.ids import ServiceName, ZoneId
from millfork_registry.records import Lease, LeaseState, ServedVersion
from millfork_scheduling.book import ServerBook
from millfork_scheduling.placement import Wanted
from millfork_scheduling.quarantine import ENDS
from millfork_standins.bench.limit_shares import SECONDS, Shares, play
from millforkd.versions import CUT_S
from tests import test_delayed_heartbeats as heartbeats
from tests.test_ends_after_an_election import append, genesis, lead, named, replica_on, versions_of
from tests.test_quarantine import Entry
from tests.test_servers import ENGINE, Clock
from tests.test_unguarded_engines import LINK_S, OLD
from tests.test_versions import SWITCH_S

AWAY_S = 3.0
DAY_S = 24 * 3600
STEP_S = 30
SERVICE = ServiceName('s')
HELD: tuple[ServedVersion, ...] = OLD


def test_a_request_that_only_ran_beside_the_one_at_fault_is_tried_again_within_a_day():
    """
    All that ran on three back ends that ended one after another shares the suspicion; without
    a try no answer can come whole and clear it.

    """

    async def run():
        entry = Entry()
        for _ in range(ENDS):
            await entry.end()
        clock = entry.suspects.monotonic
        for _ in range(0, DAY_S // 2, STEP_S):
            clock.now += STEP_S
            if entry.quarantine.bars(entry.job) is None:
                return
        pytest.fail('it was refused for half a day, and never tried')

    curio.run(run)


def test_an_entry_that_starts_beside_a_silent_daemon_sends_nothing_late():
    """
    The daemon beside the engine fell silent before this entry started, so it never reported
    here, and nothing tells that nobody guards the engine.

    """
    clock = Clock()
    book = ServerBook(ZoneId('z1'), Random(1), clock)
    lease = Lease('i-1', SERVICE, '10.0.0.1', 80, 'z1', 16, LeaseState.READY, 1, 'r', HELD)
    book.take_leases([lease])
    ends_at = clock.now + 10.0
    last = None
    while clock.now < ends_at:
        wanted = Wanted(SERVICE, ENGINE, 0, 2, 900, endings=((2, ends_at - CUT_S),))
        if book.choose(wanted, set()) is not None:
            last = clock.now
        clock.now += 0.01
    assert ends_at - last > LINK_S


def test_a_version_ends_in_time_where_all_replicas_lose_power_after_its_naming(tmp_path):
    """
    It was acknowledged by a leader whose word of the commit no other one had. None of them knows
    for how long all were away.

    """
    clock = Clock()
    before = replica_on(tmp_path, clock)
    append(before, [genesis(before), named(2)], commit=1)
    acknowledged_at = clock.now
    clock.now += AWAY_S
    replica = replica_on(tmp_path, clock)
    versions = versions_of(replica)
    lead(replica)
    versions.refresh()
    assert versions.ends_at('m', 1) <= acknowledged_at + SWITCH_S - CUT_S


replica = heartbeats.replica
clock = heartbeats.clock


@pytest.mark.parametrize(('late', 'live'), [(0, 0), (1, 2)], ids=['start not told', 'start told'])
def test_a_late_first_heartbeat_of_one_that_has_ended_ends_no_lease(replica, clock, late, live):
    """
    Where starts of processes are told, the live one's is the later, and decides.

    """
    replica.take_heartbeat(heartbeats.lease('i-2', 5, incarnation=live))
    clock.now += 0.3
    replica.take_heartbeat(heartbeats.lease('i-1', 1, incarnation=late))
    assert heartbeats.usable(replica) == ['i-2']


@pytest.mark.parametrize('entries', [6, 98, 380])
def test_entries_together_use_most_of_a_small_limit(entries):
    """
    Callers have twenty times what the back end takes; 20 plays of each.

    """
    limit_per_s = 1.0
    used = []
    for seed in range(20):
        random = Random(seed)
        way = Shares(limit_per_s, entries, random)
        sent = play(way, limit_per_s, entries, 20.0, random)
        used.append(len(sent) / SECONDS / limit_per_s)
    assert statistics.mean(used) >= 0.5
