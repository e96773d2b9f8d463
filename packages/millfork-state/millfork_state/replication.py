"""
The leader's side of the log of one other replica: sending log entries or a snapshot, and heartbeats
beside them.

A transfer may take as long as a slow link needs. Meanwhile heartbeats, which are small and overtake
it, tell the other replica that there is a leader, and tell the leader that the replica is there.

"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import singledispatch
from typing import Final

import curio

from millfork_core.logs import Component, logger
from millfork_state.replica import Replica, ReplicaState
from millfork_wire.connection import PeerError, PeerTimedOut
from millfork_wire.messages import AppendReply, AppendRequest, Entry, InstallRequest, Message
from millfork_wire.peers import PeerAddress

# The most log entries per append request, and the most bytes of them, unless one entry alone is
# larger. What the other replica has confirmed isn't sent again if the connection closes.
MAX_BATCH_ENTRIES: Final = 256
MAX_BATCH_BYTES: Final = 128 * 1024
# Timeout of a request without log entries.
CALL_TIMEOUT_S: Final = 2.0
# Timeout of a request with log entries or a snapshot. It needn't detect lost connections, which are
# closed when a heartbeat finds them silent.
TRANSFER_TIMEOUT_S: Final = 30.0

log = logger(Component.STATE)


@dataclass(slots=True)
class Progress:
    """
    The leader's record of one other replica: the next log index to send, the highest log index
    known to be durable on that replica, the replica's disk id, and when the last request that the
    replica answered was sent (monotonic seconds). `leaving` is set while the replica asks to be
    removed from the voters. `caught_up` is set if its last answer confirmed all log entries that
    were committed when the request was sent. `sending_bytes` is the size of the log entries or the
    snapshot in the request on its way. `wake` ends the pause before the next request,
    `heartbeat_wake` the one before the next heartbeat.

    """

    address: PeerAddress
    next_index: int
    match_index: int = 0
    disk: str = ''
    acked_at: float = 0.0
    leaving: bool = False
    caught_up: bool = False
    sending_bytes: int = 0
    wake: curio.Event = field(default_factory=curio.Event)
    heartbeat_wake: curio.Event = field(default_factory=curio.Event)


class Replication:
    """
    Sends the log of the leader of one term to another replica. Each answer is recorded in
    `progress` and notifies `acked`; `advance_commit` is called, under the replica's lock, when the
    other replica has confirmed log entries.

    """

    def __init__(
        self,
        replica: Replica,
        term: int,
        progress: Progress,
        acked: curio.Condition,
        advance_commit: Callable[[], Awaitable[None]],
    ) -> None:
        self.replica = replica
        self.term = term
        self.progress = progress
        self.acked = acked
        self.advance_commit = advance_commit

    @property
    def active(self) -> bool:
        replica = self.replica
        return replica.state is ReplicaState.LEADER and replica.term == self.term

    async def run(self) -> None:
        """
        Send log entries and heartbeats until the term ends.

        :raises OSError: if the disk fails.

        """
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._send_entries)
            await group.spawn(self._send_heartbeats)
        # A curio TaskGroup doesn't raise its tasks' exceptions by itself.
        if group.completed.exception is not None:
            raise group.completed.exception

    async def _send_entries(self) -> None:
        progress = self.progress
        while self.active:
            progress.wake.clear()
            sent_at = self.replica.env.monotonic()
            request = self._next_request()
            progress.sending_bytes = payload_bytes(request)
            timeout = TRANSFER_TIMEOUT_S if progress.sending_bytes else CALL_TIMEOUT_S
            try:
                reply = await self.replica.peers.call(progress.address, request, timeout)
            except PeerError as error:
                self._log_failed_send(request, error, sent_at)
                await curio.sleep(self.replica.heartbeat_s)
                continue
            finally:
                progress.sending_bytes = 0
            if isinstance(reply, AppendReply) and await self._handle_reply(request, reply, sent_at):
                continue
            await self._wait_for(progress.wake)

    async def _send_heartbeats(self) -> None:
        """
        Send heartbeats while a transfer is on its way. At other times, append requests without
        entries are the heartbeats.

        """
        progress = self.progress
        while self.active:
            progress.heartbeat_wake.clear()
            if progress.sending_bytes:
                await self._send_heartbeat()
            await self._wait_for(progress.heartbeat_wake)

    async def _send_heartbeat(self) -> None:
        replica = self.replica
        sent_at = replica.env.monotonic()
        # The index 0 is before every log, so the answer tells nothing of the other replica's log.
        request = AppendRequest(
            replica.cluster, self.term, replica.env.instance, 0, 0, [], replica.commit
        )
        try:
            reply = await replica.peers.call(self.progress.address, request, CALL_TIMEOUT_S)
        except PeerError:
            return
        if isinstance(reply, AppendReply):
            await self._record_answer(reply, sent_at)

    async def _wait_for(self, event: curio.Event) -> None:
        try:
            async with curio.timeout_after(self.replica.heartbeat_s):
                await event.wait()
        except curio.TaskTimeout:
            pass

    def _log_failed_send(self, request: Message, error: PeerError, sent_at: float) -> None:
        """
        Log a request that carried log entries or a snapshot and got no answer in time.

        """
        size = payload_bytes(request)
        if not size or not isinstance(error, PeerTimedOut):
            return
        replica = self.replica
        replica.env.metrics.count(replica.env.metrics.state, event='replication_timed_out')
        log.warning(
            'A replica did not confirm log entries in time. replica={} request={} bytes={} ms={} '
            'match={} last={}',
            self.progress.address.instance,
            type(request).__name__,
            size,
            int((replica.env.monotonic() - sent_at) * 1000),
            self.progress.match_index,
            replica.storage.last_index,
        )

    def _next_request(self) -> AppendRequest | InstallRequest:
        replica = self.replica
        storage = replica.storage
        next_index = self.progress.next_index
        if next_index > storage.snapshot_index:
            found = storage.entries_from(next_index, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES)
            entries = [Entry(entry.term, entry.index, entry.payload) for entry in found]
            request = self._append_request(next_index - 1, entries)
            if request is not None:
                return request
        snapshot = storage.snapshot
        assert snapshot is not None
        return InstallRequest(
            replica.cluster,
            self.term,
            replica.env.instance,
            snapshot.index,
            snapshot.term,
            snapshot.dump,
        )

    def _append_request(self, prev_index: int, entries: list[Entry]) -> AppendRequest | None:
        """
        An append request with the entries after `prev_index`. None if the log has no term for that
        index any more.

        """
        replica = self.replica
        prev_term = replica.storage.term_at(prev_index)
        if prev_term is None:
            return None
        return AppendRequest(
            replica.cluster,
            self.term,
            replica.env.instance,
            prev_index,
            prev_term,
            entries,
            replica.commit,
        )

    async def _record_answer(self, reply: AppendReply, sent_at: float) -> bool:
        """
        Record that the replica answered a request sent at `sent_at`, or enter the reply's term if
        it is higher. False in the latter case.

        """
        progress = self.progress
        replica = self.replica
        if reply.term > self.term:
            async with replica.lock:
                if reply.term > replica.term:
                    await replica.enter_term(reply.term)
            return False
        if progress.disk != reply.disk:
            progress.disk = reply.disk
            progress.match_index = 0
            progress.caught_up = False
        progress.acked_at = max(progress.acked_at, sent_at)
        progress.leaving = reply.leaving
        async with self.acked:
            await self.acked.notify_all()
        return True

    async def _handle_reply(
        self, request: AppendRequest | InstallRequest, reply: AppendReply, sent_at: float
    ) -> bool:
        """
        Update the progress from a reply. False if the next request can wait for new log entries or
        for the next heartbeat.

        """
        progress = self.progress
        replica = self.replica
        if not await self._record_answer(reply, sent_at):
            return True
        if reply.disk != progress.disk:
            # Meanwhile a heartbeat was answered from another disk.
            return True
        if not reply.ok:
            progress.next_index = min(reply.match + 1, max(progress.next_index - 1, 1))
            return True
        progress.match_index = max(progress.match_index, reply.match)
        progress.next_index = progress.match_index + 1
        progress.caught_up = progress.match_index >= committed_index(request) > 0
        async with replica.lock:
            if self.active:
                await self.advance_commit()
        return progress.next_index <= replica.storage.last_index


@singledispatch
def payload_bytes(request: Message) -> int:
    """
    The bytes of log entries or of a snapshot that a request carries.

    """
    return 0


@payload_bytes.register
def _(request: AppendRequest) -> int:
    return sum(len(entry.payload) for entry in request.entries)


@payload_bytes.register
def _(request: InstallRequest) -> int:
    return len(request.snapshot)


@singledispatch
def committed_index(request: Message) -> int:
    """
    The log index up to which a request says that the log is committed.

    """
    return 0


@committed_index.register
def _(request: AppendRequest) -> int:
    return request.commit
