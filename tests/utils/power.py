"""
Losses of power: a replica's log file as a disk may hold it when only a part of the writes after
the last sync has reached it.

"""

import fcntl
import os
from pathlib import Path

import curio
import msgspec

from millfork_state.storage import LOG_FILE, Storage

# The duration of a sync of the log.
SYNC_S = 0.03
BASE_SUFFIX = '.base'
JOURNAL_SUFFIX = '.journal'


class Write(msgspec.Struct, tag='w'):
    offset: int
    data: bytes


class Sync(msgspec.Struct, tag='s'):
    """
    A finished sync, and how many of the writes in the journal it covers.

    """

    writes: int


class RecordedFile:
    """
    The log file of a replica, which records its writes and syncs in a journal beside the file.

    """

    def __init__(self, file, path):
        self.file = file
        journal = f'{path}{JOURNAL_SUFFIX}'
        self.journal = os.open(journal, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self.writes = 0

    def write(self, data):
        fd = self.file.fileno()
        appends = fcntl.fcntl(fd, fcntl.F_GETFL) & os.O_APPEND
        offset = os.fstat(fd).st_size if appends else os.lseek(fd, 0, os.SEEK_CUR)
        self._record(Write(offset, bytes(data)))
        self.writes += 1
        return self.file.write(data)

    def record_sync(self, writes):
        self._record(Sync(writes))

    def _record(self, event):
        body = msgspec.msgpack.encode(event)
        os.write(self.journal, len(body).to_bytes(4, 'big') + body)

    def fileno(self):
        return self.file.fileno()

    def close(self):
        self.file.close()
        os.close(self.journal)


class RecordedStorage(Storage):
    """
    Storage whose log file may lose power, see `possible_writes` and `lose_power`.

    """

    def __init__(self, folder):
        super().__init__(folder)
        path = folder / LOG_FILE
        # The start has synced the log, so whatever is in the file now stays.
        Path(f'{path}{BASE_SUFFIX}').write_bytes(path.read_bytes())
        Path(f'{path}{JOURNAL_SUFFIX}').unlink(missing_ok=True)
        self.file = RecordedFile(self.file, path)

    async def sync(self):
        writes = self.file.writes
        await curio.sleep(SYNC_S)
        await super().sync()
        self.file.record_sync(writes)


def read_journal(path):
    """
    The content of a log file that the disk surely holds, and the writes that no sync covers.

    """
    data = Path(f'{path}{JOURNAL_SUFFIX}').read_bytes()
    decoder = msgspec.msgpack.Decoder(Write | Sync)
    writes = []
    synced = 0
    offset = 0
    while len(data) - offset >= 4:
        end = offset + 4 + int.from_bytes(data[offset : offset + 4], 'big')
        if end > len(data):
            break
        event = decoder.decode(data[offset + 4 : end])
        offset = end
        if isinstance(event, Write):
            writes.append(event)
        else:
            synced = max(synced, event.writes)
    content = bytearray(Path(f'{path}{BASE_SUFFIX}').read_bytes())
    for write in writes[:synced]:
        apply_write(content, write, len(write.data))
    return content, writes[synced:]


def apply_write(content, write, kept_bytes):
    """
    Let the first `kept_bytes` bytes of a write reach the content of a file.

    """
    if not kept_bytes:
        return
    content.extend(bytes(max(write.offset - len(content), 0)))
    content[write.offset : write.offset + kept_bytes] = write.data[:kept_bytes]


def lose_power(path, random):
    """
    Let each write after the last sync of a log file be present, missing or torn, or all of them be
    missing; the process that wrote the file must have been killed.

    """
    content, unsynced = read_journal(path)
    if random.random() < 0.25:
        unsynced = []
    for write in unsynced:
        torn = random.randint(1, len(write.data))
        apply_write(content, write, random.choice([len(write.data), 0, torn]))
    path.write_bytes(bytes(content))
