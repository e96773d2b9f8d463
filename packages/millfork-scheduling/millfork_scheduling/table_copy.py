"""
A copy of the server table, on which choices can be tried out.

A choice draws random numbers, refills the permits of limits and forgets old sends to cold back
ends. On a copy, it leaves the table of the entry as it is.

"""

import copy
from random import Random

from millfork_core.ids import ServiceName
from millfork_scheduling.availability import Availability
from millfork_scheduling.server import Server
from millfork_scheduling.server_table import ServerTable


def copy_random(random: Random) -> Random:
    """
    A generator that will draw the same numbers as `random`.

    """
    copied = Random()
    copied.setstate(random.getstate())
    return copied


def copy_table(table: ServerTable, service: ServiceName, random: Random) -> ServerTable:
    """
    A copy of the part of a table that choices for one service read. It draws from `random`, and its
    clock stands still.

    """
    now = table.monotonic()
    entries = table.entries()
    peak_entries = table.peak_entries()
    copied = ServerTable(table.zone, random, lambda: now, lambda: entries, lambda: peak_entries)
    copied.lateness = dict(table.lateness)
    copied.regions_by_zone = table.regions_by_zone
    copied.evacuated_zones = table.evacuated_zones
    copied.cold_bounds = table.cold_bounds
    index = table.index
    copied.index.by_service[service] = [
        _copy_server(server, random) for server in index.by_service.get(service, [])
    ]
    copied.servers = {server.instance: server for server in copied.index.by_service[service]}
    copied.index.near[service] = [
        copied.servers[server.instance] for server in index.near.get(service, [])
    ]
    copied.index.far[service] = [
        copied.servers[server.instance] for server in index.far.get(service, [])
    ]
    return copied


def _copy_server(server: Server, random: Random) -> Server:
    """
    A copy of a back end, or the back end itself if choices only read it: copies take most of the
    time in large fleets, where an entry has sent nothing to most back ends.

    """
    availability = server.availability
    if availability.limit is None and (availability.cold is None or not availability.cold.sent):
        return server
    copied = copy.copy(server)
    copied.availability = _copy_availability(availability, random)
    return copied


def _copy_availability(availability: Availability, random: Random) -> Availability:
    copied = copy.copy(availability)
    copied.random = random
    if copied.limit is not None:
        copied.limit = copy.copy(copied.limit)
        copied.limit.random = random
    if copied.cold is not None:
        copied.cold = copy.copy(copied.cold)
        copied.cold.random = random
        copied.cold.sent = copied.cold.sent.copy()
    return copied
