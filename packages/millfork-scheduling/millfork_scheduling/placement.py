"""
The choice of the back end that a request is sent to.

Loads differ between back ends, and all entries see the same reports, which are 0.15 s to 0.3 s
old: if all chose the least loaded engine, that engine would get the requests of all entries at
once. So each choice is among a few randomly sampled engines. The best of these is nearly as good
as the best of all and seldom the same for two entries. Back ends that fail or are late are avoided
for a while.

"""

from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Final

from millfork_core.ids import InstanceId, RegionId, ServiceName, ZoneId
from millfork_routing.documents import EngineSpec
from millfork_scheduling.paths import Path
from millfork_scheduling.server import Server

# Back ends that aren't engines are compared by a cost in units of load (1: all slots are occupied).
# The load of each is increased by its failure rate (0 to 1) times this.
FAILURE_COST_LOADS: Final = 3.0
# Engines are compared by a cost in ms: the expected time to the first token plus several additions.
# `PATH_TOKEN_HOP_MS` is added for each token of a usual answer if the engines of a path are in two
# zones: one round trip.
PATH_TOKEN_HOP_MS: Final = 5.0
# Added to the cost of an engine in another zone than the entry's: one round trip.
OTHER_ZONE_COST_MS: Final = 10.0
# The failure rate of an engine (0 to 1) times this is added to its cost.
FAILURE_COST_MS: Final = 3000.0
# Added to the cost of a cold engine, which is slower than it reports: a stream at a warm engine has
# the time of some pauses between events more.
COLD_COST_MS: Final = 50.0
# The maximum random addition to the cost of an engine. Without random additions all entries would
# choose the same engine.
COST_JITTER_MS: Final = 30.0
# Added to the load of a back end that isn't an engine and is in another zone than the entry's. So a
# back end in the entry's zone is preferred unless its load is higher by more than this.
OTHER_ZONE_COST_LOADS: Final = 0.15
# The number of engines sampled for each choice, from the entry's zone (near) and from the other
# zones (far). With larger samples many entries would choose the same engine.
NEAR_SAMPLED: Final = 2
FAR_SAMPLED: Final = 1
# Added to the cost of an engine whose version is older than the newest and so ends soon, if the
# request can't be sent again should the version end before the request has begun. An engine with
# the newest version is then preferred even if its first token is expected up to about this much
# later, which is about as long as admission lets a request wait.
ENDING_VERSION_COST_MS: Final = 300.0
# A request is sent to an engine whose version ends soon only if the first token is expected at
# least this long before that end, as a slow link may delay the request.
VERSION_END_MARGIN_S: Final = 0.5
# Used instead of `VERSION_END_MARGIN_S` for an engine without daemon reports: no daemon tells the
# entry in time that the engine is about to change version.
VERSION_END_MARGIN_WITHOUT_DAEMON_S: Final = 1.2


@dataclass(frozen=True, slots=True)
class Requirements:
    """
    What a request requires of a back end: the service and the region; for engines also the engine
    spec, the oldest acceptable version, and the newest version that is set in the configuration.

    """

    service: ServiceName
    engine: EngineSpec | None = None
    min_version: int = 0
    newest_version: int = 0
    prompt_tokens: int = 0
    # Whether the request can't be sent again if the back end that is chosen now doesn't serve it.
    last_send: bool = False
    # Pairs of a newer version and the time (monotonic seconds) at which requests that were sent to
    # an engine with an older version, and have not begun there, are cancelled. Past times are left
    # out.
    cancel_times: tuple[tuple[int, float], ...] = ()
    # The only regions in which the request may be served; None if it may be served in any region.
    regions: frozenset[RegionId] | None = None

    def cancelled_at(self, version: int) -> float:
        """
        When the request is cancelled if it was sent to an engine with `version` and has not begun
        by then (monotonic seconds); infinity if no such time is known.

        """
        return min((at for newer, at in self.cancel_times if newer > version), default=float('inf'))


@dataclass(frozen=True, slots=True)
class Choice:
    """
    The back end chosen for a request; for a path, its first engine.

    `spec_first_token_ms` is the time to the first token predicted from the engine spec and the
    load, `first_token_ms` that time corrected by the recent lateness. Both are 0 for back ends
    that aren't engines.

    """

    server: Server
    spec_first_token_ms: float = 0.0
    first_token_ms: float = 0.0
    path: Path | None = None

    @property
    def servers(self) -> list[Server]:
        """
        All back ends that the request passes through.

        """
        return [self.server] if self.path is None else self.path.servers

    def version(self, layers: int) -> int | None:
        """
        The version of the weights that the request would run on; None if `path` is None and the
        server holds no version with all `layers`.

        """
        return (
            self.path.version
            if self.path is not None
            else self.server.newest_complete_version(layers)
        )


@dataclass(frozen=True, slots=True)
class SelectionContext:
    """
    The inputs of a choice besides the back ends: the time (monotonic seconds), the zone of the
    entry, the number of entries, and the recent lateness of the service's first tokens in ms.

    """

    now: float
    zone: ZoneId
    entries: int = 1
    mean_lateness_ms: float = 0.0


def choose_least_loaded(
    servers: Iterable[Server], context: SelectionContext, random: Random
) -> Choice:
    """
    Choose the back end with the lowest load, for a service without engines. A failure rate, a
    zone other than the entry's, and a random addition count as load.

    """
    return Choice(min(servers, key=lambda server: _load_cost(server, context, random)))


def _load_cost(server: Server, context: SelectionContext, random: Random) -> float:
    load = (server.occupied(context.now) + 1) / server.slots
    zone_cost = OTHER_ZONE_COST_LOADS if server.zone != context.zone else 0.0
    jitter = random.random() / (2 * server.slots)
    return load + zone_cost + FAILURE_COST_LOADS * server.failure_rate + jitter


def choose_engine(
    servers: list[Server],
    requirements: Requirements,
    engine: EngineSpec,
    paths: list[Path],
    context: SelectionContext,
    random: Random,
) -> Choice | None:
    """
    Choose the engine with the lowest cost, which is mainly the expected time to the first token,
    from a random sample of `servers`. Engines whose version may end before the request has begun
    are left out. If no engine of the sample remains, choose from all `servers`; None if none of
    these remains either.

    """
    path_by_first = {path.first.instance: path for path in paths}
    eligible = filter_startable(servers, engine, paths)
    choose_cheapest = partial(
        _cheapest,
        requirements=requirements,
        engine=engine,
        path_by_first=path_by_first,
        context=context,
    )
    # If the versions of all sampled engines end too soon, all engines are considered.
    return choose_cheapest(
        sample_engines(eligible, context.zone, random), random=random
    ) or choose_cheapest(eligible, random=random)


def filter_startable(servers: list[Server], engine: EngineSpec, paths: list[Path]) -> list[Server]:
    """
    The back ends that a request can be sent to: those that hold all layers, and the first
    engines of paths whose second engine is among `servers`.

    """
    path_by_first = {path.first.instance: path for path in paths}
    eligible: list[Server] = []
    for server in servers:
        path = path_by_first.get(server.instance)
        if server.newest_complete_version(engine.layers) is None and (
            path is None or path.second not in servers
        ):
            # The server is not the first engine of a path whose second engine is available.
            continue
        eligible.append(server)
    return eligible


def sample_engines(servers: list[Server], zone: ZoneId, random: Random) -> list[Server]:
    """
    A random sample of engines: `NEAR_SAMPLED` in `zone` and `FAR_SAMPLED` in the other zones. If
    one of these groups has too few engines, the other group fills up the sample.

    """
    count = NEAR_SAMPLED + FAR_SAMPLED
    if len(servers) <= count:
        return servers
    shuffled = random.sample(servers, len(servers))
    near = [server for server in shuffled if server.zone == zone]
    far = [server for server in shuffled if server.zone != zone]
    near_count = max(NEAR_SAMPLED, count - len(far))
    return [*near[:near_count], *far[: count - min(len(near), near_count)]]


def _cheapest(
    servers: list[Server],
    requirements: Requirements,
    engine: EngineSpec,
    path_by_first: dict[InstanceId, Path],
    context: SelectionContext,
    random: Random,
) -> Choice | None:
    best: Choice | None = None
    lowest_cost = float('inf')
    for server in servers:
        candidate, expected = expected_start(
            server, requirements, engine, path_by_first.get(server.instance), context
        )
        if version_ends_before_start(candidate, expected, requirements, engine, context.now):
            continue
        cost = expected + _extra_cost(candidate, requirements, engine, context)
        cost += random.random() * COST_JITTER_MS
        if cost < lowest_cost:
            lowest_cost = cost
            best = candidate
    return best


def expected_start(
    server: Server,
    requirements: Requirements,
    engine: EngineSpec,
    path: Path | None,
    context: SelectionContext,
) -> tuple[Choice, float]:
    """
    The choice of one engine, and the expected time to the first token there in ms; negative if
    recent first tokens came earlier than predicted by more than the predicted time.

    """
    spec_ms = server.first_token_ms(
        engine, requirements.prompt_tokens, context.now, context.entries
    )
    expected = spec_ms + max(context.mean_lateness_ms, server.lateness.mean_ms_at(context.now))
    return Choice(server, spec_ms, max(expected, 0.0), path), expected


def version_ends_before_start(
    choice: Choice, expected_ms: float, requirements: Requirements, engine: EngineSpec, now: float
) -> bool:
    """
    Whether the version of the chosen engine may end before the request has safely begun on it.

    """
    version = choice.version(engine.layers)
    if version is None or version >= requirements.newest_version:
        return False
    latest_ms = max(expected_ms, choice.spec_first_token_ms)
    has_no_daemon = any(server.lacks_daemon_reports(now) for server in choice.servers)
    margin_s = VERSION_END_MARGIN_WITHOUT_DAEMON_S if has_no_daemon else VERSION_END_MARGIN_S
    return now + latest_ms / 1000 > requirements.cancelled_at(version) - margin_s


def _extra_cost(
    choice: Choice, requirements: Requirements, engine: EngineSpec, context: SelectionContext
) -> float:
    """
    The cost of an engine in addition to its time to the first token, in ms.

    """
    server = choice.server
    cost = FAILURE_COST_MS * server.failure_rate
    if server.availability.is_cold(context.now):
        cost += COLD_COST_MS
    if server.zone != context.zone:
        cost += OTHER_ZONE_COST_MS
    version = choice.version(engine.layers)
    if version is not None and version < requirements.newest_version and requirements.last_send:
        cost += ENDING_VERSION_COST_MS
    if choice.path is not None and choice.path.crosses_zones:
        cost += engine.usual_answer * PATH_TOKEN_HOP_MS
    return cost
