"""
How the entries of a fleet with a list of instances share what they know of requests under
which back ends ended.

Each tells a few others, who pass on what is new to them; an entry that starts asks some.

"""

from typing import Final

import curio
import msgspec

from millfork_core.environment import Environment
from millfork_core.ids import Fingerprint, InstanceId
from millfork_core.logs import Component, logger
from millfork_registry.suspicion_store import SuspicionStore, decode_suspicions, encode_suspicions
from millfork_state.roster import Roster
from millfork_wire.connection import Connection, PeerError
from millfork_wire.messages import AskSuspicions, Done, SuspicionReport
from millfork_wire.peers import PeerAddress, Peers

# A report may cross two regions.
TELL_TIMEOUT_S: Final = 0.3
# What was not taken is told again this much later.
AGAIN_S: Final = 0.5
# An entry that starts asks so many others, and serves after this time without an answer.
ASKED: Final = 3
LEARN_WITHIN_S: Final = 1.0
ROSTER_POLL_S: Final = 0.05

log = logger(Component.ENTRY)


def told_by(order: list[InstanceId], instance: InstanceId) -> list[InstanceId]:
    """
    Whom an entry tells: those that stand 1, 2, 4, ... places after it in an order that all
    compute alike. Of N entries each tells log N, and hears within log N steps.

    """
    if instance not in order:
        return order[:1]
    place = order.index(instance)
    found = []
    step = 1
    while step < len(order):
        found.append(order[(place + step) % len(order)])
        step *= 2
    return found


class SuspicionSpreading:
    """
    One entry's part in that.

    """

    def __init__(
        self, env: Environment, peers: Peers, roster: Roster, suspects: SuspicionStore
    ) -> None:
        self.env = env
        self.peers = peers
        self.roster = roster
        self.suspects = suspects
        # Whether others were asked what they know.
        self.learned = False
        # What each of the others has not taken yet.
        self.owed: dict[InstanceId, set[Fingerprint]] = {}
        self.telling: set[InstanceId] = set()

    async def keep(self) -> None:
        """
        The task that learns what others know, and tells what is new here.

        """
        await self._learn()
        while True:
            await self.suspects.unsent_event.wait()
            self.suspects.unsent_event.clear()
            told = set(self.suspects.unsent)
            self.suspects.unsent.clear()
            order = [facts.instance for facts in self.roster.all_entries()]
            for name in told_by(order, self.env.instance):
                self.owed.setdefault(name, set()).update(told)
                if name not in self.telling:
                    self.telling.add(name)
                    await self.env.spawn(self._keep_telling, name)

    # Telling.

    async def _keep_telling(self, name: InstanceId) -> None:
        try:
            while self.owed.get(name):
                address = self.roster.address(name)
                if address is None:
                    del self.owed[name]
                    return
                if not await self._tell(address):
                    await curio.sleep(AGAIN_S)
        finally:
            self.telling.discard(name)

    async def _tell(self, address: PeerAddress) -> bool:
        told = self.owed.pop(address.instance)
        body = encode_suspicions([self.suspects.get(fingerprint) for fingerprint in told])
        try:
            reply = await self.peers.call(address, SuspicionReport(body), TELL_TIMEOUT_S)
        except PeerError as error:
            log.info('Suspicions not told to {}: {}.', address.instance, error)
            reply = None
        if isinstance(reply, Done) and reply.ok:
            return True
        self.owed.setdefault(address.instance, set()).update(told)
        return False

    async def on_report(self, connection: Connection, message: SuspicionReport) -> Done:
        """
        Take what another entry knows, and pass on what is new.

        """
        return Done(await self._hear(str(connection.peer), message))

    async def _hear(self, name: str, message: SuspicionReport) -> bool:
        try:
            told = decode_suspicions(message.body)
        except msgspec.DecodeError as error:
            log.warning('Suspicions of {} can not be read: {}.', name, error)
            return False
        for fingerprint in await self.suspects.merge(told):
            await self.suspects.mark_unsent(fingerprint)
        return True

    # Learning.

    def on_ask(self) -> SuspicionReport:
        """
        Tell all to an entry that starts.

        """
        return SuspicionReport(encode_suspicions(self.suspects.published()))

    async def _learn(self) -> None:
        while self.roster.version < 0:
            await curio.sleep(ROSTER_POLL_S)
        others = [f for f in self.roster.all_entries() if f.instance != self.env.instance]
        asked = self.env.random.sample(others, min(ASKED, len(others)))
        try:
            async with curio.timeout_after(LEARN_WITHIN_S), curio.TaskGroup() as group:
                for facts in asked:
                    address = PeerAddress(facts.instance, facts.host, facts.port)
                    await group.spawn(self._ask, address)
        except curio.TaskTimeout:
            log.info('Not all of those asked told what they suspect. asked={}', len(asked))
        self.learned = True

    async def _ask(self, address: PeerAddress) -> None:
        try:
            reply = await self.peers.call(address, AskSuspicions(), LEARN_WITHIN_S)
        except PeerError as error:
            log.info('{} does not tell what it suspects: {}.', address.instance, error)
            return
        if isinstance(reply, SuspicionReport):
            await self._hear(str(address.instance), reply)
