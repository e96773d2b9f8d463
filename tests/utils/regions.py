"""
A fleet whose zones are regions with slow links between them, and documents of a given size.

"""

import itertools
import threading

from millfork_standins.large_documents import filler_prefixes
from millfork_standins.seeded import SeededFleet
from tests.test_seeded_fleet import document

CHANGE_INTERVAL_S = 0.06
FIRST_ROUTE = '/first/'


class RegionFleet(SeededFleet):
    """
    A fleet whose replicas and entries are each in a region of their own, in turn three regions.

    """

    def zone_of(self, host):
        hosts = self.replica_hosts if host in self.replica_hosts else self.entry_hosts
        number = int(host.rpartition('.')[2]) if host in hosts else 0
        return f'zone-{number % 3}'


def large_document(version, size, *prefixes):
    """
    Return a document with routes of these prefixes and others that take about `size` bytes in the
    replicated log.

    """
    return document(version, *prefixes, *filler_prefixes(version, size))


class Changes:
    """
    Changes of the document, each acknowledged before the next one is sent. Each document has a
    route of its own and takes about `size` bytes in the replicated log.

    """

    def __init__(self, fleet, size):
        self.fleet = fleet
        self.size = size
        self.versions = itertools.count(2)
        self.acknowledged = 1
        self.stop = threading.Event()

    def put_next(self):
        version = next(self.versions)
        changed = large_document(version, self.size, FIRST_ROUTE, route_of(version))
        if self.fleet.put_document(changed).status == 200:
            self.acknowledged = version

    def put_until_stopped(self):
        while not self.stop.wait(CHANGE_INTERVAL_S):
            self.put_next()


def route_of(version):
    """
    Return the route that only the document `version` has.

    """
    return f'/v{version}/'
