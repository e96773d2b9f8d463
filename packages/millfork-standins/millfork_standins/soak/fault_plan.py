"""
Draws the faults of a run and their times from a seed.

"""

from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Final

# The longest time between the starts of two faults, and the longest duration of a fault. On
# average, faults last longer than the time between their starts, so that faults overlap.
MAX_GAP_S: Final = 1.2
MAX_DURATION_S: Final = 4.0
# The shortest time between two losses of a disk. The fleet tolerates the loss of one disk at a
# time, so the replica that lost its disk must be able to catch up before the next loss.
MIN_DISK_LOSS_GAP_S: Final = 15.0


class FaultKind(Enum):
    """
    A fault of a process, or of the link to a back end. `STOP` ends a process by SIGTERM, `PAUSE`
    suspends it by SIGSTOP, `RELOAD` sends SIGHUP. With `FULL_DISK`, writes of a process fail.
    `SILENCE` holds back all bytes of a link, `ONE_WAY` only the answers.

    """

    KILL = 'kill'
    STOP = 'stop'
    PAUSE = 'pause'
    RELOAD = 'reload'
    LOSE_DISK = 'lose_disk'
    FULL_DISK = 'full_disk'
    DELAY = 'delay'
    RESET = 'reset'
    SILENCE = 'silence'
    ONE_WAY = 'one_way'


PROCESS_FAULTS: Final = (FaultKind.KILL, FaultKind.STOP, FaultKind.PAUSE, FaultKind.RELOAD)
REPLICA_FAULTS: Final = (*PROCESS_FAULTS, FaultKind.LOSE_DISK, FaultKind.FULL_DISK)
LINK_FAULTS: Final = (FaultKind.DELAY, FaultKind.RESET, FaultKind.SILENCE, FaultKind.ONE_WAY)


@dataclass(frozen=True, slots=True)
class Fault:
    """
    One fault, `at_s` after the start of the run. `target` is the host of a process or the
    number of a link; `duration_s` is not used with `RELOAD` and `RESET`.

    """

    at_s: float
    duration_s: float
    kind: FaultKind
    target: str


def plan_faults(
    seed: int, seconds: float, replicas: list[str], entries: list[str], links: int
) -> list[Fault]:
    """
    Return the faults of a run in the order of their times.

    """
    random = Random(seed)
    faults: list[Fault] = []
    at_s = 0.0
    next_disk_loss_s = 0.0
    while True:
        at_s += random.uniform(0.0, MAX_GAP_S)
        if at_s >= seconds:
            return faults
        target = random.choice([*replicas, *entries, *map(str, range(links))])
        kinds: tuple[FaultKind, ...] = LINK_FAULTS
        if target in replicas:
            kinds = REPLICA_FAULTS
        if target in entries:
            kinds = PROCESS_FAULTS
        kind = random.choice(kinds)
        if kind is FaultKind.LOSE_DISK:
            if at_s < next_disk_loss_s:
                continue
            next_disk_loss_s = at_s + MIN_DISK_LOSS_GAP_S
        faults.append(Fault(at_s, random.uniform(0.1, MAX_DURATION_S), kind, target))
