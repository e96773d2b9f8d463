import errno
import itertools
import os
import threading

import curio
import pytest

from millfork_state import storage as storage_module
from millfork_state.storage import CorruptStorage, LogEntry, Snapshot, Storage
from tests.utils.power import RecordedStorage, apply_write, read_journal


def entries(*numbers: int, term: int = 1) -> list[LogEntry]:
    return [LogEntry(term, number, b'payload %d' % number) for number in numbers]


def write(folder, *batches):
    storage = Storage(folder)
    for batch in batches:
        storage.write_entries(batch)
    curio.run(storage.sync)
    storage.close()


def test_entries_survive_a_restart(tmp_path):
    write(tmp_path, entries(1, 2), entries(3))
    assert [entry.index for entry in Storage(tmp_path).entries] == [1, 2, 3]


def test_a_later_term_replaces_the_tail(tmp_path):
    write(tmp_path, entries(1, 2, 3), entries(2, term=2))
    found = Storage(tmp_path).entries
    assert [(entry.index, entry.term) for entry in found] == [(1, 1), (2, 2)]


@pytest.mark.parametrize('cut', [1, 5, 9, 20])
def test_a_torn_last_record_is_dropped(tmp_path, cut):
    write(tmp_path, entries(1, 2), entries(3))
    data = (tmp_path / 'log').read_bytes()
    (tmp_path / 'log').write_bytes(data[:-cut])
    storage = Storage(tmp_path)
    assert [entry.index for entry in storage.entries] == [1, 2]
    assert storage.torn_bytes > 0
    storage.write_entries(entries(3, 4))
    storage.close()
    assert [entry.index for entry in Storage(tmp_path).entries] == [1, 2, 3, 4]


def test_damage_before_the_end_is_no_torn_write(tmp_path):
    write(tmp_path, entries(1), entries(2), entries(3))
    data = bytearray((tmp_path / 'log').read_bytes())
    data[12] ^= 0xFF
    (tmp_path / 'log').write_bytes(bytes(data))
    with pytest.raises(CorruptStorage, match='damaged at byte 0'):
        Storage(tmp_path)


def test_the_log_is_created_on_a_file_system_that_ignores_changes_of_times(tmp_path, monkeypatch):
    monkeypatch.setattr(os, 'utime', lambda *arguments, **keywords: None)
    write(tmp_path, entries(1))
    assert [entry.index for entry in Storage(tmp_path).entries] == [1]


def test_damaged_vote_stops_the_start(tmp_path):
    Storage(tmp_path).close()
    data = bytearray((tmp_path / 'vote').read_bytes())
    data[-1] ^= 0xFF
    (tmp_path / 'vote').write_bytes(bytes(data))
    with pytest.raises(CorruptStorage, match='checksum'):
        Storage(tmp_path)


def test_a_new_disk_has_a_new_id(tmp_path):
    first = Storage(tmp_path / 'first')
    again = Storage(tmp_path / 'first')
    other = Storage(tmp_path / 'other')
    assert first.disk == again.disk != other.disk


def test_a_snapshot_removes_the_entries_it_covers_and_keeps_later_ones(tmp_path):
    storage = Storage(tmp_path)
    storage.write_entries(entries(1, 2, 3, 4, 5))
    curio.run(storage.save_snapshot, Snapshot(3, 1, [('a', 'disk')], b'dump'))
    storage.write_entries(entries(6))
    storage.close()
    reopened = Storage(tmp_path)
    assert [entry.index for entry in reopened.entries] == [4, 5, 6]
    assert (reopened.snapshot_index, reopened.last_index, reopened.term_at(3)) == (3, 6, 1)
    assert reopened.commit_hint == 3


def test_commit_mark_survives_but_never_exceeds_the_log(tmp_path):
    storage = Storage(tmp_path)
    storage.write_entries(entries(1, 2, 3))
    storage.write_commit(2)
    storage.close()
    assert Storage(tmp_path).commit_hint == 2


class RefusingDisk:
    """
    Stands in for `write_file`: fails the first `times` calls with error `number`.

    """

    def __init__(self, number, times):
        self.number = number
        self.times = times
        self.write = storage_module.write_file

    def __call__(self, path, body):
        if self.times:
            self.times -= 1
            raise OSError(self.number, 'refused')
        self.write(path, body)


def test_a_replica_waits_for_a_disk_that_is_full_when_it_starts(tmp_path, monkeypatch):
    monkeypatch.setattr(storage_module, 'OPEN_RETRY_DELAY_S', 0.01)
    disk = RefusingDisk(errno.ENOSPC, 3)
    monkeypatch.setattr(storage_module, 'write_file', disk)
    opened = storage_module.open_storage(tmp_path / 'state')
    assert disk.times == 0
    assert storage_module.open_storage(tmp_path / 'state').disk == opened.disk


@pytest.mark.parametrize(('number', 'timeout_s'), [(errno.EACCES, 60.0), (errno.ENOSPC, 0.0)])
def test_a_replica_does_not_wait_for_other_errors_or_beyond_the_timeout(
    tmp_path, monkeypatch, number, timeout_s
):
    monkeypatch.setattr(storage_module, 'OPEN_RETRY_DELAY_S', 0.01)
    monkeypatch.setattr(storage_module, 'OPEN_TIMEOUT_S', timeout_s)
    monkeypatch.setattr(storage_module, 'write_file', RefusingDisk(number, 99))
    with pytest.raises(OSError, match='refused'):
        storage_module.open_storage(tmp_path / 'state')


def test_entries_that_a_killed_process_left_unsynced_are_synced_at_the_start(tmp_path, monkeypatch):
    # Otherwise a replica acknowledges, after its restart, entries that a loss of power removes.
    storage = Storage(tmp_path)
    storage.write_entries(entries(1, 2))
    storage.close()
    synced = []
    monkeypatch.setattr(os, 'fdatasync', lambda fd: synced.append(os.fstat(fd).st_ino))
    assert Storage(tmp_path).durable_index == 2
    assert synced == [(tmp_path / 'log').stat().st_ino]


@pytest.mark.parametrize('unsynced', ['mark, entry', 'entry, entry', 'entry, mark, entry'])
def test_a_write_that_survives_a_loss_of_power_after_a_torn_one_is_no_damage(tmp_path, unsynced):
    # Commit marks aren't synced, so a loss of power may tear one and keep the entry after it.
    storage = RecordedStorage(tmp_path)
    storage.write_entries(entries(1))
    curio.run(storage.sync)
    for number, kind in enumerate(unsynced.split(', ')):
        storage.write_entries(entries(number + 2)) if kind == 'entry' else storage.write_commit(1)
    storage.close()
    log = tmp_path / 'log'
    synced, writes = read_journal(log)
    lengths = [{0, 3, 8, 9, len(w.data) // 2, len(w.data) - 1, len(w.data)} for w in writes]
    for kept in itertools.product(*lengths):
        content = bytearray(synced)
        for write, kept_bytes in zip(writes, kept, strict=True):
            apply_write(content, write, kept_bytes)
        log.write_bytes(content)
        reopened = Storage(tmp_path)
        reopened.close()
        assert reopened.entries[:1] == entries(1)


class FailingFolderSync:
    """
    Stands in for `_sync_folder`, and raises `error` at the sync with the number `fails_at`.

    """

    def __init__(self, fails_at, error):
        self.fails_at = fails_at
        self.error = error
        self.count = 0
        self.sync = storage_module._sync_folder

    def __call__(self, folder):
        self.count += 1
        if self.count == self.fails_at:
            raise self.error
        self.sync(folder)


@pytest.mark.parametrize('error', [OSError(errno.EIO, 'refused'), curio.TaskCancelled()])
def test_entries_after_a_snapshot_whose_last_step_failed_survive(tmp_path, monkeypatch, error):
    # The log was renamed already, but entries still went to the file that it replaced.
    storage = Storage(tmp_path)
    storage.write_entries(entries(1, 2, 3))
    curio.run(storage.sync)
    folder_sync = FailingFolderSync(2, error)
    monkeypatch.setattr(storage_module, '_sync_folder', folder_sync)
    with pytest.raises(type(error)):
        curio.run(storage.save_snapshot, Snapshot(2, 1, [('a', 'disk')], b'dump'))
    storage.write_entries(entries(4))
    curio.run(storage.sync)
    storage.close()
    syncs = folder_sync.count
    assert storage.durable_index == 4
    assert [entry.index for entry in Storage(tmp_path).entries] == [3, 4]
    # The renamed log is durable only once its folder is synced.
    assert syncs == 3


class StuckDisk:
    """
    Stands in for `write_file`: the first write hangs until it is released.

    """

    def __init__(self):
        self.started = threading.Event()
        self.released = threading.Event()
        self.finished = threading.Event()
        self.write = storage_module.write_file

    def __call__(self, path, body):
        if self.started.is_set():
            self.write(path, body)
            return
        self.started.set()
        assert self.released.wait(10)
        self.write(path, body)
        self.finished.set()


async def write_twice(disk, first, second):
    """
    Start a write that hangs, cancel it, release it while a second write begins, and wait for both.

    """
    task = await curio.spawn(first)
    await curio.run_in_thread(disk.started.wait, 10)
    await task.cancel(blocking=False)
    releaser = threading.Timer(0.2, disk.released.set)
    releaser.start()
    await task.wait()
    await second()
    await curio.run_in_thread(disk.finished.wait, 10)


def test_a_cancelled_write_of_a_vote_does_not_replace_a_later_vote(tmp_path, monkeypatch):
    # Otherwise a replica could vote for two candidates in one term.
    storage = Storage(tmp_path)
    disk = StuckDisk()
    monkeypatch.setattr(storage_module, 'write_file', disk)
    first = lambda: storage.save_vote(5, '')  # noqa: E731
    curio.run(write_twice, disk, first, lambda: storage.save_vote(5, 'candidate'))
    assert Storage(tmp_path).vote.voted_for == 'candidate'


def test_a_cancelled_write_of_a_snapshot_does_not_replace_a_later_one(tmp_path, monkeypatch):
    # Otherwise the log lacks entries after the snapshot, and the replica never starts again.
    storage = Storage(tmp_path)
    storage.write_entries(entries(1, 2, 3, 4))
    disk = StuckDisk()
    monkeypatch.setattr(storage_module, 'write_file', disk)
    first = lambda: storage.save_snapshot(Snapshot(1, 1, [], b'one'))  # noqa: E731
    second = lambda: storage.save_snapshot(Snapshot(3, 1, [], b'three'))  # noqa: E731
    curio.run(write_twice, disk, first, second)
    reopened = Storage(tmp_path)
    assert (reopened.snapshot_index, reopened.last_index) == (3, 4)


class PowerLost(Exception):
    """
    The process ended here.

    """


def test_entries_that_a_snapshot_contradicts_do_not_return_after_a_loss_of_power(
    tmp_path, monkeypatch
):
    # With them, the replica would vote for candidates that lack what the snapshot covers.
    storage = Storage(tmp_path)
    storage.write_entries([*entries(1, 2), *entries(3, 4, 5, term=2)])
    curio.run(storage.sync)
    real = storage_module.write_file

    def write_and_end(path, body):
        real(path, body)
        raise PowerLost

    monkeypatch.setattr(storage_module, 'write_file', write_and_end)
    with pytest.raises(PowerLost):
        curio.run(storage.save_snapshot, Snapshot(4, 3, [('a', 'disk')], b'dump'))
    reopened = Storage(tmp_path)
    assert (reopened.last_index, reopened.last_term) == (4, 3)
