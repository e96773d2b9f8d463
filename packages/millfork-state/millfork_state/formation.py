"""
Formation of the replicated state when a fleet starts for the first time.

The replica with the lowest id waits until every replica answers that its disk is
empty, and then writes the first log entry. A replica that lost its disk finds others
that are not empty, so it can never form a second state.

"""

import uuid
from dataclasses import dataclass
from typing import Final

import curio

from millfork_core.ids import ClusterId, InstanceId
from millfork_core.logs import Component, logger
from millfork_state.commands import SetMembers, decode_command, encode_command
from millfork_state.replica import Replica
from millfork_state.storage import LogEntry
from millfork_wire.connection import PeerError
from millfork_wire.messages import Genesis, Identify, Identity, Member
from millfork_wire.peers import PeerAddress

FORMATION_RETRY_S: Final = 0.2
IDENTIFY_TIMEOUT_S: Final = 1.0
FIRST_TERM: Final = 1

log = logger(Component.STATE)


def identity_of(replica: Replica) -> Identity:
    """
    The ids of the replica's disk and cluster, and whether the replica is empty (has neither a
    cluster nor a log).

    """
    empty = not replica.cluster and replica.storage.last_index == 0
    return Identity(replica.storage.disk, replica.cluster, empty)


@dataclass(frozen=True, slots=True)
class Seeds:
    """
    The other replicas that are needed to form the state, and whether this process may form the
    state. Replicas that aren't in `others` join the state later.

    """

    others: list[PeerAddress]
    may_form: bool

    def writes_first_log_entry(self, instance: InstanceId) -> bool:
        """
        Whether the replica on `instance` may form the state, and its id is lower than those of all
        `others`.

        """
        return self.may_form and all(instance < other.instance for other in self.others)


async def form_or_join(replica: Replica, seeds: Seeds) -> None:
    """
    Return once this replica belongs to a cluster, formed here or joined.

    """
    while not replica.cluster:
        if await _finish_genesis(replica):
            return
        if seeds.writes_first_log_entry(replica.env.instance):
            members = await _find_empty_members(replica, seeds.others)
            if members is not None and await _form_cluster(replica, members):
                return
        await curio.sleep(FORMATION_RETRY_S)


async def _finish_genesis(replica: Replica) -> bool:
    """
    Join the cluster in the first log entry, if an earlier process ended after it had stored the
    entry and before it stored the cluster. True if the replica belongs to a cluster afterwards.

    """
    async with replica.lock:
        if replica.cluster or not replica.storage.entries:
            return bool(replica.cluster)
        first = decode_command(replica.storage.entry_at(1).payload)
        if not isinstance(first, SetMembers):
            return False
        try:
            await replica.storage.save_vote(max(replica.term, FIRST_TERM), '', first.cluster)
        except OSError as error:
            replica.record_disk_failure(error)
            return False
    return True


async def _find_empty_members(
    replica: Replica,
    others: list[PeerAddress],
) -> list[tuple[str, str]] | None:
    members = [(str(replica.env.instance), str(replica.storage.disk))]
    for address in others:
        try:
            reply = await replica.peers.call(address, Identify(), IDENTIFY_TIMEOUT_S)
        except PeerError:
            return None
        if not isinstance(reply, Identity) or not reply.empty:
            return None
        members.append((address.instance, reply.disk))
    return members


async def _form_cluster(replica: Replica, members: list[tuple[str, str]]) -> bool:
    cluster = ClusterId(uuid.uuid4().hex)
    try:
        formed = await accept_genesis(replica, cluster, members)
    except OSError as error:
        replica.record_disk_failure(error)
        return False
    if formed:
        log.notice('Formed the state with {} replicas.', len(members))
    return formed


async def accept_genesis(
    replica: Replica,
    cluster: str,
    members: list[tuple[str, str]],
) -> bool:
    """
    Write the first log entry if this replica is empty and its disk is one of `members`. True if
    the replica belongs to `cluster` afterwards.

    """
    async with replica.lock:
        if not identity_of(replica).empty:
            return replica.cluster == cluster
        if (replica.env.instance, replica.storage.disk) not in members:
            return False
        payload = encode_command(SetMembers(cluster, members))
        await replica.write([LogEntry(FIRST_TERM, 1, payload)])
        await replica.storage.sync()
        await replica.storage.save_vote(FIRST_TERM, '', cluster)
    return True


async def distribute_genesis(replica: Replica) -> None:
    """
    Send the cluster and the members in the first log entry to every other replica, and retry until
    each has answered. Replicas that aren't empty ignore the message. Nothing is sent if a snapshot
    has replaced the first log entry.

    """
    if replica.storage.snapshot is not None or not replica.storage.entries:
        return
    first = decode_command(replica.storage.entry_at(1).payload)
    if not isinstance(first, SetMembers):
        return
    members = [Member(instance, disk) for instance, disk in first.members]
    genesis = Genesis(first.cluster, members)
    unanswered = list(replica.others)
    while unanswered:
        for address in list(unanswered):
            try:
                await replica.peers.call(address, genesis, IDENTIFY_TIMEOUT_S)
            except PeerError:
                continue
            unanswered.remove(address)
        await curio.sleep(FORMATION_RETRY_S)
