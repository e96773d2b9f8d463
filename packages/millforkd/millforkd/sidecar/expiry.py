"""
Taking a version from the engine that has ended before the next one is here.

Entries stop sending in time, but what they sent last may lie in a slow link, and nothing
calls it back there: a request was seen to begin 1.1 s after it was sent. The daemon
beside the engine has no link to cross. It has the engine hold a single layer of the next
version instead, so that whatever still comes is refused as not run. Where no layer of
the next version is here (an origin that is down, a daemon that has just started), it is a
layer of the version served, whose pieces lie at the engine. An engine that is about to
have the next version whole is left alone: it takes no other order until what runs has
ended, and would change 0.5 s to 1.5 s later.

"""

from collections import deque
from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.ids import UNTOLD_INCARNATION
from millfork_core.logs import Part, logger
from millfork_registry.records import ServedVersion
from millforkd.sidecar.engine import LocalEngine
from millforkd.sidecar.layer_assignment import Layers
from millforkd.sidecar.pieces import PieceSet, PieceStore, WeightsId
from millforkd.sidecar.rollout import Rollout
from millforkd.sidecar.target import Target
from millforkd.switching import LAST_SENT_S

POLL_S: Final = 0.05
# The engine is emptied so long before requests may not begin on the old version any more:
# the order takes two polls and a few calls on the same instance, and this daemon may have
# learned of the version 0.2 s after the entries.
EMPTY_AHEAD_S: Final = 0.35
# The next version is about to be here if its pieces, as they came in the last second,
# take no longer than this. On a link that delays requests by so much, they take longer.
NEARLY_COMPLETE_S: Final = 0.5
RATE_WINDOW_S: Final = 1.0

log = logger(Part.WEIGHTS)


class ExpiryWatcher:
    """
    Watches the version that the engine serves.

    """

    def __init__(
        self, env: Environment, engine: LocalEngine, store: PieceStore, rollout: Rollout
    ) -> None:
        self.env = env
        self.engine = engine
        self.store = store
        self.rollout = rollout
        # The version that the engine was last emptied for, and which incarnation of it.
        self.emptied_for = (UNTOLD_INCARNATION, 0)
        # When how many pieces of the target were here, over the last second.
        self.arrivals: deque[tuple[float, int]] = deque()

    async def run(self) -> None:
        """
        The task that takes ended versions away.

        """
        while True:
            await curio.sleep(POLL_S)
            target = self.rollout.target()
            if target is None:
                continue
            held = self.store.get_or_create(target.weights)
            self._record_arrivals(len(held.pieces))
            if self._is_due(target, held):
                await self._empty_engine(target)

    def _is_due(self, target: Target, held: PieceSet) -> bool:
        """
        Whether the version has ended, and the next one is not about to be here.

        """
        if not self._has_ended(target):
            return False
        return self._remaining_s(target, held) > NEARLY_COMPLETE_S

    def _record_arrivals(self, count: int) -> None:
        now = self.env.monotonic()
        if self.arrivals and count < self.arrivals[-1][1]:
            # Another version is brought by now.
            self.arrivals.clear()
        self.arrivals.append((now, count))
        while now - self.arrivals[0][0] > RATE_WINDOW_S:
            self.arrivals.popleft()

    def _remaining_s(self, target: Target, held: PieceSet) -> float:
        """
        Seconds until the rest of the pieces is here, at the rate of the last second.

        """
        window_start, window_start_count = self.arrivals[0]
        arrived = len(held.pieces) - window_start_count
        missing = target.pieces - len(held.pieces)
        if not missing:
            return 0.0
        if not arrived:
            return float('inf')
        return missing * (self.env.monotonic() - window_start) / arrived

    def _has_ended(self, target: Target) -> bool:
        """
        Whether the engine still serves what nothing may begin on any more.

        """
        emptied = self.emptied_for == (self.rollout.incarnation, target.weights.version)
        if emptied or self.rollout.changing_to:
            return False
        if not self.rollout.serves_another(target):
            return False
        return self.env.monotonic() > target.due + LAST_SENT_S - EMPTY_AHEAD_S

    async def _empty_engine(self, target: Target) -> None:
        async with self.rollout.order_lock:
            if not self._has_ended(target):
                return
            emptied = (self.rollout.incarnation, target.weights.version)
            remaining = await self._order_single_layer(target)
        if remaining is None:
            return
        self.emptied_for = emptied
        log.notice(
            'Took the ended version from the engine. next={} left={}@{} layer={} since_s={:.2f}',
            target.weights,
            remaining.model,
            remaining.version,
            remaining.first,
            self.env.monotonic() - target.since,
        )

    async def _order_single_layer(self, target: Target) -> ServedVersion | None:
        """
        Have the engine hold a single layer: of the next version, which the rollout then
        goes on from, or else of its own. None if it does not take the order.

        """
        weights = target.weights
        held = self.store.get_or_create(weights)
        layer = _find_complete_layer(held, target)
        if layer is None:
            return await self._order_layer_of_served_version(target)
        for index in layer.pieces(target.layers, target.pieces):
            if not await self.engine.stage(weights.model, index, held.pieces[index]):
                return None
        return await self._order(weights, layer)

    async def _order_layer_of_served_version(self, target: Target) -> ServedVersion | None:
        """
        Have the engine hold a single layer of what it serves; by itself it makes no token.
        Its pieces lie there, unless a daemon before this one has laid others.

        """
        if not self.rollout.staged_checked or self.rollout.staged_weights == target.weights:
            return None
        serves = self.rollout.served[0]
        end = serves.end if serves.end is not None else target.layers
        if end - serves.first <= 1:
            return None
        # Neither the first nor the last of the model, where there are others: no path
        # begins or ends with it, whatever an entry that knows of no newer version makes of
        # it.
        middle = (serves.first + end) // 2
        layer = Layers(middle, middle + 1)
        return await self._order(WeightsId(serves.model, serves.version), layer)

    async def _order(self, weights: WeightsId, layer: Layers) -> ServedVersion | None:
        model, version = weights.model, weights.version
        if not await self.engine.start(model, version, layer.first, layer.end, False):
            return None
        return ServedVersion(model, version, layer.first, layer.end)


def _find_complete_layer(held: PieceSet, target: Target) -> Layers | None:
    """
    A layer of which all pieces are here, if there is one.

    """
    for first in range(target.layers):
        layer = Layers(first, first + 1)
        if all(index in held.pieces for index in layer.pieces(target.layers, target.pieces)):
            return layer
    return None
