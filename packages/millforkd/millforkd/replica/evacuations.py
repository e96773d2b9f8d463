"""
Carries out the operator's orders to evacuate zones and to take them back.

"""

import time
from typing import Final
from urllib.parse import unquote

import msgspec

from millfork_core.environment import Environment
from millfork_core.ids import RegionId, ZoneId
from millfork_core.logs import Component, logger
from millfork_core.verdicts import Reason, Refusal, Refused
from millfork_registry.registry import Registry
from millfork_state.commands import Apply, ApplyResult, Change, new_command_id
from millfork_state.keys import evacuation_key
from millfork_state.leader_client import LeaderClient
from millfork_web.models import Request, Response, json_response
from millforkd.evacuations import EvacuationRecord, encode_record

# An order is answered within this time: after one second, an operator's client asks another
# replica.
ORDER_TIMEOUT_S: Final = 0.9
# The greatest number of zones that a refusal names.
MAX_NAMED_ZONES: Final = 20
PATH_PREFIX: Final = '/evacuations/'

log = logger(Component.CONTROL)


class Evacuations:
    """
    The operator's orders, and the zones that they may name: those in the settings of this replica
    and those of known back ends.

    """

    def __init__(
        self,
        env: Environment,
        registry: Registry,
        leader_client: LeaderClient,
        regions_by_zone: dict[ZoneId, RegionId],
    ) -> None:
        self.env = env
        self.registry = registry
        self.leader_client = leader_client
        self.regions_by_zone = regions_by_zone

    def known_zones(self) -> set[ZoneId]:
        zones = {ZoneId(lease.zone) for lease in self.registry.leases.values() if lease.zone}
        return {*zones, *self.regions_by_zone, self.env.zone}

    async def set(self, zone: ZoneId, evacuated: bool) -> None:
        """
        Evacuate a zone, or take it back. Returns once the change is committed, or if it was made
        before.

        :raises Refused: if the zone is unknown, or the change was not committed in time.

        """
        deadline = self.env.monotonic() + ORDER_TIMEOUT_S
        key = evacuation_key(zone)
        while True:
            # The leader's state, as this replica may lack changes that were acknowledged.
            state = await self.leader_client.read_state(self._remaining_s(deadline))
            is_evacuated = key in state.items
            if not is_evacuated:
                self._check_known(zone)
            if is_evacuated == evacuated:
                log.info('Evacuation is as ordered already. zone={} evacuated={}', zone, evacuated)
                return
            value = encode_record(EvacuationRecord(int(time.time() * 1000))) if evacuated else None
            command = Apply(new_command_id(self.env.random), [Change(key, value, state.revision)])
            data = await self.leader_client.propose(command, self._remaining_s(deadline))
            result = msgspec.msgpack.decode(data, type=ApplyResult)
            if result.ok:
                log.notice(
                    'Zone {}. zone={} revision={}',
                    'evacuated' if evacuated else 'taken back',
                    zone,
                    result.revision,
                )
                return
            # Another order changed the zone since the state was read.

    async def answer(self, request: Request) -> Response:
        """
        Answer an operator's order at the admin port: `POST /evacuations/ZONE` evacuates a zone,
        `DELETE /evacuations/ZONE` takes it back.

        :raises Refused: see `set`; also if the path names no zone.

        """
        segment = request.path.partition('?')[0].removeprefix(PATH_PREFIX)
        if not request.path.startswith(PATH_PREFIX) or not segment or '/' in segment:
            raise Refused(Refusal(Reason.BAD_REQUEST, detail=f'expected: {PATH_PREFIX}ZONE'))
        name = unquote(segment)
        evacuated = request.method == 'POST'
        await self.set(ZoneId(name), evacuated)
        return json_response({'zone': name, 'evacuated': evacuated})

    def _check_known(self, zone: ZoneId) -> None:
        known = self.known_zones()
        if zone in known:
            return
        names = ', '.join(sorted(known)[:MAX_NAMED_ZONES])
        raise Refused(Refusal(Reason.NOT_FOUND, detail=f'no zone {zone!r}; zones: {names}'))

    def _remaining_s(self, deadline: float) -> float:
        remaining_s = deadline - self.env.monotonic()
        if remaining_s <= 0:
            raise Refused(Refusal(Reason.NO_QUORUM, detail='the order was not committed in time'))
        return remaining_s
