"""
The explanation of where a request would go now.

"""

import pickle
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from millfork_adapter.exchange import Backpressure
from millfork_core.ids import InstanceId, RegionId, ZoneId
from millfork_core.verdicts import Reason
from millfork_registry.records import LeaseState
from millfork_scheduling.cold_share import cold_bounds
from millfork_scheduling.placement import Requirements
from millfork_scheduling.route_explanation import PassedOver, explain_route
from millfork_scheduling.server_table import ServerTable
from millfork_scheduling.table_copy import copy_random
from tests.test_servers import ENGINE, SERVICE, Clock, lease, report

REQUIREMENTS = Requirements(SERVICE, ENGINE, min_version=1, newest_version=1, prompt_tokens=900)
STATES = (
    'free', 'full', 'limited', 'resting', 'leaving', 'cold', 'silent', 'failed', 'far', 'refused',
)  # fmt: skip


def make_table(states, clock, seed=1):
    table = ServerTable(ZoneId('z1'), Random(seed), clock, lambda: 40, lambda: 40)
    table.regions_by_zone = {ZoneId('z1'): RegionId('r1')}
    table.set_cold_bounds({SERVICE: cold_bounds(18, 3, 1.5, 5)})
    table.apply_leases(
        lease(number, 'z9' if state == 'far' else 'z1') for number, state in enumerate(states, 1)
    )
    table.apply_reports(
        report(number, running=16 if state == 'full' else 2, queued=9 if state == 'full' else 0)
        for number, state in enumerate(states, 1)
    )
    for server, state in zip(table.servers.values(), states, strict=True):
        if state in ('limited', 'leaving', 'resting'):
            signal = Backpressure(
                limit_per_s=2.0 if state == 'limited' else None,
                leaving=state == 'leaving',
                rest_s=5.0 if state == 'resting' else None,
            )
            server.availability.apply_answer(signal, clock.now, clock.now, state == 'resting')
        if state == 'cold':
            server.availability.cold.record_notice(3.0, clock.now)
            # One send that is forgotten when the table is next asked, and one that counts.
            server.availability.cold.record_sent(clock.now)
            server.availability.cold.sent.append(clock.now + 1.0)
        if state == 'silent':
            server.record_silence(clock.now)
        if state == 'failed':
            # Several, as one failure counts for less than the time that passes below.
            for _ in range(4):
                server.record_failure(clock.now)
        if state == 'refused':
            server.refused[1] = clock.now + 3
    clock.now += 1.5
    return table


def state_of(table):
    return pickle.dumps((table.servers, table.random.getstate(), table.lateness))


def explain(table, requirements=REQUIREMENTS, target_ms=400, leases=()):
    return explain_route(table, leases, requirements, target_ms, copy_random(table.random))


def reasons_of(explanation):
    return {row.instance: row.reason for row in explanation.servers}


@given(st.lists(st.sampled_from(STATES), max_size=40), st.integers(0, 99), st.booleans())
def test_an_explanation_changes_nothing_and_agrees_with_the_choice(states, seed, restricted):
    """
    Guards against explanations that use up permits or random numbers, and against reasons that
    contradict the choice.

    """
    table = make_table(states, Clock(), seed)
    regions = frozenset({RegionId('r1')}) if restricted else None
    requirements = Requirements(SERVICE, ENGINE, 1, 1, 900, regions=regions)
    before = state_of(table)
    explanation = explain(table, requirements)
    assert state_of(table) == before
    reasons = reasons_of(explanation)
    chosen = explanation.choice
    if chosen is not None:
        assert reasons[chosen.server.instance] is None
    closed = {name for name, reason in reasons.items() if reason not in (None, PassedOver.FULL)}
    choices = [table.choose(requirements, set()) for _ in range(5)]
    assert all(choice is None or choice.server.instance not in closed for choice in choices)
    assert (choices[0] is None) == (len(closed) == len(reasons))


def test_the_explained_choice_is_that_of_the_next_request():
    table = make_table(['free'] * 40, Clock())
    for _ in range(20):
        explained = explain(table).choice.server.instance
        candidates = table.sample_candidates(REQUIREMENTS, set())
        assert table.choose(REQUIREMENTS, set(), candidates).server.instance == explained


def test_each_back_end_is_passed_over_for_its_reason():
    table = make_table(STATES, Clock())
    regions = frozenset({RegionId('r1')})
    requirements = Requirements(SERVICE, ENGINE, 1, 1, 900, regions=regions)
    draining = lease(90, state=LeaseState.DRAINING)
    explanation = explain(table, requirements, leases=[draining])
    expected = {
        'free': None, 'full': PassedOver.FULL, 'resting': PassedOver.RESTING,
        'leaving': PassedOver.LEAVING, 'cold': PassedOver.COLD, 'silent': PassedOver.SILENT,
        'failed': PassedOver.AVOIDED, 'far': PassedOver.OUT_OF_REGION,
        'refused': PassedOver.VERSION_REFUSED,
    }  # fmt: skip
    reasons = reasons_of(explanation)
    for number, state in enumerate(STATES, 1):
        if state in expected:
            found = reasons[InstanceId(f'i-{number}')]
            assert (state, found) == (state, expected[state])
    assert reasons['i-90'] is PassedOver.DRAINING
    assert explanation.choice.server.instance == 'i-1'
    assert 0 < explanation.choice.first_token_ms < 400


def test_refusals_are_those_of_requests():
    clock = Clock()
    assert explain(make_table([], clock)).refusal.reason is Reason.NO_ENDPOINT
    assert explain(make_table(['full'] * 3, clock)).refusal.reason is Reason.BUSY
    table = make_table(['free'] * 3, clock)
    table.evacuated_zones = frozenset({ZoneId('z1')})
    assert explain(table).refusal.reason is Reason.EVACUATED
    assert set(reasons_of(explain(table)).values()) == {PassedOver.EVACUATED}
    old = Requirements(SERVICE, ENGINE, min_version=2, newest_version=2)
    ended = explain(make_table(['free'], clock), old)
    assert (ended.refusal.reason, ended.servers[0].reason) == (
        Reason.NO_ENDPOINT, PassedOver.VERSION_ENDED,
    )  # fmt: skip
    halves = ServerTable(ZoneId('z1'), Random(1), clock)
    halves.apply_leases([lease(1, end=8), lease(2, first=8), lease(3, end=8)])
    assert list(reasons_of(explain(halves)).values()) == [
        None, PassedOver.SECOND_OF_PATH, PassedOver.NO_WEIGHTS,
    ]  # fmt: skip
