"""
How accepted configuration reaches every process: up and down the tree.

"""

from enum import Enum
from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.ids import NO_INSTANCE, ClusterId, InstanceId, Revision
from millfork_core.logs import Part, logger
from millfork_state.distribution_tree import candidates
from millfork_state.replica import MAX_AGE_MS, Replica
from millfork_state.reports import Reports
from millfork_state.roster import Roster
from millfork_state.view import View
from millfork_wire.connection import Connection, PeerError, PeerLost
from millfork_wire.messages import AskRevision, RevisionIs, Subscribe, Update
from millfork_wire.messages import Reports as ReportsMessage
from millfork_wire.peers import PeerAddress, Peers

HEARTBEAT_S: Final = 2.0
# One heartbeat and a second for its way: with five seconds, looked for every two, a
# change was in force 6.5 s after it was accepted where an upstream's link stood still
# (tests/test_upstreams.py).
SILENCE_TIMEOUT_S: Final = 3.0
# Silence and age are looked for this often; it adds to the time above.
CHECK_INTERVAL_S: Final = 0.5
SUBSCRIBE_TIMEOUT_S: Final = 2.0
RETRY_DELAY_S: Final = 0.3
QUERY_TIMEOUT_S: Final = 1.0
# Four levels of a tree add a heartbeat each to the age of the leader's word.
STALE_AGE_MS: Final = 10_000
# A replica hears its leader every 0.5 s, and another one after an election of 2.3 s at
# most by the settings' defaults. Those who follow it look elsewhere well before the
# rest of their tree counts as stale, so that the tree stays whole below them.
REPLICA_STALE_AGE_MS: Final = 3_000
# A process that started before its zone's entries did follows another zone's
# replica. It looks this often whether a better place in the tree is to be had: a
# far replica may be cut off from the leader where the own zone is not.
NEARER_CHECK_INTERVAL_S: Final = 10.0

log = logger(Part.SUBSCRIPTION)


class LeaveReason(Enum):
    """
    Why an upstream is left; the value is the event that is counted.

    """

    GONE = 'upstream_gone'
    LEADS_NO_LONGER = 'upstream_leads_no_longer'
    GAP = 'update_gap'
    SILENT = 'upstream_silent'
    STALE = 'upstream_stale'
    NEARER = 'nearer_upstream'


class Subscription:
    """
    This process's place in the tree: one upstream, some subscribers.

    """

    def __init__(
        self,
        env: Environment,
        view: View,
        roster: Roster,
        peers: Peers,
        replicas: list[PeerAddress],
        reports: Reports,
    ) -> None:
        self.env = env
        self.view = view
        self.roster = roster
        self.peers = peers
        self.replicas = replicas
        self.reports = reports
        self.upstream: InstanceId | None = None
        self.last_update_at = 0.0
        self.upstream_age_ms = 0
        self.min_revision = 0
        self.has_gap = False
        # Found in touch with the leader when the last upstream was left for it.
        self.preferred_upstream = NO_INSTANCE
        # The last upstream, if it was silent or stale: asked last, as its connection
        # may stand open without an answer.
        self.unresponsive_upstream = NO_INSTANCE
        self.next_nearer_check_at = 0.0
        self.next_fresher_check_at = 0.0
        # Set on a replica: it learns configuration from its log alone, and
        # follows the leader only to report.
        self.replica: Replica | None = None

    # Downstream.

    async def on_subscribe(self, connection: Connection, request: Subscribe) -> Update:
        """
        Answer a new subscriber and feed it for as long as it is connected.

        """
        update = self.view.update_since(request.cluster, request.revision)
        update.age_ms = self.age_ms()
        await self.env.spawn(self._feed, connection, self.view.position)
        return update

    async def _feed(self, connection: Connection, mark: tuple[ClusterId, Revision]) -> None:
        try:
            while not connection.closed:
                await self.view.wait_for_change(mark, HEARTBEAT_S)
                update = self.view.update_since(*mark)
                mark = self.view.position
                update.age_ms = self.age_ms()
                await connection.notify(update)
        except PeerLost:
            pass

    def age_ms(self) -> int:
        """
        How long ago the leader's word was this configuration, in ms.

        """
        if self.replica is not None:
            return self.replica.age_ms()
        age_ms = self.upstream_age_ms + int((self.env.monotonic() - self.last_update_at) * 1000)
        return min(age_ms, MAX_AGE_MS)

    def on_ask_revision(self) -> RevisionIs:
        """
        Tell what is in force here, and how old the leader's word is.

        """
        return RevisionIs(self.view.cluster, self.view.revision, self.age_ms())

    # Upstream.

    async def follow(self) -> None:
        """
        The task that keeps an upstream.

        """
        while True:
            for address in self._candidates_to_try():
                if await self._follow_upstream(address):
                    break
            await curio.sleep(RETRY_DELAY_S)

    def _ordered_candidates(self) -> list[PeerAddress]:
        if self.replica is not None:
            return [a for a in self.replica.others if a.instance == self.replica.leader]
        return candidates(self.roster, self.replicas, self.env.instance, self.env.zone)

    def _candidates_to_try(self) -> list[PeerAddress]:
        found = self._ordered_candidates()
        if self.replica is None and self.last_update_at and self.age_ms() > STALE_AGE_MS:
            # A stale tree, perhaps a loop of old lists: ask the replicas first.
            found.sort(key=lambda address: address not in self.replicas)
        found.sort(key=lambda address: address.instance == self.unresponsive_upstream)
        return sorted(found, key=lambda address: address.instance != self.preferred_upstream)

    async def _follow_upstream(self, address: PeerAddress) -> bool:
        # Set first: updates may overtake the reply.
        self.upstream = address.instance
        self.has_gap = False
        try:
            connection = await self.peers.connect(address)
            request = Subscribe(self.view.cluster, self.view.revision)
            reply = await connection.call(request, SUBSCRIBE_TIMEOUT_S)
        except PeerError:
            self.upstream = None
            return False
        if not isinstance(reply, Update):
            self.upstream = None
            return False
        await self.on_update(connection, reply)
        log.info('Following {} at revision {}.', address.instance, self.view.revision)
        reason = await self._report_until_leaving(connection)
        self._leave(address, reason)
        return True

    def _leave(self, address: PeerAddress, reason: LeaveReason) -> None:
        self.env.metrics.count(self.env.metrics.state, event=reason.value)
        log.info(
            'Left {}: {}. silent_s={:.2f} heard_age_ms={} revision={} next={}',
            address.instance,
            reason.value,
            self.env.monotonic() - self.last_update_at,
            self.upstream_age_ms,
            self.view.revision,
            self.preferred_upstream,
        )
        is_avoided = reason in (LeaveReason.SILENT, LeaveReason.STALE)
        self.unresponsive_upstream = address.instance if is_avoided else NO_INSTANCE
        self.upstream = None

    async def _report_until_leaving(self, connection: Connection) -> LeaveReason:
        """
        Report upwards until there is a reason to leave the upstream.

        """
        sent = -1
        self.preferred_upstream = NO_INSTANCE
        self.next_nearer_check_at = self.env.monotonic() + NEARER_CHECK_INTERVAL_S
        self.next_fresher_check_at = 0.0
        while not connection.closed:
            if self.reports.last_arrival != sent:
                news = self.reports.received_after(sent)
                sent = self.reports.last_arrival
                try:
                    await connection.notify(ReportsMessage(news, self.view.revision))
                except PeerLost:
                    return LeaveReason.GONE
            self.reports.changed.clear()
            try:
                async with curio.timeout_after(CHECK_INTERVAL_S):
                    await self.reports.changed.wait()
            except curio.TaskTimeout:
                pass
            reason = await self._reason_to_leave()
            if reason is not None:
                return reason
        return LeaveReason.GONE

    async def _reason_to_leave(self) -> LeaveReason | None:
        if self.replica is not None and self.replica.leader != self.upstream:
            return LeaveReason.LEADS_NO_LONGER
        if self.has_gap:
            return LeaveReason.GAP
        if self.env.monotonic() - self.last_update_at > SILENCE_TIMEOUT_S:
            return LeaveReason.SILENT
        if await self._is_stale():
            return LeaveReason.STALE
        if await self._finds_nearer():
            return LeaveReason.NEARER
        return None

    async def _is_stale(self) -> bool:
        """
        Whether the leader's word comes late, and may come earlier elsewhere.

        A replica is left only for another one that hears the leader: where none does,
        as in a zone that is cut off, its tree stays as it is.

        """
        if not self._upstream_is_replica():
            return self.age_ms() > STALE_AGE_MS
        now = self.env.monotonic()
        if self.replica is not None or self.upstream_age_ms < REPLICA_STALE_AGE_MS:
            return False
        if now < self.next_fresher_check_at:
            return False
        others = [a for a in self._ordered_candidates() if self._is_replica(a.instance)]
        others = [a for a in others if a.instance != self.upstream]
        found = await self._first_current(others)
        self.next_fresher_check_at = self.env.monotonic() + HEARTBEAT_S
        if self.upstream_age_ms < REPLICA_STALE_AGE_MS:
            # Its link healed while the others were asked.
            return False
        self.preferred_upstream = found
        return found != NO_INSTANCE

    async def _finds_nearer(self) -> bool:
        """
        Whether a candidate before the present upstream is in touch with the leader.

        """
        if self.env.monotonic() < self.next_nearer_check_at:
            return False
        nearer = []
        for address in self._ordered_candidates():
            if address.instance == self.upstream:
                break
            nearer.append(address)
        self.preferred_upstream = await self._first_current(nearer)
        self.next_nearer_check_at = self.env.monotonic() + NEARER_CHECK_INTERVAL_S
        return self.preferred_upstream != NO_INSTANCE

    async def _first_current(self, addresses: list[PeerAddress]) -> InstanceId:
        """
        Ask all at once, as each that is silent costs its time-outs.

        """
        async with curio.TaskGroup() as group:
            tasks = [await group.spawn(self._is_current, address) for address in addresses]
        for address, task in zip(addresses, tasks, strict=True):
            if task.result:
                return address.instance
        return NO_INSTANCE

    async def _is_current(self, address: PeerAddress) -> bool:
        reply = await self._query_revision(address)
        if reply is None or reply.cluster != self.view.cluster:
            return False
        limit_ms = REPLICA_STALE_AGE_MS if self._is_replica(address.instance) else STALE_AGE_MS
        return reply.age_ms < limit_ms

    def _is_replica(self, instance: InstanceId | None) -> bool:
        return any(address.instance == instance for address in self.replicas)

    def _upstream_is_replica(self) -> bool:
        return self._is_replica(self.upstream)

    async def on_update(self, connection: Connection, update: Update) -> None:
        """
        Take what the upstream sent, if it is a step forward.

        """
        if connection.peer != self.upstream:
            return
        self.last_update_at = self.env.monotonic()
        self.upstream_age_ms = update.age_ms
        if self.replica is not None:
            return
        if update.revision == self.view.revision and update.cluster == self.view.cluster:
            return
        if not self.view.apply_update(update):
            self.env.metrics.count(self.env.metrics.state, event='update_not_newer')
            # One that starts beyond this view: some were lost on the way.
            self.has_gap = not self.view.cluster or update.from_revision > self.view.revision
            if self.has_gap:
                await self.reports.changed.set()
            return
        self.env.metrics.revision.set({}, self.view.revision)
        await self.view.notify_waiters()

    # Before serving.

    async def query_min_revision(self) -> None:
        """
        Ask the zone's entries which revision they have seen, so that this
        process does not serve from an older one.

        """
        asked = [f for f in self.roster.entries(self.env.zone) if f.instance != self.env.instance]
        async with curio.TaskGroup() as group:
            for facts in asked:
                address = PeerAddress(facts.instance, facts.host, facts.port)
                await group.spawn(self._revision_or_zero, address)
        answers = [task.result for task in group.tasks if not task.exception]
        self.min_revision = max([0, *answers])
        log.info('The zone has seen revision {}.', self.min_revision)

    async def _revision_or_zero(self, address: PeerAddress) -> int:
        reply = await self._query_revision(address)
        if reply is None:
            self.env.metrics.count(self.env.metrics.state, event='floor_unanswered')
            return 0
        return reply.revision

    async def _query_revision(self, address: PeerAddress) -> RevisionIs | None:
        try:
            reply = await self.peers.call(address, AskRevision(), QUERY_TIMEOUT_S)
        except PeerError as error:
            log.debug('{} does not tell its revision: {}.', address.instance, error)
            return None
        return reply if isinstance(reply, RevisionIs) else None

    @property
    def has_min_revision(self) -> bool:
        return self.view.revision >= self.min_revision
