"""
Links between replicas: discovery, exchange of leases, and detection of lost replicas.

"""

from collections.abc import Callable
from typing import Final

import curio
import msgspec

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId
from millfork_core.logs import Component, logger
from millfork_registry.caches import advertised_caches
from millfork_registry.discovery import Discovery, address_of
from millfork_registry.followers import Followers
from millfork_registry.records import Lease, decode_leases, decode_states, encode_records
from millfork_registry.registry import RecordChange, Registry
from millfork_registry.roles import REPLICA_ROLE
from millfork_registry.suspicions import decode_suspicions
from millfork_registry.version_cutoffs import VersionCutoffs
from millfork_state.replica import Replica
from millfork_wire.connection import Connection, PeerError
from millfork_wire.messages import FindReplicas, Follow, Leases, Replicas, VersionSwitch
from millfork_wire.peers import PeerAddress, Peers

# Pause between two rounds, in each of which all other replicas are contacted.
ROUND_PERIOD_S: Final = 0.5
# Timeout of a request to follow another replica.
FOLLOW_TIMEOUT_S: Final = 0.6
# How long a drain or leave notice may take to reach a majority of the replicas: the back end waits
# one second for the answer.
MAJORITY_TIMEOUT_S: Final = 0.7
# A replica that was silent for longer than this is considered lost, and the other replicas expire
# the leases that it owns.
OWNER_LOST_AFTER_S: Final = 2.0
# Rounds usually start half a second apart. A gap of at least this length between the starts of two
# rounds shows that this process was paused.
MAX_ROUND_GAP_S: Final = 1.5
# A replica that is asked for the replicas it knows lists the members, and the replicas that
# answered its own queries within this time.
ADVERTISE_WITHIN_S: Final = 20.0
# The caches listed in another replica's answer are advertised for this long. Replicas ask each
# other twice a second.
CACHES_VALID_S: Final = 2.0
# Within this many heartbeat periods, a starting replica receives a heartbeat of each back end that
# can reach it.
COMPLETE_AFTER_HEARTBEATS: Final = 2.5

log = logger(Component.REGISTRY)


class _MajorityCount:
    """
    Counts acknowledgements, and sets `reached` once `needed` of them have been counted.

    """

    def __init__(self, needed: int) -> None:
        self.needed = needed
        self.received = 0
        self.reached = curio.Event()

    async def add(self) -> None:
        self.received += 1
        if self.received >= self.needed:
            await self.reached.set()


class ReplicaLinks:
    """
    This replica's connections to the other replicas, and the data exchanged over them.

    """

    def __init__(
        self,
        env: Environment,
        peers: Peers,
        replica: Replica,
        registry: Registry,
        discovery: Discovery,
        followers: Followers,
        heartbeat_s: float,
        list_switches: Callable[[], list[VersionSwitch]] = list,
    ) -> None:
        self.env = env
        # Returns the model versions set recently, and how long older versions may still be used.
        # A process that starts, or learns of a version late, asks for this, as it doesn't know when
        # the version was set.
        self.list_switches = list_switches
        self.version_cutoffs = VersionCutoffs()
        self.peers = peers
        self.replica = replica
        self.registry = registry
        self.discovery = discovery
        self.followers = followers
        self.complete_after_s = heartbeat_s * COMPLETE_AFTER_HEARTBEATS
        self.started_at = env.monotonic()
        # By instance id of each replica that this one follows: the connection of that feed.
        self.followed: dict[InstanceId, Connection] = {}
        # By instance id of each other replica: when its last message arrived (monotonic seconds).
        self.last_contact_at: dict[str, float] = {}
        # Replicas that are being contacted, each in its own task: contact with a frozen replica
        # fails only after 2 s, which must not delay the contact with others.
        self.contacting: set[InstanceId] = set()
        self.last_round_at = env.monotonic()

    async def run(self) -> None:
        """
        Task that contacts the other replicas in rounds, and expires leases.

        """
        while True:
            self._add_members()
            self._check_for_pause()
            for address in self.discovery.addresses():
                if address.instance not in self.contacting:
                    self.contacting.add(address.instance)
                    await self.env.spawn(self._contact_once, address)
            self.update_completeness()
            self.registry.forget_silent_endpoints()
            if self.registry.expire(self._lost_owners()):
                await self.followers.wake()
            await curio.sleep(ROUND_PERIOD_S)

    def update_completeness(self) -> None:
        """
        Mark the registry as complete once two conditions hold. More than `complete_after_s` has
        passed since the start, so all back ends that reach this replica have sent it a heartbeat.
        This replica and those that it follows are a majority of the members, so the leases of the
        other back ends are known from them. A replica that is cut off has no majority.

        """
        if self.registry.is_complete:
            return
        if self.env.monotonic() - self.started_at <= self.complete_after_s:
            return
        members = [instance for instance, _ in self.replica.members]
        known = sum(
            instance == self.env.instance or self._follows(instance) for instance in members
        )
        if known > len(members) // 2:
            self.registry.is_complete = True

    def _follows(self, instance: str) -> bool:
        connection = self.followed.get(InstanceId(instance))
        return connection is not None and not connection.closed

    def _add_members(self) -> None:
        for instance, _ in self.replica.members:
            if instance != self.env.instance:
                self.discovery.add_replica(instance)
                self.replica.add_address(address_of(instance))

    def _check_for_pause(self) -> None:
        """
        Restart all timers after a pause of this process, because silence during the pause
        doesn't show that others are lost.

        """
        now = self.env.monotonic()
        paused_s = now - self.last_round_at
        self.last_round_at = now
        if paused_s < MAX_ROUND_GAP_S:
            return
        log.warning('This process was paused. seconds={:.1f}', paused_s)
        self.started_at = now
        self.last_contact_at.clear()
        self.registry.restart_expiry_timers()

    async def _contact_once(self, address: PeerAddress) -> None:
        try:
            await self._contact(address)
        finally:
            self.contacting.discard(address.instance)

    async def _contact(self, address: PeerAddress) -> None:
        question = FindReplicas(
            str(self.env.instance), self.replica.cluster, self.followers.local_entries
        )
        asked_at = self.env.monotonic()
        reply = await self.discovery.ask(address, question)
        if reply is None:
            self.followers.entries_by_other_replica.pop(str(address.instance), None)
            return
        self.last_contact_at[str(address.instance)] = self.env.monotonic()
        self.replica.add_address(address)
        self.followers.entries_by_other_replica[str(address.instance)] = reply.entries
        self.version_cutoffs.record_answer(asked_at, reply.switches)
        await self._follow(address)

    async def _follow(self, address: PeerAddress) -> None:
        connection = self.peers.connections.get(address.instance)
        if connection is None or self.followed.get(address.instance) is connection:
            return
        try:
            await connection.call(Follow(REPLICA_ROLE), FOLLOW_TIMEOUT_S)
        except PeerError as error:
            log.info('Cannot get leases from replica {}: {}.', address.instance, error)
            return
        self.followed[address.instance] = connection

    def _lost_owners(self) -> set[str]:
        now = self.env.monotonic()
        owners = {lease.owner for lease in self.registry.leases.values()}
        return {
            owner
            for owner in owners
            if now - self.last_contact_at.get(owner, self.started_at) > OWNER_LOST_AFTER_S
        }

    def on_find(self, message: FindReplicas, zone: str) -> Replicas:
        """
        Answer a process in `zone` that looks for replicas. If that process is a replica, add it to
        the replicas known here, and record this contact and the number of entries that follow it.

        """
        caches = self.followers.local_caches()
        if message.instance:
            self.discovery.add_replica(message.instance)
            self.replica.add_address(address_of(message.instance))
            self.last_contact_at[message.instance] = self.env.monotonic()
            self.followers.entries_by_other_replica[message.instance] = message.entries
        else:
            caches += self.discovery.caches_listed_within(CACHES_VALID_S)
        known = {instance for instance, _ in self.replica.members}
        known.update(self.discovery.answered_within(ADVERTISE_WITHIN_S))
        known.add(str(self.env.instance))
        return Replicas(
            self.replica.cluster,
            str(self.replica.leader),
            sorted(known),
            self.replica.age_ms(),
            self.followers.local_entries,
            advertised_caches(caches, None if message.instance else zone),
            str(self.env.zone),
            self.list_switches(),
            int(self.replica.view.revision),
        )

    async def on_leases(self, peer: InstanceId, message: Leases) -> None:
        """
        Merge the records in another replica's message, and make the feeds send the changes to
        the followers without delay.

        """
        self.last_contact_at[str(peer)] = self.env.monotonic()
        try:
            leases = decode_leases(message.leases)
            endpoints = decode_states(message.reports)
            suspicions = decode_suspicions(message.suspicions)
        except msgspec.DecodeError as error:
            log.warning('Cannot decode leases: {}.', error)
            return
        changes = [self.registry.merge_lease(lease) for lease in leases]
        changes += [self.registry.merge_endpoint_state(state) for state in endpoints]
        if message.full and message.settled:
            self.registry.is_complete = True
        suspicions_changed = await self.registry.suspicion_store.merge(suspicions)
        if suspicions_changed or RecordChange.CHANGED in changes:
            await self.followers.wake()

    async def send_to_majority(self, lease: Lease) -> bool:
        """
        Send a lease to the other replicas without delay. Returns True once a majority of the
        replicas, including this one, has the lease; False after `MAJORITY_TIMEOUT_S`.

        """
        members = {instance for instance, _ in self.replica.members}
        others = [address for address in self.replica.others if address.instance in members]
        count = _MajorityCount(len(members) // 2 + 1)
        await count.add()
        message = Leases(leases=encode_records([lease]))
        for address in others:
            await self.env.spawn(self._send_lease, address, message, count)
        try:
            async with curio.timeout_after(MAJORITY_TIMEOUT_S):
                await count.reached.wait()
        except curio.TaskTimeout:
            log.warning(
                'Lease did not reach a majority. instance={} told={} wanted={}',
                lease.instance,
                count.received,
                count.needed,
            )
            return False
        return True

    async def _send_lease(
        self, address: PeerAddress, message: Leases, count: _MajorityCount
    ) -> None:
        try:
            await self.peers.call(address, message, MAJORITY_TIMEOUT_S)
        except PeerError as error:
            log.info('Replica {} did not acknowledge a lease: {}.', address.instance, error)
            return
        await count.add()
