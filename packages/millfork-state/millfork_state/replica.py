"""
One replica of the replicated state: terms, votes and the follower's side of the log.

The algorithm is Raft with pre-votes and single-step membership changes. A
voter is a pair of instance and disk id, so a replica that lost its disk can't
vote in place of the earlier voter on its instance.

"""

from enum import Enum
from typing import Final

import curio
import msgspec

from millfork_core.clocks import LONG_AGO, MAX_AGE_MS
from millfork_core.environment import Environment
from millfork_core.ids import NO_INSTANCE, ClusterId, InstanceId, Revision
from millfork_core.line_limiter import LineLimiter
from millfork_core.logs import Component, logger
from millfork_settings.common import StateSettings
from millfork_state.arrival_times import ArrivalTimes
from millfork_state.commands import (
    AnyCommand,
    Raise,
    SetMembers,
    decode_command,
    decode_versioned,
)
from millfork_state.pending import PendingProposal, with_timestamp
from millfork_state.state_machine import StateMachine, members_in
from millfork_state.storage import LogEntry, Snapshot, Storage
from millfork_state.view import StoredValue, View
from millfork_wire.codec import PreVote
from millfork_wire.messages import (
    AppendReply,
    AppendRequest,
    Entry,
    InstallRequest,
    VoteReply,
    VoteRequest,
)
from millfork_wire.peers import PeerAddress, Peers

# An election timeout is the setting `election_ms` plus a random part, which is at most this
# fraction of the setting.
ELECTION_SPREAD_FRACTION: Final = 0.5
# A snapshot is due this many log entries later than the setting `snapshot_entries` says.
SNAPSHOT_SLACK_ENTRIES: Final = 200
# A snapshot is also due once the log file has this many times the bytes of the last snapshot, so
# that a replica that lags behind is never sent many times the size of the state.
MAX_LOG_TO_SNAPSHOT_RATIO: Final = 4
MIN_COMPACTED_LOG_BYTES: Final = 256 * 1024

# How many times within a heartbeat period a replica that leaves checks whether it is still a voter.
CHECKS_PER_HEARTBEAT: Final = 4

log = logger(Component.STATE)


class ReplicaState(Enum):
    """
    A replica's role in the present term.

    """

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class Replica:
    """
    The state of one replica in any role, and its answers to leaders and candidates.

    """

    def __init__(
        self,
        env: Environment,
        settings: StateSettings,
        storage: Storage,
        view: View,
        peers: Peers,
        addresses: list[PeerAddress],
    ) -> None:
        self.env = env
        self.settings = settings
        self.storage = storage
        self.view = view
        self.peers = peers
        self.others = [address for address in addresses if address.instance != env.instance]
        self.machine = StateMachine(view)
        self.arrival_times = ArrivalTimes(env.monotonic)
        self.state = ReplicaState.FOLLOWER
        self.leader: InstanceId = NO_INSTANCE
        self.leader_contact_at = env.monotonic()
        # The election timeout counts from this time or from `leader_contact_at`, whichever is
        # later. A replica that gets no majority of pre-votes sets only this time, so that it still
        # grants pre-votes to other candidates.
        self.campaign_delay_from = self.leader_contact_at
        # Log lines about requests that got too few votes, by the type of the request.
        self.lost_vote_lines = LineLimiter()
        # The last time (monotonic seconds) at which this replica had applied all log entries that
        # its leader had committed.
        self.caught_up_at = LONG_AGO
        self.commit = 0
        self.applied = 0
        self.members: list[tuple[str, str]] = []
        # Whether this replica is about to stop and asks to be removed from the voters.
        self.leaving = False
        self.lock = curio.Lock()
        self.applied_changed = curio.Condition()
        self.stepped_down = curio.Event()
        self.pending: dict[int, PendingProposal] = {}
        self.proposals: curio.Queue = curio.Queue()
        # When a write to disk last failed (monotonic seconds). Within one election timeout after
        # that, the replica doesn't campaign.
        self.disk_failed_at = -settings.election_ms / 1000
        self.heartbeat_s = settings.heartbeat_ms / 1000
        self.election_s = settings.election_ms / 1000

    def add_address(self, address: PeerAddress) -> bool:
        """
        Add the address of another replica. False if the address is known already or
        is this replica's own.

        """
        if address.instance == self.env.instance or address in self.others:
            return False
        self.others.append(address)
        log.info('Added the address of replica {}.', address.instance)
        return True

    @property
    def term(self) -> int:
        return self.storage.vote.term

    @property
    def cluster(self) -> ClusterId:
        return self.storage.cluster

    @property
    def is_voter(self) -> bool:
        return (self.env.instance, self.storage.disk) in self.members

    @property
    def majority(self) -> int:
        return len(self.members) // 2 + 1

    @property
    def has_spare_voter(self) -> bool:
        """
        Whether the voters without any one of them could tolerate the loss of `losses` disks. False
        if the setting `losses` isn't set.

        """
        losses = self.settings.losses
        return losses is not None and len(self.members) - 1 >= 2 * losses + 1

    @property
    def is_committed_voter(self) -> bool:
        """
        Whether this replica is a voter by the newest committed membership.

        """
        return (self.env.instance, self.storage.disk) in self._members_at(self.commit)

    async def leave(self, timeout_s: float) -> bool:
        """
        Ask the leader, which may be this replica, to remove this replica from the voters. Otherwise
        the replica would count as a lost voter once it has stopped. Returns whether it is no voter
        any more; False if the remaining voters would be too few, or after `timeout_s` seconds.

        """
        self.leaving = True
        deadline = self.env.monotonic() + timeout_s
        while self.is_committed_voter:
            is_removed = not self.is_voter
            if not (is_removed or self.has_spare_voter) or self.env.monotonic() >= deadline:
                return False
            await curio.sleep(self.heartbeat_s / CHECKS_PER_HEARTBEAT)
        return True

    async def recover(self) -> None:
        """
        Restore the state from the files, up to the last log entry known to be committed.

        """
        snapshot = self.storage.snapshot
        if snapshot is not None:
            self.machine.restore(snapshot.dump)
            self.applied = snapshot.index
            self.commit = snapshot.index
        if self.storage.torn_bytes:
            log.warning('Truncated a torn write of {} bytes.', self.storage.torn_bytes)
            self.env.metrics.count(self.env.metrics.state, event='torn_tail')
        self._update_members()
        known_committed = max(self.commit, self.storage.commit_hint)
        await self.advance_commit(known_committed)
        log.info(
            'Recovered revision {} at log index {}.', self.view.revision, self.storage.last_index
        )

    def _update_members(self) -> None:
        """
        Use the newest membership in the log, which counts even before it is committed.

        """
        self.members = self._members_at(self.storage.last_index)
        self.env.metrics.voter.set({}, int(self.is_voter))

    async def write(self, entries: list[LogEntry], committed: int = 0) -> None:
        """
        Write entries to the log (not yet durably), record their arrival and update the membership.
        Entries up to the index `committed` were committed before they arrived.

        """
        replaces_tail = bool(entries) and entries[0].index <= self.storage.last_index
        self.storage.write_entries(entries)
        if replaces_tail:
            self.arrival_times.discard_from(entries[0].index)
        changes_members = False
        for entry in entries:
            command = decode_command(entry.payload)
            arrived_at = self.caught_up_at if entry.index <= committed else None
            self.arrival_times.record(entry.index, command, arrived_at)
            changes_members = changes_members or isinstance(command, SetMembers)
        if replaces_tail or changes_members:
            self._update_members()

    # Commit and apply.

    async def advance_commit(self, index: int) -> None:
        """
        Mark log entries up to `index` as committed and apply them.

        """
        index = min(index, self.storage.last_index)
        if index <= self.commit and self.applied >= self.commit:
            return
        if index > self.commit:
            self.commit = index
            self.storage.write_commit(index)
        before = self.view.position
        while self.applied < self.commit:
            self.applied += 1
            await self._apply(self.storage.entry_at(self.applied))
        await self._notify_applied(before)

    async def _notify_applied(self, position_before: tuple[ClusterId, Revision]) -> None:
        async with self.applied_changed:
            await self.applied_changed.notify_all()
        if self.view.position != position_before:
            self.env.metrics.revision.set({}, self.view.revision)
            await self.view.notify_waiters()

    async def wait_until_applied(self, index: int, timeout_s: float) -> bool:
        """
        Wait until the log entries up to `index` are applied here. False after `timeout_s` seconds.

        """
        try:
            async with curio.timeout_after(timeout_s), self.applied_changed:
                while self.applied < index:
                    await self.applied_changed.wait()
        except curio.TaskTimeout:
            return False
        return True

    async def _apply(self, entry: LogEntry) -> None:
        command = decode_command(entry.payload)
        if isinstance(command, SetMembers):
            self.view.cluster = ClusterId(command.cluster)
        result = self.machine.apply(command)
        pending = self.pending.pop(entry.index, None)
        if pending is not None:
            await pending.settle(True, result)

    def record_disk_failure(self, error: OSError) -> None:
        """
        Record that a write to disk failed just now.

        """
        self.disk_failed_at = self.env.monotonic()
        self.env.metrics.count(self.env.metrics.state, event='disk_failed')
        log.error('A write to disk failed: {}. term={}', error, self.term)

    @property
    def disk_works(self) -> bool:
        """
        Whether no write failed within the last election timeout.

        """
        return self.env.monotonic() - self.disk_failed_at >= self.election_s

    async def snapshot_if_due(self) -> None:
        """
        Replace the applied log entries by a snapshot if there are enough of them.

        """
        if not self._snapshot_is_due():
            return
        async with self.lock:
            index = self.applied
            members = self._members_at(index)
            dump = self.machine.dump(members)
            term = self.storage.term_at(index) or 0
            await self.storage.save_snapshot(Snapshot(index, term, members, dump))
        self.env.metrics.count(self.env.metrics.state, event='snapshot')

    def _snapshot_is_due(self) -> bool:
        storage = self.storage
        entries = self.applied - storage.snapshot_index
        if entries >= self.settings.snapshot_entries + SNAPSHOT_SLACK_ENTRIES:
            return True
        snapshot_bytes = len(storage.snapshot.dump) if storage.snapshot else 0
        max_bytes = max(MIN_COMPACTED_LOG_BYTES, MAX_LOG_TO_SNAPSHOT_RATIO * snapshot_bytes)
        return entries > 0 and storage.size >= max_bytes

    def _members_at(self, index: int) -> list[tuple[str, str]]:
        for entry in reversed(self.storage.entries):
            if entry.index > index:
                continue
            command = decode_command(entry.payload)
            if isinstance(command, SetMembers):
                return list(command.members)
        snapshot = self.storage.snapshot
        return list(snapshot.members) if snapshot else []

    # Terms.

    async def enter_term(self, term: int, voted_for: str = '', cluster: str = '') -> None:
        """
        Store a new term and the vote in it, and become a follower. An empty `cluster` keeps the
        stored one.

        """
        await self.storage.save_vote(term, voted_for, cluster)
        await self.step_down()

    async def step_down(self) -> None:
        """
        Become a follower. Proposals in this replica's log that aren't applied yet are settled as
        not applied, but they may still be committed.

        """
        if self.state is ReplicaState.LEADER:
            log.notice('Stepped down as leader. term={}', self.term)
        self.state = ReplicaState.FOLLOWER
        self.env.metrics.leader.set({}, 0)
        await self.stepped_down.set()
        pending = list(self.pending.values())
        self.pending.clear()
        for proposal in pending:
            await proposal.settle(False)

    # The follower's answers.

    async def on_pre_vote(self, request: PreVote) -> VoteReply:
        """
        Answer whether this replica would vote for the candidate, without any change of state. The
        answer is no while this replica leads, or if a leader was in contact with it within the last
        election timeout.

        """
        leader_is_silent = self.env.monotonic() - self.leader_contact_at > self.election_s
        granted = (
            leader_is_silent
            and self.state is not ReplicaState.LEADER
            and request.cluster == self.cluster
            and request.term > self.term
            and self._is_up_to_date(request)
        )
        return VoteReply(self.term, granted, self.storage.disk)

    async def on_vote(self, request: VoteRequest) -> VoteReply:
        """
        Vote for at most one candidate in each term, and only if the candidate's log is at least as
        up to date as this replica's.

        """
        async with self.lock:
            if request.cluster != self.cluster or request.term < self.term:
                return VoteReply(self.term, False, self.storage.disk)
            if request.term > self.term:
                await self.enter_term(request.term)
            may_vote = self.storage.vote.voted_for in ('', request.candidate)
            granted = may_vote and self._is_up_to_date(request)
            if granted:
                await self.storage.save_vote(self.term, request.candidate)
                self.leader_contact_at = self.env.monotonic()
            return VoteReply(self.term, granted, self.storage.disk)

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        own_last = (self.storage.last_term, self.storage.last_index)
        return (request.last_term, request.last_index) >= own_last

    async def _accept_leader(self, cluster: str, term: int, leader: str) -> bool:
        if self.cluster and cluster != self.cluster:
            self.env.metrics.count(self.env.metrics.state, event='foreign_cluster')
            return False
        if term < self.term:
            self.env.metrics.count(self.env.metrics.state, event='stale_leader')
            return False
        if term > self.term or not self.cluster:
            await self.enter_term(term, cluster=cluster)
        elif self.state is ReplicaState.CANDIDATE:
            await self.step_down()
        self.leader = InstanceId(leader)
        self.leader_contact_at = self.env.monotonic()
        return True

    def _append_reply(self, ok: bool, match: int) -> AppendReply:
        return AppendReply(self.term, ok, match, self.storage.disk, self.leaving)

    async def on_append(self, request: AppendRequest) -> AppendReply:
        """
        Store log entries from the leader and apply those that are committed. The answer follows
        only once the stored entries are durable.

        """
        if self._is_heartbeat_of_leader(request):
            # Doesn't wait for the lock, which is held while entries are written to disk.
            self.leader_contact_at = self.env.monotonic()
            self._record_committed(request.commit)
            return self._append_reply(True, 0)
        async with self.lock:
            if not await self._accept_leader(request.cluster, request.term, request.leader):
                return self._append_reply(False, 0)
            prev_term = self.storage.term_at(request.prev_index)
            if prev_term is None and request.prev_index < self.storage.snapshot_index:
                # Entries that a snapshot covers are committed, so the leader has them too.
                return self._append_reply(True, self.storage.snapshot_index)
            if prev_term != request.prev_term:
                index = min(request.prev_index - 1, self.storage.last_index)
                return self._append_reply(False, max(index, self.commit))
            await self._write_new_entries(request.entries, request.commit)
            match_index = request.prev_index + len(request.entries)
            # Entries may be in the log without being durable, if an earlier sync was cancelled.
            if self.storage.durable_index < match_index:
                await self.storage.sync()
            await self.advance_commit(min(request.commit, match_index))
            self._record_committed(request.commit)
            return self._append_reply(True, match_index)

    def _record_committed(self, index: int) -> None:
        """
        Record that the leader has committed its log up to `index`.

        """
        if self.applied >= index:
            self.caught_up_at = self.env.monotonic()

    def _is_heartbeat_of_leader(self, request: AppendRequest) -> bool:
        """
        Whether a request without log entries, which is about no place in the log, comes from the
        leader that this replica follows.

        """
        sender = (request.cluster, request.term, request.leader)
        return (
            not request.entries
            and not request.prev_index
            and self.state is ReplicaState.FOLLOWER
            and sender == (self.cluster, self.term, self.leader)
        )

    async def _write_new_entries(self, entries: list[Entry], committed: int) -> None:
        new = [item for item in entries if self.storage.term_at(item.index) != item.term]
        new = [item for item in new if item.index > self.storage.snapshot_index]
        if new:
            first = new[0].index
            tail = [item for item in entries if item.index >= first]
            log_entries = [LogEntry(item.term, item.index, item.payload) for item in tail]
            await self.write(log_entries, committed)

    async def on_install(self, request: InstallRequest) -> AppendReply:
        """
        Replace this replica's state by a snapshot from the leader, unless this replica has already
        committed all that the snapshot covers.

        """
        async with self.lock:
            if not await self._accept_leader(request.cluster, request.term, request.leader):
                return self._append_reply(False, 0)
            if request.last_index <= self.commit:
                return self._append_reply(True, self.commit)
            before = self.view.position
            held = dict(self.view.items)
            members = members_in(request.snapshot)
            snapshot = Snapshot(request.last_index, request.last_term, members, request.snapshot)
            await self.storage.save_snapshot(snapshot)
            self.machine.restore(request.snapshot)
            self.commit = max(self.commit, request.last_index)
            self.applied = request.last_index
            self._update_members()
            self._record_versions_since(held, request.last_index)
            await self._notify_applied(before)
            self.env.metrics.count(self.env.metrics.state, event='snapshot_installed')
            return self._append_reply(True, request.last_index)

    def _record_versions_since(self, held: dict[str, StoredValue], index: int) -> None:
        """
        Record the versions that a snapshot up to `index` has set and that were not `held` before.
        They may have been set as early as this replica last had everything.

        """
        for key, stored in self.view.items.items():
            if key in held and held[key].value == stored.value:
                continue
            try:
                version = decode_versioned(stored.value).version
            except msgspec.DecodeError:
                # Not set by `Raise`, so it has no version.
                continue
            self.arrival_times.record(index, Raise(key, version, b''), self.caught_up_at)

    # Proposals.

    async def propose(self, command: AnyCommand) -> PendingProposal:
        """
        Queue a command for the log. Only a leader processes the queue.

        """
        pending = PendingProposal(with_timestamp(command))
        await self.proposals.put(pending)
        return pending

    def describe(self) -> str:
        """
        This replica's role, leader, voters and log, for log lines.

        """
        contact_s = 0.0
        if self.state is not ReplicaState.LEADER:
            contact_s = self.env.monotonic() - self.leader_contact_at
        voters = ','.join(sorted(instance for instance, _ in self.members))
        return (
            f'state={self.state.value} leader={self.leader or "unknown"} '
            f'leader_contact_s={contact_s:.1f} term={self.term} is_voter={self.is_voter} '
            f'voters={voters} commit={self.commit} last={self.storage.last_index} '
            f'age_ms={self.age_ms()}'
        )

    def age_ms(self) -> int:
        """
        Milliseconds since this replica was last known to have applied all committed log entries.

        Contact with the leader isn't enough: when it was, a replica that returned after a partition
        counted as up to date at once, and for 0.2 s it told newly started front proxies that old
        versions had just been set. A leader counts as up to date (age 0) once it has applied a log
        entry of its own term. Before that, the leader may not know which earlier log entries are
        committed.

        """
        is_leader = self.state is ReplicaState.LEADER
        if is_leader and self.storage.term_at(self.applied) == self.term:
            return 0
        age_s = self.env.monotonic() - self.caught_up_at
        return int(min(age_s * 1000, MAX_AGE_MS))
