"""
A replica's files: the log, the vote and the snapshot.

All files are in one folder. A record or file counts as written only once it is synced. Commit marks
(records of the committed log index) are not synced, as losing one loses no acknowledged log entry.

"""

import errno
import itertools
import os
import struct
import time
import uuid
import zlib
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import curio
import msgspec

from millfork_core.ids import ClusterId, DiskId, LogIndex, Term
from millfork_core.logs import Component, logger

# The header of a record: the length and the CRC-32 checksum of the record's body.
RECORD_HEADER: Final = struct.Struct('>II')
MAX_RECORD_BYTES: Final = 64 * 1024 * 1024
VOTE_FILE: Final = 'vote'
SNAPSHOT_FILE: Final = 'snapshot'
LOG_FILE: Final = 'log'
NEW_FILE_MODE: Final = 0o644
# Errors of a disk that is full or failing. The disk may recover within seconds, so a starting
# replica retries after these errors. A replica that can't start for OPEN_TIMEOUT_S needs an
# operator.
RETRIED_DISK_ERRORS: Final = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EFBIG, errno.EIO})
OPEN_RETRY_DELAY_S: Final = 0.5
OPEN_TIMEOUT_S: Final = 60.0

log = logger(Component.STATE)


class CorruptStorage(Exception):
    """
    A file is damaged in a way that a torn write can't cause.

    """


class LogEntry(msgspec.Struct, frozen=True):
    """
    One entry of the log. The payload is an encoded command.

    """

    term: int
    index: int
    payload: bytes


class _CommitMark(msgspec.Struct, frozen=True, tag='c'):
    index: int


class _EntryRecord(msgspec.Struct, frozen=True, tag='e'):
    entry: LogEntry


class Vote(msgspec.Struct):
    """
    The disk's id, the cluster, the current term and the vote in that term, kept across restarts.

    """

    disk: str
    cluster: str = ''
    term: int = 0
    voted_for: str = ''


class Snapshot(msgspec.Struct, frozen=True):
    """
    The dump of the state machine after it applied the log entry at `index`, and the voters then.

    """

    index: int
    term: int
    members: list[tuple[str, str]]
    dump: bytes


_RECORDS: Final = msgspec.msgpack.Decoder(_CommitMark | _EntryRecord)


def frame_record(body: bytes) -> bytes:
    return RECORD_HEADER.pack(len(body), zlib.crc32(body)) + body


def _sync_folder(folder: Path) -> None:
    fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def write_file(path: Path, body: bytes) -> None:
    """
    Replace a file atomically and durably.

    """
    temporary = path.with_suffix('.tmp')
    with temporary.open('wb') as file:
        file.write(frame_record(body))
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    _sync_folder(path.parent)


def read_file(path: Path) -> bytes | None:
    """
    The body of a file written by `write_file`, or None if the file doesn't exist.

    :raises CorruptStorage: if the file has no complete header, or its body doesn't have the length
        and checksum in the header.

    """
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    if len(data) < RECORD_HEADER.size:
        raise CorruptStorage(f'{path} is shorter than its header')
    length, checksum = RECORD_HEADER.unpack_from(data)
    body = data[RECORD_HEADER.size :]
    if len(body) != length or zlib.crc32(body) != checksum:
        raise CorruptStorage(f'{path} fails its checksum')
    return body


@dataclass(slots=True)
class _LogContents:
    entries: list[LogEntry]
    commit: int
    valid_bytes: int


def _parse_log(data: bytes, path: Path) -> _LogContents:
    contents = _LogContents([], 0, 0)
    while contents.valid_bytes < len(data):
        body = _record_at(data, contents.valid_bytes)
        if body is None:
            _check_torn_write(data, contents.valid_bytes, path)
            return contents
        record = _RECORDS.decode(body)
        contents.valid_bytes += RECORD_HEADER.size + len(body)
        if isinstance(record, _CommitMark):
            contents.commit = max(contents.commit, record.index)
            continue
        _append_entry(contents.entries, record.entry)
    return contents


def _append_entry(entries: list[LogEntry], entry: LogEntry) -> None:
    """
    Append a log entry, which replaces the entry at its index and all later ones.

    """
    while entries and entries[-1].index >= entry.index:
        entries.pop()
    entries.append(entry)


def _record_at(data: bytes, offset: int) -> bytes | None:
    if len(data) - offset < RECORD_HEADER.size:
        return None
    length, checksum = RECORD_HEADER.unpack_from(data, offset)
    body = data[offset + RECORD_HEADER.size : offset + RECORD_HEADER.size + length]
    if not length or len(body) != length or zlib.crc32(body) != checksum:
        return None
    return body


def _check_torn_write(data: bytes, offset: int, path: Path) -> None:
    """
    Raise CorruptStorage if a complete record follows the bad one at `offset`: a torn write
    can only be at the end of the file.

    """
    if len(data) - offset < RECORD_HEADER.size:
        return
    length, _ = RECORD_HEADER.unpack_from(data, offset)
    next_offset = offset + RECORD_HEADER.size + length
    if length <= MAX_RECORD_BYTES and _record_at(data, next_offset) is not None:
        raise CorruptStorage(f'{path} is damaged at byte {offset}')


class Storage:
    """
    The files of one replica, and in memory the log entries after the snapshot.

    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.folder.mkdir(parents=True, exist_ok=True)
        self.log_path = folder / LOG_FILE
        self.vote = self._load_vote()
        self.snapshot = self._load_snapshot()
        self.entries: list[LogEntry] = []
        self.torn_bytes = 0
        # The highest index that the log file marked as committed when it was opened. Later log
        # entries may be committed too.
        self.commit_hint = self._load_log()
        descriptor = os.open(self.log_path, os.O_RDWR | os.O_CREAT, NEW_FILE_MODE)
        self.file = os.fdopen(descriptor, 'r+b', buffering=0)
        # The size of the part of the log file that is synced, and the bytes after it.
        self.synced_bytes = self.log_path.stat().st_size
        self.unsynced = bytearray()
        # A process that was killed may have left writes, a truncation or a rename unsynced.
        os.fdatasync(self.file.fileno())
        _sync_folder(folder)
        # Whether the folder was synced after the last rename of the log file.
        self.rename_synced = True
        # The last log index known to be durable. `entries` may go beyond it.
        self.durable_index = int(self.last_index)

    @property
    def disk(self) -> DiskId:
        return DiskId(self.vote.disk)

    @property
    def cluster(self) -> ClusterId:
        return ClusterId(self.vote.cluster)

    def _load_vote(self) -> Vote:
        body = read_file(self.folder / VOTE_FILE)
        if body is not None:
            return msgspec.msgpack.decode(body, type=Vote)
        vote = Vote(uuid.uuid4().hex)
        write_file(self.folder / VOTE_FILE, msgspec.msgpack.encode(vote))
        return vote

    def _load_snapshot(self) -> Snapshot | None:
        body = read_file(self.folder / SNAPSHOT_FILE)
        return None if body is None else msgspec.msgpack.decode(body, type=Snapshot)

    def _load_log(self) -> int:
        data = self.log_path.read_bytes() if self.log_path.exists() else b''
        contents = _parse_log(data, self.log_path)
        self.torn_bytes = len(data) - contents.valid_bytes
        if self.torn_bytes:
            os.truncate(self.log_path, contents.valid_bytes)
        covered = self.snapshot.index if self.snapshot else 0
        self.entries = [entry for entry in contents.entries if entry.index > covered]
        if self.entries and self.entries[0].index != covered + 1:
            raise CorruptStorage(f'{self.log_path} lacks entries after its snapshot')
        return min(contents.commit, self.last_index)

    @property
    def snapshot_index(self) -> LogIndex:
        """
        The last index that the snapshot covers, 0 without a snapshot.

        """
        return LogIndex(self.snapshot.index if self.snapshot else 0)

    @property
    def last_index(self) -> LogIndex:
        return LogIndex(self.entries[-1].index) if self.entries else self.snapshot_index

    @property
    def last_term(self) -> Term:
        if self.entries:
            return Term(self.entries[-1].term)
        return Term(self.snapshot.term if self.snapshot else 0)

    def term_at(self, index: int) -> int | None:
        """
        The term of the log entry at `index`, or None if `index` is after the end of the log or
        before `snapshot_index`. The term at index 0 is 0 without a snapshot.

        """
        if index == self.snapshot_index:
            return self.snapshot.term if self.snapshot else 0
        if index < self.snapshot_index or index > self.last_index:
            return None
        return self.entries[index - self.snapshot_index - 1].term

    def entry_at(self, index: int) -> LogEntry:
        return self.entries[index - self.snapshot_index - 1]

    def entries_from(self, index: int, max_entries: int, max_bytes: int) -> list[LogEntry]:
        """
        The log entries from `index` on, at most `max_entries`, whose payloads have at most
        `max_bytes` together; at least one entry if there is any.

        """
        start = index - self.snapshot_index - 1
        found: list[LogEntry] = []
        size = 0
        for entry in itertools.islice(self.entries, start, start + max_entries):
            size += len(entry.payload)
            if found and size > max_bytes:
                break
            found.append(entry)
        return found

    def bytes_after(self, index: int) -> int:
        """
        The bytes that a replica lacks whose log ends at `index`: those of later log entries, and of
        the snapshot if it covers any of them.

        """
        size = 0
        if self.snapshot is not None and index < self.snapshot_index:
            size = len(self.snapshot.dump)
        start = max(index - self.snapshot_index, 0)
        return size + sum(
            len(entry.payload) for entry in itertools.islice(self.entries, start, None)
        )

    async def save_vote(self, term: int, voted_for: str, cluster: str = '') -> None:
        """
        Store term and vote durably. An empty `cluster` keeps the stored one.

        """
        vote = Vote(self.vote.disk, cluster or self.vote.cluster, term, voted_for)
        body = msgspec.msgpack.encode(vote)
        # A thread that a cancelled task left behind could write after a later vote.
        async with curio.disable_cancellation():
            await curio.run_in_thread(write_file, self.folder / VOTE_FILE, body)
            self.vote = vote

    def write_entries(self, entries: list[LogEntry]) -> None:
        """
        Write entries, which replace the log from the first one's index on. They are durable
        only after `sync`.

        :raises OSError: if the disk refuses the write; the log is then unchanged.

        """
        records = [frame_record(msgspec.msgpack.encode(_EntryRecord(entry))) for entry in entries]
        self._append_bytes(b''.join(records))
        for entry in entries:
            _append_entry(self.entries, entry)
        if entries:
            self.durable_index = min(self.durable_index, entries[0].index - 1)

    def write_commit(self, index: int) -> None:
        """
        Record that `index` is committed. The record is not synced, and a failed write is only
        logged, as losing the record is harmless.

        """
        try:
            self._append_bytes(frame_record(msgspec.msgpack.encode(_CommitMark(index))))
        except OSError as error:
            log.warning('Could not write the commit mark of index {}: {}.', index, error)

    @property
    def size(self) -> int:
        """
        The size of the log file, without the bytes of a write that failed.

        """
        return self.synced_bytes + len(self.unsynced)

    def _append_bytes(self, data: bytes) -> None:
        """
        Write at the end of the log, and write again all that isn't synced yet: a loss of power may
        tear a write and keep a later one, and records after a torn one would look like damage.
        For the same reason, bytes of an earlier write that failed are truncated first.

        """
        if self.log_path.stat().st_size != self.size:
            os.ftruncate(self.file.fileno(), self.size)
        os.lseek(self.file.fileno(), self.synced_bytes, os.SEEK_SET)
        remaining = memoryview(bytes(self.unsynced) + data)
        while remaining:
            remaining = remaining[self.file.write(remaining) :]
        self.unsynced += data

    async def sync(self) -> None:
        """
        Make all entries written before this call durable.

        """
        written = int(self.last_index)
        written_bytes = len(self.unsynced)
        await curio.run_in_thread(os.fdatasync, self.file.fileno())
        await self._sync_rename()
        self.durable_index = written
        self.synced_bytes += written_bytes
        del self.unsynced[:written_bytes]

    async def save_snapshot(self, snapshot: Snapshot) -> None:
        """
        Store a snapshot durably, then remove the log entries that the snapshot covers. If the log
        doesn't reach the snapshot's index, or has another term at that index, all log entries are
        removed.

        """
        body = msgspec.msgpack.encode(snapshot)
        # A thread that a cancelled task left behind could write after a later snapshot.
        async with curio.disable_cancellation():
            if self.term_at(snapshot.index) not in (None, snapshot.term):
                # The start would take entries after the snapshot's index for its successors.
                self.entries = [entry for entry in self.entries if entry.index < snapshot.index]
                await self._rewrite_log(self.entries, self.snapshot_index)
            await curio.run_in_thread(write_file, self.folder / SNAPSHOT_FILE, body)
            await self._use_snapshot(snapshot)

    async def _use_snapshot(self, snapshot: Snapshot) -> None:
        is_consistent = self.term_at(snapshot.index) == snapshot.term
        kept = [entry for entry in self.entries if is_consistent and entry.index > snapshot.index]
        self.snapshot = snapshot
        self.entries = kept
        await self._rewrite_log(kept, snapshot.index)
        self.durable_index = int(self.last_index)

    async def _rewrite_log(self, entries: list[LogEntry], commit: int) -> None:
        records = [frame_record(msgspec.msgpack.encode(_EntryRecord(entry))) for entry in entries]
        records.append(frame_record(msgspec.msgpack.encode(_CommitMark(commit))))
        temporary = self.log_path.with_suffix('.tmp')
        body = b''.join(records)
        with temporary.open('wb') as new_log:
            new_log.write(body)
        file = temporary.open('r+b', buffering=0)
        await curio.run_in_thread(os.fdatasync, file.fileno())
        temporary.replace(self.log_path)
        self.file.close()
        self.file = file
        self.synced_bytes = len(body)
        self.unsynced.clear()
        self.rename_synced = False
        await self._sync_rename()

    async def _sync_rename(self) -> None:
        if self.rename_synced:
            return
        await curio.run_in_thread(_sync_folder, self.folder)
        self.rename_synced = True

    def close(self) -> None:
        self.file.close()


def open_storage(folder: Path) -> Storage:
    """
    Open a replica's files in `folder`, and retry while the disk refuses writes. Blocks the
    process, as a replica can't do anything without its files.

    :raises OSError: if the disk refuses writes for longer than `OPEN_TIMEOUT_S`, or if the
        error is none of `RETRIED_DISK_ERRORS`.

    """
    deadline = time.monotonic() + OPEN_TIMEOUT_S
    while True:
        try:
            return Storage(folder)
        except OSError as error:
            if error.errno not in RETRIED_DISK_ERRORS or time.monotonic() > deadline:
                raise
            log.error('The disk refuses writes: {}. The start is retried.', error)
            time.sleep(OPEN_RETRY_DELAY_S)
