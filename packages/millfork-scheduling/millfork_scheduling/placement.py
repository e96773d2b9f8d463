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
from millfork_routing.documents import EngineFigures
from millfork_scheduling.paths import Path
from millfork_scheduling.server import Server

# What a failure rate of 1 counts for, in full loads of a back end.
FAILURE_COST: Final = 3.0
# What each token of a path costs whose parts lie in two zones, in ms: the way
# there and back.
HOP_MS: Final = 5.0
# What another zone costs an engine's request, in ms: the way there and back.
OTHER_ZONE_MS: Final = 10.0
# What a failure rate of 1 costs an engine's request, in ms.
FAILURE_MS: Final = 3000.0
# Choices are spread over predictions that differ by less, in ms: the entries
# would all take the same engine.
SPREAD_MS: Final = 30.0
# What another zone costs, in full loads: a nearer one is taken while it is
# not fuller by this.
OTHER_ZONE_COST: Final = 0.15
# The engines among which one is chosen: so many of the own zone and so many of others, at
# random, as many entries would else all choose the same one.
NEAR_COMPARED: Final = 2
FAR_COMPARED: Final = 1
# What an engine of a version that ends soon costs a request that could not go on
# elsewhere, in ms: about as much as admission lets one wait.
ENDING_MS: Final = 300.0
# A request is sent to a version that ends only where its first token is expected this long
# before, as a slow link delays it.
SURELY_S: Final = 0.5
# The same where no daemon beside the engine takes the version away in time.
SURELY_UNGUARDED_S: Final = 1.2


@dataclass(frozen=True, slots=True)
class Wanted:
    """
    What a request needs of a back end: a service; for an engine, its figures,
    the oldest version that will do, and the newest that was named.

    """

    service: ServiceName
    engine: EngineFigures | None = None
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
    by_figures_ms: float = 0.0
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
        return self.path.version if self.path is not None else self.server.newest_whole(layers)


@dataclass(frozen=True, slots=True)
class Outlook:
    """
    What an entry knows at one moment: the time (monotonic seconds), its zone, how many
    entries there are, and how late first tokens of the service came lately, in ms.

    """

    now: float
    zone: ZoneId
    entries: int = 1
    usual_late_ms: float = 0.0


def choose_plain(servers: Iterable[Server], outlook: Outlook, random: Random) -> Choice:
    """
    The back end of a plain service that is least loaded, near ones first.

    """
    return Choice(min(servers, key=lambda server: _plain_cost(server, outlook, random)))


def _plain_cost(server: Server, outlook: Outlook, random: Random) -> float:
    load = (server.occupied(outlook.now) + 1) / server.slots
    away = OTHER_ZONE_COST if server.zone != outlook.zone else 0.0
    spread = random.random() / (2 * server.slots)
    return load + away + FAILURE_COST * server.failure_rate + spread


def choose_engine(
    servers: list[Server],
    wanted: Wanted,
    engine: EngineFigures,
    paths: list[Path],
    outlook: Outlook,
    random: Random,
) -> Choice | None:
    """
    Of a few engines the one at which the first token is expected soonest, near ones
    first; None if none would begin before its version ends.

    """
    by_first = {path.first.instance: path for path in paths}
    able = able_to_begin(servers, engine, paths)
    weigh = partial(_best, wanted=wanted, engine=engine, by_first=by_first, outlook=outlook)
    # Of the few, all may be about to change their version: then any other will do.
    return weigh(draw_few(able, outlook.zone, random), random=random) or weigh(able, random=random)


def able_to_begin(servers: list[Server], engine: EngineFigures, paths: list[Path]) -> list[Server]:
    """
    Those of some back ends to which a request can be sent: they hold the model whole, or
    begin a path whose second part is among them.

    """
    by_first = {path.first.instance: path for path in paths}
    able: list[Server] = []
    for server in servers:
        path = by_first.get(server.instance)
        if server.newest_whole(engine.layers) is None and (
            path is None or path.second not in servers
        ):
            # The second part of a path, or a first whose second is out.
            continue
        able.append(server)
    return able


def draw_few(servers: list[Server], zone: ZoneId, random: Random) -> list[Server]:
    """
    Some engines at random, most of them near; as many where no zone has enough.

    """
    wanted = NEAR_COMPARED + FAR_COMPARED
    if len(servers) <= wanted:
        return servers
    shuffled = random.sample(servers, len(servers))
    near = [server for server in shuffled if server.zone == zone]
    far = [server for server in shuffled if server.zone != zone]
    near_taken = max(NEAR_COMPARED, wanted - len(far))
    return [*near[:near_taken], *far[: wanted - min(len(near), near_taken)]]


def _best(
    servers: list[Server],
    wanted: Wanted,
    engine: EngineFigures,
    by_first: dict[InstanceId, Path],
    outlook: Outlook,
    random: Random,
) -> Choice | None:
    best: Choice | None = None
    least = float('inf')
    for server in servers:
        by_figures = server.first_token_ms(
            engine, wanted.prompt_tokens, outlook.now, outlook.entries
        )
        expected = by_figures + max(outlook.usual_late_ms, server.lateness.now_ms(outlook.now))
        path = by_first.get(server.instance)
        found = Choice(server, by_figures, max(expected, 0.0), path)
        if _ends_before(found, expected, wanted, engine, outlook.now):
            continue
        cost = expected + _extra_cost(found, wanted, engine, outlook.zone)
        cost += random.random() * SPREAD_MS
        if cost < least:
            least = cost
            best = found
    return best


def _ends_before(
    choice: Choice, expected_ms: float, wanted: Wanted, engine: EngineFigures, now: float
) -> bool:
    """
    Whether the version there may end before the request surely begins.

    """
    version = choice.version(engine.layers)
    if version is None or version >= wanted.newest_version:
        return False
    latest_ms = max(expected_ms, choice.by_figures_ms)
    unguarded = any(server.is_unguarded(now) for server in choice.servers)
    surely_s = SURELY_UNGUARDED_S if unguarded else SURELY_S
    return now + latest_ms / 1000 > wanted.ends_at(version) - surely_s


def _extra_cost(choice: Choice, wanted: Wanted, engine: EngineFigures, zone: ZoneId) -> float:
    """
    What speaks against an engine besides its first token, in ms.

    """
    server = choice.server
    cost = FAILURE_MS * server.failure_rate
    if server.zone != zone:
        cost += OTHER_ZONE_MS
    version = choice.version(engine.layers)
    if version is not None and version < wanted.newest_version and wanted.last_send:
        cost += ENDING_MS
    if choice.path is not None and choice.path.crosses_zones:
        cost += engine.usual_answer * HOP_MS
    return cost
