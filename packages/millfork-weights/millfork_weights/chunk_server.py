"""
Serves manifests and chunks to peers, even while this instance still receives the weights.

"""

from millfork_core.environment import Environment
from millfork_core.ids import Digest
from millfork_weights.links import Link
from millfork_weights.manifest import encode_manifest
from millfork_weights.store import WeightStore
from millfork_weights.transfer import BUSY, NOT_YET
from millfork_wire.messages import Chunk, GetChunk, GetManifest, Manifest

UNKNOWN = 'unknown'


class ChunkServer:
    """
    Handles peers' requests for manifests and chunks.

    """

    def __init__(self, env: Environment, store: WeightStore, link: Link) -> None:
        self.env = env
        self.store = store
        self.link = link

    async def on_get_manifest(self, request: GetManifest) -> Manifest:
        stored = self.store.stored_versions.get(Digest(request.digest))
        if stored is None:
            return Manifest(False)
        return Manifest(True, encode_manifest(stored.manifest), stored.is_complete)

    async def on_get_chunk(self, request: GetChunk) -> Chunk:
        """
        Return the chunk, after waiting for its arrival and then for link capacity. The reply has
        a reason instead of data if the manifest or the chunk does not arrive within `wait_ms`
        (`not_yet`), if the outbound link's backlog exceeds `wait_ms` (`busy`), or if the index is
        invalid (`unknown`).

        """
        started_at = self.env.monotonic()
        timeout = request.wait_ms / 1000
        stored = await self.store.wait_for(Digest(request.manifest), timeout)
        if stored is None:
            return Chunk(False, b'', NOT_YET)
        if request.index >= len(stored.manifest.chunks):
            return Chunk(False, b'', UNKNOWN)
        remaining_s = timeout - (self.env.monotonic() - started_at)
        if not await stored.wait_for(request.index, max(remaining_s, 0.001)):
            return Chunk(False, b'', NOT_YET)
        if self.link.outbound.backlog_s > timeout:
            self.env.metrics.count(self.env.metrics.chunks, outcome='sender_busy', source='self')
            return Chunk(False, b'', BUSY)
        await self.link.outbound.acquire(stored.manifest.chunk_size(request.index))
        return Chunk(True, stored.read(request.index))
