"""
The soak of regions with slow links: the plan of its lags, its checks, and a short run.

"""

import threading

import pytest

from millfork_standins.soak.added_routes import (
    DOCUMENT_SIZES,
    ReadReply,
    RouteOperator,
    find_denied_routes,
    find_old_reads,
    find_refused_reads,
)
from millfork_standins.soak.callers import Answer, Timeline
from millfork_standins.soak.checks import Period
from millfork_standins.soak.contact import Disturbances
from millfork_standins.soak.fault_plan import plan_faults
from millfork_standins.soak.fleet import SoakFleet
from millfork_standins.soak.lags import (
    LAG_KINDS,
    MIN_LAG_S,
    in_series,
    plan_lags,
    plan_pauses_of_faults,
    wait_for_claim,
)
from millfork_standins.soak.replacements import CATCH_UP_S
from millfork_standins.soak.run import SoakRun

# A seed with which a replica lags, and another one loses its disk after that.
SEED = 9
PLANNED_S, FAULTS_S = 2.0, 12.0
REPLICAS = 3


@pytest.mark.parametrize('seed', range(20))
def test_lags_concern_all_replicas_and_disks_are_lost_after_the_time_to_catch_up(seed):
    lags = plan_lags(seed, 900, REPLICAS)
    assert lags == plan_lags(seed, 900, REPLICAS)
    assert {lag.number for lag in lags} == set(range(REPLICAS))
    assert {lag.kind for lag in lags} == set(LAG_KINDS)
    assert min(lag.duration_s for lag in lags) >= MIN_LAG_S
    losses = [(lag.number, lag.disk_loss) for lag in lags if lag.disk_loss]
    assert losses
    assert all(loss.number != number for number, loss in losses)
    assert all(loss.after_s >= CATCH_UP_S for _, loss in losses)


@pytest.mark.parametrize('seed', range(20))
def test_no_fault_is_in_progress_in_a_pause(seed):
    pauses = plan_pauses_of_faults(seed, 60)
    faults = plan_faults(seed, 60, ['r1', 'r2', 'r3'], ['e1', 'e2'], 3)
    kept = in_series(faults, pauses)
    assert pauses
    assert kept
    for begin, end in pauses:
        assert all(fault.at_s + fault.duration_s <= begin or end <= fault.at_s for fault in kept)


def test_documents_add_routes_and_keys_and_keep_those_of_versions_before(tmp_path):
    operator = RouteOperator(SoakFleet(tmp_path), threading.Event(), SEED)
    operator.version = 5
    document = operator.next_document()
    prefixes = [route.prefix for route in document.routes]
    assert {f'/v{version}/' for version in range(1, 6)} <= set(prefixes)
    assert len(set(prefixes)) == len(prefixes)
    assert {f'key-{version}' for version in range(1, 6)} <= set(document.organisations[0].keys)
    assert {
        RouteOperator(SoakFleet(tmp_path), threading.Event(), seed).document_bytes
        for seed in range(20)
    } == set(DOCUMENT_SIZES)


def test_a_replacement_is_in_the_region_of_the_replica_that_it_replaces(tmp_path):
    fleet = SoakFleet(tmp_path, entries=4)
    fleet.spread_over_zones(3)
    fleet.start_process = lambda host: None
    zones = [fleet.zone_of(host) for host in fleet.replica_hosts]
    assert len(set(zones)) == 3
    assert fleet.zone_of(fleet.entry_hosts[3]) == fleet.zone_of(fleet.entry_hosts[0])
    added = fleet.add_replacement(fleet.replica_hosts[1])
    fleet.replica_hosts = [fleet.replica_hosts[0], *fleet.replica_hosts[2:]]
    assert [fleet.zone_of(host) for host in fleet.replica_hosts] == [zones[0], zones[2], zones[1]]
    assert added in fleet.replica_hosts


def test_a_claim_is_waited_for_until_the_end():
    ended = threading.Event()
    results = [False, False, True]
    assert wait_for_claim(lambda host: results.pop(0), ended)('r1')
    ended.set()
    assert not wait_for_claim(lambda host: False, ended)('r1')


def disturbances(core=(), entries=()):
    return Disturbances(core, entries, REPLICAS)


def denied_routes(status=404, at=112.1, **periods):
    """
    Check a request to an entry for the route of a version that was acknowledged at 110 s.

    """
    timeline = Timeline('e1', 100.0, at, at, True, at + 0.1)
    answer = Answer('1', True, status, timeline=timeline)
    return find_denied_routes([answer], {'1': 7}, {7: 110.0}, disturbances(**periods))


@pytest.mark.parametrize(
    'case',
    [
        {},
        {'status': 401},
        {'status': 403},
        {'entries': [Period('e2', 111.0, 112.0)]},
        {'entries': [Period('e1', 100.0, 109.0)]},
        {'core': [Period('r1', 105.0, 109.0)]},
        # A replica that is away for long disturbs no other one.
        {'core': [Period('r1', 105.0, 120.0)]},
    ],
)
def test_a_denied_route_that_is_in_force_is_found(case):
    assert len(denied_routes(**case)) == 1


@pytest.mark.parametrize(
    'case',
    [
        {'status': 200},
        {'status': 503},
        {'at': 111.9},
        {'entries': [Period('e1', 108.0, 109.2)]},
        {'core': [Period('r1', 105.0, 109.2)]},
        {'core': [Period('r1', 112.15, 115.0)]},
        {'core': [Period('r1', 105.0, 120.0), Period('r2', 105.0, 120.0)]},
    ],
)
def test_an_answer_of_an_entry_that_may_not_know_the_route_is_allowed(case):
    assert denied_routes(**case) == []


def reads(*statuses, at=106.0):
    return [
        ReadReply(f'r{number}', at, at + 0.1, status, 7 if status == 200 else 0)
        for number, status in enumerate(statuses, 1)
    ]


def test_reads_that_all_replicas_refuse_in_calm_times_are_found():
    assert len(find_refused_reads([reads(503, 0, 503)], disturbances())) == 1
    core = [Period('r1', 98.0, 100.9)]
    assert len(find_refused_reads([reads(503, 0, 503)], disturbances(core))) == 1
    core = [Period('r1', 98.0, 101.1)]
    assert find_refused_reads([reads(503, 0, 503)], disturbances(core)) == []
    assert find_refused_reads([reads(503, 0, 200)], disturbances()) == []


def test_reads_of_older_versions_are_found():
    rounds = [reads(200)]
    assert len(find_old_reads(rounds, {7: 90.0, 8: 103.9})) == 1
    assert find_old_reads(rounds, {7: 90.0, 8: 104.1}) == []


def test_a_short_run_with_replicas_that_lag_breaks_no_promise(tmp_path):
    """
    Guards against a state without a leader while a replica gets what it lacks over a slow link.

    """
    run = SoakRun(tmp_path, SEED, FAULTS_S, planned_s=PLANNED_S, regions=True)
    result = run.run()
    assert result.violations == []
    assert result.statuses[200]
    assert result.regions.statuses[200]
    assert result.regions.lags
    assert result.regions.disk_losses
    assert result.regions.calm_reads
    assert result.regions.calls_in_touch
