"""
Weights stored on this instance: one file for each version, complete or partial.

"""

import os
import shutil
from pathlib import Path
from typing import Final

import blake3
import curio

from millfork_core.ids import Digest
from millfork_core.logs import Component, logger
from millfork_weights.manifest import (
    BadManifest,
    Manifest,
    decode_manifest,
    digest_of,
    encode_manifest,
)

MANIFEST_FILE: Final = 'manifest'
PARTIAL_FILE: Final = 'weights.partial'
COMPLETE_FILE: Final = 'weights'

log = logger(Component.WEIGHTS)


class VersionDigestMismatch(Exception):
    """
    All chunks match their digests but the complete file does not: the manifest is wrong.

    """


class StoredVersion:
    """
    The file with the weights of one version, and the record of the chunks that are stored in it.

    """

    def __init__(self, folder: Path, digest: Digest, manifest: Manifest) -> None:
        self.folder = folder
        self.digest = digest
        self.manifest = manifest
        self.has_chunk = bytearray(len(manifest.chunks))
        self.index_of = {chunk: index for index, chunk in enumerate(manifest.chunks)}
        self.missing_count = len(manifest.chunks)
        self.is_complete = False
        self.chunk_stored = curio.Condition()
        folder.mkdir(parents=True, exist_ok=True)
        (folder / MANIFEST_FILE).write_bytes(encode_manifest(manifest))
        self.fd = self._open()

    def _open(self) -> int:
        complete_path = self.folder / COMPLETE_FILE
        if complete_path.exists():
            # After a restart, a complete file counts as partial until it is verified again.
            complete_path.replace(self.folder / PARTIAL_FILE)
        fd = os.open(self.folder / PARTIAL_FILE, os.O_RDWR | os.O_CREAT, 0o644)
        os.truncate(fd, self.manifest.size)
        return fd

    @property
    def path(self) -> Path:
        """
        Path of the complete file, which the engine loads.

        """
        return self.folder / COMPLETE_FILE

    @property
    def share(self) -> float:
        """
        Fraction of the chunks that are stored, from 0 to 1.

        """
        return 1 - self.missing_count / len(self.manifest.chunks)

    def read(self, index: int) -> bytes:
        return os.pread(self.fd, self.manifest.chunk_size(index), index * self.manifest.chunk_bytes)

    def matches_digest(self, index: int, data: bytes) -> bool:
        """
        Whether `data` has the manifest's digest of the chunk at `index`.

        """
        return digest_of(data) == self.manifest.chunks[index]

    async def put(self, index: int, data: bytes) -> None:
        """
        Write a chunk that the caller has verified, and wake the tasks in `wait_for`. A chunk that
        is already stored is not written again.

        """
        if self.has_chunk[index]:
            return
        os.pwrite(self.fd, data, index * self.manifest.chunk_bytes)
        self.has_chunk[index] = 1
        self.missing_count -= 1
        async with self.chunk_stored:
            await self.chunk_stored.notify_all()

    async def wait_for(self, index: int, timeout: float) -> bool:
        """
        Wait up to `timeout` seconds for the chunk at `index`; return whether it is stored.

        """
        if self.has_chunk[index]:
            return True
        try:
            async with curio.timeout_after(timeout), self.chunk_stored:
                while not self.has_chunk[index]:
                    await self.chunk_stored.wait()
        except curio.TaskTimeout:
            return False
        return True

    async def load_present_chunks(self) -> None:
        """
        Verify all chunks in the file, and mark those that match their digests as stored.

        """
        present = await curio.run_in_thread(self._verified_chunks)
        for index in present:
            self.has_chunk[index] = 1
        self.missing_count -= len(present)

    def _verified_chunks(self) -> list[int]:
        return [i for i in range(len(self.manifest.chunks)) if self.matches_digest(i, self.read(i))]

    async def complete(self) -> None:
        """
        Verify the complete file and move it to `path` for the engine.

        :raises VersionDigestMismatch: if the file's digest is not the manifest's `whole`.

        """
        found = await curio.run_in_thread(self._file_digest)
        if found != self.manifest.whole:
            raise VersionDigestMismatch(f'{self.manifest.name} {self.manifest.version}')
        (self.folder / PARTIAL_FILE).replace(self.path)
        self.is_complete = True

    def _file_digest(self) -> str:
        hasher = blake3.blake3(max_threads=blake3.blake3.AUTO)
        hasher.update_mmap(self.folder / PARTIAL_FILE)
        return hasher.hexdigest()

    def close(self) -> None:
        os.close(self.fd)


class WeightStore:
    """
    The versions on this instance, by the digests of their manifests. Each version has its own
    folder, named after the digest.

    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.stored_versions: dict[Digest, StoredVersion] = {}
        self.version_opened = curio.Condition()
        folder.mkdir(parents=True, exist_ok=True)

    async def open(self, digest: Digest, manifest: Manifest) -> StoredVersion:
        """
        Return the stored version with this digest. A version that is not open yet is created,
        with the valid chunks that an earlier run left on disk.

        """
        stored = self.stored_versions.get(digest)
        if stored is not None:
            return stored
        folder = self.folder / digest
        has_earlier_files = (folder / MANIFEST_FILE).exists()
        stored = StoredVersion(folder, digest, manifest)
        self.stored_versions[digest] = stored
        if has_earlier_files:
            await stored.load_present_chunks()
        async with self.version_opened:
            await self.version_opened.notify_all()
        return stored

    def manifest_on_disk(self, digest: Digest) -> Manifest | None:
        """
        The manifest on disk with this digest, or None if it is missing or invalid.

        """
        try:
            return decode_manifest((self.folder / digest / MANIFEST_FILE).read_bytes(), digest)
        except (OSError, BadManifest):
            return None

    async def wait_for(self, digest: Digest, timeout: float) -> StoredVersion | None:
        """
        Wait up to `timeout` seconds for the version to be opened, and return it; None if it was
        not opened in time.

        """
        try:
            async with curio.timeout_after(timeout), self.version_opened:
                while digest not in self.stored_versions:
                    await self.version_opened.wait()
        except curio.TaskTimeout:
            return None
        return self.stored_versions[digest]

    def find_chunk(self, chunk: str, size: int) -> bytes | None:
        """
        Return the data of the chunk with digest `chunk` from any open version, verified again;
        None if no open version has a valid chunk with this digest and size.

        """
        for stored in self.stored_versions.values():
            index = stored.index_of.get(chunk)
            if index is None or not stored.has_chunk[index]:
                continue
            data = stored.read(index)
            if len(data) == size and digest_of(data) == chunk:
                return data
        return None

    def remove_version(self, digest: Digest) -> None:
        """
        Remove a version and its files from this instance.

        """
        stored = self.stored_versions.pop(digest, None)
        if stored is not None:
            stored.close()
        shutil.rmtree(self.folder / digest, ignore_errors=True)

    def remove_all_except(self, required: set[Digest]) -> list[Digest]:
        """
        Remove every version that is not in `required`, including folders that earlier runs left.
        Return the removed digests.

        """
        present = {Digest(path.name) for path in self.folder.iterdir()} | set(self.stored_versions)
        not_required = sorted(present - required)
        for digest in not_required:
            self.remove_version(digest)
            log.info('Removed version {}.', digest[:16])
        return not_required
