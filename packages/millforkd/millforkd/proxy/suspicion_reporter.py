"""
Reports suspicions: which requests may crash the back ends that run them. The reports go to a
replica, directly or through another entry.

"""

from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_registry.discovery import address_of
from millfork_registry.feed_client import FeedClient
from millfork_registry.suspicion_store import SuspicionStore
from millfork_registry.suspicions import encode_suspicions
from millfork_wire.connection import PeerError
from millfork_wire.messages import Done, SuspicionReport
from millfork_wire.peers import Peers

# The timeout of a suspicion report. Like a daemon's load report, a suspicion report may have to
# cross two regions.
REPORT_TIMEOUT_S: Final = 0.3
# The pause before a report that wasn't accepted is sent again.
RETRY_S: Final = 0.15

log = logger(Component.PROXY)


class SuspicionReporter:
    """
    Reports the suspicions that this entry hasn't reported yet.

    """

    def __init__(
        self,
        env: Environment,
        peers: Peers,
        feed_client: FeedClient,
        suspicion_store: SuspicionStore,
    ) -> None:
        self.env = env
        self.peers = peers
        self.feed_client = feed_client
        self.suspicion_store = suspicion_store

    async def run(self) -> None:
        """
        The task that reports unsent suspicions. If a report isn't accepted, all suspicions that are
        then unsent are reported after RETRY_S.

        """
        while True:
            await self.suspicion_store.unsent_event.wait()
            self.suspicion_store.unsent_event.clear()
            while self.suspicion_store.unsent and not await self._report():
                await curio.sleep(RETRY_S)

    async def _report(self) -> bool:
        """
        Report all unsent suspicions. Returns whether the report was accepted.

        """
        reported = dict(self.suspicion_store.unsent)
        name = self.feed_client.report_target
        if not name:
            return False
        report = SuspicionReport(encode_suspicions(list(reported.values())))
        try:
            reply = await self.peers.call(address_of(name), report, REPORT_TIMEOUT_S)
        except PeerError as error:
            log.info('Suspicions were not reported to {}: {}.', name, error)
            return False
        if not isinstance(reply, Done) or not reply.ok:
            return False
        for fingerprint, suspicion in reported.items():
            if self.suspicion_store.unsent.get(fingerprint) == suspicion:
                del self.suspicion_store.unsent[fingerprint]
        return True
