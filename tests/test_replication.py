"""
A leader that sends its log to replicas over slow links, and followers that store it slowly.

"""

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_settings.common import StateSettings
from millfork_state.commands import Raise, SetMembers, encode_command
from millfork_state.leader_client import LeaderClient
from millfork_state.leadership import Leadership
from millfork_state.node import ReadTarget, StateNode
from millfork_state.replica import MIN_COMPACTED_LOG_BYTES, Replica, ReplicaState
from millfork_state.replication import MAX_BATCH_BYTES, payload_bytes
from millfork_state.reports import Reports
from millfork_state.storage import LogEntry, Storage
from millfork_state.view import View
from millfork_wire.connection import PeerTimedOut
from millfork_wire.messages import AppendReply, AppendRequest, Entry, InstallRequest
from millfork_wire.peers import PeerAddress

CLUSTER = 'cluster'
SETTINGS = StateSettings(heartbeat_ms=20, election_ms=100)
# For a test that beside load must not take a pause of its own process for a silent replica.
BUSY_SETTINGS = StateSettings(heartbeat_ms=20, election_ms=300)
OTHERS = ('b', 'c')
DOCUMENT_BYTES = 40_000
DOCUMENTS = 50
STALLED_S = 1.0
TIMEOUT_S = 10.0


class SlowPeers:
    """
    Two other replicas. `b` has an empty log and answers at once to requests without log entries,
    and to those with log entries after others that it lacks. It gets the first log entries so
    slowly that none arrives within a test. `c` answers nothing.

    """

    def __init__(self):
        self.requests = []

    async def call(self, address, message, timeout):
        self.requests.append(message)
        if address.instance == 'c':
            await curio.sleep(timeout)
            raise PeerTimedOut('c')
        if payload_bytes(message) and not message.prev_index:
            await curio.sleep(timeout)
            raise PeerTimedOut('b')
        return AppendReply(message.term, message.prev_index == 0, 0, 'disk-b')


def raise_document(version):
    return Raise('document', version, bytes(DOCUMENT_BYTES))


def new_replica(folder, peers=None, settings=SETTINGS):
    env = Environment(InstanceId('a'), ZoneId('zone'))
    addresses = [PeerAddress(InstanceId(name), name, 1) for name in OTHERS]
    return Replica(env, settings, Storage(folder), View(), peers, addresses)


async def form(replica, commands):
    """
    Let a replica be a voter beside two others, with these commands in its log.

    """
    members = [('a', str(replica.storage.disk)), ('b', 'disk-b'), ('c', 'disk-c')]
    commands = [SetMembers(CLUSTER, members), *commands]
    entries = [
        LogEntry(1, index, encode_command(command)) for index, command in enumerate(commands, 1)
    ]
    await replica.write(entries)
    await replica.storage.sync()
    await replica.enter_term(1, cluster=CLUSTER)


async def lead(replica):
    await replica.enter_term(2, voted_for='a')
    replica.state = ReplicaState.LEADER
    replica.stepped_down.clear()
    return Leadership(replica)


def test_a_leader_stays_while_a_voter_gets_its_log_slowly(tmp_path):
    # Guards against a leader that takes a voter which is being sent log entries for a silent one.
    async def run():
        replica = new_replica(tmp_path, SlowPeers(), BUSY_SETTINGS)
        await form(replica, [raise_document(version) for version in range(1, DOCUMENTS + 1)])
        leadership = await lead(replica)
        task = await curio.spawn(leadership.run)
        await curio.sleep(STALLED_S)
        assert replica.state is ReplicaState.LEADER
        assert await leadership.confirm_leadership(STALLED_S) is False
        replica.applied = leadership.noop_index
        assert await leadership.confirm_leadership(STALLED_S)
        await task.cancel()

    curio.run(run)


def test_no_request_has_more_log_entries_than_a_slow_link_can_take(tmp_path):
    # Guards against a transfer that begins again from the start each time a connection is lost.
    async def run():
        peers = SlowPeers()
        replica = new_replica(tmp_path, peers)
        await form(replica, [raise_document(version) for version in range(1, DOCUMENTS + 1)])
        leadership = await lead(replica)
        task = await curio.spawn(leadership.run)
        await curio.sleep(STALLED_S / 2)
        await task.cancel()
        sizes = [payload_bytes(request) for request in peers.requests]
        assert DOCUMENT_BYTES < max(sizes) <= MAX_BATCH_BYTES

    curio.run(run)


def test_an_entry_over_the_batch_size_is_sent_alone(tmp_path):
    async def run():
        replica = new_replica(tmp_path)
        large = Raise('document', 1, bytes(2 * MAX_BATCH_BYTES))
        await form(replica, [large, large])
        found = replica.storage.entries_from(2, 256, MAX_BATCH_BYTES)
        assert [entry.index for entry in found] == [2]
        assert [entry.index for entry in replica.storage.entries_from(1, 256, MAX_BATCH_BYTES)] == [
            1
        ]

    curio.run(run)


def test_a_heartbeat_is_answered_while_log_entries_are_written(tmp_path):
    # Guards against a follower that takes its leader for silent while it stores a large append.
    async def run():
        replica = new_replica(tmp_path)
        await form(replica, [])
        append = AppendRequest(CLUSTER, 1, 'b', 1, 1, [], 1)
        assert (await replica.on_append(append)).ok
        replica.leader_contact_at -= STALLED_S
        async with replica.lock:
            heartbeat = AppendRequest(CLUSTER, 1, 'b', 0, 0, [], 1)
            async with curio.timeout_after(STALLED_S):
                reply = await replica.on_append(heartbeat)
        assert reply.ok
        assert replica.env.monotonic() - replica.leader_contact_at < STALLED_S

    curio.run(run)


def test_a_heartbeat_does_not_make_a_replica_that_lacks_changes_current(tmp_path):
    # Guards against entries that follow a replica which is still being sent acknowledged changes.
    async def run():
        replica = new_replica(tmp_path)
        await form(replica, [])
        assert (await replica.on_append(AppendRequest(CLUSTER, 1, 'b', 1, 1, [], 1))).ok
        caught_up_at = replica.caught_up_at
        assert (await replica.on_append(AppendRequest(CLUSTER, 1, 'b', 0, 0, [], 2))).ok
        assert replica.caught_up_at == caught_up_at
        assert (await replica.on_append(AppendRequest(CLUSTER, 1, 'b', 0, 0, [], 1))).ok
        assert replica.caught_up_at > caught_up_at

    curio.run(run)


@pytest.mark.parametrize('change', [{'term': 0}, {'leader': 'c'}, {'cluster': 'other'}])
def test_only_a_heartbeat_of_the_known_leader_is_answered_without_the_lock(tmp_path, change):
    async def run():
        replica = new_replica(tmp_path)
        await form(replica, [])
        assert (await replica.on_append(AppendRequest(CLUSTER, 1, 'b', 1, 1, [], 1))).ok
        fields = {'cluster': CLUSTER, 'term': 1, 'leader': 'b', **change}
        async with replica.lock:
            with pytest.raises(curio.TaskTimeout):
                async with curio.timeout_after(STALLED_S / 10):
                    await replica.on_append(AppendRequest(**fields))

    curio.run(run)


def test_a_log_of_many_times_the_size_of_the_state_is_replaced_by_a_snapshot(tmp_path):
    # Guards against a replica that lags and is sent each document of a day.
    async def run():
        replica = new_replica(tmp_path)
        await form(replica, [raise_document(version) for version in range(1, DOCUMENTS + 1)])
        await replica.advance_commit(DOCUMENTS + 1)
        assert replica.storage.size > MIN_COMPACTED_LOG_BYTES
        await replica.snapshot_if_due()
        assert replica.storage.snapshot_index == DOCUMENTS + 1
        assert replica.storage.size < MIN_COMPACTED_LOG_BYTES
        index = replica.storage.snapshot_index
        await replica.snapshot_if_due()
        assert replica.storage.snapshot_index == index

    curio.run(run)


def test_a_version_that_came_in_a_snapshot_is_no_older_than_the_state_before(tmp_path):
    # Guards against versions that end at once for callers, as the time of their naming is unknown.
    async def run():
        replica = new_replica(tmp_path / 'a')
        await form(replica, [])
        assert (await replica.on_append(AppendRequest(CLUSTER, 1, 'b', 1, 1, [], 1))).ok
        caught_up_at = replica.caught_up_at
        other = new_replica(tmp_path / 'b')
        await form(other, [Raise('version/model', 2, b'')])
        await other.advance_commit(2)
        dump = other.machine.dump(other.members)
        install = InstallRequest(CLUSTER, 1, 'b', 5, 1, dump)
        assert (await replica.on_install(install)).ok
        assert replica.arrival_times.find('version/model', 2) == caught_up_at

    curio.run(run)


class LeaderPeers:
    """
    Passes reads to another node.

    """

    def __init__(self, node):
        self.node = node
        self.targets = []

    async def call(self, address, message, timeout):
        self.targets.append(ReadTarget(message.what))
        return await self.node.answer_read(message)


class ConfirmedLeadership:
    async def confirm_leadership(self, timeout):
        return True


def read_nodes(tmp_path):
    leader = StateNode(new_replica(tmp_path / 'leader'), Reports())
    leader.leadership = ConfirmedLeadership()
    follower = StateNode(new_replica(tmp_path / 'follower'), Reports())
    peers = LeaderPeers(leader)
    env = Environment(InstanceId('a'), ZoneId('zone'))
    client = LeaderClient(env, peers, follower.replica.others, follower)
    return leader, follower, peers, client


async def apply_documents(node, count):
    await form(node.replica, [raise_document(version) for version in range(1, count + 1)])
    await node.replica.advance_commit(count + 1)


def test_a_read_at_a_replica_that_is_up_to_date_moves_no_document(tmp_path):
    # Guards against reads that fail for the size of the state, over a link that takes it slowly.
    async def run():
        leader, follower, peers, client = read_nodes(tmp_path)
        await apply_documents(leader, 2)
        await apply_documents(follower, 2)
        assert (await client.read_state(TIMEOUT_S)).revision == 2
        assert peers.targets == [ReadTarget.INDEX]

    curio.run(run)


def test_a_read_at_a_replica_that_lags_shows_what_the_leader_has(tmp_path):
    async def run():
        leader, follower, peers, client = read_nodes(tmp_path)
        await apply_documents(leader, 2)
        await apply_documents(follower, 1)
        assert (await client.read_state(TIMEOUT_S)).revision == 2
        assert peers.targets == [ReadTarget.INDEX, ReadTarget.STATE]

    curio.run(run)


def test_a_replica_that_had_caught_up_and_is_silent_does_not_become_a_voter(tmp_path):
    # Guards against a dead voter that is removed and added again in turn.
    async def run():
        replica = new_replica(tmp_path, SlowPeers())
        await form(replica, [])
        leadership = await lead(replica)
        progress = leadership.progress[0]
        progress.disk, progress.caught_up = 'disk-d', True
        now = replica.env.monotonic()
        progress.acked_at = now
        assert leadership._next_members() == [replica.members[0], replica.members[2]]
        progress.acked_at = now - replica.election_s
        assert leadership._next_members() is None

    curio.run(run)


def test_a_replica_that_lacks_only_what_is_being_committed_has_caught_up(tmp_path):
    # Guards against a new replica that never becomes a voter while changes come without a pause.
    async def run():
        replica = new_replica(tmp_path, SlowPeers())
        await form(replica, [])
        leadership = await lead(replica)
        progress = leadership.progress[0]
        replication = leadership._replication_to(progress)
        request = AppendRequest(CLUSTER, 2, 'a', 1, 1, [Entry(1, 2, b'')], 1)
        replica.commit = 5
        await replication._handle_reply(request, AppendReply(2, True, 2, 'disk-d'), 0.0)
        assert progress.caught_up
        request = AppendRequest(CLUSTER, 2, 'a', 1, 1, [Entry(1, 2, b'')], 4)
        await replication._handle_reply(request, AppendReply(2, True, 2, 'disk-d'), 0.0)
        assert not progress.caught_up

    curio.run(run)


def test_a_read_beside_a_transfer_does_not_wait_for_the_next_heartbeat(tmp_path):
    # Guards against reads that each take a heartbeat period while a voter gets its log.
    async def run():
        peers = SlowPeers()
        settings = StateSettings(heartbeat_ms=5_000, election_ms=30_000)
        replica = new_replica(tmp_path, peers, settings)
        await form(replica, [raise_document(1)])
        leadership = await lead(replica)
        task = await curio.spawn(leadership.run)
        while not any(payload_bytes(request) for request in peers.requests):
            await curio.sleep(0.01)
        await curio.sleep(STALLED_S / 10)
        replica.applied = leadership.noop_index
        assert await leadership.confirm_leadership(STALLED_S)
        await task.cancel()

    curio.run(run)


class LaterTermPeers:
    """
    Other replicas that are in a later term.

    """

    async def call(self, address, message, timeout):
        return AppendReply(message.term + 1, False, 0, f'disk-{address.instance}')


def test_a_disk_that_fails_while_an_answer_is_handled_ends_the_replication(tmp_path, monkeypatch):
    # Guards against a leader that goes on without a task that sends its log.
    async def fail(*arguments, **options):
        raise OSError('no space left')

    async def run():
        replica = new_replica(tmp_path, LaterTermPeers())
        await form(replica, [])
        leadership = await lead(replica)
        monkeypatch.setattr(replica.storage, 'save_vote', fail)
        replication = leadership._replication_to(leadership.progress[0])
        async with curio.timeout_after(TIMEOUT_S):
            with pytest.raises(OSError, match='no space left'):
                await replication.run()

    curio.run(run)
