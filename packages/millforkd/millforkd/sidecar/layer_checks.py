"""
Checks of layers that the engine serves and that may have been loaded from bad pieces: those that an
earlier process of this daemon ordered, and those that the engine loaded late.

"""

from collections.abc import Awaitable, Callable
from dataclasses import replace

from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millforkd.sidecar.engine_state import EngineState
from millforkd.sidecar.fleet import Fleet
from millforkd.sidecar.gathering import PieceGatherer
from millforkd.sidecar.loaded_layers import LayerState
from millforkd.sidecar.loading import LayerLoader
from millforkd.sidecar.pieces import PieceSet, PieceStore
from millforkd.sidecar.target import Target

log = logger(Component.WEIGHTS)


class LayerChecks:
    """
    The checks of one engine's layers. Entries send nothing to the engine until its layers are
    proven.

    """

    def __init__(
        self,
        env: Environment,
        state: EngineState,
        store: PieceStore,
        gatherer: PieceGatherer,
        fleet: Fleet,
        loader: LayerLoader,
        adopt_staged: Callable[[PieceSet], Awaitable[None]],
    ) -> None:
        self.state = state
        self.store = store
        self.gatherer = gatherer
        self.fleet = fleet
        self.loader = loader
        # Copies the staged pieces of a version that are good into its piece set.
        self.adopt_staged = adopt_staged
        self.started_at = env.monotonic()
        # Whether the state that an earlier process of this daemon announced may still arrive.
        self.awaits_announced: Callable[[], bool] = lambda: False

    def adopt_announced(self) -> None:
        """
        Take the layers as proven that an earlier process of this daemon announced as usable.

        """
        if not self.state.loaded.inherited:
            return
        announced = self.fleet.announced_before(self.started_at)
        if announced is None or announced.changing_to or not announced.reachable:
            return
        if announced.incarnation != self.state.incarnation:
            return
        if not self.state.loaded.adopt(announced.served):
            return
        for item in announced.served:
            log.notice(
                'An earlier process of this daemon proved layers. weights={}@{} layers={}-{}',
                item.model,
                item.version,
                item.first,
                item.end,
            )

    async def check_inherited(self, target: Target) -> None:
        """
        Read back the pieces of layers that an earlier process of this daemon had the engine load,
        if their digests can be fetched. If layers of the target have to be loaded again, only their
        bad pieces are fetched again.

        """
        if self.awaits_announced():
            return
        self.adopt_announced()
        for weights in self.state.loaded.inherited_weights:
            if weights.model != target.weights.model:
                continue
            held = self.store.get_or_create(weights)
            if not held.digests and not await self.gatherer.obtain_digests(held):
                continue
            if self.state.report is None:
                # A silent engine's pieces can't be read, which says nothing of them.
                return
            await self.loader.check_unproven(replace(target, weights=weights), held)
            if self.state.loaded.numbers(target.weights, LayerState.SUSPECT):
                await self.adopt_staged(self.store.get_or_create(target.weights))

    async def check_unproven(self, target: Target) -> None:
        """
        Check the unproven layers that the engine serves, of the target or of another version of
        its model, if the digests of that version are still held.

        """
        for weights in self.state.loaded.unproven_weights:
            held = self.store.find(weights)
            if weights.model == target.weights.model and held is not None and held.digests:
                await self.loader.check_unproven(replace(target, weights=weights), held)
