"""
Transfers during which chunks are corrupt, the origin fails, or a write to the disk fails.

"""

import random

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_weights.links import Link
from millfork_weights.manifest import build_manifest, digest_of, encode_manifest
from millfork_weights.origin import OriginFailed
from millfork_weights.store import StoredVersion, WeightStore
from millfork_weights.transfer import Transfer, TransferFailed, TransferSettings
from millfork_weights.trees import Receiver

CHUNK = 100
DATA = random.Random(1).randbytes(20 * CHUNK)
MANIFEST = build_manifest('model', 'v1', DATA, CHUNK)
BODY = encode_manifest(MANIFEST)
ME = Receiver(InstanceId('me'), ZoneId('zone'))


class FakeOrigin:
    """
    An origin with one version. For each chunk in `corrupt` it returns reversed bytes once; for
    each chunk in `failing` it raises an error once.

    """

    def __init__(self, corrupt=(), failing=()):
        self.corrupt = list(corrupt)
        self.failing = list(failing)
        self.fetched_chunks = 0

    async def manifest(self, name, version):
        return BODY

    async def chunk(self, name, version, start, size):
        self.fetched_chunks += 1
        index = start // CHUNK
        if index in self.failing:
            self.failing.remove(index)
            raise OriginFailed('not now')
        data = DATA[start : start + size]
        if index in self.corrupt:
            self.corrupt.remove(index)
            return data[::-1]
        return data


def create_transfer(folder, origin):
    env = Environment(ME.instance, ME.zone)
    settings = TransferSettings(stripes=2, window=2, stall_s=0.1, origin_copies=1)
    link = Link(10**9, 1.0, False, env.monotonic)
    store = WeightStore(folder)
    return store, Transfer(env, settings, store, link, origin, None, lambda name: None)


def run(transfer):
    return curio.run(transfer.run, 'model', 'v1', digest_of(BODY), [ME])


def test_a_corrupt_or_failed_chunk_is_fetched_once_more(tmp_path):
    origin = FakeOrigin(corrupt=[3], failing=[7])
    _, transfer = create_transfer(tmp_path, origin)
    stored = run(transfer)
    assert stored.path.read_bytes() == DATA
    assert origin.fetched_chunks == len(MANIFEST.chunks) + 2


def test_a_failed_write_ends_the_transfer_and_keeps_stored_chunks(tmp_path, monkeypatch):
    put = StoredVersion.put

    async def failing_put(stored, index, data):
        if index == 15:
            raise OSError('disk full')
        await put(stored, index, data)

    monkeypatch.setattr(StoredVersion, 'put', failing_put)
    origin = FakeOrigin()
    store, transfer = create_transfer(tmp_path, origin)
    with pytest.raises(TransferFailed, match='disk full'):
        run(transfer)
    (stored,) = store.stored_versions.values()
    kept = sum(stored.has_chunk)
    assert kept > 5
    assert not stored.is_complete
    monkeypatch.setattr(StoredVersion, 'put', put)
    transfer.origin = FakeOrigin()
    run(transfer)
    assert transfer.origin.fetched_chunks == len(MANIFEST.chunks) - kept
