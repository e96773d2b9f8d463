"""
A follower's side of the feed: which replica it listens to, and what it hears.

A follower keeps what it has heard until it hears better: with no replica in
reach it goes on with the last configuration and the last leases.

"""

from typing import Final

import curio
import msgspec

from millfork_core.environment import Environment
from millfork_core.ids import NO_INSTANCE, InstanceId
from millfork_core.logs import Part, logger
from millfork_registry.discovery import Discovery
from millfork_registry.records import decode_leases, decode_states
from millfork_registry.registry import Registry
from millfork_registry.suspects import decode_suspicions
from millfork_registry.switch_ends import SwitchEnds
from millfork_state.commands import decode_versioned
from millfork_state.keys import VERSION_PREFIX
from millfork_state.view import View
from millfork_wire.connection import Connection, PeerError, PeerLost
from millfork_wire.messages import (
    FindReplicas,
    Follow,
    Leases,
    Message,
    Replicas,
    Update,
    VersionSwitch,
)
from millfork_wire.peers import PeerAddress, Peers

# Four heartbeats of the feed; a replica that is slower is left.
SILENT_AFTER_S: Final = 1.0
FOLLOW_TIMEOUT_S: Final = 0.6
CHECK_S: Final = 0.25
RETRY_S: Final = 0.1
ASK_EVERY_S: Final = 2.0
# A follower of another zone's replica looks this often for one of its own zone.
NEARER_CHECK_INTERVAL_S: Final = 3.0
# A replica that heard its leader this long ago may hold old configuration;
# longer than an election.
STALE_MS: Final = 1500

log = logger(Part.REGISTRY)


class Following:
    """
    The one replica that this process listens to.

    """

    def __init__(
        self,
        env: Environment,
        role: str,
        view: View,
        registry: Registry,
        peers: Peers,
        discovery: Discovery,
    ) -> None:
        self.env = env
        self.role = role
        self.view = view
        self.registry = registry
        self.peers = peers
        self.discovery = discovery
        self.source = NO_INSTANCE
        self.heard_at = 0.0
        self.age_ms = 0
        # Entries that the replica knows of now, and the most that it knew of lately.
        self.entries = 1
        self.most_entries = 1
        # Whether any replica told of entries yet.
        self.entries_told = False
        # The follower by way of which the feed comes while no replica is heard, and the
        # one that was asked for it last.
        self.relay = ''
        self.asked_relay = ''
        # When requests may no longer begin on what came before a version.
        self.switch_ends = SwitchEnds()
        self.asked_at = 0.0
        # Set whenever leases or configuration changed.
        self.changed = curio.Event()

    @property
    def reports_to(self) -> str:
        """
        Who takes this process's reports: its replica, or who passes them on to one.

        """
        return self.relay or str(self.source)

    @property
    def connected(self) -> bool:
        """
        Whether a replica in touch with its leader was heard just now.

        """
        silent_s = self.env.monotonic() - self.heard_at
        return bool(self.source) and silent_s < SILENT_AFTER_S and self.age_ms < STALE_MS

    async def run(self) -> None:
        """
        The task that keeps a replica to listen to.

        """
        while True:
            for address in self._candidates():
                if await self._begin(address):
                    await self._listen(address)
                    # Others may be nearer by what was learned meanwhile.
                    break
            await curio.sleep(RETRY_S)

    def _candidates(self) -> list[PeerAddress]:
        addresses = self.discovery.addresses()
        return sorted(addresses, key=lambda address: address.instance == self.source)

    async def _begin(self, address: PeerAddress) -> bool:
        reply = await self._ask(address)
        if reply is None or not reply.cluster:
            return False
        if reply.age_ms > STALE_MS and await self._fresher_than(address, reply.age_ms):
            return False
        request = Follow(self.role, self.view.cluster, self.view.revision)
        # Set first: the feed may overtake the reply.
        self.source = address.instance
        try:
            await self.peers.call(address, request, FOLLOW_TIMEOUT_S)
        except PeerError as error:
            log.info('Replica {} can not be followed: {}.', address.instance, error)
            return False
        self.heard_at = self.env.monotonic()
        self.asked_at = self.heard_at
        self.age_ms = reply.age_ms
        log.info('Following replica {}. age_ms={}', address.instance, reply.age_ms)
        await self.registry.suspects.tell_again()
        return True

    async def _ask(self, address: PeerAddress) -> Replicas | None:
        """
        Ask a replica whom it knows, and what it knows of versions named lately.

        """
        asked_at = self.env.monotonic()
        reply = await self.discovery.ask(address, FindReplicas())
        if reply is not None:
            await self.note_switches(asked_at, reply.switches)
        return reply

    async def note_switches(self, asked_at: float, switches: list[VersionSwitch]) -> None:
        """
        Take what an answer to a question of `asked_at` told of versions named lately.

        """
        if self.switch_ends.note(asked_at, switches):
            await self.changed.set()

    def _knows_of_untold(self) -> bool:
        """
        Whether a version was named of which no answer told yet.

        """
        return any(
            self.switch_ends.at(key.removeprefix(VERSION_PREFIX), decode_versioned(value).version)
            is None
            for key, value in self.view.values_with_prefix(VERSION_PREFIX).items()
        )

    async def _fresher_than(self, address: PeerAddress, age_ms: int) -> bool:
        """
        Whether another replica has heard the leader more lately.

        """
        for other in self.discovery.addresses():
            if other == address:
                continue
            reply = await self.discovery.ask(other, FindReplicas())
            if reply is not None and reply.cluster and reply.age_ms < min(age_ms, STALE_MS):
                return True
        return False

    async def _listen(self, address: PeerAddress) -> None:
        """
        Return once the replica is silent, gone, or clearly behind another, or
        one of the own zone answers.

        """
        looked_at = self.env.monotonic()
        while True:
            await curio.sleep(CHECK_S)
            now = self.env.monotonic()
            connection = self.peers.connections.get(address.instance)
            if connection is None or connection.closed:
                reason = 'the connection is gone'
                break
            if now - self.heard_at > SILENT_AFTER_S:
                reason = 'silent'
                await connection.close()
                break
            if now - self.asked_at > ASK_EVERY_S or self._knows_of_untold():
                self.asked_at = now
                await self._ask(address)
            if now - looked_at > NEARER_CHECK_INTERVAL_S:
                looked_at = now
                if await self._finds_nearer(address):
                    reason = 'one of the own zone answers'
                    await self._stop(connection)
                    break
            if self.age_ms > STALE_MS and await self._fresher_than(address, self.age_ms):
                reason = 'it does not hear the leader'
                await self._stop(connection)
                break
        self.env.metrics.count(self.env.metrics.wire, event='replica_left')
        log.warning(
            'Left replica {}: {}. silent_s={:.2f} age_ms={} revision={}',
            address.instance,
            reason,
            self.env.monotonic() - self.heard_at,
            self.age_ms,
            self.view.revision,
        )

    async def _finds_nearer(self, address: PeerAddress) -> bool:
        """
        Whether a replica of the own zone is in touch with its leader, and the
        one followed is of another.

        """
        own = str(self.env.zone)
        if self.discovery.zone_of(str(address.instance)) == own:
            return False
        for other in self.discovery.addresses():
            if other == address or self.discovery.zone_of(str(other.instance)) not in ('', own):
                continue
            reply = await self.discovery.ask(other, FindReplicas())
            if reply is not None and reply.zone == own and reply.cluster:
                return reply.age_ms < STALE_MS
        return False

    async def _stop(self, connection: Connection) -> None:
        try:
            await connection.notify(Follow())
        except PeerLost:
            pass

    async def take(self, peer: InstanceId, message: Message) -> bool:
        """
        Take a message of the feed; False if it is none.

        """
        if isinstance(message, Update):
            await self._take_update(peer, message)
            return True
        if isinstance(message, Leases):
            await self._take_leases(peer, message)
            return True
        return False

    async def _take_update(self, peer: InstanceId, update: Update) -> None:
        now = self.env.monotonic()
        if peer == self.source:
            self.heard_at = now
            self.age_ms = update.age_ms
        elif peer != self.asked_relay:
            return
        if not self.view.apply_update(update):
            return
        self.env.metrics.revision.set({}, self.view.revision)
        log.info(
            'Configuration in force. revision={} source={} age_ms={}',
            self.view.revision,
            peer,
            update.age_ms,
        )
        await self.view.notify_waiters()
        await self.changed.set()

    async def _take_leases(self, peer: InstanceId, message: Leases) -> None:
        if peer == self.source:
            self.heard_at = self.env.monotonic()
            self.entries = max(message.entries, 1)
            self.most_entries = max(message.most_entries, self.entries)
            self.entries_told = True
        try:
            leases = decode_leases(message.leases)
            endpoints = decode_states(message.reports)
            suspicions = decode_suspicions(message.suspicions)
        except msgspec.DecodeError as error:
            log.warning('Leases from {} can not be read: {}.', peer, error)
            return
        for lease in leases:
            self.registry.take(lease)
        for state in endpoints:
            self.registry.take_endpoint(state)
        await self.registry.suspects.hear(suspicions)
        if message.full and message.settled:
            self.registry.settled = True
            self.registry.keep_only(
                {lease.instance for lease in leases},
                {state.instance for state in endpoints},
            )
        self.registry.forget_silent_endpoints()
        if leases or endpoints:
            await self.changed.set()
