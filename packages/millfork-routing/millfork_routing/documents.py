"""
The operator's document: which requests go to which services, and for whom.

"""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from millfork_core.ids import OrganisationId, ServiceName


class RouteKind(Enum):
    """
    What kind of request a route carries.

    """

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAMING = 'streaming'


@dataclass(frozen=True, slots=True)
class Share:
    """
    A service's part of a route's requests; weights are relative.

    """

    service: ServiceName
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """
    One host and path prefix, and how its requests are served.

    `timeout_ms` is the longest a request is held, `target_ms` the time in
    which an answer (a stream's first event) is wanted, `gap_ms` the longest
    pause between events that is still in time (0: none named), `priority`
    the rank (0 first), `max_attempts` the most back ends for one request.

    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_ms: int
    target_ms: int
    priority: int
    shares: tuple[Share, ...]
    max_attempts: int
    public: bool
    resumable: bool
    gap_ms: int

    @property
    def repeatable(self) -> bool:
        """
        Whether a request may run more than once.

        """
        if self.kind is RouteKind.SAFE:
            return True
        return self.kind is RouteKind.STREAMING and self.resumable


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """
    What an engine of a service can do. Times are ms, memory is tokens.

    A step writes one token for each running request and costs `step_ms`,
    plus `per_sequence_ms` for each request and `per_context_ms` for each
    1,000 tokens of its context; prompts are read at `read_per_s` tokens a
    second. `steps_per_event` steps pass between two events of a stream.

    """

    slots: int
    tokens: int
    step_ms: float
    per_sequence_ms: float
    per_context_ms: float
    read_per_s: float
    pairs_ms_per_million: float
    steps_per_event: int
    usual_prompt: int
    usual_answer: int
    model: str
    layers: int
    pieces: int
    piece_bytes: int
    warm_s: float


@dataclass(frozen=True, slots=True)
class OriginSpec:
    """
    Where a service's weights come from.

    """

    host: str
    port: int
    max_connections: int
    # The availability zone that it is in, if it is said.
    zone: str = ''
    # What its link carries; 0: not said.
    bytes_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Service:
    """
    One service: its cap of connections for each back end, over all callers.

    """

    name: ServiceName
    max_connections: int
    engine: EngineSpec | None = None
    origin: OriginSpec | None = None


@dataclass(frozen=True, slots=True)
class Organisation:
    """
    One organisation, its API keys, and its rank (0 first), if it has one.

    """

    name: OrganisationId
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """
    What a caller may send, and how long a connection may rest.

    """

    max_header_bytes: int = 64 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    idle_timeout_ms: int = 15_000


NO_LIMITS: Final = CallerLimits()


@dataclass(frozen=True, slots=True)
class Document:
    """
    One version of the whole configuration.

    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    limits: CallerLimits = NO_LIMITS


def find_problems(document: Document) -> list[str]:
    """
    Everything that makes a document unacceptable; empty if it is good.

    """
    return [*_route_problems(document), *_key_problems(document)]


def _route_problems(document: Document) -> list[str]:
    problems = []
    services = {service.name for service in document.services}
    places: set[tuple[str, str]] = set()
    for route in document.routes:
        place = (route.host, route.prefix)
        if place in places:
            problems.append(f'route {route.name}: another route has its host and prefix')
        places.add(place)
        if route.timeout_ms <= 0:
            problems.append(f'route {route.name}: the time-out must be positive')
        if sum(share.weight for share in route.shares) <= 0:
            problems.append(f'route {route.name}: the weights sum to 0')
        if any(share.weight < 0 for share in route.shares):
            problems.append(f'route {route.name}: a weight is negative')
        for share in route.shares:
            if share.service not in services:
                problems.append(f'route {route.name}: unknown service {share.service}')
    return problems


def _key_problems(document: Document) -> list[str]:
    problems = []
    holders: dict[str, OrganisationId] = {}
    for organisation in document.organisations:
        for key in organisation.keys:
            holder = holders.setdefault(key, organisation.name)
            if holder != organisation.name:
                problems.append(f'organisations {holder} and {organisation.name} share a key')
    return problems
