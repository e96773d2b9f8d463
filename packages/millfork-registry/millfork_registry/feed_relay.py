"""
Relaying of the feed (the stream of updates from a replica to its followers) by another follower,
to a process that is cut off from all replicas.

Without a relay, an entry (front proxy) that is cut off chooses engines by loads that are seconds
old: when four of nine entries were cut off, half of all first tokens were late despite spare
capacity. Followers of the same zone are asked first; within a zone, entries come before endpoint
daemons, whose links have little bandwidth. Only a follower connected to a replica relays, so relays
form no cycles.

"""

from collections.abc import Callable
from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_registry.discovery import address_of
from millfork_registry.feed_client import FeedClient
from millfork_registry.records import encode_records
from millfork_registry.suspicions import encode_suspicions
from millfork_wire.connection import Connection, PeerError, PeerLost
from millfork_wire.messages import AskFeed, FeedSent, Leases, VersionSwitch

# How often the feed is requested from a relay. Equals the heartbeat period of a replica's feed.
REQUEST_PERIOD_S: Final = 0.15
# Timeout of one request for the feed.
REQUEST_TIMEOUT_S: Final = 0.3
# A replica's feed counts as lost after this long without a message: four heartbeat periods.
FEED_LOST_AFTER_S: Final = 0.6
# Additional pause before the next round of requests if no follower relayed the feed.
NO_RELAY_PAUSE_S: Final = 0.5

log = logger(Component.REGISTRY)


class FeedRelay:
    """
    Requests the feed from other followers while no replica sends it, and answers their requests
    for the feed.

    """

    def __init__(self, env: Environment, feed_client: FeedClient) -> None:
        self.env = env
        self.feed_client = feed_client
        # The relay's last reply, with the versions of the relay's tables up to which this process
        # received the changes.
        self.received_versions = FeedSent()
        # Returns the model versions set recently, and how long older versions may still be used.
        self.list_switches: Callable[[], list[VersionSwitch]] = list

    async def run(self) -> None:
        """
        Task that gets the feed from other followers while no replica sends it.

        """
        while True:
            await curio.sleep(REQUEST_PERIOD_S)
            if not self._feed_is_lost():
                self._leave_relay()
                continue
            if not await self._request_from_any():
                await curio.sleep(NO_RELAY_PAUSE_S)

    def _feed_is_lost(self) -> bool:
        feed_client = self.feed_client
        silent_s = self.env.monotonic() - feed_client.source_contact_at
        return bool(feed_client.view.cluster) and silent_s > FEED_LOST_AFTER_S

    def _leave_relay(self) -> None:
        if not self.feed_client.relay:
            return
        log.info('A replica sends the feed again; left the relay {}.', self.feed_client.relay)
        self.feed_client.relay = ''

    async def _request_from_any(self) -> bool:
        """
        Request the feed from the present relay, then from the other followers, until one sends
        the feed and so becomes the relay. Returns False if none does; there is then no relay.

        """
        for name in self._candidates():
            if name != self.feed_client.relay:
                self.received_versions = FeedSent()
            if not await self._request_from(name):
                continue
            if name != self.feed_client.relay:
                log.notice('Follower {} relays the feed.', name)
                self.env.metrics.count(self.env.metrics.wire, event='relay_taken')
            self.feed_client.relay = name
            return True
        self.feed_client.relay = ''
        return False

    async def _request_from(self, name: str) -> bool:
        view = self.feed_client.view
        before = self.received_versions
        question = AskFeed(
            view.cluster,
            view.revision,
            before.lease_version,
            before.report_version,
            before.suspicion_version,
        )
        # Set before the call, because messages of the feed arrive before the reply.
        self.feed_client.pending_relay = name
        asked_at = self.env.monotonic()
        try:
            reply = await self.feed_client.peers.call(address_of(name), question, REQUEST_TIMEOUT_S)
        except PeerError as error:
            log.debug('Follower {} does not relay the feed: {}.', name, error)
            return False
        if not isinstance(reply, FeedSent) or not reply.ok:
            return False
        self.received_versions = reply
        await self.feed_client.record_switches(asked_at, reply.switches)
        return True

    def _candidates(self) -> list[str]:
        """
        Return the followers to ask: the present relay, then followers of this process's zone,
        then those of other zones. Entries come before endpoint daemons, both within this zone and
        among the followers of other zones; apart from that, the order is random.

        """
        own = str(self.env.instance)
        zone = str(self.env.zone)
        caches = self.feed_client.discovery.caches()
        found = [(cache.zone != zone, 0, cache.instance) for cache in caches]
        found += [
            (state.zone != zone, 1, state.instance)
            for state in self.feed_client.registry.endpoints.values()
        ]
        self.env.random.shuffle(found)
        ordered = [name for _, _, name in sorted(found, key=lambda item: item[:2])]
        present = [self.feed_client.relay] if self.feed_client.relay else []
        others = [name for name in ordered if name not in (own, self.feed_client.relay)]
        return present + others

    async def answer(self, connection: Connection, question: AskFeed) -> FeedSent:
        """
        Send a follower that is cut off the changes since its last request, and return the
        versions of this process's tables up to which the changes were sent. If this process
        isn't connected to a replica either, send nothing and return a reply that isn't `ok`.

        """
        feed_client = self.feed_client
        if not feed_client.connected:
            return FeedSent()
        registry = feed_client.registry
        if connection.has_bulk:
            # The answer to the last request is still on its way.
            update = feed_client.view.update_without_changes()
        else:
            update = feed_client.view.update_since(question.cluster, question.revision)
        update.age_ms = feed_client.knowledge_age_ms()
        leases = registry.leases.changed_since(question.lease_version)
        reports = registry.endpoints.changed_since(question.report_version)
        suspicions = registry.suspicion_store.table.changed_since(question.suspicion_version)
        versions = FeedSent(
            True,
            registry.leases.version,
            registry.endpoints.version,
            self.list_switches(),
            registry.suspicion_store.table.version,
        )
        feed = Leases(
            not question.lease_version,
            registry.is_complete,
            feed_client.entries,
            encode_records(leases) if leases else b'',
            encode_records(reports) if reports else b'',
            feed_client.peak_entries,
            encode_suspicions(suspicions),
        )
        try:
            await connection.notify(update)
            await connection.notify(feed)
        except PeerLost as error:
            log.info('A follower that requested the feed is gone: {}.', error)
        return versions
