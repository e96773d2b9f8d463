"""
The operator's configuration document: routes, services and organisations.

"""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from millfork_core.ids import OrganisationId, RegionId, ServiceName


class RouteKind(Enum):
    """
    The kind of a route's requests. Safe requests may be executed more than once, unsafe ones may
    not, and streaming ones only if the route is resumable.

    """

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAMING = 'streaming'


@dataclass(frozen=True, slots=True)
class Share:
    """
    A service's share of a route's requests: `weight` divided by the sum of the route's weights.

    """

    service: ServiceName
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """
    One host and path prefix, and how its requests are served.

    `timeout_ms` is the maximum time of a request, `target_ms` the target time to the answer (for
    streams to the first event), `gap_ms` the longest acceptable pause between events (0: not
    configured), `priority` the rank of requests (0 is served first), `max_attempts` the maximum
    number of back ends tried for one request. A `public` route needs no known API key. Streams
    of a `resumable` route can be continued after a given event. `regions` are the only regions in
    which requests of the route may be served (empty: any region).

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
    regions: frozenset[RegionId] = frozenset()

    @property
    def repeatable(self) -> bool:
        """
        Whether requests of this route may be executed more than once.

        """
        if self.kind is RouteKind.SAFE:
            return True
        return self.kind is RouteKind.STREAMING and self.resumable


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """
    The capacity and speed of the engines of a service. Times are ms, except for `warm_s`.

    A step generates one token for each running request and takes `step_ms`, plus
    `per_sequence_ms` for each request and `per_context_ms` for each 1,000 tokens of its context.
    Prompts are read at `read_per_s` tokens a second; reading takes `pairs_ms_per_million` longer
    for each million pairs of prompt tokens (n tokens have n * n / 2). `steps_per_event` steps pass
    between two events of a stream. `slots` is the number of requests that run at a time, `tokens`
    the size of the engine's memory in tokens; `usual_prompt` and `usual_answer` are typical
    lengths in tokens. The weights of `model` consist of `pieces` pieces of `piece_bytes` bytes.
    `warm_s` is kept from the operator's document but not used.

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
    The origin server of a service's weights.

    """

    host: str
    port: int
    max_connections: int
    # The availability zone of the origin server; empty if not configured.
    zone: str = ''
    # The capacity of the origin server's link; 0 if not configured.
    bytes_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Service:
    """
    One service. At most `max_connections` connections are open to each of its back ends, for all
    callers together. `engine` is None if the back ends aren't engines. After a start, a back end is
    cold for `usual_cold_s` seconds; while it is cold, it bears `cold_requests_per_s` requests a
    second (0: there is no bound).

    """

    name: ServiceName
    max_connections: int
    engine: EngineSpec | None = None
    origin: OriginSpec | None = None
    usual_cold_s: float = 0.0
    cold_requests_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Organisation:
    """
    One organisation with its API keys. `priority` is the rank of its requests (0 is served first;
    None: the priority of the route applies). `regions` are the only regions in which its requests
    may be served (empty: any region).

    """

    name: OrganisationId
    keys: tuple[str, ...]
    priority: int | None = None
    regions: frozenset[RegionId] = frozenset()


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """
    Limits on the size of callers' requests and on the idle time of their connections.

    """

    max_header_bytes: int = 64 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    idle_timeout_ms: int = 15_000


NO_LIMITS: Final = CallerLimits()


@dataclass(frozen=True, slots=True)
class Document:
    """
    One version of the complete configuration. `organisations` is None if requests need no API key;
    if it is empty, no key is valid.

    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    organisations: tuple[Organisation, ...] | None = None
    limits: CallerLimits = NO_LIMITS


def find_problems(document: Document) -> list[str]:
    """
    The reasons why a document is invalid; empty if it is valid.

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
    for organisation in document.organisations or ():
        for key in organisation.keys:
            holder = holders.setdefault(key, organisation.name)
            if holder != organisation.name:
                problems.append(f'organisations {holder} and {organisation.name} share a key')
    return problems
