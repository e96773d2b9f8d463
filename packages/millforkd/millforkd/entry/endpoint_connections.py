"""
An entry's connections to endpoints and the load that the endpoints report.

"""

from collections.abc import Awaitable, Callable
from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId
from millfork_core.logs import Component, logger
from millfork_core.ranks import rank
from millfork_routing.balance import Backend
from millfork_state.config import InstanceFacts
from millfork_state.roster import Roster
from millfork_state.selection import deployments, select_endpoints
from millfork_state.view import View
from millfork_wire.connection import Connection, PeerError, PeerLost
from millfork_wire.messages import Leaving, Load
from millfork_wire.peers import PeerAddress, Peers

CONNECT_INTERVAL_S: Final = 0.5
# For each service or deployment, an entry connects to at least `subset` / REMOTE_DIVISOR endpoints
# of other zones (rounded down), if there are as many.
REMOTE_DIVISOR: Final = 4

log = logger(Component.ENTRY)


class EndpointConnections:
    """
    Keeps connections to the endpoints that this entry uses, and the latest load report of each.
    `subset` limits how many endpoints are used for each service or deployment (see `_subset`).

    """

    def __init__(
        self,
        env: Environment,
        view: View,
        roster: Roster,
        peers: Peers,
        subset: int,
    ) -> None:
        self.env = env
        self.view = view
        self.roster = roster
        self.peers = peers
        self.subset = subset
        self.backends: dict[InstanceId, Backend] = {}
        self.connections: dict[InstanceId, Connection] = {}
        self.dialling: set[InstanceId] = set()
        self.notified_leaving: set[InstanceId] = set()
        # Called after each new connection, with the id of the endpoint and the start of its process
        # (ns since 1970).
        self.endpoint_reached_hooks: list[Callable[[InstanceId, int], Awaitable[None]]] = []
        self.all_dialled = False
        self.targets_computed_from: tuple[object, int] | None = None
        self.targets: list[InstanceFacts] = []

    async def run(self) -> None:
        """
        Connect to the endpoints that this entry uses, reconnect when a connection is lost, and
        notify endpoints that are listed as leaving.

        """
        while True:
            for facts in self._connection_targets():
                if facts.instance in self.connections or facts.instance in self.dialling:
                    continue
                self.dialling.add(facts.instance)
                await self.env.spawn(self._dial, facts)
            await self._notify_leaving_endpoints()
            self._check_all_dialled()
            self.roster.changed.clear()
            try:
                async with curio.timeout_after(CONNECT_INTERVAL_S):
                    await self.roster.changed.wait()
            except curio.TaskTimeout:
                pass

    def _check_all_dialled(self) -> None:
        """
        Set `all_dialled` once the list of instances is known and no connection attempt is in
        progress, whether or not the attempts succeeded.

        """
        if self.roster.version >= 0 and not self.dialling:
            self.all_dialled = True

    def _connection_targets(self) -> list[InstanceFacts]:
        """
        Return the endpoints to connect to. The result is computed again only after a change of
        the configuration or of the list of instances.

        """
        targets_computed_from = (self.view.position, self.roster.version)
        if targets_computed_from != self.targets_computed_from:
            self.targets_computed_from = targets_computed_from
            self.targets = self._choose_targets()
        return self.targets

    def _choose_targets(self) -> list[InstanceFacts]:
        groups: list[list[InstanceFacts]] = []
        for name, deployment in deployments(self.view).items():
            groups.append(select_endpoints(self.view, self.roster, name, deployment))
        services: dict[str, list[InstanceFacts]] = {}
        for facts in self.roster.endpoints():
            services.setdefault(facts.service, []).append(facts)
        groups.extend(services.values())
        targets: dict[InstanceId, InstanceFacts] = {}
        for group in groups:
            targets.update({facts.instance: facts for facts in self._subset(group)})
        return list(targets.values())

    def _subset(self, group: list[InstanceFacts]) -> list[InstanceFacts]:
        """
        Return up to `subset` endpoints of this zone, and endpoints of other zones: as many as are
        missing from `subset`, and at least `subset` // REMOTE_DIVISOR, which take over when the
        endpoints of this zone are full. The endpoints' ranks for this entry never change, so the
        choice is stable.

        """
        ranked = sorted(group, key=lambda facts: self._rank(facts.instance))
        local = [facts for facts in ranked if facts.zone == self.env.zone][: self.subset]
        remote = [facts for facts in ranked if facts.zone != self.env.zone]
        remote_count = max(self.subset - len(local), self.subset // REMOTE_DIVISOR)
        return [*local, *remote[:remote_count]]

    def _rank(self, instance: InstanceId) -> int:
        return rank(self.env.instance, instance)

    async def _dial(self, facts: InstanceFacts) -> None:
        try:
            address = PeerAddress(facts.instance, facts.host, facts.port)
            connection = await self.peers.connect(address)
            load = await connection.call(Load(), 1.0)
        except PeerError:
            return
        finally:
            self.dialling.discard(facts.instance)
            self._check_all_dialled()
        if connection.closed or not isinstance(load, Load):
            return
        self.connections[facts.instance] = connection
        self.backends[facts.instance] = Backend(facts.instance, facts.zone)
        self.apply_load(connection, load)
        for hook in self.endpoint_reached_hooks:
            await hook(facts.instance, load.start)

    def apply_load(self, connection: Connection, load: Load) -> None:
        """
        Update the state of a connected endpoint from its load report.

        """
        backend = self.backends.get(connection.peer)
        if backend is None:
            return
        backend.apply_report(load.running + load.queued, load.limit)
        backend.start = load.start
        backend.served = {served.service: served.version for served in load.served}
        backend.leaving = load.leaving or self._is_listed_as_leaving(connection.peer)

    async def on_closed(self, connection: Connection) -> None:
        if self.connections.get(connection.peer) is connection:
            del self.connections[connection.peer]
            self.backends.pop(connection.peer, None)

    def _is_listed_as_leaving(self, instance: InstanceId) -> bool:
        facts = self.roster.instances.get(instance)
        return facts is not None and facts.leaving

    async def _notify_leaving_endpoints(self) -> None:
        """
        Stop using the endpoints that the platform lists as leaving, and notify each of them once.
        A notified endpoint refuses new requests of every entry, also of entries whose list of
        instances does not show yet that the endpoint is leaving.

        """
        for instance, connection in list(self.connections.items()):
            if not self._is_listed_as_leaving(instance):
                self.notified_leaving.discard(instance)
                continue
            backend = self.backends.get(instance)
            if backend is not None:
                backend.leaving = True
            if instance in self.notified_leaving:
                continue
            try:
                await connection.notify(Leaving(instance))
                self.notified_leaving.add(instance)
            except PeerLost:
                continue

    def backends_serving(self, service: str) -> list[Backend]:
        """
        Return the connected endpoints that serve a service or deployment.

        """
        return [backend for backend in self.backends.values() if service in backend.served]
