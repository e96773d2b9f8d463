"""
Has the engine load layers from pieces that are known to be good.

The pieces of a few layers are staged and read back, and the engine is told to load these layers at
once; then the next layers follow. So the time from the proof that a piece is good to the order does
not grow with the number of pieces or the time of a call. If the engine is so slow, or takes an
order so late, that the pieces may have turned bad for longer than `PROOF_VALID_S`, they are read
back again after the load, and the layers of bad ones are loaded again.

"""

from collections.abc import Callable, Sequence
from typing import Final

import curio

from millfork_adapter.exchange import EngineReport
from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millforkd.sidecar.engine import LocalEngine, OrderOutcome
from millforkd.sidecar.engine_state import EngineState
from millforkd.sidecar.layer_assignment import Layers
from millforkd.sidecar.load_plan import LoadPlan, plan_load
from millforkd.sidecar.loaded_layers import PROOF_VALID_S, LayerOfVersion, LayerState, LoadOrder
from millforkd.sidecar.pieces import PieceSet, WeightsId
from millforkd.sidecar.staging import StagingArea
from millforkd.sidecar.target import Target

# An order names the layers whose pieces were proven within this many seconds.
PROVING_S: Final = PROOF_VALID_S / 3
# Pieces are read back again before the order if they were last proven longer ago than this, in
# seconds. The rest of `PROOF_VALID_S` is left for the engine to take the order.
MAX_PROOF_AGE_S: Final = PROOF_VALID_S / 2
# Limit of the time from the load order until the engine serves the ordered layers, in seconds.
# It includes the time in which the engine ends its running requests.
START_TIMEOUT_S: Final = 6.0
# Time between two checks whether the engine serves the ordered layers, in seconds.
POLL_S: Final = 0.1

log = logger(Component.WEIGHTS)


class LayerLoader:
    """
    Sends load orders to one engine, and checks what it loaded.

    """

    def __init__(
        self,
        env: Environment,
        engine: LocalEngine,
        state: EngineState,
        record_report: Callable[[EngineReport], None],
    ) -> None:
        self.env = env
        self.engine = engine
        self.state = state
        self.record_report = record_report
        self.staging = StagingArea(env, engine, state.loaded)
        # Held from before pieces are staged until the engine has answered the order to load them.
        self.order_lock = curio.Lock()

    async def stage_ahead(
        self, target: Target, held: PieceSet, layers: Layers, is_due: Callable[[], bool]
    ) -> bool:
        """
        Stage the pieces of these layers while the engine serves another version, until `is_due`,
        so that they only have to be read back once the engine serves nothing. False if the engine
        did not accept a piece.

        """
        for index in layers.pieces(target.layers, target.pieces):
            async with self.order_lock:
                if is_due():
                    return True
                if not await self.staging.write(target, held, index):
                    return False
        return True

    async def load(
        self,
        target: Target,
        held: PieceSet,
        goal: Layers,
        is_obsolete: Callable[[], bool],
        draining: curio.Task | None = None,
    ) -> None:
        """
        Bring the engine to hold the `goal` layers of the target, in as many orders as needed, the
        first one once `draining` has ended. That task returns whether the order may interrupt
        requests; otherwise the engine carries it out once they have ended, and begins no others
        meanwhile. Ends early if the target `is_obsolete`, or if the engine does not accept a piece
        or an order, restarts, or does not serve the ordered layers in time.

        """
        while not is_obsolete():
            suspects = self.state.loaded.numbers(target.weights, LayerState.SUSPECT)
            served = self.state.served_layers(target)
            plan = plan_load(served, suspects, goal)
            if plan is None:
                return
            async with self.order_lock:
                order = await self._stage_and_order(target, held, goal, plan, is_obsolete, draining)
            if order is None:
                return
            is_growth = plan.kept is not None
            if not await self._wait_until_served(target, order.layers, is_growth):
                return
            await self.check_unproven(target, held)
            draining = None

    async def _stage_and_order(
        self,
        target: Target,
        held: PieceSet,
        goal: Layers,
        plan: LoadPlan,
        is_obsolete: Callable[[], bool],
        draining: curio.Task | None,
    ) -> LoadOrder | None:
        """
        Stage and prove the first of the wanted layers, wait for `draining`, and send the load
        order. Returns the order; None if the target `is_obsolete` by then, or if the engine did not
        accept a piece or the order.

        """
        began_at = self.env.monotonic()
        proofs = await self._prove(target, held, plan.wanted)
        if not proofs:
            return None
        proven_at = self.env.monotonic()
        interrupts = plan.interrupts
        if draining is not None:
            interrupts = await draining.join()
        drained_at = self.env.monotonic()
        if drained_at - min(proofs.values()) > MAX_PROOF_AGE_S:
            proofs = await self._prove(target, held, plan.wanted)
            if not proofs:
                return None
        if is_obsolete():
            return None
        order = LoadOrder(target.weights, plan.layers_with(proofs, goal), proofs)
        accepted = await self.send(order, interrupts)
        log.notice(
            'Load order answered. weights={} layers={}-{} of={}-{} accepted={} staging_s={:.2f} '
            'drain_s={:.2f} order_s={:.2f} oldest_proof_s={:.2f}',
            order.weights,
            order.layers.first,
            order.layers.end,
            goal.first,
            goal.end,
            accepted,
            proven_at - began_at,
            drained_at - proven_at,
            self.env.monotonic() - drained_at,
            self.env.monotonic() - order.oldest_proof,
        )
        return order if accepted else None

    async def _prove(
        self, target: Target, held: PieceSet, wanted: Sequence[int]
    ) -> dict[int, float]:
        """
        Stage and prove layers in this order for `PROVING_S`, but at least one. Returns when each
        was last known to be staged; the rest is left out once a piece can't be staged.

        """
        began_at = self.env.monotonic()
        proofs: dict[int, float] = {}
        for number in wanted:
            if proofs and self.env.monotonic() - began_at > PROVING_S:
                break
            proof = await self.staging.prove_layer(target, held, number)
            if proof is None:
                break
            proofs[number] = proof
        return proofs

    async def order_layer(self, target: Target, held: PieceSet, number: int) -> bool:
        """
        Tell the engine to hold a single layer of the target; False if the engine did not accept a
        piece or the order. The caller holds `order_lock`. The pieces are not read back, which would
        take as long again: the layer has to be checked before it is used.

        """
        for index in target.pieces_of(number):
            if not await self.staging.write(target, held, index):
                return False
        layer = Layers(number, number + 1)
        accepted = await self.send(LoadOrder(target.weights, layer), False)
        log.notice(
            'Single layer ordered. weights={} layers={}-{} accepted={}',
            target.weights,
            layer.first,
            layer.end,
            accepted,
        )
        return accepted

    async def send(self, order: LoadOrder, interrupts: bool) -> bool:
        """
        Send a load order; False if the engine does not answer or refuses it.

        """
        self.state.loaded.record_order(order)
        weights, layers = order.weights, order.layers
        outcome = await self.engine.load_layers(
            weights.model, weights.version, layers.first, layers.end, interrupts
        )
        if outcome is OrderOutcome.REFUSED:
            self.state.loaded.withdraw(order)
        return outcome is OrderOutcome.ACCEPTED

    async def _wait_until_served(self, target: Target, layers: Layers, is_growth: bool) -> bool:
        """
        Wait until the engine serves the ordered layers, and no others unless the order only added
        some. False if the engine restarts, or if it takes longer than `START_TIMEOUT_S`.

        """
        ordered_at = self.env.monotonic()
        ordered_incarnation = self.state.incarnation
        while self.env.monotonic() - ordered_at < START_TIMEOUT_S:
            report = await self.engine.report()
            if report is not None:
                self.record_report(report)
            if self.state.incarnation != ordered_incarnation:
                log.warning('The engine restarted before it served {}.', target.weights)
                return False
            served = self.state.served_layers(target)
            if served == layers or (is_growth and served is not None and served.contains(layers)):
                log.info('Layers loaded. load_s={:.2f}', self.env.monotonic() - ordered_at)
                return True
            await curio.sleep(POLL_S)
        log.warning('The engine does not serve layers {} of {} yet.', layers, target.weights)
        return False

    async def check_unproven(self, target: Target, held: PieceSet) -> None:
        """
        Read back the pieces of the layers of the target that the engine serves and that may have
        been loaded from bad pieces. Layers whose pieces are all intact are proven by that.

        """
        for number in self.state.loaded.numbers(target.weights, LayerState.UNPROVEN):
            intact = await self._is_layer_intact(target, held, number)
            self.state.loaded.confirm(LayerOfVersion(target.weights, number), intact)
            outcome = LayerState.PROVEN if intact else LayerState.SUSPECT
            self.env.metrics.count(self.env.metrics.loaded_layers, outcome=outcome.value)
            log.notice('Checked layer {} of {}: {}.', number, target.weights, outcome.value)

    async def _is_layer_intact(self, target: Target, held: PieceSet, number: int) -> bool:
        for index in target.pieces_of(number):
            if not self.staging.is_settled(index):
                return False
            if not await self.staging.is_intact(held, index):
                return False
        return True

    async def order_unproven(self, weights: WeightsId, layer: Layers) -> bool:
        """
        Tell the engine to hold a single layer, whatever is staged for it; False if the engine did
        not accept the order.

        """
        return await self.send(LoadOrder(weights, layer), False)
