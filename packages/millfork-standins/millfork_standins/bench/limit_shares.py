"""
Ways to keep to a limit that one back end names for all entries together.

A model of the requests that entries would send there: callers are uneven (the busiest entry
has some ten times the least), and ask for more than the limit by a factor. Of each way: the
most requests in any 4 s against what is allowed, and the share of the limit that was used.

"""

import math
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Final, Protocol

from millfork_scheduling.limit_share import LimitShare
from millfork_standins.bench.rows import Sheet

ENTRIES: Final = (1, 6, 98, 380)
LIMITS: Final = (0.5, 1.0, 1.8, 5.0, 20.0)
# Requests that callers have for the back end, against its limit.
DEMANDS: Final = (0.5, 2.0, 20.0)
SECONDS: Final = 60.0
STEP_S: Final = 0.02
WINDOW_S: Final = 4.0
# As a back end counts them only once its word had time to be heeded.
COUNTED_AFTER_S: Final = 3.0
UNEVENNESS: Final = 2.3
SEEDS: Final = 20
# How late the owner of a limit knows what entries asked for.
FOLLOWED_AFTER_S: Final = 0.5


def allowed(limit_per_s: float) -> float:
    """
    The requests in 4 s that a back end puts up with.

    """
    return 1.5 * limit_per_s * WINDOW_S + 5


class Way(Protocol):
    """
    One way to keep to a limit.

    """

    def may_send(self, entry: int, now: float) -> bool:
        """
        Whether an entry may send a request at this moment.

        """


class Buckets:
    """
    A token bucket for each entry with an equal share, which begins full with one.

    """

    def __init__(self, limit_per_s: float, entries: int, random: Random) -> None:
        self.rate = limit_per_s / entries
        self.saved = [1.0] * entries
        self.at = [0.0] * entries

    def may_send(self, entry: int, now: float) -> bool:
        grown = self.saved[entry] + (now - self.at[entry]) * self.rate
        self.saved[entry] = min(grown, max(self.rate, 1.0))
        self.at[entry] = now
        if self.saved[entry] < 1:
            return False
        self.saved[entry] -= 1
        return True


class Shares:
    """
    The project's: `LimitShare`.

    """

    def __init__(self, limit_per_s: float, entries: int, random: Random) -> None:
        self.entries = entries
        self.shares = [LimitShare(random, limit_per_s, 0.0) for _ in range(entries)]

    def may_send(self, entry: int, now: float) -> bool:
        return self.shares[entry].consume(now, self.entries)


class Owner:
    """
    One process that is asked before each request, with one bucket for all entries.

    """

    def __init__(self, limit_per_s: float, entries: int, random: Random) -> None:
        self.bucket = Buckets(limit_per_s, 1, random)

    def may_send(self, entry: int, now: float) -> bool:
        return self.bucket.may_send(0, now)


class Followed:
    """
    Shares that follow what each entry asked for, as told a moment later; buckets of one.

    """

    def __init__(self, limit_per_s: float, entries: int, random: Random) -> None:
        self.limit_per_s = limit_per_s
        self.asked = [1.0] * entries
        self.shares = [1 / entries] * entries
        self.saved = [0.0] * entries
        self.at = [0.0] * entries
        self.told_at = 0.0

    def may_send(self, entry: int, now: float) -> bool:
        self.asked[entry] += 1
        if now - self.told_at > FOLLOWED_AFTER_S:
            total = sum(self.asked)
            self.shares = [asked / total for asked in self.asked]
            self.asked = [asked / 2 + 0.01 for asked in self.asked]
            self.told_at = now
        rate = self.limit_per_s * self.shares[entry]
        grown = self.saved[entry] + (now - self.at[entry]) * rate
        self.saved[entry] = min(grown, max(rate, 1.0))
        self.at[entry] = now
        if self.saved[entry] < 1:
            return False
        self.saved[entry] -= 1
        return True


WAYS: Final[dict[str, Callable[[float, int, Random], Way]]] = {
    'buckets': Buckets,
    'shares': Shares,
    'owner': Owner,
    'followed': Followed,
}


def play(way: Way, limit_per_s: float, entries: int, demand: float, random: Random) -> list[float]:
    """
    When requests were sent, in seconds.

    """
    weights = [math.exp(random.random() * UNEVENNESS) for _ in range(entries)]
    per_step = limit_per_s * demand * STEP_S
    sent = []
    for step in range(int(SECONDS / STEP_S)):
        now = step * STEP_S
        count = int(per_step) + (random.random() < per_step % 1)
        for entry in random.choices(range(entries), weights, k=count):
            if way.may_send(entry, now):
                sent.append(now)
    return sent


def most_in_window(sent: list[float]) -> int:
    """
    The most requests in any window, once the word had time to be heeded.

    """
    counted = [at for at in sent if at >= COUNTED_AFTER_S]
    most, first = 0, 0
    for last, at in enumerate(counted):
        while counted[first] <= at - WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


def run(repetitions: int, quick: bool) -> Path:
    """
    The experiment, on so many seeds each.

    """
    seeds = 2 if quick else SEEDS
    sheet = Sheet('limit-shares', {'seconds': SECONDS, 'seeds': seeds, 'demands': DEMANDS})
    for entries in ENTRIES:
        for name, make in WAYS.items():
            over, plays, used = 0, 0, []
            worst = 0.0
            for limit in LIMITS:
                for demand in DEMANDS:
                    for seed in range(seeds):
                        random = Random(f'{entries} {limit} {demand} {seed}')
                        sent = play(make(limit, entries, random), limit, entries, demand, random)
                        ratio = most_in_window(sent) / allowed(limit)
                        worst = max(worst, ratio)
                        over += ratio > 1
                        plays += 1
                        used.append(len(sent) / (SECONDS * limit * min(demand, 1.0)))
            case = f'{entries} entries, {name}'
            sheet.add(case, 'most in 4 s', 'of allowed', worst)
            sheet.add(case, 'plays over', 'share', over / plays)
            sheet.add(case, 'used', 'of limit', sum(used) / len(used))
    return sheet.write()
