"""
The engine model of the routing benchmark, and what load-aware routing gains in that model.

"""

from collections import Counter

import pytest

from millfork_scheduling.server_table import ServerTable
from millfork_standins.bench.engine_model import EngineModel, EventScheduler, Generation
from millfork_standins.bench.routing import (
    LARGE,
    REPORT_INTERVAL_S,
    FleetShape,
    RandomChoiceTable,
    RoundRobinTable,
    RoutingModel,
)
from tests.test_servers import ENGINE

SHAPE = FleetShape('six', 6, 16, 7)


def test_an_engine_fills_at_most_its_slots_and_completes_all_requests():
    scheduler = EventScheduler()
    engine = EngineModel(scheduler, ENGINE)
    first_tokens, ended = [], []
    for number in range(40):
        engine.submit(
            Generation(
                900,
                50,
                lambda number=number: first_tokens.append(number),
                lambda number=number: ended.append(number),
            )
        )
        assert len(engine.running) <= ENGINE.slots
    scheduler.run_until(60.0)
    assert first_tokens == list(range(40))
    assert sorted(ended) == list(range(40))
    assert not engine.busy


def test_earlier_prompts_delay_a_first_token():
    def first_at(earlier):
        scheduler = EventScheduler()
        engine = EngineModel(scheduler, ENGINE)
        times = []
        for _ in range(earlier):
            engine.submit(Generation(2000, 50, lambda: None, lambda: None))
        engine.submit(Generation(2000, 50, lambda: times.append(scheduler.now), lambda: None))
        scheduler.run_until(60.0)
        return times[0]

    assert first_at(0) < first_at(3) < first_at(12) < first_at(20)


@pytest.mark.parametrize('table', [RandomChoiceTable, RoundRobinTable])
def test_more_first_tokens_are_in_time_than_with_load_blind_choices(table):
    requests_per_s = SHAPE.capacity * 1.2
    load_aware = RoutingModel(SHAPE, ServerTable, requests_per_s, 1).run(10.0)
    load_blind = RoutingModel(SHAPE, table, requests_per_s, 1).run(10.0)
    assert load_aware.share('in time') > 1.5 * load_blind.share('in time')


def test_under_lasting_load_slots_go_to_requests_that_can_be_in_time():
    requests_per_s = SHAPE.capacity * 1.2
    counted = sum(
        (
            RoutingModel(SHAPE, ServerTable, requests_per_s, seed).run(10.0).counts
            for seed in range(3)
        ),
        Counter(),
    )
    assert counted['in time'] > 0.6 * counted['asked']
    assert counted['late'] < 0.2 * counted['asked']


def test_many_entries_do_not_choose_the_same_engine():
    shape = FleetShape('many entries', 24, 12, 40)
    outcomes = RoutingModel(shape, ServerTable, shape.capacity * 1.2, 1).run(6.0)
    assert outcomes.share('in time') > 0.5


def test_equal_seeds_give_equal_runs():
    runs = [RoutingModel(SHAPE, ServerTable, 50.0, 3).run(6.0) for _ in range(2)]
    assert runs[0] == runs[1]
    assert runs[0].counts['asked'] > 100


def test_in_large_fleets_fresher_load_reports_help():
    """
    In large fleets, old load reports make first tokens late: 0.59 of first tokens were in time with
    reports every 0.15 s, and 0.66 with reports every 0.05 s from the engines in the entry's zone.

    """
    requests_per_s = LARGE.capacity * 1.2
    usual, sooner = (
        RoutingModel(LARGE, ServerTable, requests_per_s, 1, near_report_s).run(7.0)
        for near_report_s in (REPORT_INTERVAL_S, REPORT_INTERVAL_S / 3)
    )
    assert sooner.share('in time') > usual.share('in time') + 0.02
