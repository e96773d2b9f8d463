"""
Which entries keep pieces of weights for the endpoint daemons.

Every entry could; a few of each zone are named to the others, the same ones by
every replica that knows the same entries.

"""

from collections.abc import Iterable
from typing import Final

from millfork_core.ranks import rank
from millfork_wire.messages import CacheAddress

# An entry's link of 20 Mbit/s then feeds the 12 engines of a zone at 3.65 Mbit/s
# each (grown fleets), with two thirds left for callers.
MAX_ADVERTISED_IN_ZONE: Final = 4
# Of other zones only those that draw from the origin matter.
MAX_ADVERTISED_PER_OTHER_ZONE: Final = 2


def advertised_caches(caches: Iterable[CacheAddress], zone: str | None) -> list[CacheAddress]:
    """
    The caches that a daemon of a zone is told of, best first in each zone;
    without a zone, as many of each as its own daemons are told of.

    """
    found = _best_first_by_zone(caches)
    most = {
        name: MAX_ADVERTISED_IN_ZONE if zone in (None, name) else MAX_ADVERTISED_PER_OTHER_ZONE
        for name in found
    }
    return [cache for name in sorted(found) for cache in found[name][: most[name]]]


def caches_near_origin(caches: Iterable[CacheAddress], origin_zone: str) -> list[CacheAddress]:
    """
    The caches that draw from the origin: those nearest to it, as bytes between
    zones cost; any where it has none in its zone.

    """
    found = _best_first_by_zone(caches)
    if not found:
        return []
    zone = origin_zone if origin_zone in found else min(found)
    return found[zone][:MAX_ADVERTISED_PER_OTHER_ZONE]


def _best_first_by_zone(caches: Iterable[CacheAddress]) -> dict[str, list[CacheAddress]]:
    found: dict[str, list[CacheAddress]] = {}
    distinct = {cache.instance: cache for cache in caches}
    for cache in sorted(distinct.values(), key=lambda cache: rank(cache.zone, cache.instance)):
        found.setdefault(cache.zone, []).append(cache)
    return found
