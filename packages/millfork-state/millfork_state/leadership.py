"""
The tasks of the leader: writing its own log, replicating the log to the other replicas, stepping
down if the quorum is lost, and changing the membership.

"""

from typing import Final

import curio

from millfork_core.logs import Component, logger
from millfork_state.commands import SetMembers, encode_command
from millfork_state.pending import PendingProposal, noop_entry
from millfork_state.replica import Replica, ReplicaState
from millfork_state.replication import Progress, Replication
from millfork_state.storage import LogEntry

# The most log entries per disk sync.
MAX_BATCH_ENTRIES: Final = 256
# The leader adds no further voter once there are this many: more would only slow each commit.
MAX_VOTERS: Final = 9

log = logger(Component.STATE)


class Leadership:
    """
    The tasks of one replica while it leads one term.

    """

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.term = replica.term
        self.noop_index = replica.storage.last_index + 1
        self.progress = [
            Progress(address, replica.storage.last_index + 1, acked_at=replica.env.monotonic())
            for address in replica.others
        ]
        self.acked = curio.Condition()

    @property
    def active(self) -> bool:
        replica = self.replica
        return replica.state is ReplicaState.LEADER and replica.term == self.term

    async def run(self) -> None:
        """
        Lead until another term begins or fewer than a majority of the voters answer. Then step down
        and reject the queued proposals.

        :raises OSError: if the disk fails.

        """
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self.replica.stepped_down.wait)
            await group.spawn(self._write_log)
            await group.spawn(self._watch_quorum)
            await group.spawn(self._maintain_members)
            await group.spawn(self._replicate_to_new_addresses)
            for progress in self.progress:
                await group.spawn(self._replication_to(progress).run)
        async with self.replica.lock:
            if self.replica.term == self.term:
                await self.replica.step_down()
        await self._reject_proposals()
        # A curio TaskGroup doesn't raise its tasks' exceptions by itself.
        if group.completed.exception is not None:
            raise group.completed.exception

    async def _replicate_to_new_addresses(self) -> None:
        """
        Start replicating to replicas whose addresses become known during the term.

        """
        replica = self.replica
        while True:
            await curio.sleep(replica.heartbeat_s)
            known_addresses = {progress.address for progress in self.progress}
            for address in replica.others:
                if address in known_addresses:
                    continue
                next_index = replica.storage.last_index + 1
                progress = Progress(address, next_index, acked_at=replica.env.monotonic())
                self.progress.append(progress)
                await replica.env.spawn(self._replication_to(progress).run)

    def _replication_to(self, progress: Progress) -> Replication:
        return Replication(self.replica, self.term, progress, self.acked, self._advance_commit)

    async def _reject_proposals(self) -> None:
        queue = self.replica.proposals
        while not queue.empty():
            pending = await queue.get()
            await pending.settle(False)

    # The leader's own log.

    async def _write_log(self) -> None:
        storage = self.replica.storage
        await self._append([], [noop_entry(self.term, storage.last_index + 1)])
        while True:
            batch = [await self.replica.proposals.get()]
            while not self.replica.proposals.empty() and len(batch) < MAX_BATCH_ENTRIES:
                batch.append(await self.replica.proposals.get())
            await self._append(batch, [])

    async def _append(self, batch: list[PendingProposal], entries: list[LogEntry]) -> None:
        """
        Append `entries` and the commands of `batch` to the log with one disk sync, which runs while
        the other replicas receive them. If this term's leadership has ended, reject the batch.

        """
        replica = self.replica
        async with replica.lock:
            if not self.active:
                for pending in batch:
                    await pending.settle(False)
                return
            index = int(replica.storage.last_index)
            for pending in batch:
                index += 1
                entries.append(LogEntry(self.term, index, encode_command(pending.command)))
                replica.pending[index] = pending
            await replica.write(entries)
            await self._wake_all()
            await replica.storage.sync()
            await self._advance_commit()
        await replica.snapshot_if_due()

    async def _wake_all(self) -> None:
        for progress in self.progress:
            await progress.wake.set()
            await progress.heartbeat_wake.set()

    async def _advance_commit(self) -> None:
        """
        Commit up to the highest log index that a majority of voters holds durably, if the log entry
        at that index is of this term.

        """
        replica = self.replica
        match_indexes = []
        for instance, disk in replica.members:
            match_indexes.append(self._match_index(instance, disk))
        match_indexes.sort(reverse=True)
        index = match_indexes[replica.majority - 1]
        if index > replica.commit and replica.storage.term_at(index) == self.term:
            await replica.advance_commit(index)
            await self._wake_all()

    def _match_index(self, instance: str, disk: str) -> int:
        if instance == self.replica.env.instance:
            return self.replica.storage.durable_index if disk == self.replica.storage.disk else 0
        for progress in self.progress:
            if progress.address.instance == instance and progress.disk == disk:
                return progress.match_index
        return 0

    # Quorum.

    def _acked_since(self, moment: float) -> int:
        """
        The number of voters that answered a request sent at `moment` or later. This replica counts
        too if it is a voter.

        """
        replica = self.replica
        count = int(replica.is_voter)
        for progress in self.progress:
            voter = (progress.address.instance, progress.disk)
            if voter in replica.members and progress.acked_at >= moment:
                count += 1
        return count

    async def _watch_quorum(self) -> None:
        """
        Return once fewer than a majority of the voters have answered requests sent within the last
        two election timeouts. The leader then steps down, so that callers get 'no quorum' at once
        instead of a timeout.

        """
        replica = self.replica
        while True:
            await curio.sleep(replica.election_s / 2)
            since = replica.env.monotonic() - 2 * replica.election_s
            if self._acked_since(since) < replica.majority:
                log.warning(
                    'Stepping down as leader of term {}: no quorum. voters={} {}',
                    self.term,
                    len(replica.members),
                    self.describe(),
                )
                replica.env.metrics.count(replica.env.metrics.state, event='quorum_lost')
                return

    def describe(self) -> str:
        """
        For log lines: the index of the first log entry of this term and the last one applied, and
        for each other replica how long ago the last answered request was sent, the highest log
        index known to be durable there, and the payload bytes of the request on its way.

        """
        now = self.replica.env.monotonic()
        return f'applied={self.replica.applied} noop={self.noop_index} ' + ' '.join(
            f'{item.address.instance}=(silent_s={now - item.acked_at:.1f} '
            f'match={item.match_index} sending_bytes={item.sending_bytes})'
            for item in self.progress
        )

    def voter_lag_bytes(self) -> int:
        """
        The bytes of the log that the slowest voter has not confirmed.

        """
        replica = self.replica
        match_indexes = [self._match_index(instance, disk) for instance, disk in replica.members]
        return replica.storage.bytes_after(min(match_indexes, default=0))

    def voter_silent_s(self) -> float:
        """
        For how many seconds the voter that has been silent longest has answered no request.

        """
        replica = self.replica
        voters = {instance for instance, _ in replica.members}
        answered_at = [
            item.acked_at for item in self.progress if str(item.address.instance) in voters
        ]
        now = replica.env.monotonic()
        return now - min(answered_at, default=now)

    async def confirm_leadership(self, timeout: float) -> bool:
        """
        Wait until a majority has answered requests sent after this call started and all log entries
        committed in earlier terms are applied here. False if that takes longer than `timeout`
        seconds or this replica no longer leads the term.

        """
        replica = self.replica
        started_at = replica.env.monotonic()
        await self._wake_all()
        try:
            async with curio.timeout_after(timeout), self.acked:
                while self.active and not self._confirmed(started_at):
                    await self.acked.wait()
        except curio.TaskTimeout:
            return False
        return self.active

    def _confirmed(self, started_at: float) -> bool:
        replica = self.replica
        has_majority = self._acked_since(started_at) >= replica.majority
        return has_majority and replica.applied >= self.noop_index

    # Membership.

    async def _maintain_members(self) -> None:
        """
        The task that adds replicas that have caught up, and removes voters that are about to stop
        or silent as long as there are spare ones. If a voter's instance returned with another disk,
        the first of two log entries removes the voter with the old disk, and the second adds the
        one with the new disk.

        """
        replica = self.replica
        while True:
            await curio.sleep(replica.heartbeat_s)
            if replica.applied < self.noop_index:
                continue
            members = self._next_members()
            if members is None:
                continue
            pending = await replica.propose(SetMembers(replica.cluster, members))
            await pending.settled.wait()
            if not pending.applied:
                continue
            replica.env.metrics.count(replica.env.metrics.state, event='members_changed')
            log.notice('Voters are now {}.', ', '.join(instance for instance, _ in members))

    def _next_members(self) -> list[tuple[str, str]] | None:
        """
        The voters after the next change; None if there is nothing to change. Replicas are added
        before others are removed, so that a replaced voter can leave.

        """
        members = self.replica.members
        silent_since = self._silent_since()
        for progress in self.progress:
            instance = progress.address.instance
            if not progress.disk or (instance, progress.disk) in members:
                continue
            if not self._has_caught_up(progress):
                continue
            if progress.leaving or progress.acked_at <= silent_since:
                continue
            others = [member for member in members if member[0] != instance]
            if len(others) < len(members):
                return others
            if len(members) < MAX_VOTERS:
                return [*members, (instance, progress.disk)]
        if not self.replica.has_spare_voter:
            return None
        return self._without(self._leaving_instances()) or self._without(self._silent_instances())

    def _has_caught_up(self, progress: Progress) -> bool:
        """
        Whether a replica has confirmed all that is committed, or that was when it was last asked.

        """
        return progress.caught_up or progress.match_index >= self.replica.commit > 0

    def _without(self, instances: list[str]) -> list[tuple[str, str]] | None:
        """
        The voters without the first of these instances that has one; None if none has.

        """
        members = self.replica.members
        for instance in instances:
            remaining = [member for member in members if member[0] != instance]
            if len(remaining) < len(members):
                return remaining
        return None

    def _leaving_instances(self) -> list[str]:
        """
        The instances whose replicas ask to be removed. This replica is the last one, as it leads no
        longer once it is removed.

        """
        instances = [str(item.address.instance) for item in self.progress if item.leaving]
        if self.replica.leaving:
            instances.append(str(self.replica.env.instance))
        return instances

    def _silent_instances(self) -> list[str]:
        """
        The instances whose replicas have answered no request for an election timeout. Empty if
        fewer than a majority of the voters have answered: this replica may have been paused, or cut
        off.

        """
        since = self._silent_since()
        if self._acked_since(since) < self.replica.majority:
            return []
        return [str(item.address.instance) for item in self.progress if item.acked_at <= since]

    def _silent_since(self) -> float:
        """
        A replica that has answered no request sent after this time (monotonic seconds) is silent.

        """
        return self.replica.env.monotonic() - self.replica.election_s
