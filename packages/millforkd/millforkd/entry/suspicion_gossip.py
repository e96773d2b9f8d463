"""
Gossip between the entries of a listed fleet (one whose instances the platform lists) about requests
that are suspected of crashing back ends.

Each entry sends new suspicions to a few other entries, which forward the suspicions that they did
not know. A starting entry asks some other entries for their suspicions.

"""

from typing import Final

import curio
import msgspec

from millfork_core.environment import Environment
from millfork_core.ids import Fingerprint, InstanceId
from millfork_core.logs import Component, logger
from millfork_registry.suspicion_store import SuspicionStore
from millfork_registry.suspicions import decode_suspicions, encode_suspicions
from millfork_state.roster import Roster
from millfork_wire.connection import Connection, PeerError
from millfork_wire.messages import AskSuspicions, Done, SuspicionReport
from millfork_wire.peers import PeerAddress, Peers

# Timeout of a report of suspicions, including the reply. The report may cross two regions.
REPORT_TIMEOUT_S: Final = 0.3
# Delay before a report that was not accepted is sent again.
RESEND_INTERVAL_S: Final = 0.5
# A starting entry asks at most this many other entries for their suspicions.
MAX_ENTRIES_ASKED: Final = 3
# A starting entry waits this long for the suspicions of the entries that it asked, and serves
# callers afterwards even if none answered.
QUERY_TIMEOUT_S: Final = 1.0
ROSTER_POLL_INTERVAL_S: Final = 0.05

log = logger(Component.ENTRY)


def gossip_targets(entries: list[InstanceId], instance: InstanceId) -> list[InstanceId]:
    """
    Return the entries that the entry `instance` reports to: those 1, 2, 4, ... places after it in
    `entries`, a list that is the same at all entries. Each of N entries reports to log2(N) others,
    and a report reaches all entries in log2(N) steps (both rounded up). An entry that isn't in the
    list reports to the first entry of the list.

    """
    if instance not in entries:
        return entries[:1]
    position = entries.index(instance)
    targets = []
    step = 1
    while step < len(entries):
        targets.append(entries[(position + step) % len(entries)])
        step *= 2
    return targets


class SuspicionGossip:
    """
    Sends the suspicions of this entry to other entries and merges those received from them.

    """

    def __init__(
        self, env: Environment, peers: Peers, roster: Roster, suspicion_store: SuspicionStore
    ) -> None:
        self.env = env
        self.peers = peers
        self.roster = roster
        self.suspicion_store = suspicion_store
        # Set once the query to other entries at the start is over: each entry asked has answered,
        # was unreachable or timed out.
        self.has_asked_others = False
        # By receiving entry: fingerprints of the suspicions that it has not accepted yet.
        self.undelivered: dict[InstanceId, set[Fingerprint]] = {}
        self.sending_to: set[InstanceId] = set()

    async def run(self) -> None:
        """
        Ask other entries for their suspicions, then send new suspicions as they appear.

        """
        await self._ask_others()
        while True:
            await self.suspicion_store.unsent_event.wait()
            self.suspicion_store.unsent_event.clear()
            unsent = set(self.suspicion_store.unsent)
            self.suspicion_store.unsent.clear()
            entries = [facts.instance for facts in self.roster.all_entries()]
            for target in gossip_targets(entries, self.env.instance):
                self.undelivered.setdefault(target, set()).update(unsent)
                if target not in self.sending_to:
                    self.sending_to.add(target)
                    await self.env.spawn(self._send_until_accepted, target)

    # Sending.

    async def _send_until_accepted(self, target: InstanceId) -> None:
        try:
            while self.undelivered.get(target):
                address = self.roster.address(target)
                if address is None:
                    del self.undelivered[target]
                    return
                if not await self._send_report(address):
                    await curio.sleep(RESEND_INTERVAL_S)
        finally:
            self.sending_to.discard(target)

    async def _send_report(self, address: PeerAddress) -> bool:
        fingerprints = self.undelivered.pop(address.instance)
        body = encode_suspicions(
            [self.suspicion_store.get(fingerprint) for fingerprint in fingerprints]
        )
        try:
            reply = await self.peers.call(address, SuspicionReport(body), REPORT_TIMEOUT_S)
        except PeerError as error:
            log.info('Could not send suspicions to {}: {}.', address.instance, error)
            reply = None
        if isinstance(reply, Done) and reply.ok:
            return True
        self.undelivered.setdefault(address.instance, set()).update(fingerprints)
        return False

    async def apply_report(self, connection: Connection, message: SuspicionReport) -> Done:
        """
        Merge another entry's suspicions and forward those that were new to this entry. The reply
        says whether the report could be decoded.

        """
        return Done(await self._merge_report(str(connection.peer), message))

    async def _merge_report(self, sender: str, message: SuspicionReport) -> bool:
        try:
            received = decode_suspicions(message.body)
        except msgspec.DecodeError as error:
            log.warning('Could not decode the suspicions from {}: {}.', sender, error)
            return False
        for fingerprint in await self.suspicion_store.merge(received):
            await self.suspicion_store.mark_unsent(fingerprint)
        return True

    # Asking others at the start.

    def list_suspicions(self) -> SuspicionReport:
        """
        Return all suspicions except the private ones (not sent to other entries yet), as the reply
        to a starting entry.

        """
        return SuspicionReport(encode_suspicions(self.suspicion_store.published()))

    async def _ask_others(self) -> None:
        while self.roster.version < 0:
            await curio.sleep(ROSTER_POLL_INTERVAL_S)
        others = [f for f in self.roster.all_entries() if f.instance != self.env.instance]
        asked = self.env.random.sample(others, min(MAX_ENTRIES_ASKED, len(others)))
        try:
            async with curio.timeout_after(QUERY_TIMEOUT_S), curio.TaskGroup() as group:
                for facts in asked:
                    address = PeerAddress(facts.instance, facts.host, facts.port)
                    await group.spawn(self._ask, address)
        except curio.TaskTimeout:
            log.info('Not all entries sent their suspicions in time. asked={}', len(asked))
        self.has_asked_others = True

    async def _ask(self, address: PeerAddress) -> None:
        try:
            reply = await self.peers.call(address, AskSuspicions(), QUERY_TIMEOUT_S)
        except PeerError as error:
            log.info('Could not fetch suspicions from {}: {}.', address.instance, error)
            return
        if isinstance(reply, SuspicionReport):
            await self._merge_report(str(address.instance), reply)
