"""
Weights on this instance: one file for each version, whole or growing.

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
WHOLE_FILE: Final = 'weights'

log = logger(Component.WEIGHTS)


class WholeMismatch(Exception):
    """
    All chunks are right, but the whole is not: the manifest lies.

    """


class Holding:
    """
    One version on this instance.

    """

    def __init__(self, folder: Path, digest: Digest, manifest: Manifest) -> None:
        self.folder = folder
        self.digest = digest
        self.manifest = manifest
        self.have = bytearray(len(manifest.chunks))
        self.index_of = {chunk: index for index, chunk in enumerate(manifest.chunks)}
        self.missing = len(manifest.chunks)
        self.whole = False
        self.arrived = curio.Condition()
        folder.mkdir(parents=True, exist_ok=True)
        (folder / MANIFEST_FILE).write_bytes(encode_manifest(manifest))
        self.fd = self._open()

    def _open(self) -> int:
        whole = self.folder / WHOLE_FILE
        if whole.exists():
            # A whole file proves itself again before it counts.
            whole.replace(self.folder / PARTIAL_FILE)
        fd = os.open(self.folder / PARTIAL_FILE, os.O_RDWR | os.O_CREAT, 0o644)
        os.truncate(fd, self.manifest.size)
        return fd

    @property
    def path(self) -> Path:
        """
        The whole file, for the engine to load.

        """
        return self.folder / WHOLE_FILE

    @property
    def share(self) -> float:
        return 1 - self.missing / len(self.manifest.chunks)

    def read(self, index: int) -> bytes:
        return os.pread(self.fd, self.manifest.chunk_size(index), index * self.manifest.chunk_bytes)

    def fits(self, index: int, data: bytes) -> bool:
        """
        Whether `data` is exactly the chunk at `index`.

        """
        return digest_of(data) == self.manifest.chunks[index]

    async def put(self, index: int, data: bytes) -> None:
        """
        Take a verified chunk and wake those who wait for it.

        """
        if self.have[index]:
            return
        os.pwrite(self.fd, data, index * self.manifest.chunk_bytes)
        self.have[index] = 1
        self.missing -= 1
        async with self.arrived:
            await self.arrived.notify_all()

    async def wait_for(self, index: int, timeout: float) -> bool:
        """
        Wait until the chunk at `index` is here, `timeout` seconds at most.

        """
        if self.have[index]:
            return True
        try:
            async with curio.timeout_after(timeout), self.arrived:
                while not self.have[index]:
                    await self.arrived.wait()
        except curio.TaskTimeout:
            return False
        return True

    async def find_present(self) -> None:
        """
        Take over chunks that an earlier run left in the file.

        """
        present = await curio.run_in_thread(self._verified_chunks)
        for index in present:
            self.have[index] = 1
        self.missing -= len(present)

    def _verified_chunks(self) -> list[int]:
        return [i for i in range(len(self.manifest.chunks)) if self.fits(i, self.read(i))]

    async def complete(self) -> None:
        """
        Verify the whole and make the file the engine's to load.

        :raises WholeMismatch: if the whole has another digest.

        """
        found = await curio.run_in_thread(self._whole_digest)
        if found != self.manifest.whole:
            raise WholeMismatch(f'{self.manifest.name} {self.manifest.version}')
        (self.folder / PARTIAL_FILE).replace(self.path)
        self.whole = True

    def _whole_digest(self) -> str:
        hasher = blake3.blake3(max_threads=blake3.blake3.AUTO)
        hasher.update_mmap(self.folder / PARTIAL_FILE)
        return hasher.hexdigest()

    def close(self) -> None:
        os.close(self.fd)


class WeightStore:
    """
    All versions on this instance, by the digest of their manifests.

    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.holdings: dict[Digest, Holding] = {}
        self.opened = curio.Condition()
        folder.mkdir(parents=True, exist_ok=True)

    async def open(self, digest: Digest, manifest: Manifest) -> Holding:
        """
        The holding of a version, made if there is none.

        """
        holding = self.holdings.get(digest)
        if holding is not None:
            return holding
        folder = self.folder / digest
        left_over = (folder / MANIFEST_FILE).exists()
        holding = Holding(folder, digest, manifest)
        self.holdings[digest] = holding
        if left_over:
            await holding.find_present()
        async with self.opened:
            await self.opened.notify_all()
        return holding

    def manifest_on_disk(self, digest: Digest) -> Manifest | None:
        """
        A manifest that an earlier run left here.

        """
        try:
            return decode_manifest((self.folder / digest / MANIFEST_FILE).read_bytes(), digest)
        except (OSError, BadManifest):
            return None

    async def wait_for(self, digest: Digest, timeout: float) -> Holding | None:
        """
        The holding of a version, awaited for `timeout` seconds at most.

        """
        try:
            async with curio.timeout_after(timeout), self.opened:
                while digest not in self.holdings:
                    await self.opened.wait()
        except curio.TaskTimeout:
            return None
        return self.holdings[digest]

    def find_chunk(self, chunk: str, size: int) -> bytes | None:
        """
        A chunk that another version here holds already, verified anew.

        """
        for holding in self.holdings.values():
            index = holding.index_of.get(chunk)
            if index is None or not holding.have[index]:
                continue
            data = holding.read(index)
            if len(data) == size and digest_of(data) == chunk:
                return data
        return None

    def forget(self, digest: Digest) -> None:
        """
        Remove a version from this instance.

        """
        holding = self.holdings.pop(digest, None)
        if holding is not None:
            holding.close()
        shutil.rmtree(self.folder / digest, ignore_errors=True)

    def forget_all_but(self, wanted: set[Digest]) -> list[Digest]:
        """
        Remove every version, held or left over, that is not wanted.

        """
        present = {Digest(path.name) for path in self.folder.iterdir()} | set(self.holdings)
        unwanted = sorted(present - wanted)
        for digest in unwanted:
            self.forget(digest)
            log.info('Removed version {}.', digest[:16])
        return unwanted
