"""
Compares ways in which entries can react to an engine that turns requests away immediately.

In the routing model, one engine turns away all or a share of the requests that reach it. Requests
that are turned away occupy no slot, so the load reports of the engine still show free slots.

"""

from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Final

from millfork_core.verdicts import Reason
from millfork_scheduling.placement import Choice
from millfork_scheduling.retry_after import refusal_wait_ms
from millfork_scheduling.server import Server
from millfork_scheduling.server_table import ServerTable
from millfork_standins.bench.results import ExperimentResults
from millfork_standins.bench.routing import (
    CROSS_ZONE_DELAY_S,
    DURATION_S,
    QUICK_DURATION_S,
    SAME_ZONE_DELAY_S,
    SHAPES,
    FleetShape,
    ModelRequest,
    RoutingModel,
)

SMALL, MEDIUM, _ = SHAPES
LOAD_FACTORS: Final = (0.5, 0.8)
# Shares of its requests that the refusing engine turns away.
TURNED_AWAY_SHARES: Final = (1.0, 0.4)
REFUSING_ENGINE_PORT: Final = 0

TurnedAwayHandler = Callable[[Server, float, float], None]


def ignore(server: Server, sent_at: float, now: float) -> None:
    """
    Record nothing about the engine (the baseline).

    """


def avoid_temporarily(server: Server, sent_at: float, now: float) -> None:
    """
    Avoid the engine for a period that grows with each request turned away in a row, as real
    entries do.

    """
    server.record_turned_away(sent_at, now)


def count_as_failure(server: Server, sent_at: float, now: float) -> None:
    """
    Record a failure, as for an answer that broke off: the failure rate of the engine rises, and the
    engine is avoided for a while.

    """
    server.record_failure(now)


def count_in_failure_rate(server: Server, sent_at: float, now: float) -> None:
    """
    Count a failure in the failure rate of the engine, but do not avoid the engine.

    """
    server.record_outcome(failed=True)


HANDLERS: Final[dict[str, TurnedAwayHandler]] = {
    'nothing': ignore,
    'left alone': avoid_temporarily,
    'failure': count_as_failure,
    'rate': count_in_failure_rate,
}


class RefusingEngineModel(RoutingModel):
    """
    A run in which one engine turns away a share of its requests. The entry sends each of these
    requests once more, to another engine. If there is no other engine, the caller retries once
    later.

    """

    def __init__(
        self,
        shape: FleetShape,
        requests_per_s: float,
        seed: int,
        handle_turned_away: TurnedAwayHandler,
        turned_away_share: float,
    ) -> None:
        super().__init__(shape, ServerTable, requests_per_s, seed)
        self.handle_turned_away = handle_turned_away
        self.turned_away_share = turned_away_share

    def _start(self, request: ModelRequest, table: ServerTable, choice: Choice) -> None:
        server = choice.server
        is_turned_away = (
            server.port == REFUSING_ENGINE_PORT and self.random.random() < self.turned_away_share
        )
        self._count(request, 'sends')
        if not is_turned_away:
            server.record_accepted(self.scheduler.now)
            super()._start(request, table, choice)
            return
        self._count(request, 'turned away')
        one_way_s = SAME_ZONE_DELAY_S if server.zone == table.zone else CROSS_ZONE_DELAY_S
        sent_at = self.scheduler.now
        self.scheduler.schedule(
            2 * one_way_s, partial(self._retry_elsewhere, request, table, server, sent_at)
        )

    def _retry_elsewhere(
        self, request: ModelRequest, table: ServerTable, server: Server, sent_at: float
    ) -> None:
        self.handle_turned_away(server, sent_at, self.scheduler.now)
        alternative = table.choose(self._requirements(request), {server.instance})
        if alternative is not None:
            super()._start(request, table, alternative)
            self._count(request, 'sends')
            return
        if request.is_retry:
            self._count(request, 'refused')
            return
        wait_s = refusal_wait_ms(Reason.BUSY) / 1000
        self.scheduler.schedule(wait_s, partial(self._send, replace(request, is_retry=True)))


def run(repetitions: int, quick: bool) -> Path:
    """
    Run the experiment with one seed for each repetition. Returns the path of the results file.

    """
    seconds = QUICK_DURATION_S if quick else DURATION_S
    results = ExperimentResults('turning-away', {'seconds': seconds, 'repetitions': repetitions})
    for seed in range(repetitions):
        for shape in (SMALL, MEDIUM):
            for factor in LOAD_FACTORS:
                for share in TURNED_AWAY_SHARES:
                    for name, handle_turned_away in HANDLERS.items():
                        requests_per_s = shape.capacity * factor
                        outcomes = RefusingEngineModel(
                            shape, requests_per_s, seed, handle_turned_away, share
                        ).run(seconds)
                        case = f'{shape.name}, {factor:.1f} x, {share:.1f} shed, '
                        baseline = f'{case}nothing'
                        case += name
                        results.add(case, 'in_time', 'share', outcomes.share('in time'), baseline)
                        turned_away_share = outcomes.counts['turned away'] / max(
                            outcomes.counts['sends'], 1
                        )
                        results.add(case, 'turned_away', 'of sends', turned_away_share)
    return results.write()
