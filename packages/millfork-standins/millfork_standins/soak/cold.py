"""
Makes back ends cold at times drawn from a seed, and checks that they get few requests meanwhile.

The periods of coldness have their own random generator, so that a seed gives the same faults with
and without them.

"""

import threading
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from random import Random
from typing import Final

from millfork_routing.documents import Service
from millfork_standins.soak.back_end import MAX_COLD_S, MIN_COLD_S, SoakBackEnd
from millfork_standins.soak.callers import MAX_CONNECTIONS, SERVICE
from millfork_standins.soak.checks import Period
from millfork_standins.soak.fleet import SoakFleet

COLD_START_S: Final = 3.0
# All below the rate at which the callers of a run send to each of its back ends.
COLD_PER_S_CHOICES: Final = (1.0, 2.0, 3.0)
COLD_OVER: Final = 1.5
COLD_SLACK: Final = 2.0
WINDOW_S: Final = 1.0
# All entries know of an acknowledged heartbeat within this time while no replica or entry fails.
KNOWN_AFTER_S: Final = 1.5
# Requests that a link delayed arrive within this time after its fault.
LINK_DRAIN_S: Final = 0.5
MAX_GAP_S: Final = 8.0


@dataclass(frozen=True, slots=True)
class PlannedColdness:
    """
    One back end becomes cold, `at_s` after the start of the run.

    """

    at_s: float
    duration_s: float
    back_end: int


def plan_coldness(seed: int, seconds: float, back_ends: int) -> list[PlannedColdness]:
    """
    Return the periods of coldness in the order of their times; those of one back end do not
    overlap.

    """
    random = Random(f'cold {seed}')
    planned: list[PlannedColdness] = []
    warm_at = [0.0] * back_ends
    at_s = 0.0
    while True:
        at_s += random.uniform(0.0, MAX_GAP_S)
        if at_s >= seconds:
            return planned
        back_end = random.randrange(back_ends)
        duration_s = random.uniform(MIN_COLD_S, MAX_COLD_S)
        if at_s < warm_at[back_end]:
            continue
        warm_at[back_end] = at_s + duration_s
        planned.append(PlannedColdness(at_s, duration_s, back_end))


class ColdBackEnds:
    """
    Makes back ends of a fleet cold as planned for a seed, after starts and while they work.

    """

    def __init__(self, fleet: SoakFleet, seed: int, seconds: float, stop: threading.Event) -> None:
        self.fleet = fleet
        fleet.bounds.update(cold_over=COLD_OVER, cold_slack=COLD_SLACK)
        fleet.cold_seed = seed
        self.cold_requests_per_s = Random(f'cold rate {seed}').choice(COLD_PER_S_CHOICES)
        self.service = Service(
            SERVICE,
            MAX_CONNECTIONS,
            usual_cold_s=COLD_START_S,
            cold_requests_per_s=self.cold_requests_per_s,
        )
        self.seed = seed
        self.seconds = seconds
        self.stop = stop
        # How many requests back ends got while all entries could know that they are cold.
        self.checked_requests = 0
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _run(self) -> None:
        started_at = time.monotonic()
        back_ends = list(self.fleet.plain_back_ends)
        for planned in plan_coldness(self.seed, self.seconds, len(back_ends)):
            if self.stop.wait(max(started_at + planned.at_s - time.monotonic(), 0.0)):
                return
            back_end = back_ends[planned.back_end]
            cold_until = time.monotonic() + planned.duration_s
            back_end.cold_until = max(back_end.cold_until, cold_until)

    def find_violations(
        self, faults: Sequence[Period], link_faults: Mapping[str, Sequence[Period]]
    ) -> list[str]:
        self.checked_requests = sum(
            len(arrivals)
            for back_end in self.fleet.plain_back_ends
            for arrivals in known_cold_arrivals(back_end, faults)
        )
        max_requests = self.cold_requests_per_s * COLD_OVER + COLD_SLACK
        return find_exceeded_coldness(self.fleet.plain_back_ends, max_requests, faults, link_faults)


def known_at(acknowledged_at: float, faults: Sequence[Period]) -> float:
    """
    The time at which all entries can know of a heartbeat that was acknowledged: the end of the
    first `KNOWN_AFTER_S` without a fault of a replica or an entry (`faults`).

    """
    free_since = acknowledged_at
    for fault in sorted(faults, key=lambda fault: fault.began_at):
        if fault.ended_at > free_since and fault.began_at < free_since + KNOWN_AFTER_S:
            free_since = fault.ended_at
    return free_since + KNOWN_AFTER_S


def known_cold_arrivals(back_end: SoakBackEnd, faults: Sequence[Period]) -> list[list[float]]:
    """
    For each period of coldness of a back end, the arrival times of the requests from the time at
    which all entries can know of it until its end. `faults` are those of replicas and entries.

    """
    return [
        [at for _, at in list(back_end.arrivals) if known_at(told_at, faults) <= at <= cold_until]
        for cold_until, told_at in back_end.cold_acknowledged_at.items()
    ]


def find_exceeded_coldness(
    back_ends: Sequence[SoakBackEnd],
    max_requests: float,
    faults: Sequence[Period],
    link_faults: Mapping[str, Sequence[Period]],
) -> list[str]:
    """
    Describe each period of coldness in which a back end got more than `max_requests` within a
    second. `faults` are those of replicas and entries, `link_faults` those of the links to back
    ends, by instance, which make requests arrive together that were sent apart.

    """
    violations = []
    for back_end in back_ends:
        for arrivals in known_cold_arrivals(back_end, faults):
            for first in arrivals:
                if any(
                    fault.began_at <= first + WINDOW_S and first <= fault.ended_at + LINK_DRAIN_S
                    for fault in link_faults.get(back_end.instance, ())
                ):
                    continue
                count = sum(first <= at < first + WINDOW_S for at in arrivals)
                if count > max_requests:
                    violations.append(
                        f'{back_end.instance} was known as cold and got {count} requests in '
                        f'{WINDOW_S:g} s from {first:.3f} s on, allowed {max_requests:g}'
                    )
                    break
    return violations
