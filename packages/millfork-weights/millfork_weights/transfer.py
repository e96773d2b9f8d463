"""
One version on its way to this instance: stripes, sources, verification.

"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.ids import Digest, InstanceId
from millfork_core.logs import Component, logger
from millfork_weights.links import Link
from millfork_weights.manifest import BadManifest, Manifest, decode_manifest
from millfork_weights.origin import Origin, OriginFailed
from millfork_weights.store import Holding, WeightStore
from millfork_weights.trees import Holder, Tree, plan_trees
from millfork_wire.connection import PeerError
from millfork_wire.messages import Chunk, GetChunk, GetManifest
from millfork_wire.messages import Manifest as ManifestMessage
from millfork_wire.peers import PeerAddress, Peers

FIRST_SUSPICION_S: Final = 1.0
PAUSE_S: Final = 0.1
MANIFEST_TIMEOUT_S: Final = 0.5
ORIGIN_AFTER_ROUNDS: Final = 10
PATIENCE: Final = 3
# Each instance plans the trees from the instances that it knows of, so where their views
# differ for a moment each may take another for the root of a stripe. Of a stripe of which
# nothing comes for so many stalls, whoever stands first in its tree becomes another root,
# and the next one a stall later: an origin that stands still is not drawn from by all.
ROOTLESS_STALLS: Final = 6
WHOLE_PEERS_ASKED: Final = 3
BUSY: Final = 'busy'
NOT_YET: Final = 'not_yet'
LOCAL: Final = 'local'
ORIGIN: Final = 'origin'
PEER: Final = 'peer'

log = logger(Component.WEIGHTS)


class TransferFailed(Exception):
    """
    A transfer came to an end before its version was whole.

    """


class Found(Enum):
    """
    What became of asking for a chunk: taken; somebody lives but has it not
    yet; nobody lives.

    """

    TAKEN = 'taken'
    NOT_THERE = 'not_there'
    NOBODY = 'nobody'


@dataclass(frozen=True, slots=True)
class Suspicion:
    """
    Until when a source is passed over (monotonic), and for how long in all.

    """

    until: float
    pause_s: float


NOT_SUSPECT: Final = Suspicion(0.0, FIRST_SUSPICION_S)
Planner = Callable[[Digest, list[Holder], int, int], list[Tree]]


@dataclass(frozen=True, slots=True)
class TransferSettings:
    """
    How to draw: trees, requests in flight for each, patience in seconds. The
    planner is replaced only by the baselines of the bench.

    """

    stripes: int
    window: int
    stall_s: float
    origin_copies: int
    planner: Planner = plan_trees


class Transfer:
    """
    Brings one version here, from peers where possible.

    """

    def __init__(
        self,
        env: Environment,
        settings: TransferSettings,
        store: WeightStore,
        link: Link,
        origin: Origin,
        peers: Peers,
        locate: Callable[[InstanceId], PeerAddress | None],
    ) -> None:
        self.env = env
        self.settings = settings
        self.store = store
        self.link = link
        self.origin = origin
        self.peers = peers
        self.locate = locate
        self.suspects: dict[InstanceId, Suspicion] = {}
        self.whole_peers: list[InstanceId] = []
        self.trees: list[Tree] = []
        # By stripe: when something of it last came, and whether this instance became a root.
        self.came_at: dict[int, float] = {}
        self.adopted: set[int] = set()

    async def run(self, name: str, version: str, digest: Digest, holders: list[Holder]) -> Holding:
        """
        Return the holding once every chunk and the whole are verified.

        :raises WholeMismatch: if the manifest contradicts itself.
        :raises TransferFailed: if it can't go on; what is here stays here.

        """
        settings = self.settings
        self.trees = settings.planner(digest, holders, settings.stripes, settings.origin_copies)
        manifest = await self._manifest(name, version, digest)
        holding = await self.store.open(digest, manifest)
        self.came_at = dict.fromkeys(range(len(self.trees)), self.env.monotonic())
        async with curio.TaskGroup() as group:
            for stripe, tree in enumerate(self.trees):
                indexes = iter(range(stripe, len(manifest.chunks), settings.stripes))
                for _ in range(settings.window):
                    await group.spawn(self._fetch_stripe, holding, tree, indexes)
        # A group cancels its other tasks when one fails, and raises nothing.
        failures = [task.exception for task in group.tasks if task.exception]
        if failures:
            raise TransferFailed(str(failures[0])) from failures[0]
        if not holding.whole:
            await holding.complete()
        return holding

    # The manifest.

    async def _manifest(self, name: str, version: str, digest: Digest) -> Manifest:
        """
        The manifest, from peers, an earlier run, or the origin. The roots of
        the trees ask the origin first; others only if peers have nothing for
        some rounds.

        """
        me = self.env.instance
        asked = self._manifest_sources()
        rounds = 0 if any(tree.is_root(me) for tree in self.trees) else ORIGIN_AFTER_ROUNDS
        while True:
            found = await self._manifest_from_peers(asked, digest)
            found = found or self.store.manifest_on_disk(digest)
            if found is None and (rounds <= 0 or not asked):
                found = await self._manifest_from_origin(name, version, digest)
            if found is not None:
                return found
            rounds -= 1
            await curio.sleep(PAUSE_S)

    def _manifest_sources(self) -> list[InstanceId]:
        """
        The nearest ancestors, and a few at random, who may be whole already.

        """
        me = self.env.instance
        nearest = [source for tree in self.trees for source in tree.sources(me)[:1]]
        others = [name for name in self.trees[0].order if name != me]
        chosen = self.env.random.sample(others, min(WHOLE_PEERS_ASKED, len(others)))
        return list(dict.fromkeys([*nearest, *chosen]))

    async def _manifest_from_peers(
        self, sources: list[InstanceId], digest: Digest
    ) -> Manifest | None:
        async with curio.TaskGroup() as group:
            for source in sources:
                await group.spawn(self._manifest_from, source, digest)
        answers = [task.result for task in group.tasks if not task.exception]
        return next((answer for answer in answers if answer is not None), None)

    async def _manifest_from(self, source: InstanceId, digest: Digest) -> Manifest | None:
        address = self.locate(source)
        if address is None:
            return None
        try:
            reply = await self.peers.call(address, GetManifest(digest), MANIFEST_TIMEOUT_S)
        except PeerError:
            self._suspect(source)
            return None
        if not isinstance(reply, ManifestMessage) or not reply.found:
            return None
        if reply.whole and source not in self.whole_peers:
            self.whole_peers.append(source)
        try:
            return decode_manifest(reply.body, digest)
        except BadManifest:
            self._count('bad_manifest', PEER)
            return None

    async def _manifest_from_origin(
        self, name: str, version: str, digest: Digest
    ) -> Manifest | None:
        try:
            return decode_manifest(await self.origin.manifest(name, version), digest)
        except OriginFailed:
            self._count('failed', ORIGIN)
        except BadManifest:
            self._count('origin_changed', ORIGIN)
            log.warning('The origin changed {} {} after it was accepted.', name, version)
            await curio.sleep(PAUSE_S)
        return None

    # Chunks.

    async def _fetch_stripe(self, holding: Holding, tree: Tree, indexes: Iterator[int]) -> None:
        for index in indexes:
            if holding.have[index]:
                continue
            if await self._reuse(holding, index):
                continue
            await self._fetch(holding, tree, index)

    async def _reuse(self, holding: Holding, index: int) -> bool:
        size = holding.manifest.chunk_size(index)
        data = self.store.find_chunk(holding.manifest.chunks[index], size)
        if data is None:
            return False
        await holding.put(index, data)
        self._count('reused', LOCAL)
        return True

    async def _fetch(self, holding: Holding, tree: Tree, index: int) -> None:
        """
        Ask source after source until the chunk is here and right.

        """
        rounds = 0
        while True:
            is_root = self._is_root(tree, index)
            found = await self._fetch_from_any(holding, index, self._whole_first(index))
            if found is Found.TAKEN:
                return
            if is_root and await self._fetch_from_origin(holding, index):
                return
            found = await self._fetch_from_any(holding, index, self._spread(tree))
            if found is Found.TAKEN:
                return
            rounds += 1
            # While any peer lives, others' draws reach it: origin bytes are dear.
            may_draw = found is Found.NOBODY or rounds >= ORIGIN_AFTER_ROUNDS
            if not is_root and may_draw and await self._fetch_from_origin(holding, index):
                return
            await curio.sleep(PAUSE_S)

    def _is_root(self, tree: Tree, index: int) -> bool:
        """
        Whether this instance draws a chunk's stripe from the origin: by plan, or since
        nobody else seems to.

        """
        stripe = index % self.settings.stripes
        if tree.is_root(self.env.instance) or stripe in self.adopted:
            return True
        if not self._is_rootless(index):
            return False
        log.warning(
            'Nothing of stripe {} came for {:.1f} s; it is drawn from the origin here.',
            stripe,
            self.env.monotonic() - self.came_at[stripe],
        )
        self._count('rootless', ORIGIN)
        self.adopted.add(stripe)
        return True

    def _is_rootless(self, index: int) -> bool:
        """
        Whether nobody seems to draw a chunk's stripe, and it is this instance's turn; it then
        asks no more peers before it draws.

        """
        stripe = index % self.settings.stripes
        if stripe in self.adopted or self.trees[stripe].is_root(self.env.instance):
            return False
        turn = self.trees[stripe].order.index(self.env.instance)
        silent_s = self.env.monotonic() - self.came_at[stripe]
        return silent_s > (ROOTLESS_STALLS + turn) * self.settings.stall_s

    def _spread(self, tree: Tree) -> list[InstanceId]:
        """
        The parent, then the other earlier nodes in random order: each node's
        link is full with its own children, so that what a lost parent gave
        must come from all a little.

        """
        sources = tree.sources(self.env.instance)
        others = sources[1:]
        self.env.random.shuffle(others)
        return [*sources[:1], *others]

    async def _fetch_from_any(
        self, holding: Holding, index: int, sources: list[InstanceId]
    ) -> Found:
        found = Found.NOBODY
        for source in sources:
            if self.suspects.get(source, NOT_SUSPECT).until > self.env.monotonic():
                continue
            if self._is_rootless(index):
                return found
            answer = await self._fetch_from_peer(holding, index, source)
            if answer is Found.TAKEN:
                return answer
            if answer is Found.NOT_THERE:
                found = answer
        return found

    def _whole_first(self, index: int) -> list[InstanceId]:
        """
        Peers that have it all, in turns so that each gives a part.

        """
        whole = self.whole_peers
        if not whole:
            return []
        turn = index % len(whole)
        return [*whole[turn:], *whole[:turn]]

    async def _fetch_from_peer(self, holding: Holding, index: int, source: InstanceId) -> Found:
        address = self.locate(source)
        if address is None:
            return Found.NOBODY
        size = holding.manifest.chunk_size(index)
        stall_s = self.settings.stall_s
        request = GetChunk(holding.digest, index, int(stall_s * 1000))
        timeout = 3 * stall_s + 2 * size / self.link.rate
        patience = PATIENCE
        while patience and not self._is_rootless(index):
            patience -= 1
            try:
                reply = await self.peers.call(address, request, timeout)
            except PeerError as error:
                self._suspect(source)
                self._count(type(error).__name__, PEER)
                return Found.NOBODY
            if not isinstance(reply, Chunk):
                return Found.NOBODY
            if reply.found:
                right = await self._take(holding, index, reply.data, PEER, source)
                return Found.TAKEN if right else Found.NOT_THERE
            self._count(reply.reason or 'not_found', PEER)
            if reply.reason not in (BUSY, NOT_YET):
                return Found.NOBODY
        return Found.NOT_THERE

    async def _fetch_from_origin(self, holding: Holding, index: int) -> bool:
        manifest = holding.manifest
        size = manifest.chunk_size(index)
        try:
            data = await self.origin.chunk(
                manifest.name, manifest.version, index * manifest.chunk_bytes, size
            )
        except OriginFailed:
            self._count('failed', ORIGIN)
            return False
        return await self._take(holding, index, data, ORIGIN, None)

    async def _take(
        self,
        holding: Holding,
        index: int,
        data: bytes,
        kind: str,
        source: InstanceId | None,
    ) -> bool:
        self.env.metrics.count(self.env.metrics.chunk_bytes, len(data), source=kind)
        await self.link.inward.take(len(data))
        if not holding.fits(index, data):
            self._count('corrupt', kind)
            log.warning('Chunk {} from {} is corrupt.', index, source or kind)
            return False
        await holding.put(index, data)
        self.came_at[index % self.settings.stripes] = self.env.monotonic()
        self._count('taken', kind)
        return True

    def _suspect(self, source: InstanceId) -> None:
        """
        Pass a source over for a while, twice as long each time.

        """
        pause_s = self.suspects.get(source, NOT_SUSPECT).pause_s * 2
        self.suspects[source] = Suspicion(self.env.monotonic() + pause_s, pause_s)

    def _count(self, outcome: str, kind: str) -> None:
        self.env.metrics.count(self.env.metrics.chunks, outcome=outcome, source=kind)
