"""
The fleet of a soak run, whose back ends end their answers in different ways.

"""

import time
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final
from zlib import crc32

from millfork_standins.back_end import STREAM_EVENTS, BreakKind
from millfork_standins.seeded import SeededFleet
from millfork_standins.soak.back_end import FIRST_ZONE, ZONES, SoakBackEnd, cold_after_start_s
from millfork_web.framing import Framing

# One of this many streams breaks off once.
BREAK_INTERVAL: Final = 10
# How many bytes of an event are sent before its stream breaks off.
SENT_EVENT_BYTES: Final = 9
# The start of the ids of requests to engines.
ENGINE_REQUEST_PREFIX: Final = 'engine-'
# The region that the settings name for all zones.
REGION: Final = 'region'


class SoakFleet(SeededFleet):
    """
    Half of the answers end with their connections, unless a part of prompts crashes back ends or
    engines run them: an answer that a crash or an order ends between two events would look
    complete. Some streams break off inside an event, in a way that looks like the end of the
    answer. `broken_ids` has the ids of their requests.

    """

    broken_ids: set[str]
    # The back ends, replicas and entries are in the first zones of `ZONES` in turn.
    zone_count = 1
    # The zones of replicas that replaced others.
    replacement_zones: Mapping[str, str] = MappingProxyType({})
    # When replicas were added (monotonic seconds).
    added_at: tuple[float, ...] = ()
    # The seed of the coldness of back ends after their start (None: they start warm).
    cold_seed: int | None = None

    def spread_over_zones(self, count: int) -> None:
        """
        Let the deployment have at least `count` zones.

        """
        self.zone_count = max(self.zone_count, count)
        self.zones = dict.fromkeys(ZONES[: self.zone_count], REGION)

    def add_back_end(self, service: str, instance: str) -> SoakBackEnd:
        zone = self._zone(len(self.back_ends))
        cold_s = 0.0 if self.cold_seed is None else cold_after_start_s(self.cold_seed, instance)
        back_end = SoakBackEnd(self.back_end_host, service, instance, self, zone, cold_s)
        self.back_ends.append(back_end)
        return back_end

    def zone_of(self, host: str) -> str:
        if host in self.endpoint_hosts:
            return FIRST_ZONE
        if host in self.replacement_zones:
            return self.replacement_zones[host]
        # By the address, as the place in a list changes when a replica before it is replaced.
        return self._zone(int(host.rpartition('.')[2]) - 1)

    def add_replacement(self, replaced: str) -> str:
        """
        Add a replica in the zone of the one on `replaced`, which it is to replace.

        """
        host = f'{self.replica_subnet}.{self.last_replica + 1}'
        self.replacement_zones = {**self.replacement_zones, host: self.zone_of(replaced)}
        self.added_at = (*self.added_at, time.monotonic())
        return self.add_replica()

    @property
    def plain_back_ends(self) -> list[SoakBackEnd]:
        """
        All back ends but the engines.

        """
        return [back_end for back_end in self.back_ends if isinstance(back_end, SoakBackEnd)]

    def _zone(self, number: int) -> str:
        return ZONES[number % self.zone_count]

    def start(self) -> None:
        self.broken_ids = set()
        self.break_event_bytes = SENT_EVENT_BYTES
        super().start()

    def framing_of(self, request_id: str) -> Framing:
        if self.crashing_part or request_id.startswith(ENGINE_REQUEST_PREFIX):
            return Framing.CHUNKED
        return Framing.CONNECTION if crc32(request_id.encode()) & 1 else Framing.CHUNKED

    def take_stream_break(self, request_id: str, event: int) -> BreakKind | None:
        draw, is_broken_off = divmod(crc32(request_id.encode()) >> 1, BREAK_INTERVAL)
        if is_broken_off or request_id in self.broken_ids or event != draw % STREAM_EVENTS + 1:
            return None
        self.broken_ids.add(request_id)
        ends_with_connection = self.framing_of(request_id) is Framing.CONNECTION
        return BreakKind.CLOSE if ends_with_connection else BreakKind.LAST_CHUNK
