"""
A replica's side of the feed: configuration and leases to whoever follows it.

One task for each follower. Changes that come together leave together; a
follower that has nothing to hear gets a heartbeat with the configuration's age.

"""

from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.logs import Part, logger
from millfork_core.windows import ENTRIES_REMEMBERED_S, MostLately
from millfork_registry.records import encode_records
from millfork_registry.registry import Registry
from millfork_registry.roles import ENTRY_ROLE, REPLICA_ROLE
from millfork_registry.suspects import encode_suspicions
from millfork_state.replica import Replica
from millfork_wire.connection import Connection, PeerLost
from millfork_wire.messages import CacheAddress, Follow, Leases

# A follower goes elsewhere after several of these without a word. Entries hear
# of the engines' load as often.
HEARTBEAT_S: Final = 0.15
# Changes within this time leave in one message.
GATHER_S: Final = 0.02
TOLD_OF_SUSPECTS: Final = (ENTRY_ROLE, REPLICA_ROLE)


log = logger(Part.REGISTRY)


class Follower:
    """
    One process that follows this replica.

    """

    def __init__(self, connection: Connection, role: str) -> None:
        self.connection = connection
        self.role = role
        self.wake = curio.Event()
        self.lease_version = 0
        self.endpoint_version = 0
        self.suspicion_version = 0
        self.sent_full = False
        self.replaced = False

    @property
    def active(self) -> bool:
        return not self.connection.closed and not self.replaced


class Followers:
    """
    Everyone who follows this replica.

    """

    def __init__(self, env: Environment, replica: Replica, registry: Registry) -> None:
        self.env = env
        self.replica = replica
        self.registry = registry
        self.rows: dict[str, Follower] = {}
        # Entries that follow other replicas, by replica.
        self.entries_elsewhere: dict[str, int] = {}
        # Entries that start during a cut hear of those behind it, which share the fixed
        # allowance of repeats with them: they were else divided by one side alone.
        self.most_entries = MostLately(ENTRIES_REMEMBERED_S)

    @property
    def entries_here(self) -> int:
        return sum(1 for follower in self.rows.values() if follower.role == ENTRY_ROLE)

    def caches_here(self) -> list[CacheAddress]:
        """
        The followers that keep pieces for the daemons of their zone.

        """
        return [
            CacheAddress(peer, follower.connection.hello.zone)
            for peer, follower in self.rows.items()
            if follower.role == ENTRY_ROLE
        ]

    @property
    def entries(self) -> int:
        return self.entries_here + sum(self.entries_elsewhere.values())

    async def add(self, connection: Connection, message: Follow) -> None:
        """
        Take a follower, in place of its earlier self if there is one.

        """
        before = self.rows.get(connection.peer)
        if before is not None:
            before.replaced = True
            await before.wake.set()
        if not message.role:
            self.rows.pop(connection.peer, None)
            return
        follower = Follower(connection, message.role)
        self.rows[connection.peer] = follower
        await self.env.spawn(self._feed, follower, message)

    async def wake(self) -> None:
        """
        Send what changed to everyone, now.

        """
        for follower in list(self.rows.values()):
            await follower.wake.set()

    async def wake_on_configuration(self) -> None:
        """
        The task that passes each change of configuration on at once.

        """
        view = self.replica.view
        mark = view.position
        while True:
            await view.wait_for_change(mark, HEARTBEAT_S)
            if view.position != mark:
                mark = view.position
                await self.wake()

    async def _feed(self, follower: Follower, message: Follow) -> None:
        cluster, revision = message.cluster, message.revision
        try:
            while follower.active:
                follower.wake.clear()
                if follower.role != REPLICA_ROLE:
                    update = self.replica.view.update_since(cluster, revision)
                    update.age_ms = self.replica.age_ms()
                    cluster, revision = update.cluster, update.revision
                    await follower.connection.notify(update)
                await follower.connection.notify(self._leases_for(follower))
                await self._pause(follower)
        except PeerLost:
            pass
        finally:
            if self.rows.get(follower.connection.peer) is follower:
                del self.rows[follower.connection.peer]
                log.info('Follower {} is gone. role={}', follower.connection.peer, follower.role)

    async def _pause(self, follower: Follower) -> None:
        try:
            async with curio.timeout_after(HEARTBEAT_S):
                await follower.wake.wait()
            await curio.sleep(GATHER_S)
        except curio.TaskTimeout:
            pass

    def _leases_for(self, follower: Follower) -> Leases:
        """
        What the follower lacks. Another replica hears only of what is owned
        here, once it has had everything.

        """
        registry = self.registry
        leases = registry.leases.since(follower.lease_version)
        endpoints = registry.endpoints.since(follower.endpoint_version)
        suspicions = registry.suspects.table.since(follower.suspicion_version)
        full = not follower.sent_full
        if follower.role == REPLICA_ROLE and not full:
            own = str(self.env.instance)
            leases = [lease for lease in leases if lease.owner == own]
            endpoints = [state for state in endpoints if state.owner == own]
        follower.lease_version = registry.leases.version
        follower.endpoint_version = registry.endpoints.version
        follower.suspicion_version = registry.suspects.table.version
        follower.sent_full = True
        return Leases(
            full,
            registry.settled,
            self.entries,
            encode_records(leases) if leases else b'',
            encode_records(endpoints) if endpoints else b'',
            self.most_entries.note(self.entries, self.env.monotonic()),
            # An endpoint daemon sends nobody anything, and its link is narrow.
            encode_suspicions(suspicions if follower.role in TOLD_OF_SUSPECTS else []),
        )
