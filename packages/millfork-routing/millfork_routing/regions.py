"""
The regions in which a request may be served.

A route or an organisation may restrict its requests to some regions, for example because its data
must not leave them. Where both do, a request may be served only in regions that both allow.

"""

from collections.abc import Iterable

from millfork_core.ids import RegionId
from millfork_routing.documents import Document, Organisation, Route


def regions_of_request(
    route: Route, organisation: Organisation | None
) -> frozenset[RegionId] | None:
    """
    The only regions in which a request of this route and organisation may be served; None if it may
    be served in any region. The set is empty if the route and the organisation have no region in
    common; the request may then be served nowhere.

    """
    if organisation is None or not organisation.regions:
        return route.regions or None
    if not route.regions:
        return organisation.regions
    return route.regions & organisation.regions


def unknown_regions(document: Document, known: Iterable[RegionId]) -> list[RegionId]:
    """
    The regions that routes and organisations of a document name and that are not in `known`, in
    alphabetical order.

    """
    named: set[RegionId] = set()
    for route in document.routes:
        named |= route.regions
    for organisation in document.organisations or ():
        named |= organisation.regions
    return sorted(named.difference(known))
