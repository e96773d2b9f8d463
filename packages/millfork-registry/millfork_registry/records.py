"""
What the registry holds: one lease for each back end, one report for each
endpoint daemon.

"""

from enum import Enum

import msgspec

from millfork_core.ids import UNTOLD_INCARNATION, Incarnation


class LeaseState(Enum):
    """
    What a back end may be used for.

    """

    READY = 'ready'
    DRAINING = 'draining'
    # Its heartbeats stopped; a later one renews the lease.
    EXPIRED = 'expired'
    # It said that it leaves; only another incarnation of its id comes back.
    GONE = 'gone'


class ServedVersion(msgspec.Struct, frozen=True, array_like=True):
    """
    Weights that a back end can serve: the model's layers from `first` to
    before `end`, or the model whole if `end` is None.

    """

    model: str
    version: int
    first: int = 0
    end: int | None = None

    def is_whole(self, layers: int) -> bool:
        """
        Whether it is all of a model's layers.

        """
        return self.end is None or (self.first == 0 and self.end >= layers)


class Lease(msgspec.Struct, frozen=True, array_like=True):
    """
    One incarnation of a back end. `sequence` rises with each of its heartbeats and
    begins anew with the next incarnation; `owner` is the replica that took the last one.

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
    incarnation: Incarnation = UNTOLD_INCARNATION

    @property
    def order(self) -> tuple[Incarnation, bool, int, bool]:
        """
        What makes one record of a back end newer than another: first the incarnation,
        as sequences of two can't be compared.

        """
        return (
            self.incarnation,
            self.state is LeaseState.GONE,
            self.sequence,
            self.state is LeaseState.EXPIRED,
        )

    def needs_announcement_after(self, older: 'Lease') -> bool:
        """
        Whether anyone but the owner needs to hear of this record.

        """
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
    Weights that an endpoint daemon can pass on: the pieces from `first` to
    before `end`, or all of them if `end` is None.

    """

    model: str
    version: int
    first: int = 0
    end: int | None = None

    def has(self, index: int) -> bool:
        """
        Whether one piece is among them.

        """
        return self.first <= index and (self.end is None or index < self.end)


class EndpointState(msgspec.Struct, frozen=True, array_like=True):
    """
    What an endpoint daemon says of itself and of the engine beside it.

    `sequence` is its monotonic clock in ms; tokens are the engine's memory.

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
    # The version it is changing to at this moment, 0 if none.
    changing_to: int = 0
    # What it brings to its engine first of a version that is on its way.
    goal: ServedVersion | None = None
    # Of the engine.
    incarnation: Incarnation = UNTOLD_INCARNATION
    # Requests a second that the engine takes from all entries together, if it names a limit.
    limit_per_s: float | None = None
    # Whether the engine says that it leaves.
    leaving: bool = False

    @property
    def order(self) -> int:
        return self.sequence

    def needs_announcement_after(self, older: 'EndpointState | None') -> bool:
        """
        Whether this should reach others without delay: load may wait, and how far a
        version has come. Told at once, each piece that came made a replica wake all its
        followers, in other regions too, up to 50 times a second while weights change.

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
            # A limit that changes with each answer would wake all followers each time.
            self.limit_per_s is not None,
            self.leaving,
        )


_LEASES = msgspec.msgpack.Decoder(list[Lease])
_STATES = msgspec.msgpack.Decoder(list[EndpointState])


def encode_records(records: list[Lease] | list[EndpointState]) -> bytes:
    return msgspec.msgpack.encode(records)


def decode_leases(data: bytes) -> list[Lease]:
    """
    The leases in `data`; none in an empty text.

    :raises msgspec.DecodeError: if there are none to be had.

    """
    return _LEASES.decode(data) if data else []


def decode_states(data: bytes) -> list[EndpointState]:
    """
    The endpoints' states in `data`; none in an empty text.

    :raises msgspec.DecodeError: if there are none to be had.

    """
    return _STATES.decode(data) if data else []


def decode_state(data: bytes) -> EndpointState:
    """
    One endpoint's state.

    :raises msgspec.DecodeError: if there is none.

    """
    return msgspec.msgpack.decode(data, type=EndpointState)
