"""
The model that the engines of a soak run serve, its services and route, and the callers of that.

"""

from typing import Final

from millfork_core.ids import ServiceName
from millfork_platform import client_requests
from millfork_routing.documents import OriginSpec, Route, RouteKind, Service, Share
from millfork_standins.back_end import STREAM_PATH
from millfork_standins.soak.callers import WHOLE_STREAM, Caller, DrawnRequest
from millfork_standins.soak.fleet import ENGINE_REQUEST_PREFIX
from millfork_standins.staging_engine import SLOTS
from millfork_standins.staging_fleet import engine_spec
from millfork_standins.weights_origin import SimulatedWeights

# The service and host names of the settings of the endpoint daemons, and of the callers' route.
SERVICE: Final = ServiceName('engines')
ROUTE_HOST: Final = 'models.example'
WEIGHTS: Final = SimulatedWeights('m', layers=8, pieces=96)
LOAD_S: Final = 0.3
VERSION_MS: Final = 5000
ENGINE: Final = engine_spec(WEIGHTS, LOAD_S)
ROUTE: Final = Route(
    'e',
    ROUTE_HOST,
    STREAM_PATH,
    RouteKind.STREAMING,
    timeout_ms=4000,
    target_ms=300,
    priority=1,
    shares=(Share(SERVICE, 1),),
    max_attempts=2,
    public=False,
    resumable=True,
    gap_ms=0,
)


def engine_services(origin: OriginSpec) -> tuple[Service, ...]:
    """
    The services of the engines and of the origin of their weights.

    """
    return (
        Service(SERVICE, SLOTS, ENGINE),
        Service(ServiceName('origin'), origin.max_connections, origin=origin),
    )


class EngineCaller(Caller):
    """
    Streams from the engines.

    """

    id_prefix = ENGINE_REQUEST_PREFIX

    def _draw_request(self, request_id: str) -> DrawnRequest:
        return DrawnRequest(
            'POST',
            f'{STREAM_PATH}x',
            request_id.encode(),
            True,
            WHOLE_STREAM,
            ROUTE_HOST,
            headers={client_requests.MODEL: WEIGHTS.model, client_requests.TOKEN_COUNT: '100,40'},
        )
