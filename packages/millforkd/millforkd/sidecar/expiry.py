"""
Removes the served version from the engine if that version ends before the next one has arrived.

Once a version has ended, no request may start on it. Entries (front proxies) stop sending in
time, but their last requests may be queued in a slow link, where they can't be cancelled: a
request was seen to start 1.1 s after it was sent. This daemon runs on the same instance as the
engine, so no link delays its load orders. It tells the engine to hold a single layer of the next
version, so that the engine refuses late requests without running them. If no layer of the next
version has arrived (the origin is down, or the daemon has just started), the engine is told to
hold one layer of the served version, whose pieces are still staged. If the next version is
nearly complete, the engine is not told to hold a single layer: after this load order, the engine
would accept no other until its running requests had ended, and so would change to the next
version 0.5 s to 1.5 s later.

"""

from collections import deque
from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.ids import UNKNOWN_INCARNATION
from millfork_core.logs import Component, logger
from millfork_registry.records import ServedVersion
from millforkd.sidecar.engine import LocalEngine
from millforkd.sidecar.layer_assignment import Layers
from millforkd.sidecar.pieces import PieceSet, PieceStore, WeightsId
from millforkd.sidecar.rollout import Rollout
from millforkd.sidecar.target import Target
from millforkd.version_switching import LAST_SEND_BEFORE_END_S

# Time between two checks of the served version, in seconds.
POLL_S: Final = 0.05
# The engine is told to hold a single layer this many seconds before the served version ends. The
# load order takes two pauses of `POLL_S` and a few calls on the same instance, and this daemon may
# have learned of the new version 0.2 s after the entries did.
EMPTY_AHEAD_S: Final = 0.35
# The next version counts as nearly complete if its missing pieces will arrive within this many
# seconds at the rate of the last second. On a link slow enough to delay requests by about a
# second, the missing pieces take longer than this.
NEARLY_COMPLETE_S: Final = 0.5
# The rate at which pieces arrive is measured over this many seconds.
RATE_WINDOW_S: Final = 1.0

log = logger(Component.WEIGHTS)


class ExpiryWatcher:
    """
    Empties the engine shortly before the served version ends: tells the engine to hold a single
    layer, with which it can't run requests.

    """

    def __init__(
        self, env: Environment, engine: LocalEngine, store: PieceStore, rollout: Rollout
    ) -> None:
        self.env = env
        self.engine = engine
        self.store = store
        self.rollout = rollout
        # The engine's incarnation and the target version when the engine was last emptied.
        self.emptied_for = (UNKNOWN_INCARNATION, 0)
        # Samples of the last second: the time (monotonic seconds), and the number of pieces of
        # the target that this daemon held at that time.
        self.arrivals: deque[tuple[float, int]] = deque()

    async def run(self) -> None:
        """
        Every `POLL_S`, record how many pieces of the target are held, and empty the engine if
        this is due. Does neither while no target is known. Runs until cancelled.

        """
        while True:
            await curio.sleep(POLL_S)
            target = self.rollout.get_target()
            if target is None:
                continue
            held = self.store.get_or_create(target.weights)
            self._record_arrivals(len(held.pieces))
            if self._is_due(target, held):
                await self._empty_engine(target)

    def _is_due(self, target: Target, held: PieceSet) -> bool:
        """
        Whether the engine must be emptied now: the served version is about to end, and the
        next one is not nearly complete.

        """
        if not self._serves_ending_version(target):
            return False
        return self._remaining_s(target, held) > NEARLY_COMPLETE_S

    def _record_arrivals(self, count: int) -> None:
        now = self.env.monotonic()
        if self.arrivals and count < self.arrivals[-1][1]:
            # Fewer pieces than before: the samples belong to an earlier target.
            self.arrivals.clear()
        self.arrivals.append((now, count))
        while now - self.arrivals[0][0] > RATE_WINDOW_S:
            self.arrivals.popleft()

    def _remaining_s(self, target: Target, held: PieceSet) -> float:
        """
        Seconds until the missing pieces have arrived, at the rate of the last second; infinity
        if no piece arrived in that second.

        """
        window_start, window_start_count = self.arrivals[0]
        arrived = len(held.pieces) - window_start_count
        missing = target.pieces - len(held.pieces)
        if not missing:
            return 0.0
        if not arrived:
            return float('inf')
        return missing * (self.env.monotonic() - window_start) / arrived

    def _serves_ending_version(self, target: Target) -> bool:
        """
        Whether the engine serves another version and no layer of the target, and the served
        version has ended or ends within `EMPTY_AHEAD_S`. False if this incarnation of the engine
        was already emptied for the target, or is changing its version.

        """
        emptied = self.emptied_for == (self.rollout.incarnation, target.weights.version)
        if emptied or self.rollout.changing_to:
            return False
        if not self.rollout.serves_another(target):
            return False
        return self.env.monotonic() > target.due + LAST_SEND_BEFORE_END_S - EMPTY_AHEAD_S

    async def _empty_engine(self, target: Target) -> None:
        async with self.rollout.loader.order_lock:
            if not self._serves_ending_version(target):
                return
            emptied = (self.rollout.incarnation, target.weights.version)
            remaining = await self._order_single_layer(target)
        if remaining is None:
            return
        self.emptied_for = emptied
        log.notice(
            'Removed the ended version from the engine. next={} left={}@{} layer={} since_s={:.2f}',
            target.weights,
            remaining.model,
            remaining.version,
            remaining.first,
            self.env.monotonic() - target.chosen_at,
        )

    async def _order_single_layer(self, target: Target) -> ServedVersion | None:
        """
        Tell the engine to hold a single layer: the first complete layer of the next version, to
        which the rollout later adds the other layers, or, if no layer of the next version is
        complete, one of the served version. Returns that layer; None if no load order was sent,
        or the engine did not accept it.

        """
        weights = target.weights
        held = self.store.get_or_create(weights)
        layer = _find_complete_layer(held, target)
        if layer is None:
            return await self._order_layer_of_served_version(target)
        if not await self.rollout.loader.order_layer(target, held, layer.first):
            return None
        return _single_layer(weights, layer)

    async def _order_layer_of_served_version(self, target: Target) -> ServedVersion | None:
        """
        Tell the engine to hold a single layer of the served version: with one layer, the engine
        can't generate tokens. The pieces of this layer are still staged at the engine, unless
        an earlier process of this daemon staged pieces of the target. No load order is sent
        (None) if pieces of the target are staged, if this has not been checked yet, or if the
        engine holds a single layer already.

        """
        if not self.rollout.staged_checked or self.rollout.staged_weights == target.weights:
            return None
        serves = self.rollout.served[0]
        end = serves.end if serves.end is not None else target.layers
        if end - serves.first <= 1:
            return None
        # A path of engines that run a request together begins with the first layer of the model
        # and ends with the last one. With any other layer, the engine is in no path, also not of
        # entries that know of no newer version. So the pieces need not be read back.
        inner = range(max(serves.first, 1), min(end, target.layers - 1))
        if not inner:
            return None
        middle = inner[len(inner) // 2]
        weights, layer = WeightsId(serves.model, serves.version), Layers(middle, middle + 1)
        if not await self.rollout.loader.order_unproven(weights, layer):
            return None
        return _single_layer(weights, layer)


def _single_layer(weights: WeightsId, layer: Layers) -> ServedVersion:
    return ServedVersion(weights.model, weights.version, layer.first, layer.end)


def _find_complete_layer(held: PieceSet, target: Target) -> Layers | None:
    """
    The first layer of the target of which `held` contains all pieces; None if there is none.

    """
    for first in range(target.layers):
        layer = Layers(first, first + 1)
        if all(index in held.pieces for index in layer.pieces(target.layers, target.pieces)):
            return layer
    return None
