"""
Telling who comes back: callers that begin with different times, under lasting load.

The ways are compared on the model of routing: as built (the times that first tries come
with, and what the zone's entries remember), by the longest time seen, by the learned times
alone, nobody, and with knowledge that no entry has. A calm stretch comes first, as on a
fleet that was in use before its load rose.

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
from millfork_standins.bench.routing import SHAPES, Asked, FleetShape, RoutingModel
from millfork_standins.bench.rows import Sheet

CALM_S: Final = 9.0
# Of what the engines carry, what is asked of them meanwhile.
CALM_FACTOR: Final = 0.5
LOADED_S: Final = 9.0
FACTORS: Final = (0.9, 1.2, 1.5)
# The least part of the usual time that a caller gives.
SPREADS: Final = (1.0, 0.85)
USUAL_MS: Final = 6000
SHIFTED: Final = FleetShape('shifted', 23, 12, 39, 3, (110, 0.7, 270), 8.87, 19_100, 450)


class Way(Enum):
    """
    How an entry tells a first try from a return.

    """

    BUILT = 'as built'
    LEARNED = 'learned times alone'
    LONGEST = 'longest time seen'
    NOBODY = 'nobody returns'
    KNOWN = 'known'


class ReturningModel(RoutingModel):
    """
    A run whose callers give between `least` and all of the usual time.

    """

    def __init__(self, shape: FleetShape, factor: float, seed: int, way: Way, least: float) -> None:
        super().__init__(
            shape, ServerTable, shape.capacity * CALM_FACTOR, seed, counted_from_s=CALM_S
        )
        self.way = way
        self.least = least
        self.first_tries = {book: FirstTryDetector() for book in self.books}
        self.longest: Counter[ServerTable] = Counter()
        # What first tries (False) and returns (True) were taken for.
        self.taken: Counter[tuple[bool, bool]] = Counter()
        self.turned_away = 0
        # The prompts of requests that ended, and whether they were answered.
        self.answered: list[tuple[int, bool]] = []
        self.agenda.after(CALM_S, partial(setattr, self, 'rate', shape.capacity * factor))

    def _time_given(self) -> int:
        return int(USUAL_MS * (self.least + (1 - self.least) * self.random.random()))

    def _elapsed_ms(self, asked: Asked, book: ServerTable) -> int:
        truth = super()._elapsed_ms(asked, book)
        found = self._judged(asked, book, truth)
        self.taken[asked.returning, found > DEADLINE_TOLERANCE_MS] += 1
        return found

    def _judged(self, asked: Asked, book: ServerTable, truth: int) -> int:
        left_ms = asked.time_ms - truth
        if self.way is Way.KNOWN:
            return truth
        if self.way is Way.NOBODY:
            return 0
        if self.way is Way.LONGEST:
            self.longest[book] = max(self.longest[book], left_ms)
            lost_ms = self.longest[book] - left_ms
            return lost_ms if lost_ms > DEADLINE_TOLERANCE_MS else 0
        judgement = self.first_tries[book].judge('r', left_ms, self.agenda.now)
        if self.way is Way.BUILT and judgement.is_undecided:
            # What the zone remembers.
            return truth
        return judgement.elapsed_ms

    def _note_turned_away(self, book: ServerTable) -> None:
        self.first_tries[book].note_turned_away(self.agenda.now)
        self.turned_away += self.agenda.now > CALM_S

    def _count(self, asked: Asked, outcome: str) -> None:
        super()._count(asked, outcome)
        if asked.at > CALM_S:
            self.answered.append((asked.prompt, outcome != 'refused'))

    def play(self) -> None:
        """
        The calm stretch, then the load.

        """
        self.run(CALM_S + LOADED_S)


def run(repetitions: int, quick: bool) -> Path:
    """
    The experiment.

    """
    shapes = (SHIFTED,) if quick else (SHIFTED, *SHAPES[:1])
    sheet = Sheet('returning', {'seconds': LOADED_S, 'repetitions': repetitions})
    for shape in shapes:
        for least in SPREADS:
            for factor in FACTORS:
                for way in Way:
                    _add(sheet, shape, least, factor, way, repetitions)
    return sheet.write()


def _add(
    sheet: Sheet, shape: FleetShape, least: float, factor: float, way: Way, repetitions: int
) -> None:
    case = f'{shape.name}, {least:.2f}, {factor:.1f} x, {way.value}'
    baseline = f'{shape.name}, {least:.2f}, {factor:.1f} x, {Way.KNOWN.value}'
    in_time = []
    for seed in range(repetitions):
        model = ReturningModel(shape, factor, seed, way, least)
        model.play()
        in_time.append(model.outcomes.share('in time'))
        sheet.add(case, 'in_time', 'share', in_time[-1], baseline)
        sheet.add(case, 'late', 'share', model.outcomes.share('late'))
        sheet.add(case, 'refused', 'share', model.outcomes.share('refused'))
        sheet.add(case, 'first_taken_for_return', 'share', _share(model.taken, False, True))
        sheet.add(case, 'return_missed', 'share', _share(model.taken, True, False))
    sheet.add(case, 'in_time_mean', 'share', statistics.mean(in_time))
    if repetitions > 1:
        error = statistics.stdev(in_time) / math.sqrt(repetitions)
        sheet.add(case, 'in_time_error', 'share', error)


def _share(taken: Counter[tuple[bool, bool]], returning: bool, as_return: bool) -> float:
    all_of_them = taken[returning, False] + taken[returning, True]
    return taken[returning, as_return] / max(all_of_them, 1)
