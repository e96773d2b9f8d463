"""
Compares strategies with which entries keep to a rate limit that one back end announces for all
entries together.

The model draws at random which entry wants to send the next request. The demand of the entries is
uneven (the busiest entry has up to ten times the demand of the least busy one), and their total
demand is between half the limit and 20 times the limit. For each strategy and number of entries the
experiment reports the highest number of requests in any 4 s as a ratio to the allowed number, the
share of runs that exceed the allowed number, and the mean share of the limit that is used. For runs
with a total demand below the limit, the used share of the demand counts instead.

"""

import math
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Final, Protocol

from millfork_scheduling.limit_share import LimitShare
from millfork_standins.bench.results import ExperimentResults

ENTRY_COUNTS: Final = (1, 6, 98, 380)
LIMITS_PER_S: Final = (0.5, 1.0, 1.8, 5.0, 20.0)
# Total demand of all entries as a multiple of the limit.
DEMAND_FACTORS: Final = (0.5, 2.0, 20.0)
DURATION_S: Final = 60.0
STEP_S: Final = 0.02
WINDOW_S: Final = 4.0
# `max_in_window` ignores requests sent in these first seconds of a run, as entries need time to
# apply the limit.
COUNTED_FROM_S: Final = 3.0
# Natural logarithm of the highest possible ratio between the demands of two entries.
DEMAND_SPREAD: Final = 2.3
SEED_COUNT: Final = 20
# Shortest time after which `DemandShares` recomputes the shares from the demand of the entries.
DEMAND_UPDATE_INTERVAL_S: Final = 0.5


def allowed_in_window(limit_per_s: float) -> float:
    """
    The highest number of requests in any 4 s that a back end with this limit tolerates.

    """
    return 1.5 * limit_per_s * WINDOW_S + 5


class LimitStrategy(Protocol):
    """
    Decides which requests are sent under a rate limit.

    """

    def may_send(self, entry: int, now: float) -> bool:
        """
        Whether an entry may send a request now. If so, the request is counted as sent.

        """


class EqualBuckets:
    """
    A token bucket for each entry, with an equal share of the limit and one token at the start.

    """

    def __init__(self, limit_per_s: float, entries: int, random: Random) -> None:
        self.rate_per_s = limit_per_s / entries
        self.tokens = [1.0] * entries
        self.updated_at = [0.0] * entries

    def may_send(self, entry: int, now: float) -> bool:
        refilled = self.tokens[entry] + (now - self.updated_at[entry]) * self.rate_per_s
        self.tokens[entry] = min(refilled, max(self.rate_per_s, 1.0))
        self.updated_at[entry] = now
        if self.tokens[entry] < 1:
            return False
        self.tokens[entry] -= 1
        return True


class LimitShares:
    """
    The strategy of the real entries: one `LimitShare` for each entry.

    """

    def __init__(self, limit_per_s: float, entries: int, random: Random) -> None:
        self.entries = entries
        self.shares = [LimitShare(random, limit_per_s, 0.0) for _ in range(entries)]

    def may_send(self, entry: int, now: float) -> bool:
        return self.shares[entry].consume(now, self.entries)


class CentralBucket:
    """
    A single token bucket in one process, which all entries query before each request.

    """

    def __init__(self, limit_per_s: float, entries: int, random: Random) -> None:
        self.bucket = EqualBuckets(limit_per_s, 1, random)

    def may_send(self, entry: int, now: float) -> bool:
        return self.bucket.may_send(0, now)


class DemandShares:
    """
    A token bucket for each entry, with a share of the limit in proportion to the recent demand of
    that entry. A request recomputes all shares if `DEMAND_UPDATE_INTERVAL_S` has passed since they
    were last computed.

    """

    def __init__(self, limit_per_s: float, entries: int, random: Random) -> None:
        self.limit_per_s = limit_per_s
        self.demands = [1.0] * entries
        self.shares = [1 / entries] * entries
        self.tokens = [0.0] * entries
        self.updated_at = [0.0] * entries
        self.shares_updated_at = 0.0

    def may_send(self, entry: int, now: float) -> bool:
        self.demands[entry] += 1
        if now - self.shares_updated_at > DEMAND_UPDATE_INTERVAL_S:
            total = sum(self.demands)
            self.shares = [demand / total for demand in self.demands]
            self.demands = [demand / 2 + 0.01 for demand in self.demands]
            self.shares_updated_at = now
        rate_per_s = self.limit_per_s * self.shares[entry]
        refilled = self.tokens[entry] + (now - self.updated_at[entry]) * rate_per_s
        self.tokens[entry] = min(refilled, max(rate_per_s, 1.0))
        self.updated_at[entry] = now
        if self.tokens[entry] < 1:
            return False
        self.tokens[entry] -= 1
        return True


STRATEGIES: Final[dict[str, Callable[[float, int, Random], LimitStrategy]]] = {
    'buckets': EqualBuckets,
    'shares': LimitShares,
    'owner': CentralBucket,
    'followed': DemandShares,
}


def simulate_sends(
    strategy: LimitStrategy, limit_per_s: float, entries: int, demand: float, random: Random
) -> list[float]:
    """
    Simulate a total demand of `demand` times the limit. Returns the times at which entries sent
    requests, in seconds.

    """
    weights = [math.exp(random.random() * DEMAND_SPREAD) for _ in range(entries)]
    requests_per_step = limit_per_s * demand * STEP_S
    sent_at = []
    for step in range(int(DURATION_S / STEP_S)):
        now = step * STEP_S
        count = int(requests_per_step) + (random.random() < requests_per_step % 1)
        for entry in random.choices(range(entries), weights, k=count):
            if strategy.may_send(entry, now):
                sent_at.append(now)
    return sent_at


def max_in_window(sent_at: list[float]) -> int:
    """
    The highest number of requests sent in any window of `WINDOW_S`, ignoring those sent before
    `COUNTED_FROM_S`.

    """
    counted_times = [at for at in sent_at if at >= COUNTED_FROM_S]
    highest, window_start = 0, 0
    for last, at in enumerate(counted_times):
        while counted_times[window_start] <= at - WINDOW_S:
            window_start += 1
        highest = max(highest, last - window_start + 1)
    return highest


def run(repetitions: int, quick: bool) -> Path:
    """
    Run the experiment. `repetitions` is ignored: each case runs with `SEED_COUNT` seeds, or with 2
    if `quick` is set. Returns the path of the results file.

    """
    seeds = 2 if quick else SEED_COUNT
    results = ExperimentResults(
        'limit-shares', {'seconds': DURATION_S, 'seeds': seeds, 'demands': DEMAND_FACTORS}
    )
    for entries in ENTRY_COUNTS:
        for name, make_strategy in STRATEGIES.items():
            runs_over, runs, used_shares = 0, 0, []
            highest_ratio = 0.0
            for limit in LIMITS_PER_S:
                for demand in DEMAND_FACTORS:
                    for seed in range(seeds):
                        random = Random(f'{entries} {limit} {demand} {seed}')
                        sent_at = simulate_sends(
                            make_strategy(limit, entries, random), limit, entries, demand, random
                        )
                        ratio = max_in_window(sent_at) / allowed_in_window(limit)
                        highest_ratio = max(highest_ratio, ratio)
                        runs_over += ratio > 1
                        runs += 1
                        used_shares.append(len(sent_at) / (DURATION_S * limit * min(demand, 1.0)))
            case = f'{entries} entries, {name}'
            results.add(case, 'most in 4 s', 'of allowed', highest_ratio)
            results.add(case, 'plays over', 'share', runs_over / runs)
            results.add(case, 'used', 'of limit', sum(used_shares) / len(used_shares))
    return results.write()
