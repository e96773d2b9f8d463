"""
Measures answers, refusals and retries in four situations: overload, a small organisation beside a
large one, a burst of requests, and an endpoint that is frozen or killed.

"""

import tempfile
import time
from dataclasses import replace
from pathlib import Path
from typing import Final

from millfork_standins.bench.load_generator import (
    ArrivalStream,
    LoadGenerator,
    count_by_status_or_reason,
    percentile,
    successful,
)
from millfork_standins.bench.results import ExperimentResults
from millfork_standins.deployments import LANTING
from millfork_standins.fleet import Fleet
from millfork_standins.layout import ADMIN_PORT, FleetOptions
from millfork_standins.requests import fetch

SERVICE: Final = 'millfork-drafts'
ENDPOINTS: Final = 3
SLOTS: Final = 8
ANSWER_MS: Final = 200
CAPACITY_PER_S: Final = ENDPOINTS * SLOTS * 1000 / ANSWER_MS
DURATION_S: Final = 6.0
LOAD_FACTORS: Final = (1.0, 2.0, 5.0)
QUICK_FACTORS: Final = (1.0, 2.0)
LARGE_ORGANISATION, SMALL_ORGANISATION = LANTING.organisations


def _make_fleet(folder: Path) -> Fleet:
    shape = replace(
        LANTING, engines=0, entries=3, plain_services={SERVICE: ENDPOINTS}, network_number=160
    )
    options = FleetOptions(log_level='WARNING', service={'answer_ms': ANSWER_MS})
    options.backend = {'slots': SLOTS, 'queue': 64}
    return Fleet(shape, folder, options)


def measure_overload(results: ExperimentResults, fleet: Fleet, factors: tuple[float, ...]) -> None:
    """
    Measure goodput (answered requests/s), refusals and latency while requests arrive at multiples
    of the capacity.

    """
    for factor in factors:
        outcomes = LoadGenerator(fleet, SERVICE).run(
            [ArrivalStream(LARGE_ORGANISATION, CAPACITY_PER_S * factor, 0, DURATION_S)]
        )
        case = f'{factor:.0f} x capacity'
        answered = successful(outcomes)
        last_end_s = max(outcome.arrived_at_s + outcome.duration_s for outcome in outcomes)
        results.add(case, 'goodput', 'requests/s', len(answered) / last_end_s, '1 x capacity')
        refused = [outcome for outcome in outcomes if outcome not in answered]
        results.add(case, 'refused_share', 'share', len(refused) / len(outcomes))
        results.add(case, 'refusal_p99', 's', percentile(refused, 0.99))
        results.add(case, 'answer_p99', 's', percentile(answered, 0.99))
        results.add(case, 'cut', 'requests', count_by_status_or_reason(outcomes)['cut'])


def measure_fairness(results: ExperimentResults, fleet: Fleet) -> None:
    """
    Measure the latency and the answered share of a small organisation's requests, first alone, then
    while a large organisation sends three times as many requests as the capacity.

    """
    small = ArrivalStream(SMALL_ORGANISATION, CAPACITY_PER_S * 0.1, 0, DURATION_S)
    flood = ArrivalStream(LARGE_ORGANISATION, CAPACITY_PER_S * 3, 0, DURATION_S)
    alone = LoadGenerator(fleet, SERVICE).run([small])
    crowded = LoadGenerator(fleet, SERVICE).run([small, flood])
    crowded_small = [outcome for outcome in crowded if outcome.organisation == SMALL_ORGANISATION]
    for case, outcomes in (('small, quiet', alone), ('small, beside a flood', crowded_small)):
        results.add(case, 'answer_p50', 's', percentile(successful(outcomes), 0.5), 'small, quiet')
        results.add(case, 'answer_p99', 's', percentile(successful(outcomes), 0.99), 'small, quiet')
        results.add(case, 'answered', 'share', len(successful(outcomes)) / len(outcomes))


def measure_recovery(results: ExperimentResults, fleet: Fleet) -> None:
    """
    Measure the latency before and after a burst of requests, and the attempts per request. Callers
    retry a refused request after the delay in the `retry-after` header of the refusal.

    """
    steady = ArrivalStream(SMALL_ORGANISATION, CAPACITY_PER_S * 0.6, 0, 14, persistent=True)
    burst = ArrivalStream(LARGE_ORGANISATION, CAPACITY_PER_S * 4, 3, 5, persistent=True)
    outcomes = LoadGenerator(fleet, SERVICE).run([steady, burst])
    before = [o for o in outcomes if o.organisation == SMALL_ORGANISATION and o.arrived_at_s < 3]
    after = [o for o in outcomes if o.organisation == SMALL_ORGANISATION and o.arrived_at_s > 10]
    case = 'before the burst'
    results.add(case, 'answer_p99', 's', percentile(successful(before), 0.99))
    results.add('after the burst', 'answer_p99', 's', percentile(successful(after), 0.99), case)
    attempts = sum(outcome.attempts for outcome in outcomes) / len(outcomes)
    results.add('burst', 'sendings_each', 'sendings', attempts)


def measure_outage(results: ExperimentResults, fleet: Fleet) -> None:
    """
    Measure retries and latency at 60% of capacity, first while one of three endpoints is frozen,
    then after that endpoint was killed.

    """
    endpoint_name = next(i for i in fleet.instances.values() if i.service == SERVICE).name
    for case, inject_fault, undo_fault in (
        ('one of three frozen', fleet.freeze, fleet.thaw),
        ('one of three dead', fleet.kill, None),
    ):
        before = _count_retries(fleet)
        inject_fault(endpoint_name)
        outcomes = LoadGenerator(fleet, SERVICE).run(
            [ArrivalStream(LARGE_ORGANISATION, CAPACITY_PER_S * 0.6, 0, DURATION_S)]
        )
        retries = _count_retries(fleet) - before
        if undo_fault is not None:
            undo_fault(endpoint_name)
            time.sleep(2)
        results.add(case, 'amplification', 'attempts', 1 + retries / len(outcomes))
        results.add(case, 'answered', 'share', len(successful(outcomes)) / len(outcomes))
        results.add(case, 'answer_p99', 's', percentile(successful(outcomes), 0.99))


def _count_retries(fleet: Fleet) -> float:
    total = 0.0
    for entry in fleet.entries:
        text = fetch('GET', entry.host, ADMIN_PORT, '/metrics').body.decode()
        for line in text.splitlines():
            if line.startswith('millfork_retries_total{'):
                total += float(line.rsplit(' ', 1)[1])
    return total


def run(repetitions: int, quick: bool) -> Path:
    """
    Run the experiment. Returns the path of the JSON file with the results.

    """
    settings = {'capacity': CAPACITY_PER_S, 'seconds': DURATION_S, 'repetitions': repetitions}
    results = ExperimentResults('limits', settings)
    for _ in range(repetitions):
        with tempfile.TemporaryDirectory(prefix='millfork-bench-') as folder:
            fleet = _make_fleet(Path(folder))
            try:
                fleet.start()
                fleet.apply(fleet.organisations_declaration())
                time.sleep(2)
                measure_overload(results, fleet, QUICK_FACTORS if quick else LOAD_FACTORS)
                if not quick:
                    measure_fairness(results, fleet)
                    measure_recovery(results, fleet)
                    measure_outage(results, fleet)
            finally:
                fleet.close()
    return results.write()
