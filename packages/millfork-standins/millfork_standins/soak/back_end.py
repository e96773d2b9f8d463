"""
The back ends of a soak run, which are in one of several zones and may be cold.

"""

import time
from random import Random
from typing import TYPE_CHECKING, Final

import msgspec

from millfork_registry.records import Lease
from millfork_standins.back_end import BackEnd

if TYPE_CHECKING:
    from millfork_standins.seeded import SeededFleet

# The zones of a fleet; a fleet of one zone is in the first one.
FIRST_ZONE: Final = 'zone'
SECOND_ZONE: Final = 'zone-2'
THIRD_ZONE: Final = 'zone-3'
ZONES: Final = (FIRST_ZONE, SECOND_ZONE, THIRD_ZONE)
# The range of the duration of coldness, and the share of the back ends that start cold.
MIN_COLD_S: Final = 4.0
MAX_COLD_S: Final = 9.0
COLD_AFTER_START_SHARE: Final = 0.5


def cold_after_start_s(seed: int, instance: str) -> float:
    """
    For how many seconds after its start a back end is cold; 0 for some of them.

    """
    random = Random(f'cold start {seed} {instance}')
    if random.random() >= COLD_AFTER_START_SHARE:
        return 0.0
    return random.uniform(MIN_COLD_S, MAX_COLD_S)


class SoakBackEnd(BackEnd):
    """
    A back end that records which requests arrived when, and when it was acknowledged that it is
    cold. Times are monotonic seconds.

    """

    def __init__(
        self, host: str, service: str, instance: str, fleet: 'SeededFleet', zone: str, cold_s: float
    ) -> None:
        # Set before the first heartbeat, which `super().__init__` prepares.
        self.zone = zone
        self.cold_until = time.monotonic() + cold_s
        # The end of the coldness that the last heartbeat told.
        self.told_cold_until = 0.0
        # Maps the end of each period of coldness to the first acknowledgement of a heartbeat that
        # told it.
        self.cold_acknowledged_at: dict[float, float] = {}
        # The id and the arrival time of each request.
        self.arrivals: list[tuple[str, float]] = []
        super().__init__(host, service, instance, fleet)

    def record_arrival(self, request_id: str) -> None:
        now = time.monotonic()
        self.arrived_at.append(now)
        self.arrivals.append((request_id, now))

    def _lease(self) -> Lease:
        self.told_cold_until = self.cold_until
        left_ms = max(round((self.told_cold_until - time.monotonic()) * 1000), 0)
        if not left_ms:
            self.told_cold_until = 0.0
        return msgspec.structs.replace(super()._lease(), zone=self.zone, cold_for_ms=left_ms)

    def heartbeat(self) -> bool:
        is_acknowledged = super().heartbeat()
        if is_acknowledged and self.told_cold_until:
            self.cold_acknowledged_at.setdefault(self.told_cold_until, time.monotonic())
        return is_acknowledged
