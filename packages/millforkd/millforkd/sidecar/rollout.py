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
from millforkd.sidecar.gathering import Gathering
from millforkd.sidecar.layout import Layers, Place, part_served
from millforkd.sidecar.pieces import PieceSet, PieceStore, WeightsId
from millforkd.sidecar.target import Target
from millforkd.switching import LAST_SENT_S

# Entries stop sending to this engine within this time of being told.
TELL_S: Final = 0.15
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
STAGED_TRIED: Final = 3
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
        gathering: Gathering,
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
        self.ordering = curio.Lock()
        # Whether this daemon has looked whose pieces lie at the engine, and the target of
        # which some lay there, left by a daemon that ended before it gave the order.
        self.has_looked = False
        self.lying: WeightsId | None = None
        # The place is kept once chosen, as others move on meanwhile.
        self.place: tuple[WeightsId, Place] | None = None

    def take_report(self, report: EngineReport | None) -> None:
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
        self.has_looked = False
        self.lying = None
        self.place = None

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
        if self.place is None:
            return None
        weights, place = self.place
        return ServedVersion(weights.model, weights.version, place.layers.first, place.layers.end)

    def _part(self, target: Target) -> Layers | None:
        return part_served(self.served, target.weights, target.layers)

    def _is_done(self, target: Target) -> bool:
        return self._part(target) == Layers(0, target.layers)

    def serves_another(self, target: Target) -> bool:
        """
        Whether the engine has work on another version.

        """
        return bool(self.served) and self._part(target) is None

    def is_emptied(self, target: Target) -> bool:
        """
        Whether the engine has neither the first layer nor the last, and so no work: paths
        are of two.

        """
        return all(
            item.first > 0 and item.end is not None and item.end < target.layers
            for item in self.served
        )

    async def keep(self) -> None:
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
        held = self.store.of(target.weights)
        await self._look_at_staged(held)
        goal = self._goal(target, held)
        if not await self._gathered(held, target, goal):
            return
        gathered = self.env.monotonic()
        if not await self._turn_came(target):
            return
        await self._start(target, held, goal)
        now = self.env.monotonic()
        log.notice(
            'Rollout step ended. weights={} goal={}-{} served={} gather_s={:.2f} start_s={:.2f} '
            'since_s={:.2f}',
            target.weights,
            goal.first,
            goal.end,
            self._part(target),
            gathered - began,
            now - gathered,
            now - target.since,
        )

    def _goal(self, target: Target, held: PieceSet) -> Layers:
        """
        The layers that the engine is to have next.

        """
        begun = held.whole or self._part(target) is not None
        if begun or (self.serves_another(target) and self.gathering.near_caches()):
            return Layers(0, target.layers)
        return self._own_place(target).layers

    def _own_place(self, target: Target) -> Place:
        if self.place is None or self.place[0] != target.weights:
            self.place = (target.weights, self.fleet.own_place(target.weights))
            log.info('Place of this engine. weights={} place={}', *self.place)
        return self.place[1]

    def _outdated(self, target: Target) -> bool:
        now = self.target()
        return now is None or now.weights != target.weights

    async def _gathered(self, held: PieceSet, target: Target, goal: Layers) -> bool:
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
                if self._outdated(target):
                    return False
        finally:
            if not task.terminated:
                await task.cancel()
        return bool(held.digests) and not held.missing(wanted)

    async def _look_at_staged(self, held: PieceSet) -> None:
        if not held.digests:
            await self._adopt_staged(held)
        self.has_looked = True

    async def _adopt_staged(self, held: PieceSet) -> None:
        """
        Take what already lies at the engine, if it is of this version.

        """
        if not await self.gathering.bring_digests(held):
            return
        model = held.weights.model
        good = bad = 0
        for index in held.missing():
            data = await self.engine.staged(model, index)
            if data is not None and await held.put(index, data):
                good += 1
                continue
            bad += 1
            if not good and bad >= STAGED_TRIED:
                break
        if good:
            self.lying = held.weights
            log.info('Took staged pieces. weights={} good={} bad={}', held.weights, good, bad)

    async def _turn_came(self, target: Target) -> bool:
        """
        Wait for this engine's turn: the engines of a turn change once those of
        the turns before it have. False if another version is wanted by then.

        """
        turn = self.fleet.own_turn(target.weights, TURNS)
        while self.serves_another(target) and self.env.monotonic() < target.due:
            if self._changed(target) * TURNS >= turn * len(self.fleet.members()):
                break
            await curio.sleep(POLL_S)
            if self._outdated(target):
                return False
        return True

    def _changed(self, target: Target) -> int:
        """
        How many engines serve the target, in part at least.

        """
        return sum(
            part_served(state.served, target.weights, target.layers) is not None
            for state in self.fleet.members()
        )

    async def _drained(self, target: Target) -> None:
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
        if self._part(target) is None:
            self.changing_to = weights.version
            await self._tell()
        draining = None
        try:
            if replaces:
                await curio.sleep(TELL_S)
                draining = await self.env.spawn(self._drained, target)
            if await self._ordered(target, held, layers, replaces, draining):
                await self._until_served(target, layers)
        finally:
            if draining is not None:
                await draining.cancel()
            self.changing_to = 0
            await self._tell()

    async def _ordered(
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
        async with self.ordering:
            for index in layers.pieces(target.layers, target.pieces):
                if not await self.engine.stage(weights.model, index, held.pieces[index]):
                    return False
            if draining is not None:
                await draining.join()
            return await self.engine.start(
                weights.model, weights.version, layers.first, layers.end, replaces
            )

    async def _tell(self) -> None:
        """
        Announce this daemon's state; a replica that does not answer (it may have
        lost power) must not hold the engine up. The next report tells it again.

        """
        try:
            async with curio.timeout_after(TELL_S):
                await self.announce()
        except curio.TaskTimeout:
            log.info('No replica took the state in {} s.', TELL_S)

    async def _until_served(self, target: Target, layers: Layers) -> None:
        until = self.env.monotonic() + START_TIMEOUT_S
        ordered = self.incarnation
        while self.env.monotonic() < until:
            report = await self.engine.report()
            if report is not None:
                self.take_report(report)
            if self.incarnation != ordered:
                log.warning('The engine started again before it served {}.', target.weights)
                return
            part = self._part(target)
            if part is not None and part.first <= layers.first and layers.end <= part.end:
                return
            await curio.sleep(POLL_S)
        log.warning('The engine does not serve layers {} of {} yet.', layers, target.weights)
