"""
Manifests: what exactly the weights of one version are.

A manifest is known by the digest of its bytes. The accepted configuration
pins that digest, so nothing an origin does later can change a version.

"""

import blake3
import msgspec

from millfork_core.ids import Digest


class BadManifest(Exception):
    """
    The bytes are not the manifest that was asked for.

    """


class Manifest(msgspec.Struct, frozen=True):
    """
    One version's size (bytes), its chunks' digests in order, and the digest
    of the whole. Digests are BLAKE3, in hex.

    """

    name: str
    version: str
    size: int
    chunk_bytes: int
    chunks: list[str]
    whole: str

    def chunk_size(self, index: int) -> int:
        """
        Bytes of one chunk; only the last may be shorter.

        """
        return min(self.chunk_bytes, self.size - index * self.chunk_bytes)


def digest_of(data: bytes) -> Digest:
    return Digest(blake3.blake3(data).hexdigest())


def encode_manifest(manifest: Manifest) -> bytes:
    return msgspec.json.encode(manifest)


def decode_manifest(body: bytes, digest: Digest | None = None) -> Manifest:
    """
    The manifest in `body`, which must have `digest` if one is given.

    :raises BadManifest: if it has not, or contradicts itself.

    """
    if digest is not None and digest_of(body) != digest:
        raise BadManifest('the manifest is not the one that was accepted')
    try:
        manifest = msgspec.json.decode(body, type=Manifest)
    except msgspec.DecodeError as error:
        raise BadManifest(str(error)) from error
    if manifest.size <= 0 or manifest.chunk_bytes <= 0:
        raise BadManifest('size and chunk_bytes must be positive')
    expected = -(-manifest.size // manifest.chunk_bytes)
    if len(manifest.chunks) != expected:
        raise BadManifest(f'{expected} chunks expected, {len(manifest.chunks)} listed')
    return manifest


def build_manifest(name: str, version: str, data: bytes, chunk_bytes: int) -> Manifest:
    """
    The manifest of `data`.

    """
    chunks: list[str] = []
    for start in range(0, len(data), chunk_bytes):
        chunks.append(digest_of(data[start : start + chunk_bytes]))
    return Manifest(name, version, len(data), chunk_bytes, chunks, digest_of(data))
