"""
The route table: a configuration document with indexes for look-ups.

"""

from millfork_core.ids import ServiceName
from millfork_routing.documents import Document, Organisation, Route, Service


class RouteTable:
    """
    The current configuration document, indexed by service, API key and host.

    """

    def __init__(self, document: Document) -> None:
        self.document = document
        self.services: dict[ServiceName, Service] = {
            service.name: service for service in document.services
        }
        self.organisations_by_key: dict[str, Organisation] = {
            key: organisation
            for organisation in document.organisations or ()
            for key in organisation.keys
        }
        self.by_host: dict[str, list[Route]] = {}
        for route in document.routes:
            self.by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self.by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    @property
    def version(self) -> int:
        return self.document.version

    @property
    def needs_keys(self) -> bool:
        return self.document.organisations is not None

    def find(self, host: str, path: str) -> Route | None:
        """
        The route of a request: of the routes of its host, the one with the longest matching path
        prefix. None if no route matches.

        """
        name = host.lower()
        routes = self.by_host.get(name) or self.by_host.get(name.partition(':')[0], [])
        for route in routes:
            if path.startswith(route.prefix):
                return route
        return None

    def organisation_of_key(self, key: str) -> Organisation | None:
        """
        The organisation that an API key belongs to; None if the key is unknown.

        """
        return self.organisations_by_key.get(key)


def pick_service(route: Route, random_number: float) -> ServiceName:
    """
    Choose the service of one request by the weights of its route; `random_number` is uniform
    in [0, 1).

    """
    total = sum(share.weight for share in route.shares)
    point = random_number * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service


def priority_of(route: Route, organisation: Organisation | None) -> int:
    """
    The rank of a request (0 is served first): that of its organisation if set, else of its route.

    """
    if organisation is not None and organisation.priority is not None:
        return organisation.priority
    return route.priority
