"""
Records of the registry: one lease for each back end, one state for each endpoint daemon (the
process beside an engine).

"""

from enum import Enum
from typing import Final

import msgspec

from millfork_core.ids import UNKNOWN_INCARNATION, Incarnation

# Heartbeats of one period of coldness that name ends less than this apart, as they took unequal
# times to arrive, name the same end.
COLD_JITTER_MS: Final = 50.0


class LeaseState(Enum):
    """
    The states of a back end's lease. Only a ready back end gets new requests.

    """

    READY = 'ready'
    DRAINING = 'draining'
    # The heartbeats stopped, or a later process runs at the address. A heartbeat can renew the
    # lease.
    EXPIRED = 'expired'
    # The back end announced that it leaves. Only a later incarnation replaces this lease.
    GONE = 'gone'


class ServedVersion(msgspec.Struct, frozen=True, array_like=True):
    """
    Weights that a back end can serve: the model's layers from `first` up to,
    but excluding, `end`, or the whole model if `end` is None.

    """

    model: str
    version: int
    first: int = 0
    end: int | None = None

    def is_complete(self, layers: int) -> bool:
        """
        Whether these weights include all layers of a model that has `layers` layers.

        """
        return self.end is None or (self.first == 0 and self.end >= layers)


class Lease(msgspec.Struct, frozen=True, array_like=True):
    """
    The lease of one incarnation of a back end. `sequence` increases with each heartbeat and
    restarts with the next incarnation. `owner` is the replica that received the last heartbeat
    or leave notice, or that expired the lease. `cold_for_ms` is for how much longer the back end
    was cold when it sent the heartbeat.

    """

    instance: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    state: LeaseState
    sequence: int
    owner: str = ''
    served: tuple[ServedVersion, ...] = ()
    incarnation: Incarnation = UNKNOWN_INCARNATION
    cold_for_ms: int = 0

    @property
    def sort_key(self) -> tuple[Incarnation, bool, int, bool]:
        """
        Sort key: the newer of two records of a back end has the greater key. The incarnation
        comes first, because sequences of different incarnations can't be compared.

        """
        return (
            self.incarnation,
            self.state is LeaseState.GONE,
            self.sequence,
            self.state is LeaseState.EXPIRED,
        )

    def needs_announcement_after(self, older: 'Lease', elapsed_s: float = 0.0) -> bool:
        """
        Whether this lease must be sent to processes that have `older`, which arrived `elapsed_s`
        seconds earlier. A lease that was only renewed, with a higher `sequence`, need not be sent.

        """
        if bool(self.cold_for_ms) != bool(older.cold_for_ms):
            # The back end became cold, or is no longer cold.
            return True
        expected_ms = max(older.cold_for_ms - elapsed_s * 1000, 0.0)
        if self.cold_for_ms > expected_ms + COLD_JITTER_MS:
            # The back end became cold again meanwhile, so it stays cold for longer than it said.
            return True
        return (
            self.incarnation,
            self.state,
            self.host,
            self.port,
            self.owner,
            self.served,
        ) != (
            older.incarnation,
            older.state,
            older.host,
            older.port,
            older.owner,
            older.served,
        )

    @property
    def usable(self) -> bool:
        return self.state is LeaseState.READY


class HeldVersion(msgspec.Struct, frozen=True, array_like=True):
    """
    Weights that an endpoint daemon can send to other daemons: the pieces from `first` up to, but
    excluding, `end`, or all pieces if `end` is None.

    """

    model: str
    version: int
    first: int = 0
    end: int | None = None

    def has(self, index: int) -> bool:
        """
        Whether the piece with this index is included.

        """
        return self.first <= index and (self.end is None or index < self.end)


class EndpointState(msgspec.Struct, frozen=True, array_like=True):
    """
    The state that an endpoint daemon reports of itself and of the engine beside it.

    `sequence` is the time of the report by the daemon's monotonic clock, in ms. `owner` is the
    replica that received the report. `tokens_used` and `tokens_total` are the used and the total
    memory of the engine, in tokens. A `pace` above 1 means that the engine is slower than its
    declared speed.

    """

    instance: str
    service: str
    zone: str
    host: str
    port: int
    sequence: int
    owner: str = ''
    reachable: bool = False
    running: int = 0
    queued: int = 0
    tokens_used: int = 0
    tokens_total: int = 0
    pace: float = 1.0
    served: tuple[ServedVersion, ...] = ()
    held: tuple[HeldVersion, ...] = ()
    # The version of the weights that the engine is changing to now, 0 if none.
    changing_to: int = 0
    # The layers that the engine was assigned to load before the other layers of a version, with
    # that version; None if no layers have been assigned to the engine since it started.
    goal: ServedVersion | None = None
    # The incarnation of the engine, not of the daemon.
    incarnation: Incarnation = UNKNOWN_INCARNATION
    # Requests per second that the engine accepts from all entries together, if it has a limit.
    limit_per_s: float | None = None
    # Whether the engine announced that it leaves.
    leaving: bool = False

    @property
    def sort_key(self) -> int:
        return self.sequence

    def needs_announcement_after(self, older: 'EndpointState | None') -> bool:
        """
        Whether this state must be sent without delay to processes that have `older`. Changes
        of the load and of the progress of a transfer may wait for the next heartbeat of the
        feed: when such changes were sent without delay, each piece that a daemon received made
        a replica send a message to all its followers, also in other regions, up to 50 times a
        second.

        """
        return older is None or self._announced_fields != older._announced_fields

    @property
    def _announced_fields(self) -> tuple[object, ...]:
        held = {(item.model, item.version) for item in self.held}
        return (
            self.reachable,
            self.served,
            held,
            self.changing_to,
            self.goal,
            # Only whether there is a limit, not its value: the value can change with each answer
            # of the engine, and each new value would be sent to all followers without delay.
            self.limit_per_s is not None,
            self.leaving,
        )


_LEASES_DECODER = msgspec.msgpack.Decoder(list[Lease])
_STATES_DECODER = msgspec.msgpack.Decoder(list[EndpointState])


def encode_records(records: list[Lease] | list[EndpointState]) -> bytes:
    return msgspec.msgpack.encode(records)


def decode_leases(data: bytes) -> list[Lease]:
    """
    Decode leases; empty data is an empty list.

    :raises msgspec.DecodeError: if the data is malformed.

    """
    return _LEASES_DECODER.decode(data) if data else []


def decode_states(data: bytes) -> list[EndpointState]:
    """
    Decode states of endpoint daemons; empty data is an empty list.

    :raises msgspec.DecodeError: if the data is malformed.

    """
    return _STATES_DECODER.decode(data) if data else []


def decode_state(data: bytes) -> EndpointState:
    """
    Decode the state of one endpoint daemon.

    :raises msgspec.DecodeError: if the data is malformed.

    """
    return msgspec.msgpack.decode(data, type=EndpointState)
