"""
A process's connections in the distribution tree (see `distribution_tree`). Updates of the accepted
configuration go down the tree to every process, and reports of instances go up the tree.

"""

from enum import Enum
from typing import Final

import curio

from millfork_core.clocks import MAX_AGE_MS
from millfork_core.environment import Environment
from millfork_core.ids import NO_INSTANCE, ClusterId, InstanceId, Revision
from millfork_core.logs import Component, logger
from millfork_state.distribution_tree import candidates
from millfork_state.replica import Replica
from millfork_state.reports import Reports
from millfork_state.roster import Roster
from millfork_state.view import View
from millfork_wire.connection import Connection, PeerError, PeerLost
from millfork_wire.messages import AskRevision, RevisionIs, Subscribe, Update
from millfork_wire.messages import Reports as ReportsMessage
from millfork_wire.peers import PeerAddress, Peers

# A process sends its subscribers an update at least this often, even if nothing changed.
HEARTBEAT_S: Final = 2.0
# A process leaves its upstream (the peer that sends it updates) if no update has arrived for this
# time: one heartbeat interval plus a second for delays. A longer timeout delays changes if the link
# to the upstream stalls: with 5 s, checked every 2 s, a change was applied 6.5 s after it was
# accepted (tests/test_upstreams.py).
SILENCE_TIMEOUT_S: Final = 3.0
# The interval at which a process checks whether its upstream is silent or stale. A silent upstream
# is left up to one interval after SILENCE_TIMEOUT_S.
CHECK_INTERVAL_S: Final = 0.5
SUBSCRIBE_TIMEOUT_S: Final = 2.0
RETRY_DELAY_S: Final = 0.3
QUERY_TIMEOUT_S: Final = 1.0
# The configuration of a process without a replica is stale if the configuration's age (see
# `Subscription.age_ms`) is above this. Each of the tree's four levels adds at most one heartbeat
# interval to the age.
STALE_AGE_MS: Final = 10_000
# A replica's configuration is stale if its age is at least this. With the default settings, a
# replica gets a message from its leader every 0.5 s, and from a new leader after an election of at
# most 2.3 s.
# The limit is well below STALE_AGE_MS, so that a process leaves a stale replica before the
# process's own subscribers become stale and leave the process.
REPLICA_STALE_AGE_MS: Final = 3_000
# The interval at which a process looks for a peer that precedes its upstream in the order of
# `distribution_tree.candidates`. A process that started before its zone's entries follows a replica
# in another zone. That zone may be cut off from the leader while the process's own zone is not.
NEARER_CHECK_INTERVAL_S: Final = 10.0

log = logger(Component.SUBSCRIPTION)


class LeaveReason(Enum):
    """
    Why the process leaves its upstream. The value is the `event` label in `millfork_state_total`.

    """

    GONE = 'upstream_gone'
    NO_LONGER_LEADER = 'upstream_leads_no_longer'
    GAP = 'update_gap'
    SILENT = 'upstream_silent'
    STALE = 'upstream_stale'
    NEARER = 'nearer_upstream'


class Subscription:
    """
    This process's connections in the distribution tree: to one upstream, from which the process
    receives updates, and to the subscribers, to which the process sends updates.

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
        # The up-to-date peer for which the last upstream was left. This peer is tried first.
        self.preferred_upstream = NO_INSTANCE
        # The last upstream, if it was left as silent or stale. This peer is tried last, as it may
        # accept connections without answering.
        self.unresponsive_upstream = NO_INSTANCE
        self.next_nearer_check_at = 0.0
        self.next_fresher_check_at = 0.0
        # This process's replica, if it has one. A process with a replica takes the configuration
        # only from the replica's log, and follows the leader only to send reports.
        self.replica: Replica | None = None

    # Downstream.

    async def on_subscribe(self, connection: Connection, request: Subscribe) -> Update:
        """
        Return the first update for a new subscriber, and start a task that sends further updates
        while the subscriber is connected.

        """
        update = self.view.update_since(request.cluster, request.revision)
        update.age_ms = self.age_ms()
        await self.env.spawn(self._send_updates, connection, self.view.position)
        return update

    async def _send_updates(
        self, connection: Connection, position: tuple[ClusterId, Revision]
    ) -> None:
        sent_at = self.env.monotonic()
        try:
            while not connection.closed:
                await self.view.wait_for_change(position, HEARTBEAT_S)
                if await connection.wait_until_bulk_is_sent(HEARTBEAT_S):
                    sent_at = self.env.monotonic()
                    update = self.view.update_since(*position)
                    position = self.view.position
                    update.age_ms = self.age_ms()
                else:
                    # Later changes are sent together once the one on its way has arrived.
                    update = Update(position[0])
                    waited_ms = int((self.env.monotonic() - sent_at) * 1000)
                    update.age_ms = min(self.age_ms() + waited_ms, MAX_AGE_MS)
                await connection.notify(update)
        except PeerLost:
            pass

    def age_ms(self) -> int:
        """
        Milliseconds since this process's configuration was last known to be the leader's newest.

        """
        if self.replica is not None:
            return self.replica.age_ms()
        age_ms = self.upstream_age_ms + int((self.env.monotonic() - self.last_update_at) * 1000)
        return min(age_ms, MAX_AGE_MS)

    def on_ask_revision(self) -> RevisionIs:
        """
        The cluster and revision in force in this process, and the configuration's age.

        """
        return RevisionIs(self.view.cluster, self.view.revision, self.age_ms())

    # Upstream.

    async def follow(self) -> None:
        """
        The task that keeps this process subscribed to an upstream.

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
            # The configuration is stale, perhaps because processes with outdated instance lists
            # follow each other in a loop: try the replicas first.
            found.sort(key=lambda address: address not in self.replicas)
        found.sort(key=lambda address: address.instance == self.unresponsive_upstream)
        return sorted(found, key=lambda address: address.instance != self.preferred_upstream)

    async def _follow_upstream(self, address: PeerAddress) -> bool:
        # Set before the call, as updates may arrive before the reply.
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
        Send reports to the upstream until there is a reason to leave it, and return the reason.

        """
        last_sent = -1
        self.preferred_upstream = NO_INSTANCE
        self.next_nearer_check_at = self.env.monotonic() + NEARER_CHECK_INTERVAL_S
        self.next_fresher_check_at = 0.0
        while not connection.closed:
            if self.reports.last_arrival != last_sent:
                new_reports = self.reports.received_after(last_sent)
                last_sent = self.reports.last_arrival
                try:
                    await connection.notify(ReportsMessage(new_reports, self.view.revision))
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
            return LeaveReason.NO_LONGER_LEADER
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
        Whether to leave the upstream because the configuration is stale.

        An upstream that is a replica is left only for another replica that is up to date, which
        becomes `preferred_upstream`. If there is none, as in a zone that is cut off, the process
        keeps its upstream, and asks the other replicas again after `HEARTBEAT_S`.

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
            # The upstream became up to date again while the others were queried.
            return False
        self.preferred_upstream = found
        return found != NO_INSTANCE

    async def _finds_nearer(self) -> bool:
        """
        Whether a peer that precedes the present upstream in the order of `candidates` is up to
        date. The first such peer becomes `preferred_upstream`. Between checks, which are
        `NEARER_CHECK_INTERVAL_S` apart, returns False.

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
        The first of `addresses` that is up to date, or NO_INSTANCE. All are queried concurrently,
        as a query to a silent peer takes the full timeout.

        """
        async with curio.TaskGroup() as group:
            tasks = [await group.spawn(self._is_current, address) for address in addresses]
        for address, task in zip(addresses, tasks, strict=True):
            if task.result:
                return address.instance
        return NO_INSTANCE

    async def _is_current(self, address: PeerAddress) -> bool:
        """
        Whether a peer answers that its configuration is of this cluster and not stale.

        """
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
        Apply an update from the upstream if it is newer than the view, and set `has_gap` if updates
        before it were lost. A process with a replica records only when the update arrived and the
        age of the upstream's configuration. Updates from other peers are ignored.

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
            # Updates were lost if the delta starts after the view's revision, or if the view has
            # had no full update yet.
            self.has_gap = not self.view.cluster or update.from_revision > self.view.revision
            if self.has_gap:
                await self.reports.changed.set()
            return
        self.env.metrics.revision.set({}, self.view.revision)
        await self.view.notify_waiters()

    # The minimum revision, below which this process doesn't serve.

    async def query_min_revision(self) -> None:
        """
        Set `min_revision` to the newest revision at the zone's other entries, so that this process
        doesn't serve from an older revision. Entries that don't answer are ignored.

        """
        others = [f for f in self.roster.entries(self.env.zone) if f.instance != self.env.instance]
        async with curio.TaskGroup() as group:
            for facts in others:
                address = PeerAddress(facts.instance, facts.host, facts.port)
                await group.spawn(self._revision_or_zero, address)
        answers = [task.result for task in group.tasks if not task.exception]
        self.min_revision = max([0, *answers])
        log.info('The newest revision in this zone is {}.', self.min_revision)

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
            log.debug('{} did not answer with its revision: {}.', address.instance, error)
            return None
        return reply if isinstance(reply, RevisionIs) else None

    @property
    def has_min_revision(self) -> bool:
        return self.view.revision >= self.min_revision
