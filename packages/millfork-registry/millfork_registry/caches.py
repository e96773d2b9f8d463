"""
Choice of the entries (front proxies) that cache pieces of weights for the endpoint daemons.

Every entry can be a cache. Replicas advertise a few entries of each zone as caches, and replicas
that know the same entries advertise the same caches.

"""

from collections.abc import Iterable
from typing import Final

from millfork_core.ranks import rank
from millfork_wire.messages import CacheAddress

# The greatest number of caches of a daemon's own zone that a replica advertises to the daemon. In a
# zone with 12 engines, the links of four entries (20 Mbit/s each) serve the engines at 3.65 Mbit/s
# each, and leave two thirds of each link for callers.
MAX_ADVERTISED_IN_ZONE: Final = 4
# The greatest number of caches of each other zone that a replica advertises to a daemon. Of those
# zones, only the caches that download from the origin (the weight store) matter.
MAX_ADVERTISED_PER_OTHER_ZONE: Final = 2


def advertised_caches(caches: Iterable[CacheAddress], zone: str | None) -> list[CacheAddress]:
    """
    Return the caches to advertise to a daemon in `zone`, ordered within each zone by their rank (a
    hash of the zone and the instance id). If `zone` is None, the limit for a daemon's own zone
    applies to every zone.

    """
    found = _best_first_by_zone(caches)
    max_by_zone = {
        name: MAX_ADVERTISED_IN_ZONE if zone in (None, name) else MAX_ADVERTISED_PER_OTHER_ZONE
        for name in found
    }
    return [cache for name in sorted(found) for cache in found[name][: max_by_zone[name]]]


def caches_near_origin(caches: Iterable[CacheAddress], origin_zone: str) -> list[CacheAddress]:
    """
    Return the caches that download from the origin, at most `MAX_ADVERTISED_PER_OTHER_ZONE`:
    caches of the origin's zone, because traffic between zones costs money, or of one other zone if
    the origin's zone has none.

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
