"""
Taking a version from the engine that has ended before the next one is here.

Entries stop sending in time, but what they sent last may lie in a slow link, and nothing
calls it back there: a request was seen to begin 1.1 s after it was sent. The daemon
beside the engine has no link to cross. It has the engine hold a single layer of the next
version instead, so that whatever still comes is refused as not run.

"""

from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.logs import Part, logger
from millforkd.beside.engine import LocalEngine
from millforkd.beside.layout import Layers
from millforkd.beside.pieces import PieceSet, PieceStore
from millforkd.beside.rollout import EMPTIED_BEFORE_S, Rollout
from millforkd.beside.target import Target
from millforkd.switching import LAST_SENT_S

POLL_S: Final = 0.05

log = logger(Part.WEIGHTS)


class Expiry:
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
        # The version that the engine was last emptied for.
        self.emptied_for = 0

    async def keep(self) -> None:
        """
        The task that takes ended versions away.

        """
        while True:
            await curio.sleep(POLL_S)
            target = self.rollout.target()
            if target is not None and self._has_ended(target):
                await self._empty(target)

    def _has_ended(self, target: Target) -> bool:
        """
        Whether the engine still serves, whole, what nothing may begin on any more.

        """
        if self.emptied_for == target.weights.version or self.rollout.changing_to:
            return False
        if not self.rollout.serves_another(target):
            return False
        return self.env.monotonic() > target.due + LAST_SENT_S - EMPTIED_BEFORE_S

    async def _empty(self, target: Target) -> None:
        held = self.store.of(target.weights)
        layer = _whole_layer(held, target)
        if layer is None:
            return
        async with self.rollout.ordering:
            if not self._has_ended(target):
                return
            weights = target.weights
            for index in layer.pieces(target.layers, target.pieces):
                if not await self.engine.stage(weights.model, index, held.pieces[index]):
                    return
            if not await self.engine.start(
                weights.model, weights.version, layer.first, layer.end, False
            ):
                return
        self.emptied_for = weights.version
        log.notice(
            'Took the ended version from the engine. next={} layer={} since_s={:.2f}',
            weights,
            layer.first,
            self.env.monotonic() - target.since,
        )


def _whole_layer(held: PieceSet, target: Target) -> Layers | None:
    """
    A layer of which all pieces are here, if there is one.

    """
    for first in range(target.layers):
        layer = Layers(first, first + 1)
        if all(index in held.pieces for index in layer.pieces(target.layers, target.pieces)):
            return layer
    return None
