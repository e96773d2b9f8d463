"""
A fleet whose zones are regions with slow links between them, and documents of a given size.

"""

from millfork_standins.large_documents import filler_prefixes
from millfork_standins.seeded import SeededFleet
from tests.test_seeded_fleet import document


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
