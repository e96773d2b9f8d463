"""
The state of the engine beside this daemon, by its reports.

"""

from millfork_adapter.exchange import EngineReport
from millfork_core.environment import Environment
from millfork_core.ids import UNKNOWN_INCARNATION
from millfork_core.logs import Component, logger
from millfork_registry.records import ServedVersion
from millforkd.sidecar.layer_assignment import Layers, served_layers
from millforkd.sidecar.loaded_layers import LoadedLayers
from millforkd.sidecar.target import Target

log = logger(Component.WEIGHTS)


class EngineState:
    """
    The engine's last report, and what is known of the layers that it serves.

    """

    def __init__(self, env: Environment) -> None:
        self.env = env
        # None if the engine did not answer.
        self.report: EngineReport | None = None
        # The engine's incarnation in its last report.
        self.incarnation = UNKNOWN_INCARNATION
        self.loaded = LoadedLayers()

    def record(self, report: EngineReport | None) -> bool:
        """
        Record the engine's latest report (None if the engine did not answer). Returns whether the
        engine has restarted.

        """
        self.report = report
        if report is None:
            return False
        restarted = report.incarnation != self.incarnation
        if restarted:
            log.notice(
                'The incarnation of the engine changed. before={} now={}',
                self.incarnation,
                report.incarnation,
            )
            self.incarnation = report.incarnation
            self.loaded.record_restart()
        self.loaded.record_report(self.served, self.env.monotonic(), report.orders)
        return restarted

    @property
    def served(self) -> tuple[ServedVersion, ...]:
        """
        The versions and layers that the engine serves according to its last report; empty if
        the engine did not answer.

        """
        if self.report is None:
            return ()
        return tuple(ServedVersion(*item) for item in self.report.served)

    def served_layers(self, target: Target) -> Layers | None:
        """
        The layers of the target that the engine serves; None if it serves none.

        """
        return served_layers(self.served, target.weights, target.layers)
