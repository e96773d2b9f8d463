"""
The leases of back ends and the states of endpoint daemons: soft state, kept in memory by every
replica and follower.

A lease is owned by the replica that received its last heartbeat. Replicas send each other
changes of leases but not renewals, so an idle fleet causes no traffic between replicas. The owner
expires a lease whose heartbeats stop. If the owner is lost, each other replica expires the
owner's leases by itself, except those of back ends that have by then sent a heartbeat to another
replica.

"""

from enum import Enum
from typing import Final

import msgspec

from millfork_core.environment import Environment
from millfork_core.ids import UNKNOWN_INCARNATION, Incarnation
from millfork_core.logs import Component, logger
from millfork_registry.records import EndpointState, Lease, LeaseState
from millfork_registry.suspicion_store import SuspicionStore
from millfork_registry.versioned_table import VersionedTable

# A lease expires after this many heartbeat periods without a heartbeat.
MISSED_HEARTBEATS: Final = 3.5
# An expired or gone lease is kept this long, so that a delayed heartbeat of the same incarnation
# changes nothing.
ENDED_RETENTION_S: Final = 120.0
# The sequence number of a back end's first heartbeat.
FIRST_SEQUENCE: Final = 1
# If either of two back ends at one address reports no incarnation, a replica doesn't know which one
# started later. While one of them holds a live lease, the replica then accepts the other, unknown
# one only with its first heartbeat, or with a heartbeat that arrives at least this share of the
# heartbeat period after an earlier one. A process that has ended sends no more heartbeats, and two
# delayed heartbeats arrive together.
MIN_HEARTBEAT_GAP_SHARE: Final = 0.5
# The state of an endpoint daemon that has sent no report for this long is dropped. A daemon whose
# engine does not answer reports every 2.7 s.
REPORT_LIFETIME_S: Final = 3.5
ENDED_STATES: Final = (LeaseState.GONE, LeaseState.EXPIRED)

log = logger(Component.REGISTRY)


class RecordChange(Enum):
    """
    The effect of a received record on the registry. Only `CHANGED` must be sent to other
    processes without delay.

    """

    NONE = 'none'
    RENEWED = 'renewed'
    CHANGED = 'changed'


class Registry:
    """
    The leases, endpoint states and suspicions known to this process.

    """

    def __init__(self, env: Environment, heartbeat_s: float) -> None:
        self.env = env
        self.lease_s = heartbeat_s * MISSED_HEARTBEATS
        self.min_heartbeat_gap_s = heartbeat_s * MIN_HEARTBEAT_GAP_SHARE
        self.leases: VersionedTable[Lease] = VersionedTable()
        self.endpoints: VersionedTable[EndpointState] = VersionedTable()
        self.suspicion_store = SuspicionStore(env.monotonic)
        # When the last lease or endpoint state of each instance arrived (monotonic seconds).
        self.last_received_at: dict[str, float] = {}
        # By instance id of each expired or gone lease: when it was recorded as such (monotonic
        # seconds).
        self.ended_at_by_instance: dict[str, float] = {}
        # The back end that was last known to run at each address (host and port).
        self.instance_by_address: dict[tuple[str, int], str] = {}
        # By instance id of each unknown back end at the address of a live one: the sequence and
        # arrival time of the first heartbeat received. The heartbeats of such a back end are
        # ignored until a later one confirms that the back end is alive.
        self.unconfirmed: dict[str, tuple[int, float]] = {}
        # Whether this registry holds all leases, so that a back end without a lease doesn't exist.
        self.is_complete = False

    def record_heartbeat(self, lease: Lease) -> RecordChange:
        """
        Process a heartbeat that a back end sent to this replica.

        Only one process runs at an address at a time: an accepted heartbeat of a new back end
        expires its predecessor's lease, and a delayed heartbeat of the predecessor doesn't restore
        that lease.

        """
        other = self._live_lease_at_address(lease)
        held = self.leases.get(lease.instance)
        if other is not None and _is_of_earlier_process(lease, other, held):
            log.info(
                'Late heartbeat ignored. instance={} incarnation={} sequence={} address={}:{} '
                'held_by={}',
                lease.instance,
                lease.incarnation,
                lease.sequence,
                lease.host,
                lease.port,
                other.instance,
            )
            return RecordChange.NONE
        if other is not None and held is None and self._may_be_delayed(lease, other):
            log.info(
                'Heartbeat of an unknown back end ignored until its next. instance={} '
                'sequence={} address={}:{} held_by={}',
                lease.instance,
                lease.sequence,
                lease.host,
                lease.port,
                other.instance,
            )
            return RecordChange.NONE
        owner = str(self.env.instance)
        if other is not None and _is_of_later_process(lease, other, held):
            self.merge_lease(msgspec.structs.replace(other, state=LeaseState.EXPIRED, owner=owner))
        return self.merge_lease(msgspec.structs.replace(lease, owner=owner))

    def _may_be_delayed(self, lease: Lease, other: Lease) -> bool:
        """
        Whether a heartbeat of an unknown back end may be a delayed one, from a process that ran
        at the address before the back end with the `other` lease. The first such heartbeat is
        recorded; a later one that arrives at least `min_heartbeat_gap_s` after it shows that the
        process is alive.

        """
        if (lease.incarnation and other.incarnation) or lease.sequence <= FIRST_SEQUENCE:
            return False
        now = self.env.monotonic()
        sequence, received_at = self.unconfirmed.setdefault(lease.instance, (lease.sequence, now))
        if lease.sequence <= sequence or now - received_at < self.min_heartbeat_gap_s:
            return True
        del self.unconfirmed[lease.instance]
        return False

    def _live_lease_at_address(self, lease: Lease) -> Lease | None:
        """
        Return the live lease of another back end at the address in `lease`, or None.

        """
        instance = self.instance_by_address.get((lease.host, lease.port), lease.instance)
        if instance == lease.instance:
            return None
        other = self.leases.get(instance)
        if other is None or other.state in ENDED_STATES:
            return None
        return other

    def record_leave(self, instance: str, incarnation: Incarnation | None = None) -> RecordChange:
        """
        Record that an incarnation of a back end leaves: the known one if `incarnation` is None.

        """
        held = self.leases.get(instance)
        owner = str(self.env.instance)
        if held is None:
            # Other replicas may know the back end and must learn that it leaves.
            leaving = incarnation or UNKNOWN_INCARNATION
            gone = Lease(instance, '', '', 0, '', 0, LeaseState.GONE, 0, owner, incarnation=leaving)
            return self.merge_lease(gone)
        leaving = held.incarnation if incarnation is None else incarnation
        gone = msgspec.structs.replace(
            held, state=LeaseState.GONE, owner=owner, incarnation=leaving
        )
        return self.merge_lease(gone)

    def merge_lease(self, lease: Lease) -> RecordChange:
        """
        Store a lease from any source if it is newer than the held one, and ignore it otherwise. If
        an ignored lease is a wrong expiry of a live lease owned here, announce the held lease
        again.

        """
        held = self.leases.get(lease.instance)
        if held is not None and lease.sort_key <= held.sort_key:
            return (
                self._announce_again(held)
                if self._is_wrongly_ended(held, lease)
                else RecordChange.NONE
            )
        now = self.env.monotonic()
        elapsed_s = now - self.last_received_at.get(lease.instance, now)
        self.last_received_at[lease.instance] = now
        if held is not None and not lease.needs_announcement_after(held, elapsed_s):
            self.leases.put_unannounced(lease.instance, lease)
            return RecordChange.RENEWED
        self.leases.put(lease.instance, lease)
        if lease.state in ENDED_STATES:
            self.ended_at_by_instance[lease.instance] = self.env.monotonic()
        else:
            self.ended_at_by_instance.pop(lease.instance, None)
            if held is not None:
                self._release_address(held)
            self.instance_by_address[lease.host, lease.port] = lease.instance
        if held is None or (held.state, held.incarnation) != (lease.state, lease.incarnation):
            log.info(
                'Lease {}. instance={} incarnation={} service={} address={}:{} sequence={} '
                'owner={}',
                lease.state.value,
                lease.instance,
                lease.incarnation,
                lease.service,
                lease.host,
                lease.port,
                lease.sequence,
                lease.owner,
            )
        return RecordChange.CHANGED

    def _is_wrongly_ended(self, held: Lease, reported: Lease) -> bool:
        """
        Whether `reported` is a wrong expiry, by another process, of the lease `held`, which is
        owned here and live.

        """
        owned = held.owner == str(self.env.instance) and held.state not in ENDED_STATES
        same = reported.incarnation == held.incarnation
        return owned and same and reported.state is LeaseState.EXPIRED

    def _announce_again(self, held: Lease) -> RecordChange:
        """
        Have a held lease sent to other processes once more. Renewals are not sent, so the other
        processes know only a lower sequence of the lease, and would treat the back end as ended
        until the state of the lease changes here.

        """
        log.info('Lease announced again. instance={} sequence={}', held.instance, held.sequence)
        self.leases.put(held.instance, held)
        return RecordChange.CHANGED

    def restart_expiry_timers(self) -> None:
        """
        Restart the expiry time of every lease, after a pause in which this process could not
        receive heartbeats.

        """
        now = self.env.monotonic()
        for lease in self.leases.values():
            self.last_received_at[lease.instance] = now

    def merge_endpoint_state(self, state: EndpointState) -> RecordChange:
        """
        Store an endpoint daemon's state from any source if it is newer than the held one.

        """
        held = self.endpoints.get(state.instance)
        if held is not None and state.sort_key <= held.sort_key:
            return RecordChange.NONE
        self.last_received_at[state.instance] = self.env.monotonic()
        self.endpoints.put(state.instance, state)
        return (
            RecordChange.CHANGED if state.needs_announcement_after(held) else RecordChange.RENEWED
        )

    def retain_only(self, leases: set[str], endpoints: set[str]) -> None:
        """
        Drop all leases and endpoint states except those of the given instances, which are all
        that a replica with complete records knows.

        """
        for key in [key for key in self.leases.rows if key not in leases]:
            self._forget_lease(key)
        for key in [key for key in self.endpoints.rows if key not in endpoints]:
            self.endpoints.remove(key)
            self.last_received_at.pop(key, None)

    def expire(self, lost_owners: set[str]) -> list[Lease]:
        """
        Expire the leases without recent heartbeats that are owned here or by a lost owner, and
        return them. Also forget leases that ended, and unconfirmed heartbeats that arrived, more
        than `ENDED_RETENTION_S` ago.

        """
        now = self.env.monotonic()
        expired = []
        for lease in list(self.leases.values()):
            if lease.state in ENDED_STATES:
                continue
            owned_here = lease.owner == str(self.env.instance)
            if not owned_here and lease.owner not in lost_owners:
                # The owner expires this lease. If the owner is lost later, the time without
                # heartbeats counts from then.
                self.last_received_at[lease.instance] = now
                continue
            if now - self.last_received_at.get(lease.instance, now) < self.lease_s:
                continue
            ended = msgspec.structs.replace(
                lease, state=LeaseState.EXPIRED, owner=str(self.env.instance)
            )
            self.merge_lease(ended)
            expired.append(ended)
        for key, (_, received_at) in list(self.unconfirmed.items()):
            if now - received_at > ENDED_RETENTION_S:
                del self.unconfirmed[key]
        for key, ended_at in list(self.ended_at_by_instance.items()):
            if now - ended_at > ENDED_RETENTION_S:
                self._forget_lease(key)
        return expired

    def forget_silent_endpoints(self) -> None:
        """
        Drop the states of endpoint daemons that sent no report for `REPORT_LIFETIME_S`.

        """
        now = self.env.monotonic()
        for state in list(self.endpoints.values()):
            if now - self.last_received_at.get(state.instance, now) > REPORT_LIFETIME_S:
                self.endpoints.remove(state.instance)
                self.last_received_at.pop(state.instance, None)

    def _forget_lease(self, key: str) -> None:
        lease = self.leases.get(key)
        if lease is not None:
            self._release_address(lease)
        self.leases.remove(key)
        self.last_received_at.pop(key, None)
        self.ended_at_by_instance.pop(key, None)

    def _release_address(self, lease: Lease) -> None:
        if self.instance_by_address.get((lease.host, lease.port)) == lease.instance:
            del self.instance_by_address[lease.host, lease.port]


def _is_of_earlier_process(lease: Lease, other: Lease, held: Lease | None) -> bool:
    """
    Whether the process that sent the heartbeat `lease` ran at its address before the process of
    the `other` lease. `held` is the known lease of the back end that sent the heartbeat, or None.
    If either process reports no incarnation, this holds only if `held` has the incarnation of
    `lease` and is expired.

    """
    if lease.incarnation and other.incarnation:
        return lease.incarnation < other.incarnation
    if held is None or held.incarnation != lease.incarnation:
        return False
    return held.state is LeaseState.EXPIRED


def _is_of_later_process(lease: Lease, other: Lease, held: Lease | None) -> bool:
    """
    Whether the process that sent the heartbeat `lease` started at its address after the process of
    the `other` lease, which shows that the other process has ended. `held` is the known lease of
    the back end that sent the heartbeat, or None. If either process reports no incarnation, this
    holds if `held` is None or of an earlier incarnation.

    """
    if lease.incarnation and other.incarnation:
        return lease.incarnation > other.incarnation
    return held is None or held.incarnation < lease.incarnation
