"""
Replicas among themselves: finding one another, telling leases.

"""

from collections.abc import Callable
from typing import Final

import curio
import msgspec

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId
from millfork_core.logs import Part, logger
from millfork_registry.caches import named
from millfork_registry.discovery import Discovery, address_of
from millfork_registry.followers import Followers
from millfork_registry.records import Lease, decode_leases, decode_states, encode_records
from millfork_registry.registry import Change, Registry
from millfork_registry.roles import REPLICA_ROLE
from millfork_registry.suspects import decode_suspicions
from millfork_registry.switch_ends import SwitchEnds
from millfork_state.replica import Replica
from millfork_wire.connection import Connection, PeerError
from millfork_wire.messages import FindReplicas, Follow, Leases, Replicas, VersionSwitch
from millfork_wire.peers import PeerAddress, Peers

ASK_EVERY_S: Final = 0.5
FOLLOW_TIMEOUT_S: Final = 0.6
# The caller of a back end's last word waits a second for the answer.
SPREAD_TIMEOUT_S: Final = 0.7
# An owner that was not heard this long no longer watches its leases.
OWNER_LOST_S: Final = 2.0
# A round comes each half second; one that is later by more shows that this process did
# not run meanwhile.
STOOD_STILL_S: Final = 1.5
# Replicas that answered this lately are named to others.
NAMED_WITHIN_S: Final = 20.0
# Replicas ask each other twice a second; what one said is believed this long.
HEARD_WITHIN_S: Final = 2.0
# Back ends that reach a replica that starts have told it of themselves after this many
# heartbeats at most.
SETTLED_HEARTBEATS: Final = 2.5

log = logger(Part.REGISTRY)


class _Count:
    """
    Answers counted towards a majority.

    """

    def __init__(self, wanted: int) -> None:
        self.wanted = wanted
        self.got = 0
        self.enough = curio.Event()

    async def add(self) -> None:
        self.got += 1
        if self.got >= self.wanted:
            await self.enough.set()


class Mesh:
    """
    This replica's ties to the others.

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
        switches: Callable[[], list[VersionSwitch]] = list,
    ) -> None:
        self.env = env
        # The versions named lately, for those who ask: whoever starts, or hears of one
        # late, does not know by itself how long ago that was.
        self.switches = switches
        self.switch_ends = SwitchEnds()
        self.peers = peers
        self.replica = replica
        self.registry = registry
        self.discovery = discovery
        self.followers = followers
        self.settle_s = heartbeat_s * SETTLED_HEARTBEATS
        self.started_at = env.monotonic()
        self.followed: dict[InstanceId, Connection] = {}
        self.heard: dict[str, float] = {}
        # Those that are being asked: one that is frozen takes 2 s to fail, and the others
        # are not to wait for it.
        self.meeting: set[InstanceId] = set()
        self.round_at = env.monotonic()

    async def keep(self) -> None:
        """
        The task that keeps up with the other replicas.

        """
        while True:
            self._learn_members()
            self._note_standstill()
            for address in self.discovery.addresses():
                if address.instance not in self.meeting:
                    self.meeting.add(address.instance)
                    await self.env.spawn(self._meet_once, address)
            self.note_settled()
            self.registry.forget_silent_endpoints()
            if self.registry.expire(self._lost_owners()):
                await self.followers.wake()
            await curio.sleep(ASK_EVERY_S)

    def note_settled(self) -> None:
        """
        After some heartbeats a replica knows the leases of all back ends that reach it, and
        by a majority of the replicas those of all others; by itself it does not, in a cut.

        """
        if self.registry.settled:
            return
        if self.env.monotonic() - self.started_at <= self.settle_s:
            return
        members = [instance for instance, _ in self.replica.members]
        known = sum(
            instance == self.env.instance or self._follows(instance) for instance in members
        )
        if known > len(members) // 2:
            self.registry.settled = True

    def _follows(self, instance: str) -> bool:
        connection = self.followed.get(InstanceId(instance))
        return connection is not None and not connection.closed

    def _learn_members(self) -> None:
        for instance, _ in self.replica.members:
            if instance != self.env.instance:
                self.discovery.learn(instance)
                self.replica.add_address(address_of(instance))

    def _note_standstill(self) -> None:
        """
        A process that stood still heard nobody, which says nothing of the others.

        """
        now = self.env.monotonic()
        stood_s = now - self.round_at
        self.round_at = now
        if stood_s < STOOD_STILL_S:
            return
        log.warning('This process stood still. seconds={:.1f}', stood_s)
        self.started_at = now
        self.heard.clear()
        self.registry.count_anew()

    async def _meet_once(self, address: PeerAddress) -> None:
        try:
            await self._meet(address)
        finally:
            self.meeting.discard(address.instance)

    async def _meet(self, address: PeerAddress) -> None:
        question = FindReplicas(
            str(self.env.instance), self.replica.cluster, self.followers.entries_here
        )
        asked_at = self.env.monotonic()
        reply = await self.discovery.ask(address, question)
        if reply is None:
            self.followers.entries_elsewhere.pop(str(address.instance), None)
            return
        self.heard[str(address.instance)] = self.env.monotonic()
        self.replica.add_address(address)
        self.followers.entries_elsewhere[str(address.instance)] = reply.entries
        self.switch_ends.note(asked_at, reply.switches)
        await self._follow(address)

    async def _follow(self, address: PeerAddress) -> None:
        connection = self.peers.connections.get(address.instance)
        if connection is None or self.followed.get(address.instance) is connection:
            return
        try:
            await connection.call(Follow(REPLICA_ROLE), FOLLOW_TIMEOUT_S)
        except PeerError as error:
            log.info('No leases from replica {}: {}.', address.instance, error)
            return
        self.followed[address.instance] = connection

    def _lost_owners(self) -> set[str]:
        now = self.env.monotonic()
        owners = {lease.owner for lease in self.registry.leases.values()}
        return {
            owner for owner in owners if now - self.heard.get(owner, self.started_at) > OWNER_LOST_S
        }

    def on_find(self, message: FindReplicas, zone: str) -> Replicas:
        """
        Answer whoever looks for replicas, from a zone; another replica is
        taken up.

        """
        caches = self.followers.caches_here()
        if message.instance:
            self.discovery.learn(message.instance)
            self.replica.add_address(address_of(message.instance))
            self.heard[message.instance] = self.env.monotonic()
            self.followers.entries_elsewhere[message.instance] = message.entries
        else:
            caches += self.discovery.caches_elsewhere(HEARD_WITHIN_S)
        known = {instance for instance, _ in self.replica.members}
        known.update(self.discovery.answering(NAMED_WITHIN_S))
        known.add(str(self.env.instance))
        return Replicas(
            self.replica.cluster,
            str(self.replica.leader),
            sorted(known),
            self.replica.age_ms(),
            self.followers.entries_here,
            named(caches, None if message.instance else zone),
            str(self.env.zone),
            self.switches(),
        )

    async def on_leases(self, peer: InstanceId, message: Leases) -> None:
        """
        Take what another replica knows, and pass it on to followers.

        """
        self.heard[str(peer)] = self.env.monotonic()
        try:
            leases = decode_leases(message.leases)
            endpoints = decode_states(message.reports)
            suspicions = decode_suspicions(message.suspicions)
        except msgspec.DecodeError as error:
            log.warning('Leases can not be read: {}.', error)
            return
        changes = [self.registry.take(lease) for lease in leases]
        changes += [self.registry.take_endpoint(state) for state in endpoints]
        if message.full and message.settled:
            self.registry.settled = True
        news = await self.registry.suspects.hear(suspicions)
        if news or Change.CHANGED in changes:
            await self.followers.wake()

    async def spread(self, lease: Lease) -> bool:
        """
        Bring one lease to the other replicas at once; True when a majority,
        this one included, has it.

        """
        members = {instance for instance, _ in self.replica.members}
        others = [a for a in self.replica.others if a.instance in members]
        count = _Count(len(members) // 2 + 1)
        await count.add()
        message = Leases(leases=encode_records([lease]))
        for address in others:
            await self.env.spawn(self._tell, address, message, count)
        try:
            async with curio.timeout_after(SPREAD_TIMEOUT_S):
                await count.enough.wait()
        except curio.TaskTimeout:
            log.warning(
                'Lease not spread. instance={} told={} wanted={}',
                lease.instance,
                count.got,
                count.wanted,
            )
            return False
        return True

    async def _tell(self, address: PeerAddress, message: Leases, count: _Count) -> None:
        try:
            await self.peers.call(address, message, SPREAD_TIMEOUT_S)
        except PeerError as error:
            log.info('Replica {} did not take a lease: {}.', address.instance, error)
            return
        await count.add()
