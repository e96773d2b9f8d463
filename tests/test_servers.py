"""
Choice of a back end, prediction of the time to its first token, and the shared retry budget.

"""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from millfork_core.ids import InstanceId, ServiceName, ZoneId
from millfork_registry.records import EndpointState, Lease, LeaseState, ServedVersion
from millfork_routing.documents import EngineSpec
from millfork_routing.shared_budget import USED_SHARE, SharedBudget
from millfork_scheduling.paths import find_paths
from millfork_scheduling.placement import Requirements
from millfork_scheduling.prediction import first_token_ms
from millfork_scheduling.server import MAX_AVOIDANCE_S
from millfork_scheduling.server_table import ServerTable

ENGINE = EngineSpec(
    slots=16,
    tokens=300_000,
    step_ms=9.0,
    per_sequence_ms=0.02,
    per_context_ms=0.03,
    read_per_s=20_000,
    pairs_ms_per_million=1.0,
    steps_per_event=5,
    usual_prompt=900,
    usual_answer=90,
    model='m',
    layers=16,
    pieces=96,
    piece_bytes=24_576,
    warm_s=0.3,
)
SERVICE = ServiceName('s')


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def table(clock):
    return ServerTable(ZoneId('z1'), Random(1), clock)


def lease(instance, zone='z1', state=LeaseState.READY, version=1, first=0, end=16):
    served = (ServedVersion('m', version, first, end),)
    host = f'10.0.0.{instance}'
    return Lease(f'i-{instance}', 's', host, 80, zone, 16, state, 1, 'r:1', served)


def report(instance, sequence=1, **fields):
    served = fields.pop('served', (ServedVersion('m', 1, 0, 16),))
    return EndpointState(
        f'e-{instance}', 's', 'z1', f'10.0.0.{instance}', 80, sequence, reachable=True,
        served=served, **fields,
    )  # fmt: skip


def chosen(table, requirements=None, tried=()):
    choice = table.choose(
        requirements or Requirements(SERVICE), {InstanceId(name) for name in tried}
    )
    return choice.server.instance if choice else None


def test_a_draining_back_end_gets_no_requests(table):
    table.apply_leases([lease(1), lease(2)])
    dropped = table.apply_leases([lease(1, state=LeaseState.DRAINING), lease(2)])
    assert [server.instance for server in dropped] == ['i-1']
    assert {chosen(table) for _ in range(20)} == {'i-2'}


def test_no_back_end_is_tried_twice(table):
    table.apply_leases([lease(1), lease(2)])
    assert chosen(table, tried=['i-1']) == 'i-2'
    assert chosen(table, tried=['i-1', 'i-2']) is None


def test_a_failing_back_end_is_avoided_unless_there_is_no_other(table, clock):
    table.apply_leases([lease(1), lease(2)])
    table.servers[InstanceId('i-1')].record_failure(clock.now)
    assert {chosen(table) for _ in range(20)} == {'i-2'}
    assert chosen(table, tried=['i-2']) == 'i-1'


def test_avoidance_of_a_failing_back_end_is_bounded_and_reset_by_a_success(table, clock):
    table.apply_leases([lease(1)])
    server = table.servers[InstanceId('i-1')]
    for _ in range(9):
        server.record_failure(clock.now)
    assert server.avoided_until == clock.now + MAX_AVOIDANCE_S
    server.record_outcome(failed=False)
    server.record_failure(clock.now)
    assert server.avoided_until < clock.now + MAX_AVOIDANCE_S


def test_an_engine_needs_all_layers_of_an_acceptable_version(table):
    requirements = Requirements(SERVICE, ENGINE, min_version=2)
    table.apply_leases([lease(1, version=1), lease(2, version=2, end=8), lease(3, version=2)])
    assert {chosen(table, requirements) for _ in range(20)} == {'i-3'}


def test_an_engine_that_changes_version_gets_no_requests(table):
    table.apply_leases([lease(1), lease(2)])
    table.apply_reports([report(1, changing_to=2), report(2)])
    assert {chosen(table, Requirements(SERVICE, ENGINE)) for _ in range(20)} == {'i-2'}


def test_a_report_is_applied_once_and_not_undone_by_old_heartbeats(table):
    table.apply_leases([lease(1)])
    newer = (ServedVersion('m', 2, 0, 16),)
    table.apply_reports([report(1, served=newer, running=5)])
    server = table.servers[InstanceId('i-1')]
    server.own_requests += 1
    table.apply_reports([report(1, served=newer, running=5)])
    assert server.occupied(table.monotonic()) == 6
    table.apply_leases([lease(1)])
    assert server.newest_complete_version(16) == 2


def test_the_less_loaded_engine_is_chosen(table):
    table.apply_leases([lease(1), lease(2)])
    table.apply_reports([report(1, running=16, queued=4), report(2, running=3)])
    assert {chosen(table, Requirements(SERVICE, ENGINE, 0, 0, 900)) for _ in range(20)} == {'i-2'}


@given(
    st.integers(0, 40), st.integers(0, 40), st.integers(1, 4000), st.floats(0.5, 5)
)  # fmt: skip
def test_more_load_never_means_an_earlier_first_token(occupied, unread, prompt, service_s):
    unread = min(unread, occupied)
    base_ms = first_token_ms(ENGINE, prompt, occupied, unread, service_s, 1.0)
    assert first_token_ms(ENGINE, prompt, occupied + 1, unread, service_s, 1.0) >= base_ms
    assert first_token_ms(ENGINE, prompt + 100, occupied, unread, service_s, 1.0) > base_ms
    assert first_token_ms(ENGINE, prompt, occupied, unread, service_s, 2.0) > base_ms


def test_a_full_engine_adds_the_wait_for_a_slot():
    free = first_token_ms(ENGINE, 900, 15, 0, 1.6, 1.0)
    full = first_token_ms(ENGINE, 900, 16, 0, 1.6, 1.0)
    assert full - free == pytest.approx(100)


@given(st.lists(st.sampled_from(['request', 'repeat', 'wait']), max_size=200), st.integers(1, 8))
def test_all_entries_together_stay_within_the_budget(steps, entries):
    clock = Clock()
    budgets = [SharedBudget(0.2, 20, 10.0, lambda: entries, clock) for _ in range(entries)]
    requests, repeats = [], []
    for position, step in enumerate(steps):
        budget = budgets[position % entries]
        if step == 'request':
            budget.record_request(SERVICE)
            requests.append(clock.now)
        if step == 'repeat' and budget.spend(SERVICE):
            repeats.append(clock.now)
        if step == 'wait':
            clock.now += 1
        recent = [moment for moment in repeats if moment >= clock.now - 10]
        counted = [moment for moment in requests if moment >= clock.now - 10]
        assert len(recent) <= 0.2 * len(counted) + 20 * USED_SHARE + 1


def halves(version=2):
    return [lease(1, version=version, end=8), lease(2, version=version, first=8)]


def test_two_engines_that_together_hold_all_layers_form_a_path(table):
    table.apply_leases(halves())
    choice = table.choose(Requirements(SERVICE, ENGINE, 2, 2, 900), set())
    assert [server.instance for server in choice.servers] == ['i-1', 'i-2']
    assert (choice.path.split, choice.version(16)) == (8, 2)


def test_paths_need_one_version_that_is_the_newest(table):
    table.apply_leases([lease(1, version=2, end=8), lease(2, version=3, first=8)])
    assert table.choose(Requirements(SERVICE, ENGINE, 0, 2, 900), set()) is None
    table.apply_leases(halves())
    assert table.choose(Requirements(SERVICE, ENGINE, 0, 3, 900), set()) is None


@pytest.mark.parametrize(('end', 'begins', 'split'), [(12, 8, 10), (8, 4, 6), (12, 4, 8)])
def test_engines_that_load_more_layers_stay_in_their_path(table, end, begins, split):
    table.apply_leases([lease(1, version=2, end=end), lease(2, version=2, first=begins)])
    choice = table.choose(Requirements(SERVICE, ENGINE, 2, 2, 900), set())
    assert [server.instance for server in choice.servers] == ['i-1', 'i-2']
    assert choice.path.split == split


def test_engines_that_lack_a_layer_between_them_form_no_path(table):
    table.apply_leases([lease(1, version=2, end=7), lease(2, version=2, first=8)])
    assert table.choose(Requirements(SERVICE, ENGINE, 2, 2, 900), set()) is None


def test_a_path_needs_both_of_its_engines(table, clock):
    table.apply_leases(halves())
    requirements = Requirements(SERVICE, ENGINE, 2, 2, 900)
    assert table.choose(requirements, {InstanceId('i-2')}) is None
    table.apply_reports([report(2, changing_to=3, served=(ServedVersion('m', 2, 8, 16),))])
    assert table.choose(requirements, set()) is None


def test_an_engine_is_in_one_path_at_most():
    table = ServerTable(ZoneId('z1'), Random(1), Clock())
    table.apply_leases([*halves(), lease(3, version=2, end=8), lease(4, 'z2', version=2, first=8)])
    paths = find_paths(list(table.servers.values()), ENGINE, 2)
    assert [[part.instance for part in path.servers] for path in paths] == [
        ['i-1', 'i-2'],
        ['i-3', 'i-4'],
    ]


def test_lateness_is_learned_and_decays_without_new_tokens(table, clock):
    table.apply_leases([lease(1)])
    server = table.servers[InstanceId('i-1')]
    requirements = Requirements(SERVICE, ENGINE, 0, 0, 900)
    usual = table.choose(requirements, set()).first_token_ms
    for _ in range(50):
        table.record_first_token(server, 5000)
    late = table.choose(requirements, set()).first_token_ms
    assert late > usual + 500
    clock.now += 10
    assert table.choose(requirements, set()).first_token_ms < usual + 10


def test_a_slow_engine_is_avoided_after_one_late_token(table):
    table.apply_leases([lease(1), lease(2)])
    table.record_first_token(table.servers[InstanceId('i-1')], 2000)
    requirements = Requirements(SERVICE, ENGINE, 0, 0, 900)
    assert {chosen(table, requirements) for _ in range(20)} == {'i-2'}


def test_a_last_send_prefers_an_engine_that_does_not_change_version_soon(table):
    table.apply_leases([lease('old', version=1), lease('new', zone='z2', version=2)])
    chosen = {
        table.choose(
            Requirements(SERVICE, ENGINE, newest_version=2, prompt_tokens=900, last_send=True),
            set(),
        ).server.instance
        for _ in range(20)
    }
    assert chosen == {'i-new'}
    chosen = {
        table.choose(Requirements(SERVICE, ENGINE, newest_version=2), set()).server.instance
        for _ in range(20)
    }
    assert 'i-old' in chosen


def test_a_slow_engine_gets_no_request_that_would_begin_after_its_version_ends(table, clock):
    table.apply_leases([lease('quick'), lease('slow')])
    for _ in range(5):
        table.record_first_token(table.servers[InstanceId('i-slow')], 800.0)
    cancel_times = ((2, clock.now + 1.2),)
    requirements = Requirements(SERVICE, ENGINE, newest_version=2, cancel_times=cancel_times)
    assert table.choose(requirements, set()).server.instance == 'i-quick'
    assert table.choose(requirements, {InstanceId('i-quick')}) is None
    clock.now += 1.0
    assert table.choose(requirements, set()) is None


@pytest.mark.parametrize(('started', 'expected'), [(0, 4), (1, 5), (2, 14), (3, 23)])
def test_other_entries_are_assumed_to_have_sent_as_many_requests_since_the_report(
    table, clock, started, expected
):
    table.apply_leases([lease(1)])
    table.apply_reports([report(1, running=4)])
    server = table.servers[InstanceId('i-1')]
    server.own_requests += started
    assert server.likely_occupied(clock.now, 9) == expected


def test_without_a_report_other_entries_are_assumed_to_have_as_many_requests(table, clock):
    table.apply_leases([lease(1)])
    server = table.servers[InstanceId('i-1')]
    server.own_requests = 2
    assert server.likely_occupied(clock.now, 9) == 18


def test_the_freest_engines_are_considered_while_many_slots_are_free(table):
    """
    Three of eight engines are full, and a random sample may consist of just these three. While
    57 of all 128 slots are occupied, the freest other engines are considered instead. Once 72 are
    occupied, no engine has slots to spare and callers are turned away at once.

    """
    running = {1: 16, 2: 16, 3: 16, 4: 2, 5: 3, 6: 4, 7: 0, 8: 0}
    table.apply_leases([lease(number) for number in running])
    table.apply_reports([report(number, running=count) for number, count in running.items()])
    requirements = Requirements(SERVICE, ENGINE, 0, 0, 900)
    freest = [
        server.instance for server in table.freest_candidates(requirements, {InstanceId('i-3')})
    ]
    assert freest == ['i-7', 'i-8', 'i-4']
    table.apply_reports([report(number, 2, running=9) for number in running])
    assert table.freest_candidates(requirements, set()) == []


def test_a_service_without_engines_has_no_freest_engines(table):
    table.apply_leases([lease(1)])
    assert table.freest_candidates(Requirements(SERVICE), set()) == []
