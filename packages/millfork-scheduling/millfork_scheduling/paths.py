"""
Paths: pairs of back ends that together hold all layers of a model.

"""

from dataclasses import dataclass

from millfork_routing.documents import EngineSpec
from millfork_scheduling.server import Server


@dataclass(frozen=True, slots=True)
class Path:
    """
    Two back ends that together hold all layers of a model: the first runs the layers before
    `split`, the second the remaining ones. Either may hold more layers.

    """

    first: Server
    second: Server
    version: int
    split: int

    @property
    def servers(self) -> list[Server]:
        return [self.first, self.second]

    @property
    def crosses_zones(self) -> bool:
        return self.first.zone != self.second.zone


def find_paths(servers: list[Server], engine: EngineSpec, newest: int) -> list[Path]:
    """
    The paths of back ends that each hold only some layers of version `newest` or a later one.

    A back end is in at most one path, and pairs within one zone are preferred. Entries that know
    the same back ends find the same paths. Versions before `newest` have no paths, as their back
    ends are about to change to `newest`.

    """
    lower: list[tuple[Server, int]] = []
    upper: list[tuple[Server, int]] = []
    for server in sorted(servers, key=lambda item: item.instance):
        for item in server.served:
            if server.changes_version or item.version < newest or item.is_complete(engine.layers):
                continue
            if item.first == 0 and item.end is not None:
                lower.append((server, item.end))
            elif item.end == engine.layers:
                upper.append((server, item.first))
    # The one with the fewest layers that completes a path is used.
    upper.sort(key=lambda item: -item[1])
    paths = []
    for same_zone in (True, False):
        for first, end in list(lower):
            for second, begins in list(upper):
                if begins > end or (same_zone and first.zone != second.zone):
                    continue
                if first.instance == second.instance:
                    continue
                version = first.served[0].version
                if second.served[0].version != version:
                    continue
                paths.append(Path(first, second, version, begins))
                lower.remove((first, end))
                upper.remove((second, begins))
                break
    return paths
