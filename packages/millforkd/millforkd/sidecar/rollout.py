"""
Bringing the engine to the version that is to be served, and keeping it there.

An engine that serves an older version changes whole, in its turn: a third of the
engines at a time. One that serves nothing takes its own half of the layers first,
then the rest beside the work; so does every engine where no cache brings the
pieces, as the links between engines are too slow to bring them all in time.

"""

from collections.abc import Awaitable, Callable
from typing import Final

import curio

from millfork_adapter.exchange import EngineReport
from millfork_core.environment import Environment
from millfork_core.ids import UNTOLD_INCARNATION
from millfork_core.logs import Part, logger
from millfork_registry.records import ServedVersion
from millforkd.sidecar.engine import LocalEngine
from millforkd.sidecar.fleet import Fleet
from millforkd.sidecar.gathering import PieceGatherer
from millforkd.sidecar.layer_assignment import LayerAssignment, Layers, served_layers
from millforkd.sidecar.pieces import PieceSet, PieceStore, WeightsId
from millforkd.sidecar.target import Target
from millforkd.switching import LAST_SENT_S

# Entries stop sending to this engine within this time of being told.
ANNOUNCE_S: Final = 0.15
# What runs on an engine that changes may end within this time; streams of 100
# tokens take 1 s, so about a third is left, and goes on at other engines.
DRAIN_S: Final = 0.9
DRAIN_POLL_S: Final = 0.03
# Once the old version has ended, the engines that change are missed more than what
# is left on them.
LATE_DRAIN_S: Final = 0.3
POLL_S: Final = 0.1
# The engines change in this many turns: fewer would take half of the capacity
# away at once, more do not fit into the time that is left once the pieces are here.
TURNS: Final = 3
# Staged pieces read back before they are taken to be of another version.
MAX_STAGED_MISMATCHES: Final = 3
# From the order until the engine serves: what runs ends first.
START_TIMEOUT_S: Final = 6.0

log = logger(Part.WEIGHTS)


class Rollout:
    """
    One engine's way to its target.

    """

    def __init__(
        self,
        env: Environment,
        engine: LocalEngine,
        store: PieceStore,
        gathering: PieceGatherer,
        fleet: Fleet,
        target: Callable[[], Target | None],
        announce: Callable[[], Awaitable[None]],
    ) -> None:
        self.env = env
        self.engine = engine
        self.store = store
        self.gathering = gathering
        self.fleet = fleet
        self.target = target
        self.announce = announce
        self.report: EngineReport | None = None
        # The engine's, by its reports.
        self.incarnation = UNTOLD_INCARNATION
        self.changing_to = 0
        # Held while pieces are laid for an order and the order is given.
        self.order_lock = curio.Lock()
        # Whether this daemon has looked whose pieces lie at the engine, and the target of
        # which some lay there, left by a daemon that ended before it gave the order.
        self.staged_checked = False
        self.staged_weights: WeightsId | None = None
        # The place is kept once chosen, as others move on meanwhile.
        self.assignment: tuple[WeightsId, LayerAssignment] | None = None

    def record_report(self, report: EngineReport | None) -> None:
        """
        Take what the engine answered; None if it is silent.

        """
        self.report = report
        if report is None or report.incarnation == self.incarnation:
            return
        log.notice(
            'Incarnation of the engine. before={} now={}', self.incarnation, report.incarnation
        )
        self.incarnation = report.incarnation
        # Whatever was known of the engine ended with its process; pieces may lie there.
        self.staged_checked = False
        self.staged_weights = None
        self.assignment = None

    @property
    def served(self) -> tuple[ServedVersion, ...]:
        """
        What the engine serves, by its last report.

        """
        if self.report is None:
            return ()
        return tuple(ServedVersion(*item) for item in self.report.served)

    @property
    def goal(self) -> ServedVersion | None:
        """
        The layers that the engine is to have first, once they are chosen.

        """
        if self.assignment is None:
            return None
        weights, assignment = self.assignment
        return ServedVersion(
            weights.model, weights.version, assignment.layers.first, assignment.layers.end
        )

    def _served_layers(self, target: Target) -> Layers | None:
        return served_layers(self.served, target.weights, target.layers)

    def _is_done(self, target: Target) -> bool:
        return self._served_layers(target) == Layers(0, target.layers)

    def serves_another(self, target: Target) -> bool:
        """
        Whether the engine has work on another version.

        """
        return bool(self.served) and self._served_layers(target) is None

    def is_emptied(self, target: Target) -> bool:
        """
        Whether the engine has neither the first layer nor the last, and so no work: paths
        are of two.

        """
        return all(
            item.first > 0 and item.end is not None and item.end < target.layers
            for item in self.served
        )

    async def run(self) -> None:
        """
        The task that follows the target.

        """
        while True:
            await curio.sleep(POLL_S)
            target = self.target()
            if target is None or self.report is None or self._is_done(target):
                continue
            await self._step(target)

    async def _step(self, target: Target) -> None:
        """
        Bring and start what the engine lacks next.

        """
        began = self.env.monotonic()
        held = self.store.get_or_create(target.weights)
        await self._check_staged(held)
        goal = self._choose_goal(target, held)
        if not await self._gather(held, target, goal):
            return
        gathered = self.env.monotonic()
        if not await self._wait_for_turn(target):
            return
        await self._start(target, held, goal)
        now = self.env.monotonic()
        log.notice(
            'Rollout step ended. weights={} goal={}-{} served={} gather_s={:.2f} start_s={:.2f} '
            'since_s={:.2f}',
            target.weights,
            goal.first,
            goal.end,
            self._served_layers(target),
            gathered - began,
            now - gathered,
            now - target.since,
        )

    def _choose_goal(self, target: Target, held: PieceSet) -> Layers:
        """
        The layers that the engine is to have next.

        """
        begun = held.whole or self._served_layers(target) is not None
        if begun or (self.serves_another(target) and self.gathering.near_caches()):
            return Layers(0, target.layers)
        return self._own_assignment(target).layers

    def _own_assignment(self, target: Target) -> LayerAssignment:
        if self.assignment is None or self.assignment[0] != target.weights:
            self.assignment = (target.weights, self.fleet.own_assignment(target.weights))
            log.info('Place of this engine. weights={} place={}', *self.assignment)
        return self.assignment[1]

    def _is_outdated(self, target: Target) -> bool:
        now = self.target()
        return now is None or now.weights != target.weights

    async def _gather(self, held: PieceSet, target: Target, goal: Layers) -> bool:
        """
        Bring the pieces of some layers here; False if another version is
        wanted by then.

        """
        wanted = goal.pieces(target.layers, target.pieces)
        if held.digests and not held.missing(wanted):
            return True
        task = await self.env.spawn(self.gathering.gather, held, wanted)
        try:
            while not task.terminated:
                await curio.sleep(POLL_S)
                if self._is_outdated(target):
                    return False
        finally:
            if not task.terminated:
                await task.cancel()
        return bool(held.digests) and not held.missing(wanted)

    async def _check_staged(self, held: PieceSet) -> None:
        if not held.digests:
            await self._adopt_staged(held)
        self.staged_checked = True

    async def _adopt_staged(self, held: PieceSet) -> None:
        """
        Take what already lies at the engine, if it is of this version.

        """
        if not await self.gathering.obtain_digests(held):
            return
        model = held.weights.model
        matching = mismatched = 0
        for index in held.missing():
            data = await self.engine.read_staged(model, index)
            if data is not None and await held.put(index, data):
                matching += 1
                continue
            mismatched += 1
            if not matching and mismatched >= MAX_STAGED_MISMATCHES:
                break
        if matching:
            self.staged_weights = held.weights
            log.info(
                'Took staged pieces. weights={} good={} bad={}', held.weights, matching, mismatched
            )

    async def _wait_for_turn(self, target: Target) -> bool:
        """
        Wait for this engine's turn: the engines of a turn change once those of
        the turns before it have. False if another version is wanted by then.

        """
        turn = self.fleet.own_turn(target.weights, TURNS)
        while self.serves_another(target) and self.env.monotonic() < target.due:
            if self._changed_count(target) * TURNS >= turn * len(self.fleet.members()):
                break
            await curio.sleep(POLL_S)
            if self._is_outdated(target):
                return False
        return True

    def _changed_count(self, target: Target) -> int:
        """
        How many engines serve the target, in part at least.

        """
        return sum(
            served_layers(state.served, target.weights, target.layers) is not None
            for state in self.fleet.members()
        )

    async def _wait_for_drain(self, target: Target) -> None:
        """
        Wait until the engine has nothing left to do, for a while at most, and not beyond
        the end of its version: nothing may begin on it then.

        """
        now = self.env.monotonic()
        ends = target.due + LAST_SENT_S
        until = max(now + LATE_DRAIN_S, min(now + DRAIN_S, ends))
        while self.env.monotonic() < until:
            report = await self.engine.report()
            if report is not None and not report.running and not report.queued:
                return
            await curio.sleep(DRAIN_POLL_S)

    async def _start(self, target: Target, held: PieceSet, layers: Layers) -> None:
        """
        Order the engine to hold just these layers. Those that it has of the
        version go on being served, if they are among them.

        """
        weights = target.weights
        # One that was emptied has nothing to end, and takes the order 0.3 s sooner.
        replaces = self.serves_another(target) and not self.is_emptied(target)
        if self._served_layers(target) is None:
            self.changing_to = weights.version
            await self._announce_state()
        draining = None
        try:
            if replaces:
                await curio.sleep(ANNOUNCE_S)
                draining = await self.env.spawn(self._wait_for_drain, target)
            if await self._give_order(target, held, layers, replaces, draining):
                await self._wait_until_served(target, layers)
        finally:
            if draining is not None:
                await draining.cancel()
            self.changing_to = 0
            await self._announce_state()

    async def _give_order(
        self,
        target: Target,
        held: PieceSet,
        layers: Layers,
        replaces: bool,
        draining: curio.Task | None,
    ) -> bool:
        """
        Lay the pieces, wait until what runs has ended, give the order; False if the
        engine did not take it.

        """
        weights = target.weights
        async with self.order_lock:
            for index in layers.pieces(target.layers, target.pieces):
                if not await self.engine.stage(weights.model, index, held.pieces[index]):
                    return False
            if draining is not None:
                await draining.join()
            return await self.engine.start(
                weights.model, weights.version, layers.first, layers.end, replaces
            )

    async def _announce_state(self) -> None:
        """
        Announce this daemon's state; a replica that does not answer (it may have
        lost power) must not hold the engine up. The next report tells it again.

        """
        try:
            async with curio.timeout_after(ANNOUNCE_S):
                await self.announce()
        except curio.TaskTimeout:
            log.info('No replica took the state in {} s.', ANNOUNCE_S)

    async def _wait_until_served(self, target: Target, layers: Layers) -> None:
        until = self.env.monotonic() + START_TIMEOUT_S
        ordered_incarnation = self.incarnation
        while self.env.monotonic() < until:
            report = await self.engine.report()
            if report is not None:
                self.record_report(report)
            if self.incarnation != ordered_incarnation:
                log.warning('The engine started again before it served {}.', target.weights)
                return
            serving = self._served_layers(target)
            if serving is not None and serving.first <= layers.first and layers.end <= serving.end:
                return
            await curio.sleep(POLL_S)
        log.warning('The engine does not serve layers {} of {} yet.', layers, target.weights)
