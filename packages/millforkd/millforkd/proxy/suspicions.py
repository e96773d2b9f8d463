"""
Telling replicas which requests back ends ended under.

"""

from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.logs import Part, logger
from millfork_registry.discovery import address_of
from millfork_registry.feed_client import FeedClient
from millfork_registry.suspicion_store import SuspicionStore, encode_suspicions
from millfork_wire.connection import PeerError
from millfork_wire.messages import Done, SuspicionReport
from millfork_wire.peers import Peers

# As a report of load, it may cross two regions.
TELL_TIMEOUT_S: Final = 0.3
# Where nobody took it, it is told again this much later.
AGAIN_S: Final = 0.15

log = logger(Part.PROXY)


class SuspicionTeller:
    """
    Tells what this entry knows and its replica does not.

    """

    def __init__(
        self, env: Environment, peers: Peers, feed_client: FeedClient, suspects: SuspicionStore
    ) -> None:
        self.env = env
        self.peers = peers
        self.feed_client = feed_client
        self.suspects = suspects

    async def keep(self) -> None:
        """
        The task that tells, and tells again until somebody took it.

        """
        while True:
            await self.suspects.unsent_event.wait()
            self.suspects.unsent_event.clear()
            while self.suspects.unsent and not await self._tell():
                await curio.sleep(AGAIN_S)

    async def _tell(self) -> bool:
        told = dict(self.suspects.unsent)
        name = self.feed_client.report_target
        if not name:
            return False
        report = SuspicionReport(encode_suspicions(list(told.values())))
        try:
            reply = await self.peers.call(address_of(name), report, TELL_TIMEOUT_S)
        except PeerError as error:
            log.info('Suspicions not told to {}: {}.', name, error)
            return False
        if not isinstance(reply, Done) or not reply.ok:
            return False
        for fingerprint, suspicion in told.items():
            if self.suspects.unsent.get(fingerprint) == suspicion:
                del self.suspects.unsent[fingerprint]
        return True
