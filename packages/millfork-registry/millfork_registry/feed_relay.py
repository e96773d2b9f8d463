"""
The feed by way of another follower, for a process that is cut off from all replicas.

Without it an entry that is cut off goes on sending by loads that are seconds old: four of
nine entries in that state made half of all first tokens late, with capacity to spare.
Followers of the same zone are asked first, entries before endpoint daemons, whose links
are narrow. Only one that hears a replica itself answers, so nothing goes in circles.

"""

from collections.abc import Callable
from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.logs import Part, logger
from millfork_registry.discovery import address_of
from millfork_registry.feed_client import FeedClient
from millfork_registry.records import encode_records
from millfork_registry.suspects import encode_suspicions
from millfork_wire.connection import Connection, PeerError, PeerLost
from millfork_wire.messages import AskFeed, FeedSent, Leases, VersionSwitch

# As often as a replica tells its followers.
REQUEST_PERIOD_S: Final = 0.15
REQUEST_TIMEOUT_S: Final = 0.3
# A feed is taken to be lost after four of its heartbeats.
FEED_LOST_AFTER_S: Final = 0.6
# Where nobody answered, the next round of asking comes this much later.
NO_RELAY_PAUSE_S: Final = 0.5

log = logger(Part.REGISTRY)


class FeedRelay:
    """
    Asks for the feed where it is lost, and passes it on to those who ask.

    """

    def __init__(self, env: Environment, feed_client: FeedClient) -> None:
        self.env = env
        self.feed_client = feed_client
        self.received_versions = FeedSent()
        # The versions named lately, as this process knows of them.
        self.switches: Callable[[], list[VersionSwitch]] = list

    async def run(self) -> None:
        """
        The task that keeps the feed going while no replica is heard.

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
        heard_s = self.env.monotonic() - feed_client.source_heard_at
        return bool(feed_client.view.cluster) and heard_s > FEED_LOST_AFTER_S

    def _leave_relay(self) -> None:
        if not self.feed_client.relay:
            return
        log.info('A replica is heard again; the relay {} is left.', self.feed_client.relay)
        self.feed_client.relay = ''

    async def _request_from_any(self) -> bool:
        """
        Ask the relay, or whoever else answers; False if nobody does.

        """
        for name in self._candidates():
            if name != self.feed_client.relay:
                self.received_versions = FeedSent()
            if not await self._request_from(name):
                continue
            if name != self.feed_client.relay:
                log.notice('The feed comes by way of {}.', name)
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
        # Set first: the feed overtakes the reply.
        self.feed_client.pending_relay = name
        asked_at = self.env.monotonic()
        try:
            reply = await self.feed_client.peers.call(address_of(name), question, REQUEST_TIMEOUT_S)
        except PeerError as error:
            log.debug('No feed by way of {}: {}.', name, error)
            return False
        if not isinstance(reply, FeedSent) or not reply.ok:
            return False
        self.received_versions = reply
        await self.feed_client.record_switches(asked_at, reply.switches)
        return True

    def _candidates(self) -> list[str]:
        """
        Whom to ask: the present relay, then those of the own zone, entries first.

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
        Pass on what this process heard, to a follower that is cut off.

        """
        feed_client = self.feed_client
        if not feed_client.connected:
            return FeedSent()
        now = self.env.monotonic()
        registry = feed_client.registry
        update = feed_client.view.update_since(question.cluster, question.revision)
        update.age_ms = feed_client.age_ms + int((now - feed_client.source_heard_at) * 1000)
        leases = registry.leases.changed_since(question.lease_version)
        reports = registry.endpoints.changed_since(question.report_version)
        suspicions = registry.suspects.table.changed_since(question.suspicion_version)
        versions = FeedSent(
            True,
            registry.leases.version,
            registry.endpoints.version,
            self.switches(),
            registry.suspects.table.version,
        )
        feed = Leases(
            not question.lease_version,
            registry.is_complete,
            feed_client.entries,
            encode_records(leases) if leases else b'',
            encode_records(reports) if reports else b'',
            feed_client.most_entries,
            encode_suspicions(suspicions),
        )
        try:
            await connection.notify(update)
            await connection.notify(feed)
        except PeerLost as error:
            log.info('A follower that asked for the feed is gone: {}.', error)
        return versions
