"""
Manifests, which describe the exact content of one version's weights.

A manifest is identified by the digest of its bytes. The accepted configuration
contains that digest, so a version that changes at the origin afterwards is rejected.

"""

import blake3
import msgspec

from millfork_core.ids import Digest


class BadManifest(Exception):
    """
    The bytes do not have the expected digest, or are not a consistent manifest.

    """


class Manifest(msgspec.Struct, frozen=True):
    """
    The size of one version's weights in bytes, the digests of the chunks in order, and
    the digest of the complete file (`whole`). Digests are BLAKE3, in hex.

    """

    name: str
    version: str
    size: int
    chunk_bytes: int
    chunks: list[str]
    whole: str

    def chunk_size(self, index: int) -> int:
        """
        Bytes of the chunk at `index`; only the last one may be shorter than `chunk_bytes`.

        """
        return min(self.chunk_bytes, self.size - index * self.chunk_bytes)


def digest_of(data: bytes) -> Digest:
    return Digest(blake3.blake3(data).hexdigest())


def encode_manifest(manifest: Manifest) -> bytes:
    return msgspec.json.encode(manifest)


def decode_manifest(body: bytes, digest: Digest | None = None) -> Manifest:
    """
    Decode the manifest in `body`. If `digest` is given, `body` must have that digest.

    :raises BadManifest: if the digest differs or the manifest is not valid and consistent.

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
    Build the manifest of `data`, split into chunks of `chunk_bytes`.

    """
    chunks: list[str] = []
    for start in range(0, len(data), chunk_bytes):
        chunks.append(digest_of(data[start : start + chunk_bytes]))
    return Manifest(name, version, len(data), chunk_bytes, chunks, digest_of(data))
