"""
Pieces of weights that pass through this entry, kept for the daemons of its zone.

An engine's instance has a slow link that carries what it receives and what it
sends together; an entry's is wide. So each zone's daemons take the pieces from
the zone's entries. Of these, the ones nearest to the origin draw each piece
once, and those of the other zones take it from them.

"""

from collections import Counter, deque
from collections.abc import Callable
from typing import Any, Final

import curio
import msgspec

from millfork_core.environment import Environment
from millfork_core.logs import Part, logger
from millfork_registry.caches import NAMED_ELSEWHERE, drawers
from millfork_registry.discovery import address_of
from millfork_wire.connection import PeerError
from millfork_wire.messages import CacheAddress, Chunk, GetChunk, GetManifest, Manifest
from millfork_wire.peers import Peers
from millforkd.sidecar.origin import Origin
from millforkd.sidecar.pieces import (
    PieceSet,
    PieceStore,
    WeightsId,
    decode_digests,
    encode_digests,
    parse_weights_id,
)
from millforkd.sidecar.silent_peers import SilentPeers
from millforkd.sidecar.sources import DIGESTS_INDEX, request_order
from millforkd.sidecar.verification import store_if_valid

# Pieces drawn from the origin at once: enough to fill its link.
DRAWN_AT_ONCE: Final = 3
# Pieces brought ahead of those asked for, at once.
AHEAD_AT_ONCE: Final = 2
# Who asks a cache takes it for silent after a second; 'not yet' comes well before.
WAIT_S: Final = 0.5
# Another cache says 'not yet' after WAIT_S, and no two zones are 0.1 s apart.
PEER_TIMEOUT_S: Final = 0.8
# A piece that came spoilt is drawn once more.
DRAWS: Final = 2
# After a round in which nothing came.
RETRY_S: Final = 0.2
# A version of which nobody asked for a piece for so long is not wanted at the moment: who
# wants one asks again after 0.5 s and a pause of RETRY_S.
WANTED_S: Final = 1.2
NOT_YET: Final = 'not yet'
ORIGIN_FAILS: Final = 'the origin does not answer'
OTHERS_FIRST: Final = 'the origin sends other pieces first'
# A drawer has its pieces from the origin, only not the one asked for, if so much of its
# equal part of the origin's rate came over the last second. A slowed instance has less.
AT_IT_SHARE: Final = 0.25
RATE_OVER_S: Final = 1.0
# A drawer that says 'not yet' is at it: whoever drew the piece beside it would only
# make the origin slower. After so many answers it is too slow itself (half a second
# each; a slowed instance needs five times as long as others).
PATIENCE: Final = 6

log = logger(Part.WEIGHTS)


class PieceCache:
    """
    The pieces of the last versions asked for.

    """

    def __init__(
        self,
        env: Environment,
        peers: Peers,
        origin: Origin,
        caches: Callable[[], list[CacheAddress]],
    ) -> None:
        self.env = env
        self.peers = peers
        self.origin = origin
        self.caches = caches
        self.store = PieceStore()
        # What is on its way, by version and piece (None: the digests).
        self.coming: dict[tuple[WeightsId, int | None], curio.Event] = {}
        self.drawing = curio.Semaphore(DRAWN_AT_ONCE)
        self.ahead: set[WeightsId] = set()
        # When a piece was last asked for, by version.
        self.asked_at: dict[WeightsId, float] = {}
        self.silent = SilentPeers(env.monotonic)
        # When how many bytes came from the origin, over the last second.
        self.drawn: deque[tuple[float, int]] = deque()
        # How often a drawer had a piece not yet.
        self.not_yet: Counter[tuple[WeightsId, int]] = Counter()

    async def manifest(self, message: GetManifest) -> Manifest:
        """
        Answer a daemon that asks for the digests.

        """
        weights = _weights_of(message.digest)
        if weights is None or not await self._have_digests(weights, message.draw, self._until()):
            return Manifest(reason=self._why_not())
        return Manifest(True, encode_digests(self.store.get_or_create(weights).digests), False)

    async def chunk(self, message: GetChunk) -> Chunk:
        """
        Answer a daemon, or another cache, that asks for a piece. What is not
        here in time is brought all the same, for the next one who asks.

        """
        until = self._until()
        weights = _weights_of(message.manifest)
        if weights is None or not await self._have_digests(weights, message.draw, until):
            return Chunk(reason=self._why_not())
        self.asked_at[weights] = self.env.monotonic()
        if weights not in self.ahead:
            self.ahead.intersection_update(self.store.sets)
            for old in self.asked_at.keys() - self.store.sets.keys() - {weights}:
                del self.asked_at[old]
            self.ahead.add(weights)
            await self.env.spawn(self._bring_ahead, weights)
        await self._have(weights, message.index, message.draw, until)
        data = self.store.get_or_create(weights).pieces.get(message.index)
        if data is None:
            return Chunk(reason=self._why_not())
        self.env.metrics.count(self.env.metrics.chunk_bytes, len(data), source='cached')
        return Chunk(True, data)

    def _why_not(self) -> str:
        if self.origin.failing:
            return ORIGIN_FAILS
        return OTHERS_FIRST if self._draws_apace() else NOT_YET

    def _draws_apace(self) -> bool:
        """
        Whether the origin, not this drawer, is what a piece waits for. Each cache that drew
        beside it made the origin slower: 4.6 copies sent for the two that were wanted, the
        first engine whole 12.8 s after an origin that sends one in 4.4 s was back.

        """
        figures = self.origin.figures()
        if figures is None or not figures.bytes_per_s:
            return False
        now = self.env.monotonic()
        while self.drawn and now - self.drawn[0][0] > RATE_OVER_S:
            self.drawn.popleft()
        came = sum(size for _, size in self.drawn)
        return came >= AT_IT_SHARE * RATE_OVER_S * figures.bytes_per_s / NAMED_ELSEWHERE

    def _until(self) -> float:
        return self.env.monotonic() + WAIT_S

    async def _have_digests(self, weights: WeightsId, draw: bool, until: float) -> bool:
        held = self.store.get_or_create(weights)
        if not held.digests:
            await self._once((weights, None), until, self._bring_digests, held, draw)
        return bool(held.digests)

    async def _bring_digests(self, held: PieceSet, draw: bool) -> None:
        """
        The digests are drawn once as well: drawn by each of 98 entries and 102 daemons,
        they kept the origin's link from a third of the pieces in the first 2.5 s.

        """
        if draw or not await self._left_to_drawer(held, DIGESTS_INDEX):
            await self.origin.fetch_digests(held)

    async def _have(self, weights: WeightsId, index: int, draw: bool, until: float) -> None:
        """
        Have a piece here, if it comes before `until`.

        """
        held = self.store.get_or_create(weights)
        if 0 <= index < len(held.digests) and index not in held.pieces:
            await self._once((weights, index), until, self._bring, weights, index, draw)

    async def _once(
        self,
        key: tuple[WeightsId, int | None],
        until: float,
        bring: Callable[..., Any],
        *args: object,
    ) -> None:
        """
        Bring something, or wait for whoever is at it, at most until then.

        """
        coming = self.coming.get(key)
        if coming is None:
            coming = curio.Event()
            self.coming[key] = coming
            await self.env.spawn(self._carry, key, bring, *args)
        try:
            async with curio.timeout_after(until - self.env.monotonic()):
                await coming.wait()
        except curio.TaskTimeout:
            log.debug('Not here in time: {} of {}.', key[1], key[0])

    async def _carry(
        self, key: tuple[WeightsId, int | None], bring: Callable[..., Any], *args: object
    ) -> None:
        try:
            await bring(*args)
        finally:
            await self.coming.pop(key).set()

    async def _bring(self, weights: WeightsId, index: int, draw: bool) -> None:
        held = self.store.get_or_create(weights)
        if not draw and await self._left_to_drawer(held, index):
            return
        async with self.drawing:
            for _ in range(DRAWS):
                if index not in held.pieces:
                    await self._draw(held, index)

    async def _draw(self, held: PieceSet, index: int) -> None:
        data = await self.origin.fetch_piece(held, index)
        if data is not None:
            self.drawn.append((self.env.monotonic(), len(data)))

    async def _left_to_drawer(self, held: PieceSet, index: int) -> bool:
        """
        Ask the drawer of a piece (or of the digests) for it, and the next one if it is
        silent; False if this cache is to draw it.

        """
        place = (held.weights, index)
        own = str(self.env.instance)
        while self.not_yet[place] < PATIENCE:
            drawer = self._drawer_of(held.weights, index)
            if drawer == own:
                return False
            reply = await self._ask(drawer, held.weights, index)
            if reply is None:
                continue
            if not reply.found:
                # Nobody would get more from an origin that is down, or sends what it can.
                self.not_yet[place] += reply.reason not in (ORIGIN_FAILS, OTHERS_FIRST)
                return True
            del self.not_yet[place]
            return await self._keep(held, index, reply, drawer)
        return False

    async def _keep(self, held: PieceSet, index: int, reply: Chunk | Manifest, drawer: str) -> bool:
        if isinstance(reply, Chunk):
            return await store_if_valid(self.env, held, index, reply.data, 'cache', drawer)
        try:
            await held.set_digests(decode_digests(reply.body))
        except msgspec.DecodeError as error:
            log.warning('Digests of {} from {} can not be read: {}.', held.weights, drawer, error)
            return False
        return True

    def _drawer_of(self, weights: WeightsId, index: int) -> str:
        """
        The cache that draws a piece; those that were silent lately are passed
        over, this one is always there.

        """
        answering = [cache for cache in self.caches() if not self.silent.is_silent(cache.instance)]
        names = [cache.instance for cache in drawers(answering, self._origin_zone())]
        return request_order(names, weights, index)[0] if names else str(self.env.instance)

    async def _ask(self, drawer: str, weights: WeightsId, index: int) -> Chunk | Manifest | None:
        """
        A drawer's answer; None if it is silent.

        """
        message: GetChunk | GetManifest = GetChunk(str(weights), index, draw=True)
        if index == DIGESTS_INDEX:
            message = GetManifest(str(weights), draw=True)
        try:
            reply = await self.peers.call(address_of(drawer), message, PEER_TIMEOUT_S)
        except PeerError as error:
            log.info('Piece {} of {} not from cache {}: {}.', index, weights, drawer, error)
            self.silent.mark_silent(drawer)
            return None
        return reply if isinstance(reply, Chunk | Manifest) else Chunk(reason='no cache')

    def _origin_zone(self) -> str:
        figures = self.origin.figures()
        return figures.zone if figures is not None else ''

    # Ahead of those who ask: a slow link must not wait for the way to the origin,
    # and an origin that fails must have been drawn from as early as can be.

    async def _bring_ahead(self, weights: WeightsId) -> None:
        """
        Bring the pieces that will be asked of this cache until they are here or
        newer versions took their place.

        """
        near = [cache.instance for cache in self.caches() if cache.zone == self.env.zone]
        own = str(self.env.instance)
        held = self.store.get_or_create(weights)
        mine = [
            index
            for index in ahead_order(len(held.digests))
            if not near or request_order(near, weights, index)[0] == own
        ]
        while self.store.find(weights) is held and self._is_wanted(weights):
            queue = [index for index in reversed(mine) if index not in held.pieces]
            if not queue:
                break
            before = len(held.pieces)
            async with curio.TaskGroup() as group:
                for _ in range(AHEAD_AT_ONCE):
                    await group.spawn(self._work_ahead, weights, queue)
            if len(held.pieces) == before:
                await curio.sleep(RETRY_S)
        if not self._is_wanted(weights):
            # The next who asks begins it again.
            self.ahead.discard(weights)
        log.info(
            'Pieces brought ahead. weights={} held={} of={}',
            weights,
            len(held.pieces),
            len(held.digests),
        )

    def _is_wanted(self, weights: WeightsId) -> bool:
        """
        Whether a version is still asked for. One that is not delays another where the
        origin's link binds.

        """
        return self.env.monotonic() - self.asked_at.get(weights, float('-inf')) < WANTED_S

    async def _work_ahead(self, weights: WeightsId, queue: list[int]) -> None:
        while queue and self._is_wanted(weights):
            await self._have(weights, queue.pop(), False, self._until())


def ahead_order(pieces: int) -> list[int]:
    """
    The first piece of each half in turn: an engine that serves nothing takes one
    half of the layers first, and the origin fills the links of both at once.

    """
    half = -(-pieces // 2)
    return sorted(range(pieces), key=lambda index: (index % half, index))


def _weights_of(text: str) -> WeightsId | None:
    try:
        return parse_weights_id(text)
    except ValueError as error:
        log.warning('A bad id of weights: {}.', error)
        return None
