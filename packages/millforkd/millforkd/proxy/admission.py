"""
From a caller's request to a job: route, organisation, service, deadline.

"""

from typing import Final

from millfork_adapter.exchange import CallerRequest
from millfork_core.environment import Environment
from millfork_core.verdicts import Reason, Refusal, Refused
from millfork_routing.documents import Organisation, Route
from millfork_routing.routes import RouteTable, pick_service, priority_of
from millfork_routing.servers import Wanted
from millfork_web.server import Exchange
from millforkd.proxy.job import Job
from millforkd.proxy.versions import Versions

# A back end that answers at the last moment still needs the way back.
MIN_SENT_MS: Final = 20


class Admission:
    """
    Decides what a request is, by the document in force.

    """

    def __init__(self, env: Environment, versions: Versions) -> None:
        self.env = env
        self.versions = versions
        self.table: RouteTable | None = None

    def admit(self, exchange: Exchange, caller: CallerRequest) -> Job:
        """
        The job of a request.

        :raises Refused: if no document allows it.

        """
        table = self.table
        if table is None:
            raise Refused(Refusal(Reason.NOT_READY, detail='no document yet'))
        route = table.find(caller.host, caller.path)
        if route is None:
            raise Refused(Refusal(Reason.NOT_FOUND, detail='no route'))
        organisation = self._organisation(table, route, caller)
        name = pick_service(route, self.env.random.random())
        service = table.services[name]
        least = 0
        if service.engine is not None:
            least = self.versions.least(service.engine.model)
        began = self.env.monotonic()
        limit_ms = route.timeout_ms
        if caller.deadline_ms is not None:
            limit_ms = min(limit_ms, caller.deadline_ms)
        if limit_ms < MIN_SENT_MS:
            raise Refused(Refusal(Reason.EXPIRED, detail='no time is left'))
        return Job(
            exchange,
            caller,
            route,
            organisation,
            Wanted(name, service.engine, least),
            priority_of(route, organisation),
            began,
            began + limit_ms / 1000,
            table.version,
        )

    def _organisation(
        self, table: RouteTable, route: Route, caller: CallerRequest
    ) -> Organisation | None:
        if not table.needs_keys:
            return None
        holder = table.holder(caller.key)
        if holder is None and not route.public:
            raise Refused(Refusal(Reason.UNAUTHENTICATED, detail='unknown key'))
        return holder
