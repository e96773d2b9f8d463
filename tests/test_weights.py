"""
Verification and storage of manifests, chunks and complete versions.

"""

import curio
import pytest

from millfork_core.ids import Digest
from millfork_weights.manifest import (
    BadManifest,
    build_manifest,
    decode_manifest,
    digest_of,
    encode_manifest,
)
from millfork_weights.store import VersionDigestMismatch, WeightStore

DATA = bytes(range(256)) * 40
CHUNK = 1000


def manifest_of(data=DATA, version='v1'):
    return build_manifest('model', version, data, CHUNK)


def chunk(data, index):
    return data[index * CHUNK : (index + 1) * CHUNK]


async def fill(stored, data, indexes=None):
    for index in indexes if indexes is not None else range(len(stored.manifest.chunks)):
        assert stored.matches_digest(index, chunk(data, index))
        await stored.put(index, chunk(data, index))


def open_stored(folder, manifest):
    store = WeightStore(folder)
    digest = digest_of(encode_manifest(manifest))
    return store, curio.run(store.open, digest, manifest)


def test_a_manifest_other_than_the_accepted_one_is_refused():
    body = encode_manifest(manifest_of())
    assert decode_manifest(body, digest_of(body)) == manifest_of()
    changed = encode_manifest(manifest_of(DATA[::-1]))
    with pytest.raises(BadManifest, match='not the one'):
        decode_manifest(changed, digest_of(body))


@pytest.mark.parametrize(
    'body',
    [b'', b'{}', encode_manifest(manifest_of()).replace(b'"size":10240', b'"size":99999')],
)
def test_a_manifest_that_contradicts_itself_is_refused(body):
    with pytest.raises(BadManifest):
        decode_manifest(body)


def test_a_version_is_complete_only_after_the_last_chunk_and_the_verification(tmp_path):
    _, stored = open_stored(tmp_path, manifest_of())
    curio.run(fill, stored, DATA, range(5))
    assert not stored.is_complete
    assert not stored.path.exists()
    curio.run(fill, stored, DATA)
    curio.run(stored.complete)
    assert stored.is_complete
    assert stored.path.read_bytes() == DATA


def test_other_bytes_do_not_match_the_digest_of_a_chunk(tmp_path):
    _, stored = open_stored(tmp_path, manifest_of())
    assert not stored.matches_digest(0, chunk(DATA, 1)[::-1])
    assert not stored.matches_digest(0, b'')


def test_valid_chunks_of_a_wrong_manifest_are_never_complete(tmp_path):
    wrong = manifest_of()
    wrong = type(wrong)(wrong.name, 'v', wrong.size, CHUNK, wrong.chunks, 'f' * 64)
    _, stored = open_stored(tmp_path, wrong)
    curio.run(fill, stored, DATA)
    with pytest.raises(VersionDigestMismatch):
        curio.run(stored.complete)
    assert not stored.path.exists()


def test_a_restart_keeps_exactly_the_valid_chunks(tmp_path):
    _, stored = open_stored(tmp_path, manifest_of())
    curio.run(fill, stored, DATA, [0, 1, 2])
    with (stored.folder / 'weights.partial').open('r+b') as file:
        file.seek(CHUNK)
        file.write(b'\xff')
    _, reopened = open_stored(tmp_path, manifest_of())
    assert [index for index, is_held in enumerate(reopened.has_chunk) if is_held] == [0, 2]


def test_unchanged_chunks_of_another_version_are_found(tmp_path):
    store, stored = open_stored(tmp_path, manifest_of())
    curio.run(fill, stored, DATA)
    newer = DATA[: 8 * CHUNK] + DATA[8 * CHUNK :][::-1]
    manifest = manifest_of(newer, 'v2')
    found = [
        store.find_chunk(digest, manifest.chunk_size(index)) is not None
        for index, digest in enumerate(manifest.chunks)
    ]
    assert found[:8] == [True] * 8
    assert not any(found[8:])


def test_only_required_versions_are_kept(tmp_path):
    store, stored = open_stored(tmp_path, manifest_of())
    (tmp_path / 'left-over').mkdir()
    assert store.remove_all_except({Digest(stored.digest)}) == ['left-over']
    assert [path.name for path in tmp_path.iterdir()] == [stored.digest]
