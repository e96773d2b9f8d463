"""
Answers entries that query the current load of the engine on this instance.

"""

from collections.abc import Callable
from typing import Final

import curio

from millfork_adapter.exchange import EngineReport
from millfork_core.environment import Environment
from millfork_wire.messages import EngineLoad
from millforkd.sidecar.engine import LocalEngine

# All load queries within this many seconds after a report of the engine are answered from that
# report. This is about the time of one forward pass of the engine.
SHARED_REPORT_S: Final = 0.005
# The pace (1 at the declared speed, above 1 if the engine is slower) is sent multiplied by this.
PERCENT: Final = 100


class EngineLoads:
    """
    Answers load queries; queries within `SHARED_REPORT_S` after a report share this report.

    """

    def __init__(
        self, env: Environment, engine: LocalEngine, engine_answers: Callable[[], bool]
    ) -> None:
        self.env = env
        self.engine = engine
        # Returns whether the engine answers the daemon's periodic requests for reports.
        self.engine_answers = engine_answers
        self.lock = curio.Lock()
        self.reported_at = float('-inf')
        self.report: EngineReport | None = None

    async def current_load(self) -> EngineLoad:
        """
        The engine's running and queued requests, pace and incarnation; an empty message if the
        engine does not answer.

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
