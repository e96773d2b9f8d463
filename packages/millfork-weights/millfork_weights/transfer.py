"""
Transfer of one version of weights to this instance, from peers and the origin.

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
from millfork_weights.store import StoredVersion, WeightStore
from millfork_weights.trees import Receiver, Tree, plan_trees
from millfork_wire.connection import PeerError
from millfork_wire.messages import Chunk, GetChunk, GetManifest
from millfork_wire.messages import Manifest as ManifestMessage
from millfork_wire.peers import PeerAddress, Peers

# The value, in seconds, from which the backoff of a source starts. Each failure of the source
# doubles the backoff before it is applied, so the first backoff lasts 2 s.
INITIAL_BACKOFF_S: Final = 1.0
RETRY_INTERVAL_S: Final = 0.1
MANIFEST_TIMEOUT_S: Final = 0.5
# Rounds of requests to peers after which an instance that is not a root (see `Tree`) asks the
# origin.
PEER_ROUNDS_BEFORE_ORIGIN: Final = 10
# Requests for a chunk to one source before the next source is tried.
MAX_REQUESTS_PER_SOURCE: Final = 3
# A stripe may have no root: each instance plans the trees from the instances that it knows of, and
# while these sets differ, every instance may consider another one the root. The instance at
# position n of a tree's `order` therefore fetches the stripe from the origin once no new chunk of
# the stripe has arrived for (this number + n) * `TransferSettings.stall_s`. The different delays
# keep the instances from all fetching at once while the origin itself is stalled.
ORIGIN_FALLBACK_STALLS: Final = 6
RANDOM_MANIFEST_SOURCES: Final = 3
BUSY: Final = 'busy'
NOT_YET: Final = 'not_yet'
LOCAL: Final = 'local'
DISK: Final = 'disk'
LINK: Final = 'link'
ORIGIN: Final = 'origin'
PEER: Final = 'peer'

log = logger(Component.WEIGHTS)


class TransferFailed(Exception):
    """
    A transfer failed before its version was complete.

    """


class FetchResult(Enum):
    """
    Result of requesting a chunk from one or more sources: a valid copy was stored; a live source
    has no valid copy yet, or is busy; or no source is usable.

    """

    STORED = 'taken'
    NOT_YET_AVAILABLE = 'not_there'
    NO_LIVE_SOURCE = 'nobody'


@dataclass(frozen=True, slots=True)
class SourceBackoff:
    """
    The monotonic time until which a source is skipped, and the duration of this backoff.

    """

    until: float
    pause_s: float


NO_BACKOFF: Final = SourceBackoff(0.0, INITIAL_BACKOFF_S)
Planner = Callable[[Digest, list[Receiver], int, int], list[Tree]]


@dataclass(frozen=True, slots=True)
class TransferSettings:
    """
    The number of stripes, the requests in flight per stripe (`window`), the seconds for which a
    peer may delay its reply until it has the requested chunk (`stall_s`), and the roots per
    stripe (`origin_copies`). Only the baselines of the benchmark replace `planner`.

    """

    stripes: int
    window: int
    stall_s: float
    origin_copies: int
    planner: Planner = plan_trees


class Transfer:
    """
    Transfers one version to this instance, from peers where possible.

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
        self.backoffs: dict[InstanceId, SourceBackoff] = {}
        self.complete_peers: list[InstanceId] = []
        self.trees: list[Tree] = []
        # For each stripe, the monotonic time at which the latest chunk arrived from a peer or the
        # origin; until the first chunk arrives, the time at which the manifest was available.
        self.last_chunk_at: dict[int, float] = {}
        # Stripes that this instance fetches from the origin without being a planned root of them.
        self.origin_fallback_stripes: set[int] = set()
        # For each chunk that is being fetched, the source, link or disk that the fetch waits for.
        self.waits: dict[int, str] = {}

    async def run(
        self, name: str, version: str, digest: Digest, receivers: list[Receiver]
    ) -> StoredVersion:
        """
        Transfer a version, and return it once every chunk and the complete file are verified.

        :raises VersionDigestMismatch: if all chunks match their digests but the file does not.
        :raises TransferFailed: if fetching the chunks fails with an unexpected error, such as a
            full disk; stored chunks are kept.

        """
        settings = self.settings
        self.trees = settings.planner(digest, receivers, settings.stripes, settings.origin_copies)
        manifest = await self._find_manifest(name, version, digest)
        stored = await self.store.open(digest, manifest)
        self.last_chunk_at = dict.fromkeys(range(len(self.trees)), self.env.monotonic())
        self.waits.clear()
        stall_log = await self.env.spawn(self._log_stalls)
        try:
            async with curio.TaskGroup() as group:
                for stripe, tree in enumerate(self.trees):
                    indexes = iter(range(stripe, len(manifest.chunks), settings.stripes))
                    for _ in range(settings.window):
                        await group.spawn(self._fetch_stripe, stored, tree, indexes)
        finally:
            await stall_log.cancel()
        # When one task fails, a TaskGroup cancels the others and raises nothing.
        failures = [task.exception for task in group.tasks if task.exception]
        if failures:
            raise TransferFailed(str(failures[0])) from failures[0]
        if not stored.is_complete:
            await stored.complete()
        return stored

    async def _log_stalls(self) -> None:
        """
        Log each stripe that has fetches in progress but got no chunk for `stall_s`, and what these
        fetches wait for.

        """
        while True:
            await curio.sleep(self.settings.stall_s)
            for stripe in self.last_chunk_at:
                without_chunk_s = self._without_chunk_s(stripe)
                if without_chunk_s <= self.settings.stall_s:
                    continue
                waits = {
                    index: wait
                    for index, wait in self.waits.items()
                    if index % self.settings.stripes == stripe
                }
                if not waits:
                    continue
                log.info(
                    'Stripe stalled. stripe={} without_chunk_s={:.1f} chunks_and_waits={}',
                    stripe,
                    without_chunk_s,
                    waits,
                )

    def _without_chunk_s(self, stripe: int) -> float:
        return self.env.monotonic() - self.last_chunk_at[stripe]

    # Fetching the manifest.

    async def _find_manifest(self, name: str, version: str, digest: Digest) -> Manifest:
        """
        Return the manifest from a peer, else from the files of an earlier run, else from the
        origin. Roots of a stripe and instances without peers ask the origin from the first round
        on, other instances only after `PEER_ROUNDS_BEFORE_ORIGIN` rounds.

        """
        own = self.env.instance
        sources = self._choose_manifest_sources()
        rounds_left = (
            0 if any(tree.is_root(own) for tree in self.trees) else PEER_ROUNDS_BEFORE_ORIGIN
        )
        while True:
            manifest = await self._fetch_manifest_from_peers(sources, digest)
            manifest = manifest or self.store.manifest_on_disk(digest)
            if manifest is None and (rounds_left <= 0 or not sources):
                manifest = await self._fetch_manifest_from_origin(name, version, digest)
            if manifest is not None:
                return manifest
            rounds_left -= 1
            await curio.sleep(RETRY_INTERVAL_S)

    def _choose_manifest_sources(self) -> list[InstanceId]:
        """
        The first source in each tree, and a few random peers, which may have the complete
        version already.

        """
        own_instance = self.env.instance
        nearest = [source for tree in self.trees for source in tree.sources(own_instance)[:1]]
        others = [name for name in self.trees[0].order if name != own_instance]
        chosen = self.env.random.sample(others, min(RANDOM_MANIFEST_SOURCES, len(others)))
        return list(dict.fromkeys([*nearest, *chosen]))

    async def _fetch_manifest_from_peers(
        self, sources: list[InstanceId], digest: Digest
    ) -> Manifest | None:
        async with curio.TaskGroup() as group:
            for source in sources:
                await group.spawn(self._fetch_manifest_from, source, digest)
        answers = [task.result for task in group.tasks if not task.exception]
        return next((answer for answer in answers if answer is not None), None)

    async def _fetch_manifest_from(self, source: InstanceId, digest: Digest) -> Manifest | None:
        address = self.locate(source)
        if address is None:
            return None
        try:
            reply = await self.peers.call(address, GetManifest(digest), MANIFEST_TIMEOUT_S)
        except PeerError:
            self._back_off_from(source)
            return None
        if not isinstance(reply, ManifestMessage) or not reply.found:
            return None
        if reply.whole and source not in self.complete_peers:
            self.complete_peers.append(source)
        try:
            return decode_manifest(reply.body, digest)
        except BadManifest:
            self._count('bad_manifest', PEER)
            return None

    async def _fetch_manifest_from_origin(
        self, name: str, version: str, digest: Digest
    ) -> Manifest | None:
        try:
            return decode_manifest(await self.origin.manifest(name, version), digest)
        except OriginFailed:
            self._count('failed', ORIGIN)
        except BadManifest:
            self._count('origin_changed', ORIGIN)
            log.warning(
                'The manifest of {} {} at the origin differs from the accepted one.', name, version
            )
            await curio.sleep(RETRY_INTERVAL_S)
        return None

    # Fetching chunks.

    async def _fetch_stripe(
        self, stored: StoredVersion, tree: Tree, indexes: Iterator[int]
    ) -> None:
        for index in indexes:
            if stored.has_chunk[index]:
                continue
            if await self._copy_from_other_version(stored, index):
                continue
            await self._fetch_chunk(stored, tree, index)
            self.waits.pop(index, None)

    async def _copy_from_other_version(self, stored: StoredVersion, index: int) -> bool:
        size = stored.manifest.chunk_size(index)
        data = self.store.find_chunk(stored.manifest.chunks[index], size)
        if data is None:
            return False
        await stored.put(index, data)
        self._count('reused', LOCAL)
        return True

    async def _fetch_chunk(self, stored: StoredVersion, tree: Tree, index: int) -> None:
        """
        Request the chunk from one source after another until a valid copy is stored.

        """
        rounds = 0
        while True:
            is_root = self._is_root(tree, index)
            result = await self._fetch_from_any(stored, index, self._complete_peers(index))
            if result is FetchResult.STORED:
                return
            if is_root and await self._fetch_from_origin(stored, index):
                return
            result = await self._fetch_from_any(stored, index, self._tree_sources(tree))
            if result is FetchResult.STORED:
                return
            rounds += 1
            # While a peer answers, wait some rounds for the chunk to reach that peer. This saves
            # bandwidth of the origin.
            may_use_origin = (
                result is FetchResult.NO_LIVE_SOURCE or rounds >= PEER_ROUNDS_BEFORE_ORIGIN
            )
            if not is_root and may_use_origin and await self._fetch_from_origin(stored, index):
                return
            await curio.sleep(RETRY_INTERVAL_S)

    def _is_root(self, tree: Tree, index: int) -> bool:
        """
        Whether this instance fetches the chunk's stripe from the origin: as a planned root of
        the stripe, or because the stripe appears to have no root. In the second case, the stripe
        is added to `origin_fallback_stripes`.

        """
        stripe = index % self.settings.stripes
        if tree.is_root(self.env.instance) or stripe in self.origin_fallback_stripes:
            return True
        if not self._must_become_root(index):
            return False
        log.warning(
            'No chunk of stripe {} arrived for {:.1f} s; fetching it from the origin.',
            stripe,
            self._without_chunk_s(stripe),
        )
        self._count('rootless', ORIGIN)
        self.origin_fallback_stripes.add(stripe)
        return True

    def _must_become_root(self, index: int) -> bool:
        """
        Whether this instance is not a root of the chunk's stripe yet but must become one, as no
        chunk of the stripe has arrived for too long (see `ORIGIN_FALLBACK_STALLS`). Requests to
        peers stop when this becomes true.

        """
        stripe = index % self.settings.stripes
        if stripe in self.origin_fallback_stripes or self.trees[stripe].is_root(self.env.instance):
            return False
        position = self.trees[stripe].order.index(self.env.instance)
        limit_s = (ORIGIN_FALLBACK_STALLS + position) * self.settings.stall_s
        return self._without_chunk_s(stripe) > limit_s

    def _tree_sources(self, tree: Tree) -> list[InstanceId]:
        """
        The nodes to request chunks from, best first: the parent of this instance (if this
        instance is a root, the node placed just before it), then the other nodes placed before
        this instance, in random order. The children of a node use the node's whole link, so the
        children of a lost node must spread over many nodes.

        """
        sources = tree.sources(self.env.instance)
        others = sources[1:]
        self.env.random.shuffle(others)
        return [*sources[:1], *others]

    async def _fetch_from_any(
        self, stored: StoredVersion, index: int, sources: list[InstanceId]
    ) -> FetchResult:
        result = FetchResult.NO_LIVE_SOURCE
        for source in sources:
            if self.backoffs.get(source, NO_BACKOFF).until > self.env.monotonic():
                continue
            if self._must_become_root(index):
                return result
            answer = await self._fetch_from_peer(stored, index, source)
            if answer is FetchResult.STORED:
                return answer
            if answer is FetchResult.NOT_YET_AVAILABLE:
                result = answer
        return result

    def _complete_peers(self, index: int) -> list[InstanceId]:
        """
        The peers known to have the complete version. The list is rotated by the chunk's index, to
        spread the load.

        """
        peers = self.complete_peers
        if not peers:
            return []
        offset = index % len(peers)
        return [*peers[offset:], *peers[:offset]]

    async def _fetch_from_peer(
        self, stored: StoredVersion, index: int, source: InstanceId
    ) -> FetchResult:
        address = self.locate(source)
        if address is None:
            return FetchResult.NO_LIVE_SOURCE
        size = stored.manifest.chunk_size(index)
        stall_s = self.settings.stall_s
        request = GetChunk(stored.digest, index, int(stall_s * 1000))
        timeout = 3 * stall_s + 2 * size / self.link.rate
        requests_left = MAX_REQUESTS_PER_SOURCE
        self.waits[index] = source
        while requests_left and not self._must_become_root(index):
            requests_left -= 1
            try:
                reply = await self.peers.call(address, request, timeout)
            except PeerError as error:
                self._back_off_from(source)
                self._count(type(error).__name__, PEER)
                return FetchResult.NO_LIVE_SOURCE
            if not isinstance(reply, Chunk):
                return FetchResult.NO_LIVE_SOURCE
            if reply.found:
                is_valid = await self._store_if_valid(stored, index, reply.data, PEER, source)
                return FetchResult.STORED if is_valid else FetchResult.NOT_YET_AVAILABLE
            self._count(reply.reason or 'not_found', PEER)
            if reply.reason not in (BUSY, NOT_YET):
                return FetchResult.NO_LIVE_SOURCE
        return FetchResult.NOT_YET_AVAILABLE

    async def _fetch_from_origin(self, stored: StoredVersion, index: int) -> bool:
        manifest = stored.manifest
        size = manifest.chunk_size(index)
        self.waits[index] = ORIGIN
        try:
            data = await self.origin.chunk(
                manifest.name, manifest.version, index * manifest.chunk_bytes, size
            )
        except OriginFailed:
            self._count('failed', ORIGIN)
            return False
        return await self._store_if_valid(stored, index, data, ORIGIN, None)

    async def _store_if_valid(
        self,
        stored: StoredVersion,
        index: int,
        data: bytes,
        source_kind: str,
        source: InstanceId | None,
    ) -> bool:
        self.env.metrics.count(self.env.metrics.chunk_bytes, len(data), source=source_kind)
        self.waits[index] = LINK
        await self.link.inbound.acquire(len(data))
        if not stored.matches_digest(index, data):
            self._count('corrupt', source_kind)
            log.warning('Chunk {} from {} does not match its digest.', index, source or source_kind)
            return False
        self.waits[index] = DISK
        await stored.put(index, data)
        self.last_chunk_at[index % self.settings.stripes] = self.env.monotonic()
        self._count('taken', source_kind)
        return True

    def _back_off_from(self, source: InstanceId) -> None:
        """
        Skip a source for twice the time of its previous backoff.

        """
        pause_s = self.backoffs.get(source, NO_BACKOFF).pause_s * 2
        self.backoffs[source] = SourceBackoff(self.env.monotonic() + pause_s, pause_s)

    def _count(self, outcome: str, source_kind: str) -> None:
        self.env.metrics.count(self.env.metrics.chunks, outcome=outcome, source=source_kind)
