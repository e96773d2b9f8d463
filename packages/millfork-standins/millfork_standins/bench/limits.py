"""
Limits and retries: goodput under overload, fair shares, an outage.

"""

import tempfile
import time
from dataclasses import replace
from pathlib import Path
from typing import Final

from millfork_standins.bench.load import (
    Load,
    Stream,
    endings,
    percentile,
    right,
)
from millfork_standins.bench.rows import Sheet
from millfork_standins.deployments import LANTING
from millfork_standins.fleet import Fleet
from millfork_standins.layout import ADMIN_PORT, FleetOptions
from millfork_standins.requests import fetch

SERVICE: Final = 'millfork-drafts'
ENDPOINTS: Final = 3
SLOTS: Final = 8
ANSWER_MS: Final = 200
CAPACITY: Final = ENDPOINTS * SLOTS * 1000 / ANSWER_MS
SECONDS: Final = 6.0
FACTORS: Final = (1.0, 2.0, 5.0)
QUICK_FACTORS: Final = (1.0, 2.0)
LARGE, SMALL = LANTING.organisations


def _fleet(folder: Path) -> Fleet:
    shape = replace(
        LANTING, engines=0, entries=3, plain_services={SERVICE: ENDPOINTS}, network_number=160
    )
    options = FleetOptions(log_level='WARNING', service={'answer_ms': ANSWER_MS})
    options.backend = {'slots': SLOTS, 'queue': 64}
    return Fleet(shape, folder, options)


def measure_overload(sheet: Sheet, fleet: Fleet, factors: tuple[float, ...]) -> None:
    """
    Goodput and refusals at multiples of the capacity.

    """
    for factor in factors:
        outcomes = Load(fleet, SERVICE).run([Stream(LARGE, CAPACITY * factor, 0, SECONDS)])
        case = f'{factor:.0f} x capacity'
        good = right(outcomes)
        ended = max(outcome.at + outcome.seconds for outcome in outcomes)
        sheet.add(case, 'goodput', 'requests/s', len(good) / ended, '1 x capacity')
        refused = [outcome for outcome in outcomes if outcome not in good]
        sheet.add(case, 'refused_share', 'share', len(refused) / len(outcomes))
        sheet.add(case, 'refusal_p99', 's', percentile(refused, 0.99))
        sheet.add(case, 'answer_p99', 's', percentile(good, 0.99))
        sheet.add(case, 'cut', 'requests', endings(outcomes)['cut'])


def measure_fairness(sheet: Sheet, fleet: Fleet) -> None:
    """
    A small organisation alone, and beside a large one that floods.

    """
    small = Stream(SMALL, CAPACITY * 0.1, 0, SECONDS)
    flood = Stream(LARGE, CAPACITY * 3, 0, SECONDS)
    quiet = Load(fleet, SERVICE).run([small])
    crowded = Load(fleet, SERVICE).run([small, flood])
    mine = [outcome for outcome in crowded if outcome.organisation == SMALL]
    for case, outcomes in (('small, quiet', quiet), ('small, beside a flood', mine)):
        sheet.add(case, 'answer_p50', 's', percentile(right(outcomes), 0.5), 'small, quiet')
        sheet.add(case, 'answer_p99', 's', percentile(right(outcomes), 0.99), 'small, quiet')
        sheet.add(case, 'answered', 'share', len(right(outcomes)) / len(outcomes))


def measure_recovery(sheet: Sheet, fleet: Fleet) -> None:
    """
    Callers that come back when told; a burst in the middle.

    """
    steady = Stream(SMALL, CAPACITY * 0.6, 0, 14, persistent=True)
    burst = Stream(LARGE, CAPACITY * 4, 3, 5, persistent=True)
    outcomes = Load(fleet, SERVICE).run([steady, burst])
    before = [o for o in outcomes if o.organisation == SMALL and o.at < 3]
    late = [o for o in outcomes if o.organisation == SMALL and o.at > 10]
    case = 'before the burst'
    sheet.add(case, 'answer_p99', 's', percentile(right(before), 0.99))
    sheet.add('after the burst', 'answer_p99', 's', percentile(right(late), 0.99), case)
    sendings = sum(outcome.sendings for outcome in outcomes) / len(outcomes)
    sheet.add('burst', 'sendings_each', 'sendings', sendings)


def measure_outage(sheet: Sheet, fleet: Fleet) -> None:
    """
    One of three endpoints is frozen, then dead, at 60% of capacity.

    """
    victim = next(i for i in fleet.instances.values() if i.service == SERVICE).name
    for case, harm, mend in (
        ('one of three frozen', fleet.freeze, fleet.thaw),
        ('one of three dead', fleet.kill, None),
    ):
        before = _retries(fleet)
        harm(victim)
        outcomes = Load(fleet, SERVICE).run([Stream(LARGE, CAPACITY * 0.6, 0, SECONDS)])
        retries = _retries(fleet) - before
        if mend is not None:
            mend(victim)
            time.sleep(2)
        sheet.add(case, 'amplification', 'attempts', 1 + retries / len(outcomes))
        sheet.add(case, 'answered', 'share', len(right(outcomes)) / len(outcomes))
        sheet.add(case, 'answer_p99', 's', percentile(right(outcomes), 0.99))


def _retries(fleet: Fleet) -> float:
    total = 0.0
    for entry in fleet.entries:
        text = fetch('GET', entry.host, ADMIN_PORT, '/metrics').body.decode()
        for line in text.splitlines():
            if line.startswith('millfork_retries_total{'):
                total += float(line.rsplit(' ', 1)[1])
    return total


def run(repetitions: int, quick: bool) -> Path:
    """
    The experiment.

    """
    settings = {'capacity': CAPACITY, 'seconds': SECONDS, 'repetitions': repetitions}
    sheet = Sheet('limits', settings)
    for _ in range(repetitions):
        with tempfile.TemporaryDirectory(prefix='millfork-bench-') as folder:
            fleet = _fleet(Path(folder))
            try:
                fleet.start()
                fleet.apply(fleet.organisations_declaration())
                time.sleep(2)
                measure_overload(sheet, fleet, QUICK_FACTORS if quick else FACTORS)
                if not quick:
                    measure_fairness(sheet, fleet)
                    measure_recovery(sheet, fleet)
                    measure_outage(sheet, fleet)
            finally:
                fleet.close()
    return sheet.write()
