"""
Compares methods to distinguish first tries from retries, under sustained load.

A request tells an entry only how long its caller still waits (the remaining time). The remaining
time of a first try is the whole timeout of the caller; that of a retry is shorter. The timeouts of
callers are equal or different, depending on the case. The experiment runs the routing model with
each of these methods:

- the method of the entries: learn the timeouts of first tries, and if a request cannot be
  classified by them, look it up among the requests that were turned away in the zone;
- the learned timeouts alone: a request that cannot be classified counts as a first try;
- the longest remaining time seen: a request with clearly less remaining time counts as a retry;
- no detection: no request counts as a retry;
- exact knowledge, which no real entry has.

Each run begins with a period of low load, as on a fleet that was in use before its load rose.

"""

import math
import statistics
from collections import Counter
from enum import Enum
from functools import partial
from pathlib import Path
from typing import Final

from millfork_scheduling.first_tries import DEADLINE_TOLERANCE_MS, FirstTryDetector
from millfork_scheduling.server_table import ServerTable
from millfork_standins.bench.results import ExperimentResults
from millfork_standins.bench.routing import SHAPES, FleetShape, ModelRequest, RoutingModel

CALM_DURATION_S: Final = 9.0
# Load during the calm period, as a share of the capacity.
CALM_LOAD_FACTOR: Final = 0.5
LOADED_DURATION_S: Final = 9.0
LOAD_FACTORS: Final = (0.9, 1.2, 1.5)
# The shortest timeout of a caller, as a share of `USUAL_TIMEOUT_MS`: one value for each case.
MIN_TIMEOUT_SHARES: Final = (1.0, 0.85)
USUAL_TIMEOUT_MS: Final = 6000
SHIFTED: Final = FleetShape('shifted', 23, 12, 39, 3, (110, 0.7, 270), 8.87, 19_100, 450)


class DetectionMethod(Enum):
    """
    How an entry distinguishes a first try from a retry.

    """

    AS_BUILT = 'as built'
    LEARNED = 'learned times alone'
    LONGEST = 'longest time seen'
    NO_DETECTION = 'nobody returns'
    KNOWN = 'known'


class RetryDetectionModel(RoutingModel):
    """
    A run in which the timeout of each caller is drawn between `min_timeout_share` times
    `USUAL_TIMEOUT_MS` and `USUAL_TIMEOUT_MS`.

    """

    def __init__(
        self,
        shape: FleetShape,
        factor: float,
        seed: int,
        method: DetectionMethod,
        min_timeout_share: float,
    ) -> None:
        super().__init__(
            shape,
            ServerTable,
            shape.capacity * CALM_LOAD_FACTOR,
            seed,
            counted_from_s=CALM_DURATION_S,
        )
        self.method = method
        self.min_timeout_share = min_timeout_share
        self.first_tries = {table: FirstTryDetector() for table in self.tables}
        self.longest_remaining_ms: Counter[ServerTable] = Counter()
        # Number of requests by (is a retry, was classified as a retry).
        self.classifications: Counter[tuple[bool, bool]] = Counter()
        self.turned_away = 0
        # For each request that was created after the load rose and was answered or refused: its
        # number of prompt tokens, and whether it was answered.
        self.ended_requests: list[tuple[int, bool]] = []
        self.scheduler.schedule(
            CALM_DURATION_S, partial(setattr, self, 'requests_per_s', shape.capacity * factor)
        )

    def _request_timeout_ms(self) -> int:
        return int(
            USUAL_TIMEOUT_MS
            * (self.min_timeout_share + (1 - self.min_timeout_share) * self.random.random())
        )

    def _elapsed_ms(self, request: ModelRequest, table: ServerTable) -> int:
        true_elapsed_ms = super()._elapsed_ms(request, table)
        elapsed_ms = self._estimate_elapsed_ms(request, table, true_elapsed_ms)
        self.classifications[request.is_retry, elapsed_ms > DEADLINE_TOLERANCE_MS] += 1
        return elapsed_ms

    def _estimate_elapsed_ms(
        self, request: ModelRequest, table: ServerTable, true_elapsed_ms: int
    ) -> int:
        remaining_ms = request.timeout_ms - true_elapsed_ms
        if self.method is DetectionMethod.KNOWN:
            return true_elapsed_ms
        if self.method is DetectionMethod.NO_DETECTION:
            return 0
        if self.method is DetectionMethod.LONGEST:
            self.longest_remaining_ms[table] = max(self.longest_remaining_ms[table], remaining_ms)
            lost_ms = self.longest_remaining_ms[table] - remaining_ms
            return lost_ms if lost_ms > DEADLINE_TOLERANCE_MS else 0
        first_try = self.first_tries[table].estimate('r', remaining_ms, self.scheduler.now)
        if self.method is DetectionMethod.AS_BUILT and first_try.is_undecided:
            # Real entries look up whether the request was turned away in their zone. The model
            # assumes that this lookup is always right.
            return true_elapsed_ms
        return first_try.elapsed_ms

    def _record_turned_away(self, table: ServerTable) -> None:
        self.first_tries[table].record_turned_away(self.scheduler.now)
        self.turned_away += self.scheduler.now > CALM_DURATION_S

    def _count(self, request: ModelRequest, outcome: str) -> None:
        super()._count(request, outcome)
        if request.created_at > CALM_DURATION_S:
            self.ended_requests.append((request.prompt_tokens, outcome != 'refused'))

    def simulate(self) -> None:
        """
        Simulate the calm period, then the period under load.

        """
        self.run(CALM_DURATION_S + LOADED_DURATION_S)


def run(repetitions: int, quick: bool) -> Path:
    """
    Run the experiment with one seed for each repetition. Returns the path of the results file.

    """
    shapes = (SHIFTED,) if quick else (SHIFTED, *SHAPES[:1])
    results = ExperimentResults(
        'returning', {'seconds': LOADED_DURATION_S, 'repetitions': repetitions}
    )
    for shape in shapes:
        for min_timeout_share in MIN_TIMEOUT_SHARES:
            for factor in LOAD_FACTORS:
                for method in DetectionMethod:
                    _add_case(results, shape, min_timeout_share, factor, method, repetitions)
    return results.write()


def _add_case(
    results: ExperimentResults,
    shape: FleetShape,
    min_timeout_share: float,
    factor: float,
    method: DetectionMethod,
    repetitions: int,
) -> None:
    case = f'{shape.name}, {min_timeout_share:.2f}, {factor:.1f} x, {method.value}'
    baseline = (
        f'{shape.name}, {min_timeout_share:.2f}, {factor:.1f} x, {DetectionMethod.KNOWN.value}'
    )
    in_time = []
    for seed in range(repetitions):
        model = RetryDetectionModel(shape, factor, seed, method, min_timeout_share)
        model.simulate()
        in_time.append(model.outcomes.share('in time'))
        results.add(case, 'in_time', 'share', in_time[-1], baseline)
        results.add(case, 'late', 'share', model.outcomes.share('late'))
        results.add(case, 'refused', 'share', model.outcomes.share('refused'))
        results.add(
            case,
            'first_taken_for_return',
            'share',
            _classified_share(model.classifications, False, True),
        )
        results.add(
            case, 'return_missed', 'share', _classified_share(model.classifications, True, False)
        )
    results.add(case, 'in_time_mean', 'share', statistics.mean(in_time))
    if repetitions > 1:
        standard_error = statistics.stdev(in_time) / math.sqrt(repetitions)
        results.add(case, 'in_time_error', 'share', standard_error)


def _classified_share(
    classifications: Counter[tuple[bool, bool]], is_retry: bool, as_retry: bool
) -> float:
    total = classifications[is_retry, False] + classifications[is_retry, True]
    return classifications[is_retry, as_retry] / max(total, 1)
