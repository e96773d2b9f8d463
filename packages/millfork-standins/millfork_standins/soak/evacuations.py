"""
Evacuates zones at times drawn from a seed, and checks that their back ends get no requests.

The evacuations have their own random generator, so that a seed gives the same faults with and
without them.

"""

import threading
import time
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from random import Random
from typing import Final

from millfork_platform import client_requests
from millfork_standins.soak.back_end import FIRST_ZONE, SECOND_ZONE, SoakBackEnd
from millfork_standins.soak.checks import CONTACT_S, Period
from millfork_standins.soak.fleet import SoakFleet

# The time from the acknowledgement of an evacuation (`evacuate_ms` of a deployment) after which no
# request may reach the zone.
EVACUATED_AFTER_S: Final = 5.0
# Each evacuation lasts longer than that, so that there is a time in which it is checked.
MIN_DURATION_S: Final = 6.5
MAX_DURATION_S: Final = 10.0
MAX_GAP_S: Final = 4.0
# Requests that a link held back arrive within this time after its fault.
LINK_DRAIN_S: Final = 0.5
ZONE_CHOICES: Final = ((FIRST_ZONE,), (SECOND_ZONE,), (FIRST_ZONE, SECOND_ZONE))
ZONE_WEIGHTS: Final = (4, 4, 1)


@dataclass(frozen=True, slots=True)
class PlannedEvacuation:
    """
    Some zones are evacuated, `after_s` after the end of the previous evacuation.

    """

    after_s: float
    duration_s: float
    zones: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Evacuation:
    """
    An evacuation in monotonic seconds: acknowledged, and its end ordered.

    """

    zone: str
    acknowledged_at: float
    end_ordered_at: float


def plan_evacuations(seed: int, seconds: float) -> list[PlannedEvacuation]:
    """
    Return the evacuations of a run in their order; the last one begins within `seconds`.

    """
    random = Random(f'evacuations {seed}')
    planned: list[PlannedEvacuation] = []
    at_s = 0.0
    while True:
        after_s = random.uniform(0.0, MAX_GAP_S)
        duration_s = random.uniform(MIN_DURATION_S, MAX_DURATION_S)
        zones = random.choices(ZONE_CHOICES, ZONE_WEIGHTS)[0]
        if at_s + after_s >= seconds:
            return planned
        at_s += after_s + duration_s
        planned.append(PlannedEvacuation(after_s, duration_s, zones))


class Evacuator:
    """
    Orders the evacuations of a seed and their ends, one after another.

    """

    def __init__(self, fleet: SoakFleet, seed: int, seconds: float, stop: threading.Event) -> None:
        self.fleet = fleet
        fleet.spread_over_zones(2)
        self.planned = plan_evacuations(seed, seconds)
        self.stop = stop
        self.evacuations: list[Evacuation] = []
        # Descriptions of the orders that no replica acknowledged.
        self.violations: list[str] = []
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _run(self) -> None:
        for planned in self.planned:
            if self.stop.wait(planned.after_s):
                return
            acknowledged_at = {zone: self._order(zone, evacuated=True) for zone in planned.zones}
            self.stop.wait(planned.duration_s)
            for zone in planned.zones:
                end_ordered_at = time.monotonic()
                self.evacuations.append(Evacuation(zone, acknowledged_at[zone], end_ordered_at))
                self._order(zone, evacuated=False)

    def _order(self, zone: str, evacuated: bool) -> float:
        """
        Order the evacuation of a zone or its end; return the time of the last answer, in monotonic
        seconds.

        """
        reply = self.fleet.control(client_requests.evacuation_request(zone, evacuated))
        if reply.status != 200:
            order = 'evacuation' if evacuated else 'end of the evacuation'
            self.violations.append(f'the {order} of {zone} was answered with {reply.status}')
        return time.monotonic()

    def find_violations(
        self,
        entries: Mapping[str, str],
        faults: Sequence[Period],
        link_faults: Mapping[str, Sequence[Period]],
    ) -> list[str]:
        back_ends = self.fleet.plain_back_ends
        return self.violations + find_late_requests(
            self.evacuations, back_ends, entries, faults, link_faults
        )


def find_late_requests(
    evacuations: Iterable[Evacuation],
    back_ends: Sequence[SoakBackEnd],
    entries: Mapping[str, str],
    faults: Sequence[Period],
    link_faults: Mapping[str, Sequence[Period]],
) -> list[str]:
    """
    Describe each request that reached a back end of an evacuated zone too late.

    `entries` maps ids of requests to the entries that got them. `faults` are those of processes,
    and `link_faults` those of the links to back ends, by instance. A fault of its entry excuses a
    request until `CONTACT_S` after the fault; if the entry is unknown, that of any process does.

    """
    violations = []
    for evacuation in evacuations:
        began_at = evacuation.acknowledged_at + EVACUATED_AFTER_S
        for back_end in back_ends:
            if back_end.zone != evacuation.zone:
                continue
            for request_id, at in back_end.arrivals:
                if not began_at <= at <= evacuation.end_ordered_at:
                    continue
                entry = entries.get(request_id, '')
                if any(
                    fault.began_at <= at <= fault.ended_at + CONTACT_S
                    for fault in faults
                    if not entry or fault.target == entry
                ):
                    continue
                if any(
                    fault.began_at <= at <= fault.ended_at + LINK_DRAIN_S
                    for fault in link_faults.get(back_end.instance, ())
                ):
                    continue
                violations.append(
                    f'{request_id} reached {back_end.instance} through {entry or "an entry"} '
                    f'{at - evacuation.acknowledged_at:.3f} s after the evacuation of '
                    f'{evacuation.zone} was acknowledged'
                )
    return violations
