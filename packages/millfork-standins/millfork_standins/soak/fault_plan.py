"""
Which faults come when, by seed.

"""

from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Final

# Faults come closer together than they last, so that they overlap.
MAX_GAP_S: Final = 1.2
MAX_DURATION_S: Final = 4.0
# A second disk is lost only once the first replica has caught up; the fleet bears
# the loss of one.
MIN_DISK_LOSS_GAP_S: Final = 15.0


class FaultKind(Enum):
    """
    What is done to a process, or to the link before a back end.

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
    One fault: seconds from the begin, how long, and the host (of a process) or
    the number (of a link) that it strikes.

    """

    at_s: float
    duration_s: float
    kind: FaultKind
    target: str


def plan_faults(
    seed: int, seconds: float, replicas: list[str], entries: list[str], links: int
) -> list[Fault]:
    """
    The faults of a run, in order.

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
