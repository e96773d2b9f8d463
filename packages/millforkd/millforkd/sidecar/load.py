"""
The load of the engine on this instance, for entries that ask.

"""

from collections.abc import Callable
from typing import Final

import curio

from millfork_adapter.exchange import EngineReport
from millfork_core.environment import Environment
from millfork_wire.messages import EngineLoad
from millforkd.sidecar.engine import LocalEngine

# Entries that ask within this time are told the same: an engine's pass takes as long.
SHARED_REPORT_S: Final = 0.005
PERCENT: Final = 100


class EngineLoads:
    """
    Asks the engine once for all that ask at the same moment.

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
        What runs and waits at the engine.

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
