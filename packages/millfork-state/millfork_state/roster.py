"""
The platform's list of instances, as one process last received it.

"""

from typing import Final

import curio
import msgspec

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_core.logs import Component, logger
from millfork_state.config import InstanceFacts
from millfork_web.client import Client, ExchangeFailed
from millfork_wire.peers import PeerAddress

POLL_TIMEOUT_S: Final = 2.0
ENTRY_ROLE: Final = 'entry'
ENDPOINT_ROLE: Final = 'endpoint'

log = logger(Component.PLATFORM)


class PlatformDelta(msgspec.Struct):
    """
    The platform's list of instances at `version`: the changes since the version that was asked
    for or, if `full`, the whole list.

    """

    version: int
    full: bool
    changed: list[InstanceFacts]
    removed: list[str]


class Roster:
    """
    The platform's instances by id. The list lags behind their real state.

    """

    def __init__(self, env: Environment, platform: tuple[str, int], source: str) -> None:
        self.env = env
        self.client = Client(*platform, source=source)
        self.version = -1
        self.instances: dict[InstanceId, InstanceFacts] = {}
        self.changed = curio.Event()

    async def poll_periodically(self, interval_s: float) -> None:
        """
        The task that polls the platform every `interval_s` seconds.

        """
        while True:
            await self.poll()
            await curio.sleep(interval_s)

    async def poll(self) -> bool:
        """
        Fetch the changes from the platform and apply them. False if the platform gave no valid
        answer.

        """
        bytes_before = self.client.bytes_transferred
        try:
            path = f'/instances?since={self.version}'
            response = await self.client.fetch('GET', path, [], timeout=POLL_TIMEOUT_S)
            delta = msgspec.json.decode(response.body, type=PlatformDelta)
        except (ExchangeFailed, msgspec.DecodeError) as error:
            log.debug('Could not fetch the instance list: {}.', error)
            self.env.metrics.count(self.env.metrics.state, event='platform_silent')
            return False
        transferred = self.client.bytes_transferred - bytes_before
        self.env.metrics.count(self.env.metrics.wire_bytes, transferred, way='platform')
        version_before = self.version
        self.apply_delta(delta)
        if self.version != version_before:
            await self.changed.set()
        return True

    def apply_delta(self, delta: PlatformDelta) -> None:
        """
        Apply a delta to the list. A delta of the present version changes nothing.

        """
        if delta.version == self.version:
            return
        if delta.full:
            self.instances = {}
        for facts in delta.changed:
            self.instances[facts.instance] = facts
        for name in delta.removed:
            self.instances.pop(InstanceId(name), None)
        self.version = delta.version

    def address(self, instance: InstanceId) -> PeerAddress | None:
        facts = self.instances.get(instance)
        return None if facts is None else PeerAddress(facts.instance, facts.host, facts.port)

    def entries(self, zone: ZoneId) -> list[InstanceFacts]:
        """
        The entries (front proxies) of one availability zone, sorted by id.

        """
        found = [
            facts
            for facts in self.instances.values()
            if facts.role == ENTRY_ROLE and facts.zone == zone
        ]
        return sorted(found, key=lambda facts: facts.instance)

    def all_entries(self) -> list[InstanceFacts]:
        """
        The entries (front proxies) of all availability zones, sorted by id.

        """
        found = [facts for facts in self.instances.values() if facts.role == ENTRY_ROLE]
        return sorted(found, key=lambda facts: facts.instance)

    def endpoints(self) -> list[InstanceFacts]:
        return [facts for facts in self.instances.values() if facts.role == ENDPOINT_ROLE]
