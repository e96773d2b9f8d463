"""
A follower's side of the feed: it chooses the replica to follow and applies the messages of that
replica's feed.

While a follower reaches no replica, it keeps using the last configuration and the last leases
that it received.

"""

from collections import deque
from typing import Final

import curio
import msgspec

from millfork_core.clocks import LONG_AGO, MAX_AGE_MS
from millfork_core.environment import Environment
from millfork_core.ids import NO_INSTANCE, InstanceId
from millfork_core.logs import Component, logger
from millfork_core.windows import ENTRIES_REMEMBERED_S, WindowMax
from millfork_registry.discovery import Discovery, address_of
from millfork_registry.records import decode_leases, decode_states
from millfork_registry.registry import Registry
from millfork_registry.replica_survey import ReplicaSurvey, SurveyAnswer
from millfork_registry.revision_times import RevisionTimes
from millfork_registry.suspicions import decode_suspicions
from millfork_registry.version_cutoffs import MS_PER_S, VersionCutoffs
from millfork_state.commands import decode_versioned
from millfork_state.keys import VERSION_PREFIX
from millfork_state.view import View
from millfork_wire.connection import Connection, PeerError, PeerLost
from millfork_wire.messages import (
    FindReplicas,
    Follow,
    Leases,
    Message,
    Replicas,
    Update,
    VersionSwitch,
)
from millfork_wire.peers import PeerAddress, Peers

# A follower leaves a replica that sends nothing for this long, which is more than six heartbeat
# periods of the feed.
SILENT_AFTER_S: Final = 1.0
# Timeout of a request to follow a replica.
FOLLOW_TIMEOUT_S: Final = 0.6
# How often the state of the followed replica is checked.
SOURCE_CHECK_PERIOD_S: Final = 0.25
# Pause before the follower tries the known replicas again.
RETRY_PAUSE_S: Final = 0.1
# How often the followed replica is asked for the replicas it knows and for the cutoffs of model
# versions (the times from which no request may begin on an older version).
REPLICA_QUERY_PERIOD_S: Final = 2.0
# A follower that lacks a cutoff asks for it at each check for this long, then only every
# `REPLICA_QUERY_PERIOD_S`. After a restart of the whole fleet no replica knows the cutoff, and all
# followers lack it.
CUTOFF_QUERY_S: Final = 2.0
# A follower of a replica in another zone checks this often for a replica in its own zone.
NEARER_CHECK_PERIOD_S: Final = 3.0
# A replica's configuration is stale if the replica was last known to have applied all committed
# log entries longer ago than this, for example because it has no contact with its leader. An
# election takes less time.
STALE_MS: Final = 1500

log = logger(Component.REGISTRY)


class FeedClient:
    """
    Follows one replica at a time, and applies the messages of that replica's feed.

    """

    def __init__(
        self,
        env: Environment,
        role: str,
        view: View,
        registry: Registry,
        peers: Peers,
        discovery: Discovery,
    ) -> None:
        self.env = env
        self.role = role
        self.view = view
        self.registry = registry
        self.peers = peers
        self.discovery = discovery
        self.survey = ReplicaSurvey(env, self._ask)
        # The followed replica, or the one followed last, and when its last message arrived
        # (monotonic seconds).
        self.source = NO_INSTANCE
        self.source_contact_at = 0.0
        # Age of the followed replica's configuration: the time since that replica was last known to
        # have applied all committed log entries.
        self.age_ms = 0
        # When this process last had all changes that the sender of the feed knew of, less the age
        # of the sender's configuration (monotonic seconds). A heartbeat may arrive before changes
        # that were sent earlier.
        self.current_at = LONG_AGO
        # The later revisions of this cluster that were heard of before their changes arrived, and
        # when each was first heard of (monotonic seconds).
        self.awaited_revisions: deque[tuple[int, float]] = deque()
        # Whether this process has ever had all changes that were acknowledged, as far as the sender
        # of the feed knew. After a restart of all replicas, what each of them has applied may lack
        # some until there is a leader.
        self.was_current = False
        # The number of entries (front proxies) that the followed replica knows now, and the
        # greatest number that this replica, or one that was followed before, knew in recent
        # minutes: a replica that lost its disk knows only the entries that follow it again.
        self.entries = 1
        self.peak_entries = 1
        self.told_entries = WindowMax(ENTRIES_REMEMBERED_S)
        # Whether any replica has reported the number of entries.
        self.entries_known = False
        # The follower that relays the feed while no replica can be reached, and the follower
        # that was last asked to relay the feed; empty if there is none.
        self.relay = ''
        self.pending_relay = ''
        self.version_cutoffs = VersionCutoffs()
        self.revision_times = RevisionTimes()
        # When the followed replica was last asked for the replicas it knows (monotonic seconds).
        self.replicas_asked_at = 0.0
        # Since when a cutoff has been lacking (monotonic seconds); None if none is.
        self.lacks_cutoff_since: float | None = None
        # Set when leases or endpoint states arrive, and when the configuration or a version cutoff
        # changes.
        self.changed = curio.Event()

    @property
    def report_target(self) -> str:
        """
        The process to which this process sends its reports: the relay, which passes them on, or
        the followed replica if there is no relay.

        """
        return self.relay or str(self.source)

    @property
    def connected(self) -> bool:
        """
        Whether the followed replica sent a message recently and its configuration isn't stale.

        """
        silent_s = self.env.monotonic() - self.source_contact_at
        return bool(self.source) and silent_s < SILENT_AFTER_S and self.age_ms < STALE_MS

    def knowledge_age_ms(self) -> int:
        """
        The age of this process's configuration: milliseconds since it was last known to be the
        newest.

        """
        return int(min((self.env.monotonic() - self.current_at) * MS_PER_S, MAX_AGE_MS))

    @property
    def is_current(self) -> bool:
        """
        Whether the followed replica sends messages, and this process's configuration isn't stale.

        """
        return self.connected and self.knowledge_age_ms() < STALE_MS

    async def run(self) -> None:
        """
        Task that follows one replica at a time.

        """
        while True:
            chosen = await self._choose_replica()
            if chosen is not None and await self._start_following(chosen.address, chosen.reply):
                await self._watch_source(chosen.address)
            await curio.sleep(RETRY_PAUSE_S)

    async def _choose_replica(self) -> SurveyAnswer | None:
        """
        Ask the known replicas, the preferred one first and the one followed last at the end of the
        list. Returns the first that answers and isn't stale; if there is none, the least stale one.

        """
        addresses = sorted(
            self.discovery.addresses(), key=lambda address: address.instance == self.source
        )
        survey = await self.survey.find(addresses, is_fresh)
        if survey.wanted is not None:
            return survey.wanted
        formed = [answer for answer in survey.answers if answer.reply.cluster]
        return min(formed, key=lambda answer: answer.reply.age_ms, default=None)

    async def _start_following(self, address: PeerAddress, reply: Replicas) -> bool:
        request = Follow(self.role, self.view.cluster, self.view.revision)
        # Set before the call, because messages of the feed may arrive before the reply.
        self.source = address.instance
        try:
            await self.peers.call(address, request, FOLLOW_TIMEOUT_S)
        except PeerError as error:
            log.info('Cannot follow replica {}: {}.', address.instance, error)
            return False
        self.source_contact_at = self.env.monotonic()
        self.replicas_asked_at = self.source_contact_at
        self.age_ms = reply.age_ms
        log.info('Following replica {}. age_ms={}', address.instance, reply.age_ms)
        await self.registry.suspicion_store.mark_all_unsent()
        return True

    async def _ask(self, address: PeerAddress) -> Replicas | None:
        """
        Ask a replica for the replicas it knows, for the cutoffs of model versions and for the
        revision of its configuration, and record all of them. Returns None if there is no answer.

        """
        asked_at = self.env.monotonic()
        reply = await self.discovery.ask(address, FindReplicas())
        if reply is not None:
            self.revision_times.record_answer(asked_at, reply)
            await self.record_switches(asked_at, reply.switches)
        return reply

    async def ask_source(self) -> Replicas | None:
        """
        Ask the followed replica for its answer now, before the next periodic question. Returns None
        at once if that replica is silent or stale, as its answer would not help.

        """
        if not self.connected:
            return None
        asked_at = self.env.monotonic()
        reply = await self._ask(address_of(str(self.source)))
        if reply is not None:
            self.replicas_asked_at = asked_at
        return reply

    async def record_switches(self, asked_at: float, switches: list[VersionSwitch]) -> None:
        """
        Record the version cutoffs in an answer to a question asked at `asked_at` (monotonic
        seconds), and set `changed` if a known cutoff changed or a new one was added.

        """
        if self.version_cutoffs.record_answer(asked_at, switches):
            await self.changed.set()

    def _lacks_a_cutoff(self) -> bool:
        """
        Whether the configuration sets a model version whose cutoff no answer has reported yet.

        """
        return any(
            self.version_cutoffs.cutoff_of(
                key.removeprefix(VERSION_PREFIX), decode_versioned(value).version
            )
            is None
            for key, value in self.view.values_with_prefix(VERSION_PREFIX).items()
        )

    def seeks_cutoff(self, now: float) -> bool:
        """
        Whether a cutoff is lacking, and has been for no longer than `CUTOFF_QUERY_S`.

        """
        if not self._lacks_a_cutoff():
            self.lacks_cutoff_since = None
            return False
        if self.lacks_cutoff_since is None:
            self.lacks_cutoff_since = now
        return now - self.lacks_cutoff_since <= CUTOFF_QUERY_S

    async def _fresher_replica_exists(self, address: PeerAddress, age_ms: int) -> bool:
        """
        Whether another replica answers that its configuration is younger than `age_ms` and not
        stale.

        """
        others = [other for other in self.discovery.addresses() if other != address]
        survey = await self.survey.find(
            others, lambda reply: is_fresh(reply) and reply.age_ms < age_ms
        )
        return survey.wanted is not None

    async def _watch_source(self, address: PeerAddress) -> None:
        """
        Check the followed replica, and return once this process has left it. This process leaves
        a replica that is silent or disconnected, a stale replica if another one is fresher, and
        a replica in another zone if one in this process's zone answers and isn't stale.

        """
        nearer_checked_at = self.env.monotonic()
        while True:
            await curio.sleep(SOURCE_CHECK_PERIOD_S)
            now = self.env.monotonic()
            connection = self.peers.connections.get(address.instance)
            if connection is None or connection.closed:
                reason = 'the connection is closed'
                break
            if now - self.source_contact_at > SILENT_AFTER_S:
                reason = 'silent'
                await connection.close()
                break
            if now - self.replicas_asked_at > REPLICA_QUERY_PERIOD_S or self.seeks_cutoff(now):
                self.replicas_asked_at = now
                await self._ask(address)
            if now - nearer_checked_at > NEARER_CHECK_PERIOD_S:
                nearer_checked_at = now
                if await self._nearer_replica_exists(address):
                    reason = 'a replica in the same zone answers'
                    await self._unfollow(connection)
                    break
            if self.age_ms > STALE_MS and await self._fresher_replica_exists(address, self.age_ms):
                reason = 'the replica has no contact with its leader'
                await self._unfollow(connection)
                break
        self.env.metrics.count(self.env.metrics.wire, event='replica_left')
        log.warning(
            'Left replica {}: {}. silent_s={:.2f} age_ms={} revision={}',
            address.instance,
            reason,
            self.env.monotonic() - self.source_contact_at,
            self.age_ms,
            self.view.revision,
        )

    async def _nearer_replica_exists(self, address: PeerAddress) -> bool:
        """
        Whether the followed replica is in another zone, while a replica in this process's zone
        answers and isn't stale.

        """
        own = str(self.env.zone)
        if self.discovery.zone_of(str(address.instance)) == own:
            return False
        others = [
            other
            for other in self.discovery.addresses()
            if other != address and self.discovery.zone_of(str(other.instance)) in ('', own)
        ]
        survey = await self.survey.find(others, lambda reply: is_fresh(reply) and reply.zone == own)
        return survey.wanted is not None

    async def _unfollow(self, connection: Connection) -> None:
        try:
            await connection.notify(Follow())
        except PeerLost:
            pass

    async def handle_feed_message(self, peer: InstanceId, message: Message) -> bool:
        """
        Apply a message of the feed and return True; return False for any other message. Updates
        of the configuration are ignored unless they come from the followed replica or from the
        follower that was last asked to relay the feed.

        """
        if isinstance(message, Update):
            await self._on_update(peer, message)
            return True
        if isinstance(message, Leases):
            await self._on_leases(peer, message)
            return True
        return False

    async def _on_update(self, peer: InstanceId, update: Update) -> None:
        now = self.env.monotonic()
        if peer == self.source:
            self.source_contact_at = now
            self.age_ms = update.age_ms
        elif peer != self.pending_relay:
            return
        is_applied = self.view.apply_update(update)
        self._record_currency(update, now)
        if not self.was_current and self.knowledge_age_ms() < STALE_MS:
            self.was_current = True
            await self.changed.set()
        if not is_applied:
            return
        self.env.metrics.revision.set({}, self.view.revision)
        log.info(
            'Configuration applied. revision={} source={} age_ms={}',
            self.view.revision,
            peer,
            update.age_ms,
        )
        await self.view.notify_waiters()
        await self.changed.set()

    def _record_currency(self, update: Update, now: float) -> None:
        """
        Set `current_at` by an update that arrived at `now`. An update may have been on its way for
        long; the configuration was the newest only until a later revision was heard of.

        """
        if not self.view.cluster or update.cluster != self.view.cluster:
            return
        awaited = self.awaited_revisions
        while awaited and awaited[0][0] <= self.view.revision:
            awaited.popleft()
        if update.revision > self.view.revision:
            if not awaited or awaited[-1][0] < update.revision:
                awaited.append((update.revision, now))
            return
        newest_until = awaited[0][1] if awaited else now
        self.current_at = max(self.current_at, newest_until - update.age_ms / MS_PER_S)

    async def _on_leases(self, peer: InstanceId, message: Leases) -> None:
        if peer == self.source:
            self.source_contact_at = self.env.monotonic()
            self.entries = max(message.entries, 1)
            told = max(message.most_entries, self.entries)
            self.peak_entries = self.told_entries.add(told, self.source_contact_at)
            self.entries_known = True
        try:
            leases = decode_leases(message.leases)
            endpoints = decode_states(message.reports)
            suspicions = decode_suspicions(message.suspicions)
        except msgspec.DecodeError as error:
            log.warning('Cannot decode leases from {}: {}.', peer, error)
            return
        for lease in leases:
            self.registry.merge_lease(lease)
        for state in endpoints:
            self.registry.merge_endpoint_state(state)
        await self.registry.suspicion_store.merge(suspicions)
        # A replica that was followed earlier may send its first message late, after a pause, and
        # lack back ends that have started meanwhile.
        is_current = peer in (self.source, self.pending_relay)
        if message.full and message.settled and is_current:
            self.registry.is_complete = True
            self.registry.retain_only(
                {lease.instance for lease in leases},
                {state.instance for state in endpoints},
            )
        self.registry.forget_silent_endpoints()
        if leases or endpoints:
            await self.changed.set()


def is_fresh(reply: Replicas) -> bool:
    """
    Whether a replica that gave this answer has a configuration, and one that isn't stale.

    """
    return bool(reply.cluster) and reply.age_ms < STALE_MS
