"""
A seeded fleet with an endpoint daemon beside each of its engines, and an origin of their weights.

"""

from pathlib import Path
from typing import Final

from millfork_core.ids import OrganisationId, ServiceName
from millfork_routing.documents import (
    Document,
    EngineSpec,
    Organisation,
    Route,
    RouteKind,
    Service,
    Share,
)
from millfork_standins.back_end import STREAM_PATH
from millfork_standins.seeded import SeededFleet
from millfork_standins.staging_engine import SLOTS, StagingEngine
from millfork_standins.weights_origin import SimulatedWeights, WeightsOrigin

SERVICE: Final = 'engines'
ZONE: Final = 'zone'
DEADLINE_MS: Final = 6000
TARGET_MS: Final = 3000


def engine_spec(weights: SimulatedWeights, load_s: float) -> EngineSpec:
    """
    The specification of engines that load all layers of these weights in `load_s` seconds.

    """
    return EngineSpec(
        slots=SLOTS,
        tokens=300_000,
        step_ms=9.0,
        per_sequence_ms=0.02,
        per_context_ms=0.03,
        read_per_s=20_000,
        pairs_ms_per_million=1.0,
        steps_per_event=5,
        usual_prompt=100,
        usual_answer=40,
        model=weights.model,
        layers=weights.layers,
        pieces=weights.pieces,
        piece_bytes=weights.piece_bytes,
        warm_s=load_s,
    )


class StagingFleet(SeededFleet):
    """
    A fleet of `engines` simulated engines, all of the service 'engines'. They hold version 1 of
    the weights at the start, or nothing if `empty` is set.

    """

    def __init__(
        self,
        folder: Path,
        weights: SimulatedWeights,
        engines: int = 3,
        version_ms: int = 0,
        load_s: float = 0.3,
        empty: bool = False,
    ) -> None:
        super().__init__(folder, version_ms=version_ms, endpoints=engines)
        self.weights = weights
        self.load_s = load_s
        self.origin = WeightsOrigin(self.back_end_host, weights)
        self.engines: list[StagingEngine] = []
        for number, host in enumerate(self.endpoint_hosts):
            version = None if empty else 1
            engine = StagingEngine(host, SERVICE, f'i-{number}', self, weights, load_s, version)
            self.engines.append(engine)
            self.back_ends.append(engine)
            self.engine_addresses[host] = f'{host}:{engine.server_address[1]}'

    def document(self, max_attempts: int = 1, version: int = 1) -> Document:
        """
        A document with one route, of resumable streams.

        """
        weights = self.weights
        engine = engine_spec(weights, self.load_s)
        service = ServiceName(SERVICE)
        origin = self.origin.spec(ZONE)
        route = Route(
            'r',
            'h.example',
            STREAM_PATH,
            RouteKind.STREAMING,
            DEADLINE_MS,
            TARGET_MS,
            1,
            (Share(service, 1),),
            max_attempts,
            False,
            True,
            0,
        )
        return Document(
            version,
            (route,),
            (
                Service(service, SLOTS, engine),
                Service(ServiceName('origin'), origin.max_connections, origin=origin),
            ),
            (Organisation(OrganisationId('org'), ('key',)),),
        )

    def close(self) -> None:
        super().close()
        self.origin.end()
