"""
Reports the current load of the engine on this instance to entries.

"""

from collections.abc import Callable
from typing import Final

import curio

from millfork_adapter.exchange import EngineReport
from millfork_core.environment import Environment
from millfork_wire.messages import EngineLoad
from millforkd.sidecar.engine import LocalEngine

# Entries that ask within this time, about one forward pass of the engine, get the same report.
SHARED_REPORT_S: Final = 0.005
PERCENT: Final = 100


class EngineLoads:
    """
    Shares one report of the engine between entries that ask at the same time.

    """

    def __init__(
        self, env: Environment, engine: LocalEngine, engine_answers: Callable[[], bool]
    ) -> None:
        self.env = env
        self.engine = engine
        # Whether the engine answered when it was last asked for its report.
        self.engine_answers = engine_answers
        self.lock = curio.Lock()
        self.reported_at = float('-inf')
        self.report: EngineReport | None = None

    async def current_load(self) -> EngineLoad:
        """
        The engine's running and queued requests and pace; an empty message if it is silent.

        """
        if not self.engine_answers():
            return EngineLoad()
        async with self.lock:
            if self.env.monotonic() - self.reported_at > SHARED_REPORT_S:
                self.report = await self.engine.report()
                self.reported_at = self.env.monotonic()
        report = self.report
        if report is None:
            return EngineLoad()
        pace_percent = max(round(report.pace * PERCENT), 0)
        return EngineLoad(True, report.running, report.queued, pace_percent, report.incarnation)
