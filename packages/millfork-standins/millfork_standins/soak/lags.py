"""
Lets replicas lag at times drawn from a seed: one is ended or suspended for long while changes go
on, and returns. Often another one then loses its disk, so that the one that lagged is needed.

The lags have their own random generator, so that a seed gives the same faults with and without
them.

"""

import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from functools import partial
from random import Random
from typing import Final

from millfork_standins.soak.added_routes import RouteOperator
from millfork_standins.soak.checks import Period
from millfork_standins.soak.fault_plan import Fault, FaultKind
from millfork_standins.soak.planned_work import PLANNED_KINDS
from millfork_standins.soak.process_faults import POLL_INTERVAL_S, ProcessFaults, wait_until
from millfork_standins.soak.replacements import CATCH_UP_S

MAX_GAP_S: Final = 4.0
MIN_LAG_S: Final = 4.0
MAX_LAG_S: Final = 14.0
LAG_KINDS: Final = (FaultKind.KILL, FaultKind.STOP, FaultKind.PAUSE)
# A replica that lags misses at least this many changes, unless they take too long.
MIN_CHANGES: Final = 20
MAX_CHANGES: Final = 150
MAX_WAIT_FOR_CHANGES_S: Final = 20.0
DISK_LOSS_SHARE: Final = 0.6
# The range of the time between the end of the time to catch up and the loss of another disk.
DISK_LOSS_DELAYS_S: Final = (0.0, 1.0)
DISK_LOSS_DOWN_S: Final = (0.1, 2.0)
# A lag or a loss is left out if another fault of the replica or another disk is in its way longer.
CLAIM_TIMEOUT_S: Final = 10.0
DISK_LOSS_CLAIM_TIMEOUT_S: Final = 2.0
# Other faults come in series between pauses, in which nothing but lags disturbs the replicas.
SERIES_S: Final = (4.0, 10.0)
PAUSE_S: Final = (8.0, 12.0)


@dataclass(frozen=True, slots=True)
class DiskLoss:
    """
    The replica that holds the place `number` loses its disk `after_s` after another one has
    returned, and is back `down_s` later.

    """

    after_s: float
    down_s: float
    number: int


@dataclass(frozen=True, slots=True)
class Lag:
    """
    The replica that holds the place `number` of the first ones is away for `duration_s`, from
    `after_s` after the end of the previous lag, and until there have been `changes` meanwhile.

    """

    after_s: float
    duration_s: float
    kind: FaultKind
    number: int
    changes: int
    disk_loss: DiskLoss | None


def plan_lags(seed: int, seconds: float, replicas: int) -> list[Lag]:
    """
    Return the lags of a run in their order; the last one begins within `seconds`.

    """
    random = Random(f'lags {seed}')
    lags: list[Lag] = []
    at_s = 0.0
    while True:
        after_s = random.uniform(0.0, MAX_GAP_S)
        at_s += after_s
        if at_s >= seconds:
            return lags
        duration_s = random.uniform(MIN_LAG_S, MAX_LAG_S)
        number = random.randrange(replicas)
        at_s += duration_s
        disk_loss = None
        if replicas > 1 and random.random() < DISK_LOSS_SHARE:
            disk_loss = DiskLoss(
                CATCH_UP_S + random.uniform(*DISK_LOSS_DELAYS_S),
                random.uniform(*DISK_LOSS_DOWN_S),
                (number + random.randrange(1, replicas)) % replicas,
            )
            at_s += disk_loss.after_s + disk_loss.down_s
        kind = random.choice(LAG_KINDS)
        changes = random.randint(MIN_CHANGES, MAX_CHANGES)
        lags.append(Lag(after_s, duration_s, kind, number, changes, disk_loss))


def plan_pauses_of_faults(seed: int, seconds: float) -> list[tuple[float, float]]:
    """
    Return the times, in seconds after the start of the faults, between which none is in progress.

    """
    random = Random(f'pauses of faults {seed}')
    pauses: list[tuple[float, float]] = []
    at_s = 0.0
    while True:
        at_s += random.uniform(*SERIES_S)
        if at_s >= seconds:
            return pauses
        pauses.append((at_s, at_s + random.uniform(*PAUSE_S)))
        at_s = pauses[-1][1]


def in_series(faults: Sequence[Fault], pauses: Sequence[tuple[float, float]]) -> list[Fault]:
    """
    Return the faults that are not in progress within a pause.

    """
    return [
        fault
        for fault in faults
        if not any(
            fault.at_s < pause_end and pause_begin < fault.at_s + fault.duration_s
            for pause_begin, pause_end in pauses
        )
    ]


class LagInjector:
    """
    Injects the lags of a seed, one after another. `current_host` returns the host of the replica
    that holds the place of one of the first replicas.

    """

    def __init__(
        self,
        processes: ProcessFaults,
        operator: RouteOperator,
        seed: int,
        seconds: float,
        current_host: Callable[[str], str],
    ) -> None:
        self.processes = processes
        self.operator = operator
        self.first_hosts = processes.fleet.replica_hosts
        self.planned = plan_lags(seed, seconds, len(self.first_hosts))
        self.current_host = current_host
        # The lags and the losses of disks that took place, and those of both that were not planned
        # stops.
        self.lags: list[Period] = []
        self.disk_losses: list[Period] = []
        self.unplanned: list[Period] = []
        # No lag begins once this is set.
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def finish(self) -> None:
        """
        Begin no further lag, and wait for the one in progress.

        """
        self.ended.set()
        self.thread.join()

    def _run(self) -> None:
        for lag in self.planned:
            if self.ended.wait(lag.after_s):
                return
            away = Fault(0.0, lag.duration_s, lag.kind, self.first_hosts[lag.number])
            period = self._inject(
                away, CLAIM_TIMEOUT_S, partial(self._wait_for_changes, lag.changes)
            )
            if period is None:
                continue
            self.lags.append(period)
            if lag.disk_loss is None:
                continue
            time.sleep(lag.disk_loss.after_s)
            first_host = self.first_hosts[lag.disk_loss.number]
            loss = Fault(0.0, lag.disk_loss.down_s, FaultKind.LOSE_DISK, first_host)
            loss_period = self._inject(loss, DISK_LOSS_CLAIM_TIMEOUT_S)
            if loss_period is not None:
                self.disk_losses.append(loss_period)

    def _wait_for_changes(self, changes: int, seconds: float) -> None:
        acknowledged_before = len(self.operator.acknowledged_at)
        self.operator.has_storm = True
        try:
            time.sleep(seconds)
            wait_until(
                lambda: len(self.operator.acknowledged_at) - acknowledged_before >= changes,
                MAX_WAIT_FOR_CHANGES_S,
            )
        finally:
            self.operator.has_storm = False

    def _inject(
        self,
        fault: Fault,
        claim_timeout_s: float,
        wait: Callable[[float], None] = time.sleep,
    ) -> Period | None:
        """
        Inject a fault at the replica that now holds the place of the fault's target. A replica
        that lags counts as lost until it has had the time to catch up, so that no other one may
        lose its disk before.

        """
        claimed: list[str] = []

        def claim() -> bool:
            host = self.current_host(fault.target)
            if self.processes.claim_disk(host):
                claimed.append(host)
            return bool(claimed)

        if not wait_until(claim, claim_timeout_s):
            return None
        host = claimed[0]
        began_at = time.monotonic()
        try:
            self.processes.inject(replace(fault, target=host), wait)
        finally:
            self.processes.release_disk(host)
        period = Period(host, began_at, time.monotonic())
        if fault.kind not in PLANNED_KINDS:
            self.unplanned.append(period)
        return period


def wait_for_claim(claim: Callable[[str], bool], ended: threading.Event) -> Callable[[str], bool]:
    """
    Return a function that claims a host as soon as it is possible, or returns False once `ended`
    is set and it is not.

    """

    def claim_in_time(host: str) -> bool:
        while not claim(host):
            if ended.wait(POLL_INTERVAL_S):
                return claim(host)
        return True

    return claim_in_time
