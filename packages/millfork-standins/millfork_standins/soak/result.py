"""
The result of a soak run.

"""

from collections import Counter
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class WeightCounts:
    """
    What happened to the engines of a run: how many versions were named, how many streams had
    tokens, how many layers were loaded, and how many of them from pieces that had been bad for too
    long; and the statuses that the callers of the engines got.

    """

    versions: int = 0
    streams: int = 0
    layers: int = 0
    bad_layers: int = 0
    statuses: Counter[int] = field(default_factory=Counter)


@dataclass(frozen=True, slots=True)
class RegionCounts:
    """
    What happened in a run with regions: the size of its documents, how often a replica lagged and
    how often another one then lost its disk; how often all replicas were asked for the document,
    how many of these reads were in calm times, and how many all refused; how many calls of added
    routes were at entries in touch, and the statuses of all calls of added routes.

    """

    document_bytes: int = 0
    lags: int = 0
    disk_losses: int = 0
    reads: int = 0
    calm_reads: int = 0
    refused_reads: int = 0
    calls_in_touch: int = 0
    statuses: Counter[int] = field(default_factory=Counter)


@dataclass(slots=True)
class SoakResult:
    """
    The counts of a run, the version of the last acknowledged document, and descriptions of the
    broken promises. `cold_requests` reached back ends that all entries could know to be cold.

    """

    seed: int
    faults: int
    statuses: Counter[int] = field(default_factory=Counter)
    acknowledged_version: int = 0
    reads: int = 0
    violations: list[str] = field(default_factory=list)
    evacuations: int = 0
    cold_requests: int = 0
    weights: WeightCounts = field(default_factory=WeightCounts)
    regions: RegionCounts = field(default_factory=RegionCounts)
