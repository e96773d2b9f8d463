"""
A replica's side of the feed, which sends the configuration and the registry's records to the
replica's followers.

One task serves each follower. Changes within `BATCH_DELAY_S` are sent together. While nothing
changes, each follower gets heartbeats; those to followers that aren't replicas carry the age of
this replica's configuration.

"""

from collections import Counter
from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_core.windows import ENTRIES_REMEMBERED_S, WindowMax
from millfork_registry.records import encode_records
from millfork_registry.registry import Registry
from millfork_registry.roles import ENTRY_ROLE, REPLICA_ROLE
from millfork_registry.suspicions import encode_suspicions
from millfork_state.replica import Replica
from millfork_wire.connection import Connection, PeerLost
from millfork_wire.messages import CacheAddress, Follow, Leases

# The longest pause between two messages of a feed. A follower that gets no message for several of
# these periods follows another replica. Entries (front proxies) also receive the engines' load at
# least this often.
HEARTBEAT_S: Final = 0.15
# After a change, a feed waits this long, so that further changes are sent in the same message.
BATCH_DELAY_S: Final = 0.02
ROLES_SENT_SUSPICIONS: Final = (ENTRY_ROLE, REPLICA_ROLE)
# The most large updates on their way to one zone at the same time, so that those to another region
# leave its link to heartbeats and votes. One that takes longer than `STALLED_TRANSFER_S` no longer
# counts.
MAX_TRANSFERS: Final = 4
STALLED_TRANSFER_S: Final = 0.5


log = logger(Component.REGISTRY)


class Follower:
    """
    One process that follows this replica. `lease_version`, `endpoint_version` and
    `suspicion_version` are the versions of the registry's tables up to which changes were sent to
    that process.

    """

    def __init__(self, connection: Connection, role: str) -> None:
        self.connection = connection
        self.role = role
        self.wake = curio.Event()
        self.lease_version = 0
        self.endpoint_version = 0
        self.suspicion_version = 0
        # Whether a message with all records was sent.
        self.sent_full = False
        # Whether this feed must end, because the process asked for another feed or for none.
        self.replaced = False
        # Whether changes of the configuration wait until a transfer has arrived.
        self.held_back = False

    @property
    def active(self) -> bool:
        return not self.connection.closed and not self.replaced

    @property
    def zone(self) -> str:
        return self.connection.hello.zone


class Followers:
    """
    All processes that follow this replica.

    """

    def __init__(self, env: Environment, replica: Replica, registry: Registry) -> None:
        self.env = env
        self.replica = replica
        self.registry = registry
        # By the follower's instance id.
        self.by_instance: dict[str, Follower] = {}
        # The followers to which a large update is on its way.
        self.receiving: set[Follower] = set()
        # The followers that lack changes and wait until fewer updates are on their way, in the
        # order in which they began to wait.
        self.waiting: dict[Follower, None] = {}
        # By instance id of each other replica: the number of entries that follow it.
        self.entries_by_other_replica: dict[str, int] = {}
        # The greatest number of entries within `ENTRIES_REMEMBERED_S`, by which the entries divide
        # a fixed retry budget. Entries that start during a network partition must count the
        # entries on the other side too; otherwise each side would use the full budget.
        self.peak_entries = WindowMax(ENTRIES_REMEMBERED_S)

    def update_metrics(self) -> None:
        """
        Set the gauge of feeds that are held back.

        """
        held_back = sum(1 for follower in self.by_instance.values() if follower.held_back)
        self.env.metrics.held_back_feeds.set({}, held_back)

    @property
    def local_entries(self) -> int:
        """
        The number of entries (front proxies) that follow this replica.

        """
        return sum(1 for follower in self.by_instance.values() if follower.role == ENTRY_ROLE)

    def count_entries(self) -> int:
        """
        Count the entries now, and return the greatest number within `ENTRIES_REMEMBERED_S`.

        """
        return self.peak_entries.add(self.entries, self.env.monotonic())

    def local_caches(self) -> list[CacheAddress]:
        """
        Return the entries that follow this replica; they can cache weights for endpoint daemons.

        """
        return [
            CacheAddress(peer, follower.connection.hello.zone)
            for peer, follower in self.by_instance.items()
            if follower.role == ENTRY_ROLE
        ]

    @property
    def entries(self) -> int:
        """
        The number of entries that follow any replica, as far as this replica knows.

        """
        return self.local_entries + sum(self.entries_by_other_replica.values())

    async def add(self, connection: Connection, message: Follow) -> None:
        """
        Start a feed to the process at the other end of the connection. An earlier feed to that
        process ends; if the message has no role, no new feed starts.

        """
        before = self.by_instance.get(connection.peer)
        if before is not None:
            before.replaced = True
            await before.wake.set()
        if not message.role:
            self.by_instance.pop(connection.peer, None)
            return
        follower = Follower(connection, message.role)
        self.by_instance[connection.peer] = follower
        await self.env.spawn(self._feed, follower, message)

    async def wake(self) -> None:
        """
        Make all feeds send their changes without waiting for the next heartbeat.

        """
        for follower in list(self.by_instance.values()):
            await follower.wake.set()

    async def wake_on_configuration(self) -> None:
        """
        Task that sends each change of the configuration to the followers without delay.

        """
        view = self.replica.view
        position = view.position
        while True:
            await view.wait_for_change(position, HEARTBEAT_S)
            if view.position != position:
                position = view.position
                await self.wake()

    async def _feed(self, follower: Follower, message: Follow) -> None:
        cluster, revision = message.cluster, message.revision
        try:
            while follower.active:
                follower.wake.clear()
                if follower.role != REPLICA_ROLE:
                    is_behind = self.replica.view.position != (cluster, revision)
                    sends_changes = is_behind and self._may_send_changes(follower)
                    follower.held_back = is_behind and not sends_changes
                    if sends_changes:
                        update = self.replica.view.update_since(cluster, revision)
                        cluster, revision = update.cluster, update.revision
                    else:
                        update = self.replica.view.update_without_changes()
                    update.age_ms = self.replica.age_ms()
                    await follower.connection.notify(update)
                    if sends_changes and follower.connection.has_bulk:
                        self.receiving.add(follower)
                        await self.env.spawn(self._end_transfer, follower)
                    elif sends_changes:
                        await self._wake_next_receivers()
                await follower.connection.notify(self._next_leases_message(follower))
                await self._pause(follower)
        except PeerLost:
            pass
        finally:
            self.waiting.pop(follower, None)
            if self.by_instance.get(follower.connection.peer) is follower:
                del self.by_instance[follower.connection.peer]
                log.info('Follower {} is gone. role={}', follower.connection.peer, follower.role)

    def _may_send_changes(self, follower: Follower) -> bool:
        """
        Whether no update is on its way to a follower, and one to it would be among the first
        `MAX_TRANSFERS` to its zone. Until then, changes are not queued, and later ones are sent
        together.

        """
        if follower.connection.has_bulk:
            return False
        self.waiting.setdefault(follower)
        if follower not in self._next_receivers():
            return False
        del self.waiting[follower]
        return True

    def _next_receivers(self) -> list[Follower]:
        """
        The followers to which an update may be sent now: in each zone those that have waited
        longest.

        """
        transfers = Counter(follower.zone for follower in self.receiving)
        found = []
        for follower in self.waiting:
            if transfers[follower.zone] >= MAX_TRANSFERS:
                continue
            transfers[follower.zone] += 1
            found.append(follower)
        return found

    async def _end_transfer(self, follower: Follower) -> None:
        await follower.connection.wait_until_bulk_is_sent(STALLED_TRANSFER_S)
        self.receiving.discard(follower)
        await follower.wake.set()
        await self._wake_next_receivers()

    async def _wake_next_receivers(self) -> None:
        for follower in self._next_receivers():
            await follower.wake.set()

    async def _pause(self, follower: Follower) -> None:
        try:
            async with curio.timeout_after(HEARTBEAT_S):
                await follower.wake.wait()
            await curio.sleep(BATCH_DELAY_S)
        except curio.TaskTimeout:
            pass

    def _next_leases_message(self, follower: Follower) -> Leases:
        """
        Return a message with the records that the follower lacks, and count them as sent. The
        first message of a feed holds all records. Later messages to a follower that is a replica
        hold only those leases and endpoint states that this replica owns.

        """
        registry = self.registry
        leases = registry.leases.changed_since(follower.lease_version)
        endpoints = registry.endpoints.changed_since(follower.endpoint_version)
        suspicions = registry.suspicion_store.table.changed_since(follower.suspicion_version)
        full = not follower.sent_full
        if follower.role == REPLICA_ROLE and not full:
            own = str(self.env.instance)
            leases = [lease for lease in leases if lease.owner == own]
            endpoints = [state for state in endpoints if state.owner == own]
        follower.lease_version = registry.leases.version
        follower.endpoint_version = registry.endpoints.version
        follower.suspicion_version = registry.suspicion_store.table.version
        follower.sent_full = True
        return Leases(
            full,
            registry.is_complete,
            self.entries,
            encode_records(leases) if leases else b'',
            encode_records(endpoints) if endpoints else b'',
            self.count_entries(),
            # Endpoint daemons are sent no suspicions: they don't route requests, and their links
            # have little bandwidth.
            encode_suspicions(suspicions if follower.role in ROLES_SENT_SUSPICIONS else []),
        )
