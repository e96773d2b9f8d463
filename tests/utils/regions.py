"""
A fleet whose zones are regions with slow links between them, and documents of a given size.

"""

from random import Random

from millfork_standins.seeded import SeededFleet
from tests.test_seeded_fleet import document

# Hexadecimal digits of one route in the replicated log, where documents are compressed.
ROUTE_DIGITS = 200


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
    random = Random(version)
    others = [
        f'/{random.randbytes(ROUTE_DIGITS // 2).hex()}/' for _ in range(2 * size // ROUTE_DIGITS)
    ]
    return document(version, *prefixes, *others)
