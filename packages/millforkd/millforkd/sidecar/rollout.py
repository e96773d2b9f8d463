"""
Brings the engine to the target version.

An engine that serves an older version loads all layers of the new one in one step. The
engines change in turns, a third of them at a time. An engine that serves nothing first loads
the half of the layers that is assigned to it (`layer_assignment.py`), and loads the rest while
it serves this half. Without caches, engines that serve an older version also start with half
of the layers, since the links between engines are too slow to transfer all pieces in time.

"""

from collections.abc import Awaitable, Callable
from typing import Final

import curio

from millfork_adapter.exchange import EngineReport
from millfork_core.environment import Environment
from millfork_core.ids import Incarnation
from millfork_core.logs import Component, logger
from millfork_registry.records import ServedVersion
from millforkd.sidecar.engine import LocalEngine
from millforkd.sidecar.engine_state import EngineState
from millforkd.sidecar.fleet import Fleet
from millforkd.sidecar.gathering import PieceGatherer
from millforkd.sidecar.layer_assignment import LayerAssignment, Layers, served_layers
from millforkd.sidecar.layer_checks import LayerChecks
from millforkd.sidecar.loading import LayerLoader
from millforkd.sidecar.pieces import PieceSet, PieceStore, WeightsId
from millforkd.sidecar.target import Target
from millforkd.version_switching import LAST_SEND_BEFORE_END_S

# Seconds from the announcement that an engine changes its version until entries send the engine
# no more requests. Also the timeout of each announcement.
ANNOUNCEMENT_WAIT_S: Final = 0.15
# Requests that run on an engine may finish within this many seconds before its version changes.
# Streams of 100 tokens take 1 s, so about a third of the requests remain after this time; they
# continue at other engines.
DRAIN_S: Final = 0.9
# Time between two checks whether the requests have finished, in seconds.
DRAIN_POLL_S: Final = 0.03
# An engine has drained once this many reports in a row show no requests: one alone may be from
# before or during a pause, and not count requests that arrived in it and begin at its end.
EMPTY_REPORTS: Final = 2
# An engine that took longer than this to answer a request for its report, in seconds, was silent;
# it usually answers within milliseconds.
SILENT_ENGINE_S: Final = 0.3
# A sound engine may be silent for up to this many seconds. Pauses extend a drain by no more, and
# not beyond the end of the served version, as queued requests could begin on it.
MAX_PAUSE_S: Final = 2.0
# Requests may finish within at least this many seconds, even if the old version has ended or ends
# sooner. The time is shorter than `DRAIN_S`, because the capacity of the changing engines then
# matters more than the requests that remain on them.
LATE_DRAIN_S: Final = 0.3
# Time between two checks of the target, the other engines or this engine, in seconds.
POLL_S: Final = 0.1
# The engines of a service change in this many turns. Fewer turns would remove half of the
# capacity at once; more turns do not fit into the time that remains after the pieces have arrived.
ROLLOUT_TURNS: Final = 3
# If this many staged pieces are missing or do not match the digests of the target, and none has
# matched, the staged pieces are assumed to belong to another version.
MAX_STAGED_MISMATCHES: Final = 3

log = logger(Component.WEIGHTS)


class Rollout:
    """
    Brings one engine to its target version, in one step or two.

    """

    def __init__(
        self,
        env: Environment,
        engine: LocalEngine,
        store: PieceStore,
        gatherer: PieceGatherer,
        fleet: Fleet,
        get_target: Callable[[], Target | None],
        announce: Callable[[], Awaitable[None]],
    ) -> None:
        self.env = env
        self.engine = engine
        self.store = store
        self.gatherer = gatherer
        self.fleet = fleet
        # Returns the current target; None if it is not known.
        self.get_target = get_target
        # Sends this daemon's state to the replica or daemon from which this daemon receives the
        # feed (the stream of registry updates).
        self.announce = announce
        self.state = EngineState(env)
        self.loader = LayerLoader(env, engine, self.state, self.record_report)
        self.checks = LayerChecks(
            env, self.state, store, gatherer, fleet, self.loader, self._adopt_staged
        )
        # The version that the engine is changing to, 0 if none.
        self.changing_to = 0
        # Whether the check for staged pieces of the target has run since this process and the
        # engine started (the check reads no pieces if the digests are held already or can't be
        # fetched). An earlier process of this daemon may have staged such pieces and ended before
        # it sent the load order.
        self.staged_checked = False
        # The version whose pieces were found by this check; None if none were.
        self.staged_weights: WeightsId | None = None
        # The layers that the engine loads first, with their version. They are kept once chosen,
        # also when the states of other daemons change.
        self.assignment: tuple[WeightsId, LayerAssignment] | None = None

    def record_report(self, report: EngineReport | None) -> None:
        """
        Record the engine's latest report (None if the engine did not answer). If the engine has
        restarted, reset the check of its staged pieces and its layer assignment.

        """
        restarted = self.state.record(report)
        self.checks.adopt_announced()
        if not restarted:
            return
        # Staged pieces may have outlived the restart, so the check for them runs again.
        self.staged_checked = False
        self.staged_weights = None
        self.loader.staging.reset()
        self.assignment = None

    @property
    def report(self) -> EngineReport | None:
        """
        The engine's last report; None if the engine did not answer.

        """
        return self.state.report

    @property
    def incarnation(self) -> Incarnation:
        """
        The engine's incarnation in its last report.

        """
        return self.state.incarnation

    @property
    def served(self) -> tuple[ServedVersion, ...]:
        """
        The versions and layers that the engine serves according to its last report; empty if
        the engine did not answer.

        """
        return self.state.served

    @property
    def announced_version(self) -> int:
        """
        The version that the engine is announced to be changing to, 0 if none. Entries send nothing
        to an engine that is changing, so this holds also while the engine serves layers that may
        have been loaded from bad pieces.

        """
        return self.changing_to or self.state.loaded.unproven_version

    @property
    def goal(self) -> ServedVersion | None:
        """
        The layers that the engine loads first, with their version; None if no layers have been
        assigned since the engine started.

        """
        if self.assignment is None:
            return None
        weights, assignment = self.assignment
        return ServedVersion(
            weights.model, weights.version, assignment.layers.first, assignment.layers.end
        )

    def _served_layers(self, target: Target) -> Layers | None:
        return self.state.served_layers(target)

    def _is_done(self, target: Target) -> bool:
        serves_all = self._served_layers(target) == Layers(0, target.layers)
        return serves_all and not self.state.loaded.unproven_version

    def serves_another(self, target: Target) -> bool:
        """
        Whether the engine serves another version and no layer of the target version.

        """
        return bool(self.served) and self._served_layers(target) is None

    def is_emptied(self, target: Target) -> bool:
        """
        Whether the engine holds neither the first nor the last layer. A request runs on one engine
        with all layers, or on a path of two engines that starts with the first layer and ends with
        the last one, so an emptied engine gets no requests.

        """
        return all(
            item.first > 0 and item.end is not None and item.end < target.layers
            for item in self.served
        )

    async def run(self) -> None:
        """
        Bring the engine to each new target, until cancelled.

        """
        while True:
            await curio.sleep(POLL_S)
            target = self.get_target()
            if target is None or self.report is None or self._is_done(target):
                continue
            await self._step(target)

    async def _step(self, target: Target) -> None:
        """
        Fetch the pieces of the layers that the engine is to load next, wait for the engine's
        turn, and tell the engine to load these layers. Ends early if the engine is silent when it
        matters which layers it serves.

        """
        started_at = self.env.monotonic()
        await self.checks.check_inherited(target)
        if self._is_done(target):
            return
        if target.weights in self.state.loaded.inherited_weights:
            # No digests yet. Without them, nothing tells which pieces have to be fetched.
            return
        held = self.store.get_or_create(target.weights)
        await self._check_staged(held)
        await self.checks.check_unproven(target)
        if self.report is None or self._is_done(target):
            return
        goal = self._choose_goal(target, held)
        if not await self._gather(held, target, goal):
            return
        gathered_at = self.env.monotonic()
        if self.serves_another(target):
            staged = await self.loader.stage_ahead(
                target, held, goal, lambda: self._must_change(target)
            )
            if not staged and not self._must_change(target):
                # The engine goes on with the version that it serves, as that has not ended.
                return
        if not await self._wait_for_turn(target) or self.report is None:
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
            gathered_at - started_at,
            now - gathered_at,
            now - target.chosen_at,
        )

    def _choose_goal(self, target: Target, held: PieceSet) -> Layers:
        """
        The layers that the engine loads next: the assigned ones if the engine serves no layer of
        the target and not all pieces have arrived, otherwise all. An engine that serves another
        version always loads all layers if a cache is available.

        """
        past_first_step = held.whole or self._served_layers(target) is not None
        if past_first_step or (self.serves_another(target) and self.gatherer.near_caches()):
            return Layers(0, target.layers)
        return self._own_assignment(target).layers

    def _own_assignment(self, target: Target) -> LayerAssignment:
        if self.assignment is None or self.assignment[0] != target.weights:
            self.assignment = (target.weights, self.fleet.own_assignment(target.weights))
            log.info('Layers assigned to this engine. weights={} place={}', *self.assignment)
        return self.assignment[1]

    def _is_outdated(self, target: Target) -> bool:
        current = self.get_target()
        return current is None or current.weights != target.weights

    def _due(self, target: Target) -> float:
        """
        When the change to a target is due; this may have been corrected since the target was read.

        """
        current = self.get_target()
        if current is None or current.weights != target.weights:
            return target.due
        return current.due

    def _must_change(self, target: Target) -> bool:
        """
        Whether the engine has to change to the target at once, or to another one.

        """
        return self._is_outdated(target) or self.env.monotonic() >= self._due(target)

    def _is_obsolete(self, target: Target) -> bool:
        """
        Whether there is another target, and the engine has to change to it at once. Until then it
        may serve this one.

        """
        current = self.get_target()
        if current is None or current.weights == target.weights:
            return False
        return self.env.monotonic() >= current.due

    async def _gather(self, held: PieceSet, target: Target, goal: Layers) -> bool:
        """
        Fetch the pieces of the `goal` layers into `held`; False if some are still missing,
        usually because the target has changed.

        """
        wanted = goal.pieces(target.layers, target.pieces)
        if held.digests and not held.missing(wanted):
            return True
        task = await self.env.spawn(self.gatherer.gather, held, wanted)
        try:
            while not task.terminated:
                await curio.sleep(POLL_S)
                await self.checks.check_unproven(target)
                if self._is_outdated(target):
                    return False
                await self.checks.check_inherited(target)
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
        Copy the pieces that are staged at the engine and match the digests of this version into
        `held`, and set `staged_weights` if there are any. Does nothing if the digests can't be
        fetched.

        """
        if not await self.gatherer.obtain_digests(held):
            return
        model = held.weights.model
        matching = mismatched = 0
        for index in held.missing():
            data = await self.engine.read_staged(model, index)
            if data is not None and await held.put(index, data):
                self.loader.staging.record_staged(held.weights, index)
                matching += 1
                continue
            mismatched += 1
            if not matching and mismatched >= MAX_STAGED_MISMATCHES:
                break
        if matching:
            self.staged_weights = held.weights
            log.info(
                'Read staged pieces. weights={} good={} bad={}', held.weights, matching, mismatched
            )

    async def _wait_for_turn(self, target: Target) -> bool:
        """
        Wait for this engine's turn, which comes when as many engines have changed as belong to
        the earlier turns, and at the latest when the change is due. An engine that serves no
        other version does not wait. False if the target changes meanwhile.

        """
        turn = self.fleet.own_turn(target.weights, ROLLOUT_TURNS)
        while self.serves_another(target) and self.env.monotonic() < self._due(target):
            if self._changed_count(target) * ROLLOUT_TURNS >= turn * len(self.fleet.members()):
                break
            await curio.sleep(POLL_S)
            await self.checks.check_unproven(target)
            if self._is_outdated(target):
                return False
        return True

    def _changed_count(self, target: Target) -> int:
        """
        The number of engines of the service that serve at least one layer of the target.

        """
        return sum(
            served_layers(state.served, target.weights, target.layers) is not None
            for state in self.fleet.members()
        )

    async def _wait_for_drain(self, target: Target) -> bool:
        """
        Wait until the engine has no requests, but no longer than `DRAIN_S` and not beyond the
        end of the served version (the time from which no request may start on that version).
        At least `LATE_DRAIN_S` is allowed in each case. Time in which the engine was silent and
        then went on doesn't count against `DRAIN_S`, as its requests stood still as well. Returns
        whether the requests that remain may be interrupted: not if the engine is silent now.

        """
        now = self.env.monotonic()
        ends_at = self._due(target) + LAST_SEND_BEFORE_END_S
        until = max(now + LATE_DRAIN_S, min(now + DRAIN_S, ends_at))
        latest = max(until, min(until + MAX_PAUSE_S, ends_at))
        empty_reports = 0
        while (asked_at := self.env.monotonic()) < until:
            try:
                async with curio.timeout_after(latest - asked_at):
                    report = await self.engine.report()
            except curio.TaskTimeout:
                log.info('The engine was silent until the end of its drain.')
                return False
            is_empty = report is not None and not report.running and not report.queued
            empty_reports = empty_reports + 1 if is_empty else 0
            if empty_reports == EMPTY_REPORTS:
                log.info('The engine has drained. drain_s={:.2f}', self.env.monotonic() - now)
                return True
            silent_s = self.env.monotonic() - asked_at
            if report is not None and silent_s > SILENT_ENGINE_S:
                log.info('The engine was silent for {:.1f} s, its requests go on.', silent_s)
                until = min(until + silent_s, latest)
            await curio.sleep(DRAIN_POLL_S)
        log.info('The engine has not drained. drain_s={:.2f}', self.env.monotonic() - now)
        return True

    async def _start(self, target: Target, held: PieceSet, layers: Layers) -> None:
        """
        Bring the engine to hold exactly these layers of the target, and return when the engine
        serves them, refuses them, restarts, or does not serve them in time. An engine that already
        serves some of them continues to do so.

        """
        # An emptied engine has no requests to drain, so it gets the load order 0.3 s sooner.
        replaces = self.serves_another(target) and not self.is_emptied(target)
        if self._served_layers(target) is None:
            self.changing_to = target.weights.version
            await self._announce_state()
        draining = None
        try:
            if replaces:
                await curio.sleep(ANNOUNCEMENT_WAIT_S)
                draining = await self.env.spawn(self._wait_for_drain, target)
            await self.loader.load(
                target, held, layers, lambda: self._is_obsolete(target), draining
            )
        finally:
            if draining is not None:
                await draining.cancel()
            self.changing_to = 0
            await self._announce_state()

    async def _announce_state(self) -> None:
        """
        Announce this daemon's state at once. The wait is limited, because a replica that does
        not answer (it may have lost power) must not delay the engine. The next periodic report
        repeats the state.

        """
        try:
            async with curio.timeout_after(ANNOUNCEMENT_WAIT_S):
                await self.announce()
        except curio.TaskTimeout:
            log.info('No replica accepted the state within {} s.', ANNOUNCEMENT_WAIT_S)
