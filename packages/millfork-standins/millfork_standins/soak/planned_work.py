"""
Draws from a seed what happens in a run besides faults: planned work and pauses of back ends, none
of which may cost a caller an answer.

Both have their own random generators, so that a seed gives the same faults with and without them.

"""

from dataclasses import dataclass
from random import Random
from typing import Final

from millfork_standins.soak.fault_plan import Fault, FaultKind

# The longest time between two items of planned work. A planned stop takes seconds, so that the
# work on several hosts overlaps.
MAX_WORK_GAP_S: Final = 0.5
MAX_DOWNTIME_S: Final = 1.0
# The platform's rules do not count a pause of a second or so of a sound back end as a fault.
MAX_PAUSE_S: Final = 2.0
MIN_PAUSE_S: Final = 0.1
MAX_PAUSE_GAP_S: Final = 2.0
# The shortest time for which a back end works between two pauses.
MIN_WORK_S: Final = 0.5

# The kinds of fault that are planned work. They excuse no lost request.
PLANNED_KINDS: Final = frozenset({FaultKind.STOP, FaultKind.RELOAD})


@dataclass(frozen=True, slots=True)
class Pause:
    """
    Some back ends fall silent together, `at_s` after the start of the run, and go on.

    """

    at_s: float
    duration_s: float
    back_ends: tuple[int, ...]


def plan_pauses(seed: int, seconds: float, back_ends: int) -> list[Pause]:
    """
    Return the pauses of a run in the order of their times. Pauses of one back end do not overlap.

    """
    random = Random(f'pauses {seed}')
    pauses: list[Pause] = []
    works_until = [0.0] * back_ends
    at_s = 0.0
    while True:
        at_s += random.uniform(0.0, MAX_PAUSE_GAP_S)
        if at_s >= seconds:
            return pauses
        drawn = random.sample(range(back_ends), random.randint(1, back_ends))
        paused = tuple(number for number in drawn if works_until[number] <= at_s)
        duration_s = random.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
        if not paused:
            continue
        for number in paused:
            works_until[number] = at_s + duration_s + MIN_WORK_S
        pauses.append(Pause(at_s, duration_s, paused))


def plan_work(seed: int, seconds: float, replicas: list[str], entries: list[str]) -> list[Fault]:
    """
    Return planned stops and reloads in the order of their times. Half of them are of entries.

    """
    random = Random(f'planned work {seed}')
    work: list[Fault] = []
    at_s = 0.0
    while True:
        at_s += random.uniform(0.0, MAX_WORK_GAP_S)
        if at_s >= seconds:
            return work
        target = random.choice(random.choice([replicas, entries]))
        kind = random.choice((FaultKind.STOP, FaultKind.RELOAD))
        work.append(Fault(at_s, random.uniform(0.1, MAX_DOWNTIME_S), kind, target))
