"""
Which back end a request is sent to.

It answers loads that are uneven between back ends, and entries that all see the same
reports, 0.15 s to 0.3 s old: the least loaded engine would get the requests of all
entries at once. So each choice is among a few engines taken at random, the best of which
is nearly as good as the best of all and seldom the same for two entries; and a back end
that fails or is late is left to others for a while.

"""

from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Final

from millfork_core.ids import InstanceId, ServiceName, ZoneId
from millfork_routing.documents import EngineSpec
from millfork_scheduling.paths import Path
from millfork_scheduling.server import Server

# What a failure rate of 1 counts for, in full loads of a back end.
FAILURE_COST_LOADS: Final = 3.0
# What each token of a path costs whose parts lie in two zones, in ms: the way
# there and back.
PATH_TOKEN_HOP_MS: Final = 5.0
# What another zone costs an engine's request, in ms: the way there and back.
OTHER_ZONE_COST_MS: Final = 10.0
# What a failure rate of 1 costs an engine's request, in ms.
FAILURE_COST_MS: Final = 3000.0
# Choices are spread over predictions that differ by less, in ms: the entries
# would all take the same engine.
COST_JITTER_MS: Final = 30.0
# What another zone costs, in full loads: a nearer one is taken while it is
# not fuller by this.
OTHER_ZONE_COST_LOADS: Final = 0.15
# The engines among which one is chosen: so many of the own zone and so many of others, at
# random, as many entries would else all choose the same one.
NEAR_COMPARED: Final = 2
FAR_COMPARED: Final = 1
# What an engine of a version that ends soon costs a request that could not go on
# elsewhere, in ms: about as much as admission lets one wait.
ENDING_VERSION_COST_MS: Final = 300.0
# A request is sent to a version that ends only where its first token is expected this long
# before, as a slow link delays it.
VERSION_END_MARGIN_S: Final = 0.5
# The same where no daemon beside the engine takes the version away in time.
VERSION_END_MARGIN_WITHOUT_DAEMON_S: Final = 1.2


@dataclass(frozen=True, slots=True)
class Requirements:
    """
    What a request needs of a back end: a service; for an engine, its figures,
    the oldest version that will do, and the newest that was named.

    """

    service: ServiceName
    engine: EngineSpec | None = None
    least_version: int = 0
    newest_version: int = 0
    prompt_tokens: int = 0
    # Whether it can be sent to no other back end after this one.
    last_send: bool = False
    # For each version named lately, when nothing may begin on an older one
    # (monotonic seconds).
    endings: tuple[tuple[int, float], ...] = ()

    def ends_at(self, version: int) -> float:
        """
        When the request may no longer begin on a version.

        """
        return min((at for newer, at in self.endings if newer > version), default=float('inf'))


@dataclass(frozen=True, slots=True)
class Choice:
    """
    The back end for a request (of a path: its first part), and the time to
    its first token there, in ms (0 for one that is no engine): by the figures
    alone, and as expected from how far the figures were off lately.

    """

    server: Server
    spec_first_token_ms: float = 0.0
    first_token_ms: float = 0.0
    path: Path | None = None

    @property
    def servers(self) -> list[Server]:
        """
        All back ends that a request is sent through.

        """
        return [self.server] if self.path is None else self.path.servers

    def version(self, layers: int) -> int | None:
        """
        The version of the weights on which the request would run.

        """
        return (
            self.path.version
            if self.path is not None
            else self.server.newest_complete_version(layers)
        )


@dataclass(frozen=True, slots=True)
class SelectionContext:
    """
    What an entry knows at one moment: the time (monotonic seconds), its zone, how many
    entries there are, and how late first tokens of the service came lately, in ms.

    """

    now: float
    zone: ZoneId
    entries: int = 1
    mean_lateness_ms: float = 0.0


def choose_plain(servers: Iterable[Server], context: SelectionContext, random: Random) -> Choice:
    """
    The back end of a plain service that is least loaded, near ones first.

    """
    return Choice(min(servers, key=lambda server: _plain_cost(server, context, random)))


def _plain_cost(server: Server, context: SelectionContext, random: Random) -> float:
    load = (server.occupied(context.now) + 1) / server.slots
    away = OTHER_ZONE_COST_LOADS if server.zone != context.zone else 0.0
    spread = random.random() / (2 * server.slots)
    return load + away + FAILURE_COST_LOADS * server.failure_rate + spread


def choose_engine(
    servers: list[Server],
    requirements: Requirements,
    engine: EngineSpec,
    paths: list[Path],
    context: SelectionContext,
    random: Random,
) -> Choice | None:
    """
    Of a few engines the one at which the first token is expected soonest, near ones
    first; None if none would begin before its version ends.

    """
    by_first = {path.first.instance: path for path in paths}
    able = filter_startable(servers, engine, paths)
    choose_cheapest = partial(
        _cheapest, requirements=requirements, engine=engine, by_first=by_first, context=context
    )
    # Of the few, all may be about to change their version: then any other will do.
    return choose_cheapest(
        sample_engines(able, context.zone, random), random=random
    ) or choose_cheapest(able, random=random)


def filter_startable(servers: list[Server], engine: EngineSpec, paths: list[Path]) -> list[Server]:
    """
    Those of some back ends to which a request can be sent: they hold the model whole, or
    begin a path whose second part is among them.

    """
    by_first = {path.first.instance: path for path in paths}
    able: list[Server] = []
    for server in servers:
        path = by_first.get(server.instance)
        if server.newest_complete_version(engine.layers) is None and (
            path is None or path.second not in servers
        ):
            # The second part of a path, or a first whose second is out.
            continue
        able.append(server)
    return able


def sample_engines(servers: list[Server], zone: ZoneId, random: Random) -> list[Server]:
    """
    Some engines at random, most of them near; as many where no zone has enough.

    """
    count = NEAR_COMPARED + FAR_COMPARED
    if len(servers) <= count:
        return servers
    shuffled = random.sample(servers, len(servers))
    near = [server for server in shuffled if server.zone == zone]
    far = [server for server in shuffled if server.zone != zone]
    near_taken = max(NEAR_COMPARED, count - len(far))
    return [*near[:near_taken], *far[: count - min(len(near), near_taken)]]


def _cheapest(
    servers: list[Server],
    requirements: Requirements,
    engine: EngineSpec,
    by_first: dict[InstanceId, Path],
    context: SelectionContext,
    random: Random,
) -> Choice | None:
    best: Choice | None = None
    least = float('inf')
    for server in servers:
        by_figures = server.first_token_ms(
            engine, requirements.prompt_tokens, context.now, context.entries
        )
        expected = by_figures + max(context.mean_lateness_ms, server.lateness.now_ms(context.now))
        path = by_first.get(server.instance)
        found = Choice(server, by_figures, max(expected, 0.0), path)
        if _ends_before(found, expected, requirements, engine, context.now):
            continue
        cost = expected + _extra_cost(found, requirements, engine, context.zone)
        cost += random.random() * COST_JITTER_MS
        if cost < least:
            least = cost
            best = found
    return best


def _ends_before(
    choice: Choice, expected_ms: float, requirements: Requirements, engine: EngineSpec, now: float
) -> bool:
    """
    Whether the version there may end before the request surely begins.

    """
    version = choice.version(engine.layers)
    if version is None or version >= requirements.newest_version:
        return False
    latest_ms = max(expected_ms, choice.spec_first_token_ms)
    unguarded = any(server.lacks_daemon_reports(now) for server in choice.servers)
    margin_s = VERSION_END_MARGIN_WITHOUT_DAEMON_S if unguarded else VERSION_END_MARGIN_S
    return now + latest_ms / 1000 > requirements.ends_at(version) - margin_s


def _extra_cost(
    choice: Choice, requirements: Requirements, engine: EngineSpec, zone: ZoneId
) -> float:
    """
    What speaks against an engine besides its first token, in ms.

    """
    server = choice.server
    cost = FAILURE_COST_MS * server.failure_rate
    if server.zone != zone:
        cost += OTHER_ZONE_COST_MS
    version = choice.version(engine.layers)
    if version is not None and version < requirements.newest_version and requirements.last_send:
        cost += ENDING_VERSION_COST_MS
    if choice.path is not None and choice.path.crosses_zones:
        cost += engine.usual_answer * PATH_TOKEN_HOP_MS
    return cost
