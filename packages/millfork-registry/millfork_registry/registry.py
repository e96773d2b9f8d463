"""
Who serves: soft state, kept in memory by every replica and follower.

A lease belongs to the replica that took its last heartbeat. Only changes are
told to others, so a fleet at rest costs nothing between replicas. The owner
sees a lease run out; should the owner be lost, each replica lets its leases
run out by itself, unless the back end has found another owner.

"""

from enum import Enum
from typing import Final

import msgspec

from millfork_core.environment import Environment
from millfork_core.ids import UNTOLD_INCARNATION, Incarnation
from millfork_core.logs import Part, logger
from millfork_registry.records import EndpointState, Lease, LeaseState
from millfork_registry.suspects import Suspects
from millfork_registry.versioned_table import VersionedTable

# A lease runs out after this many heartbeats that did not come.
MISSED_HEARTBEATS: Final = 3.5
# A record that ended is remembered this long, so that a late heartbeat of
# the same life changes nothing.
ENDED_RETENTION_S: Final = 120.0
# A back end without a known start counts as new at a used address by its first heartbeat, or
# by two of them apart by this share of the usual pause: one that has ended sends no more, and
# two that were held up come together.
FIRST_SEQUENCE: Final = 1
MIN_GAP_SHARE: Final = 0.5
# An endpoint daemon reports at least each second.
REPORT_LIFETIME_S: Final = 3.5
ENDED_STATES: Final = (LeaseState.GONE, LeaseState.EXPIRED)

log = logger(Part.REGISTRY)


class RecordChange(Enum):
    """
    What a record did to the registry.

    """

    NONE = 'none'
    RENEWED = 'renewed'
    CHANGED = 'changed'


class Registry:
    """
    The leases and the endpoints' states, as this process knows them.

    """

    def __init__(self, env: Environment, heartbeat_s: float) -> None:
        self.env = env
        self.lease_s = heartbeat_s * MISSED_HEARTBEATS
        self.min_gap_s = heartbeat_s * MIN_GAP_SHARE
        self.leases: VersionedTable[Lease] = VersionedTable()
        self.endpoints: VersionedTable[EndpointState] = VersionedTable()
        self.suspects = Suspects(env.monotonic)
        self.last_heard_at: dict[str, float] = {}
        self.ended_at_by_instance: dict[str, float] = {}
        # The back end that was last known to live at an address.
        self.instance_by_address: dict[tuple[str, int], str] = {}
        # Unknown back ends at the address of a live one: sequence and time of the heartbeat.
        self.unconfirmed: dict[str, tuple[int, float]] = {}
        # Whether what is not here is known not to exist.
        self.is_complete = False

    def record_heartbeat(self, lease: Lease) -> RecordChange:
        """
        Take a heartbeat that came to this replica.

        One process lives at an address at a time: a new back end ends the lease of
        the one before it, and a delayed heartbeat of that one does not bring it back.

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
                'Heartbeat of an unknown back end waits for its next one. instance={} '
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
        Whether a heartbeat of an unknown back end may be a late one, of a process that lived
        at its address before the one that is known.

        """
        if (lease.incarnation and other.incarnation) or lease.sequence <= FIRST_SEQUENCE:
            return False
        now = self.env.monotonic()
        sequence, at = self.unconfirmed.setdefault(lease.instance, (lease.sequence, now))
        if lease.sequence <= sequence or now - at < self.min_gap_s:
            return True
        del self.unconfirmed[lease.instance]
        return False

    def _live_lease_at_address(self, lease: Lease) -> Lease | None:
        """
        Another back end whose lease at the same address has not ended.

        """
        instance = self.instance_by_address.get((lease.host, lease.port), lease.instance)
        if instance == lease.instance:
            return None
        other = self.leases.get(instance)
        if other is None or other.state in ENDED_STATES:
            return None
        return other

    def record_goodbye(self, instance: str, incarnation: Incarnation | None = None) -> RecordChange:
        """
        Take a back end's word that it leaves; without an incarnation it is of the one
        that is known.

        """
        held = self.leases.get(instance)
        owner = str(self.env.instance)
        if held is None:
            # Unknown here, perhaps known elsewhere: the word is kept.
            reported = incarnation or UNTOLD_INCARNATION
            gone = Lease(
                instance, '', '', 0, '', 0, LeaseState.GONE, 0, owner, incarnation=reported
            )
            return self.merge_lease(gone)
        of = held.incarnation if incarnation is None else incarnation
        gone = msgspec.structs.replace(held, state=LeaseState.GONE, owner=owner, incarnation=of)
        return self.merge_lease(gone)

    def merge_lease(self, lease: Lease) -> RecordChange:
        """
        Take a record from wherever it comes; only a newer one counts.

        """
        held = self.leases.get(lease.instance)
        if held is not None and lease.order <= held.order:
            return (
                self._announce_again(held)
                if self._is_wrongly_ended(held, lease)
                else RecordChange.NONE
            )
        self.last_heard_at[lease.instance] = self.env.monotonic()
        if held is not None and not lease.needs_announcement_after(held):
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
        Whether another process takes a lease for run out that is renewed here.

        """
        owned = held.owner == str(self.env.instance) and held.state not in ENDED_STATES
        same = reported.incarnation == held.incarnation
        return owned and same and reported.state is LeaseState.EXPIRED

    def _announce_again(self, held: Lease) -> RecordChange:
        """
        Others know an older sequence only, as renewals are not told: without this word
        they took the back end for gone until its state changed.

        """
        log.info('Lease told again. instance={} sequence={}', held.instance, held.sequence)
        self.leases.put(held.instance, held)
        return RecordChange.CHANGED

    def restart_expiry_timers(self) -> None:
        """
        Let no lease run out for silence before now, as this process did not listen.

        """
        now = self.env.monotonic()
        for lease in self.leases.values():
            self.last_heard_at[lease.instance] = now

    def merge_endpoint_state(self, state: EndpointState) -> RecordChange:
        """
        Take an endpoint daemon's state; only a newer one counts.

        """
        held = self.endpoints.get(state.instance)
        if held is not None and state.order <= held.order:
            return RecordChange.NONE
        self.last_heard_at[state.instance] = self.env.monotonic()
        self.endpoints.put(state.instance, state)
        return (
            RecordChange.CHANGED if state.needs_announcement_after(held) else RecordChange.RENEWED
        )

    def retain_only(self, leases: set[str], endpoints: set[str]) -> None:
        """
        Drop every record that a settled replica does not know.

        """
        for key in [key for key in self.leases.rows if key not in leases]:
            self._forget_lease(key)
        for key in [key for key in self.endpoints.rows if key not in endpoints]:
            self.endpoints.remove(key)
            self.last_heard_at.pop(key, None)

    def expire(self, lost_owners: set[str]) -> list[Lease]:
        """
        Let leases run out whose heartbeats stopped: those owned here, and
        those whose owner is lost. Returns the ones that ran out.

        """
        now = self.env.monotonic()
        expired = []
        for lease in list(self.leases.values()):
            if lease.state in ENDED_STATES:
                continue
            mine = lease.owner == str(self.env.instance)
            if not mine and lease.owner not in lost_owners:
                # The owner watches it; its own silence counts from its loss.
                self.last_heard_at[lease.instance] = now
                continue
            if now - self.last_heard_at.get(lease.instance, now) < self.lease_s:
                continue
            ended = msgspec.structs.replace(
                lease, state=LeaseState.EXPIRED, owner=str(self.env.instance)
            )
            self.merge_lease(ended)
            expired.append(ended)
        for key, (_, came_at) in list(self.unconfirmed.items()):
            if now - came_at > ENDED_RETENTION_S:
                del self.unconfirmed[key]
        for key, ended_at in list(self.ended_at_by_instance.items()):
            if now - ended_at > ENDED_RETENTION_S:
                self._forget_lease(key)
        return expired

    def forget_silent_endpoints(self) -> None:
        """
        Drop the states of endpoint daemons that no longer report.

        """
        now = self.env.monotonic()
        for state in list(self.endpoints.values()):
            if now - self.last_heard_at.get(state.instance, now) > REPORT_LIFETIME_S:
                self.endpoints.remove(state.instance)
                self.last_heard_at.pop(state.instance, None)

    def _forget_lease(self, key: str) -> None:
        lease = self.leases.get(key)
        if lease is not None:
            self._release_address(lease)
        self.leases.remove(key)
        self.last_heard_at.pop(key, None)
        self.ended_at_by_instance.pop(key, None)

    def _release_address(self, lease: Lease) -> None:
        if self.instance_by_address.get((lease.host, lease.port)) == lease.instance:
            del self.instance_by_address[lease.host, lease.port]


def _is_of_earlier_process(lease: Lease, other: Lease, held: Lease | None) -> bool:
    """
    Whether a heartbeat is of a process that lived at its address before another one.

    """
    if lease.incarnation and other.incarnation:
        return lease.incarnation < other.incarnation
    if held is None or held.incarnation != lease.incarnation:
        return False
    return held.state is LeaseState.EXPIRED


def _is_of_later_process(lease: Lease, other: Lease, held: Lease | None) -> bool:
    """
    Whether a heartbeat tells that the other process at its address has ended.

    """
    if lease.incarnation and other.incarnation:
        return lease.incarnation > other.incarnation
    return held is None or held.incarnation < lease.incarnation
