"""
Giving weights to peers, while they are still arriving here.

"""

from millfork_core.environment import Environment
from millfork_core.ids import Digest
from millfork_weights.links import Link
from millfork_weights.manifest import encode_manifest
from millfork_weights.store import WeightStore
from millfork_weights.transfer import BUSY, NOT_YET
from millfork_wire.messages import Chunk, GetChunk, GetManifest, Manifest

UNKNOWN = 'unknown'


class Sharing:
    """
    Answers peers who ask for manifests and chunks.

    """

    def __init__(self, env: Environment, store: WeightStore, link: Link) -> None:
        self.env = env
        self.store = store
        self.link = link

    async def on_get_manifest(self, request: GetManifest) -> Manifest:
        holding = self.store.holdings.get(Digest(request.digest))
        if holding is None:
            return Manifest(False)
        return Manifest(True, encode_manifest(holding.manifest), holding.whole)

    async def on_get_chunk(self, request: GetChunk) -> Chunk:
        """
        A chunk, awaited and paced for at most the time the peer allows.

        """
        began = self.env.monotonic()
        limit = request.wait_ms / 1000
        holding = await self.store.wait_for(Digest(request.manifest), limit)
        if holding is None:
            return Chunk(False, b'', NOT_YET)
        if request.index >= len(holding.manifest.chunks):
            return Chunk(False, b'', UNKNOWN)
        left = limit - (self.env.monotonic() - began)
        if not await holding.wait_for(request.index, max(left, 0.001)):
            return Chunk(False, b'', NOT_YET)
        if self.link.outward.backlog_s > limit:
            self.env.metrics.count(self.env.metrics.chunks, outcome='sender_busy', source='self')
            return Chunk(False, b'', BUSY)
        await self.link.outward.take(holding.manifest.chunk_size(request.index))
        return Chunk(True, holding.read(request.index))
