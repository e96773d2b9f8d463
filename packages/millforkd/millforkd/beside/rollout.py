"""
Bringing the engine to the version that is to be served, and keeping it there.

"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

import curio

from millfork_adapter.exchange import EngineReport
from millfork_core.environment import Environment
from millfork_core.logs import Part, logger
from millfork_registry.records import EndpointState
from millforkd.beside.engine import LocalEngine
from millforkd.beside.gathering import Gathering
from millforkd.beside.pieces import PieceSet, PieceStore, WeightsId
from millforkd.beside.sources import first_half, fleet

# Entries stop sending to this engine within this time of being told.
TELL_S: Final = 0.15
# The engines of the second half wait for the first, but begin this long
# before the version must be everywhere.
SECOND_HALF_S: Final = 2.2
POLL_S: Final = 0.1
# Staged pieces read back before they are taken to be of another version.
STAGED_TRIED: Final = 3
# From the order until the engine serves: what runs ends first.
START_TIMEOUT_S: Final = 6.0
# A newer target is looked for this often while pieces arrive.
TARGET_POLL_S: Final = 0.3

log = logger(Part.WEIGHTS)


@dataclass(frozen=True, slots=True)
class Target:
    """
    What the engine is to serve, and since when this daemon knows (monotonic
    seconds). `layers` are the model's.

    """

    weights: WeightsId
    layers: int
    since: float


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
        service: str,
        states: Callable[[], list[EndpointState]],
        target: Callable[[], Target | None],
        announce: Callable[[], Awaitable[None]],
        version_ms: int,
    ) -> None:
        self.env = env
        self.engine = engine
        self.store = store
        self.gathering = gathering
        self.service = service
        self.states = states
        self.target = target
        self.announce = announce
        self.version_s = version_ms / 1000
        self.report: EngineReport | None = None
        self.changing_to = 0

    def served(self, report: EngineReport | None, target: Target) -> bool:
        """
        Whether the engine serves the target whole.

        """
        if report is None:
            return False
        weights = target.weights
        for model, version, layers in report.served:
            if (model, version) == (weights.model, weights.version) and layers in (
                None,
                target.layers,
            ):
                return True
        return False

    def serves_any(self, target: Target) -> bool:
        """
        Whether the engine serves some version whole.

        """
        report = self.report
        return report is not None and any(
            layers in (None, target.layers) and version > 0 for _, version, layers in report.served
        )

    async def keep(self) -> None:
        """
        The task that follows the target.

        """
        while True:
            await curio.sleep(POLL_S)
            target = self.target()
            if target is None or self.report is None or self.served(self.report, target):
                continue
            await self._bring(target)

    async def _bring(self, target: Target) -> None:
        began = self.env.monotonic()
        held = self.store.of(target.weights)
        if not await self._gathered(held, target):
            return
        gathered = self.env.monotonic()
        while not self._may_change(target):
            await curio.sleep(POLL_S)
            if self._outdated(target):
                return
        await self._change(target, held)
        log.notice(
            'Rollout step ended. weights={} served={} gather_s={:.2f} change_s={:.2f} '
            'since_s={:.2f}',
            target.weights,
            self.served(self.report, target),
            gathered - began,
            self.env.monotonic() - gathered,
            self.env.monotonic() - target.since,
        )

    def _outdated(self, target: Target) -> bool:
        now = self.target()
        return now is None or now.weights != target.weights

    async def _gathered(self, held: PieceSet, target: Target) -> bool:
        """
        Bring all pieces here; False if another version is wanted by then.

        """
        if held.whole:
            return True
        await self._adopt_staged(held)
        task = await curio.spawn(self.gathering.gather, held)
        try:
            while not task.terminated:
                await curio.sleep(TARGET_POLL_S if not held.digests else POLL_S)
                if self._outdated(target):
                    return False
        finally:
            if not task.terminated:
                await task.cancel()
        return held.whole

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
            log.info('Took staged pieces. weights={} good={} bad={}', held.weights, good, bad)

    def _may_change(self, target: Target) -> bool:
        """
        Whether it is this engine's turn: half of a service's engines change
        first, so that the others serve meanwhile.

        """
        if not self.serves_any(target):
            return True
        if self.env.monotonic() - target.since > self.version_s - SECOND_HALF_S:
            return True
        own = str(self.env.instance)
        states = [state for state in self.states() if state.service == self.service]
        names = fleet(states, self.service, own)
        if own in first_half(names, target.weights):
            return True
        return self._done(states, target) * 2 >= len(names)

    def _done(self, states: list[EndpointState], target: Target) -> int:
        """
        How many engines serve the target already.

        """
        weights = target.weights
        return sum(
            1
            for state in states
            for item in state.served
            if (item.model, item.version) == (weights.model, weights.version)
            and item.layers in (None, target.layers)
        )

    async def _change(self, target: Target, held: PieceSet) -> None:
        weights = target.weights
        self.changing_to = weights.version
        await self.announce()
        try:
            if self.serves_any(target):
                await curio.sleep(TELL_S)
            for index in range(len(held.digests)):
                if not await self.engine.stage(weights.model, index, held.pieces[index]):
                    return
            if not await self.engine.start(weights.model, weights.version):
                return
            await self._until_served(target)
        finally:
            self.changing_to = 0
            await self.announce()

    async def _until_served(self, target: Target) -> None:
        until = self.env.monotonic() + START_TIMEOUT_S
        while self.env.monotonic() < until:
            report = await self.engine.report()
            if report is not None:
                self.report = report
            if self.served(report, target):
                return
            await curio.sleep(POLL_S)
        log.warning('The engine does not serve {} yet.', target.weights)
