"""
The endpoints that an entry keeps up with.

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

UPKEEP_S: Final = 0.5
REMOTE_SHARE: Final = 4

log = logger(Component.ENTRY)


class EndpointBook:
    """
    Connections to a subset of endpoints and what each reported last.

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
        self.told_leaving: set[InstanceId] = set()
        # Told of each endpoint that was reached, and when its process started.
        self.connected_hooks: list[Callable[[InstanceId, int], Awaitable[None]]] = []
        self.settled = False
        self.basis: tuple[object, int] | None = None
        self.wanted: list[InstanceFacts] = []

    async def keep(self) -> None:
        """
        The task that keeps the connections and passes on who is leaving.

        """
        while True:
            for facts in self._wanted():
                if facts.instance in self.connections or facts.instance in self.dialling:
                    continue
                self.dialling.add(facts.instance)
                await self.env.spawn(self._dial, facts)
            await self._pass_on_leaving()
            self._note_settled()
            self.roster.changed.clear()
            try:
                async with curio.timeout_after(UPKEEP_S):
                    await self.roster.changed.wait()
            except curio.TaskTimeout:
                pass

    def _note_settled(self) -> None:
        """
        Once every endpoint was dialled, this entry knows whom it can ask.

        """
        if self.roster.version >= 0 and not self.dialling:
            self.settled = True

    def _wanted(self) -> list[InstanceFacts]:
        """
        The endpoints to keep up with, worked out anew only when the
        configuration or the list has changed.

        """
        basis = (self.view.position, self.roster.version)
        if basis != self.basis:
            self.basis = basis
            self.wanted = self._choose_wanted()
        return self.wanted

    def _choose_wanted(self) -> list[InstanceFacts]:
        groups: list[list[InstanceFacts]] = []
        for name, deployment in deployments(self.view).items():
            groups.append(select_endpoints(self.view, self.roster, name, deployment))
        services: dict[str, list[InstanceFacts]] = {}
        for facts in self.roster.endpoints():
            services.setdefault(facts.service, []).append(facts)
        groups.extend(services.values())
        wanted: dict[InstanceId, InstanceFacts] = {}
        for group in groups:
            wanted.update({facts.instance: facts for facts in self._subset(group)})
        return list(wanted.values())

    def _subset(self, group: list[InstanceFacts]) -> list[InstanceFacts]:
        """
        A stable choice of the group: this zone's first, then enough of the
        others to spill over to.

        """
        ranked = sorted(group, key=lambda facts: self._rank(facts.instance))
        local = [facts for facts in ranked if facts.zone == self.env.zone][: self.subset]
        remote = [facts for facts in ranked if facts.zone != self.env.zone]
        room = max(self.subset - len(local), self.subset // REMOTE_SHARE)
        return [*local, *remote[:room]]

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
            self._note_settled()
        if connection.closed or not isinstance(load, Load):
            return
        self.connections[facts.instance] = connection
        self.backends[facts.instance] = Backend(facts.instance, facts.zone)
        self.on_load(connection, load)
        for hook in self.connected_hooks:
            await hook(facts.instance, load.start)

    def on_load(self, connection: Connection, load: Load) -> None:
        """
        Take an endpoint's report.

        """
        backend = self.backends.get(connection.peer)
        if backend is None:
            return
        backend.apply_report(load.running + load.queued, load.limit)
        backend.start = load.start
        backend.served = {served.service: served.version for served in load.served}
        backend.leaving = load.leaving or self._listed_leaving(connection.peer)

    async def on_closed(self, connection: Connection) -> None:
        if self.connections.get(connection.peer) is connection:
            del self.connections[connection.peer]
            self.backends.pop(connection.peer, None)

    def _listed_leaving(self, instance: InstanceId) -> bool:
        facts = self.roster.instances.get(instance)
        return facts is not None and facts.leaving

    async def _pass_on_leaving(self) -> None:
        """
        Tell an endpoint that the platform lists it as leaving: it then
        refuses new work from every entry, also from one that the notice
        did not reach.

        """
        for instance, connection in list(self.connections.items()):
            if not self._listed_leaving(instance):
                self.told_leaving.discard(instance)
                continue
            backend = self.backends.get(instance)
            if backend is not None:
                backend.leaving = True
            if instance in self.told_leaving:
                continue
            try:
                await connection.notify(Leaving(instance))
                self.told_leaving.add(instance)
            except PeerLost:
                continue

    def serving(self, service: str) -> list[Backend]:
        """
        The connected endpoints that serve a service or deployment.

        """
        return [backend for backend in self.backends.values() if service in backend.served]
