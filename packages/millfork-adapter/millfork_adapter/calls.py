"""
The calls that back ends and operators make to a replica.

"""

from dataclasses import dataclass

from millfork_core.ids import Incarnation, ZoneId
from millfork_registry.records import Lease
from millfork_routing.documents import Document


class InvalidMessage(Exception):
    """
    Raised if a message or document cannot be parsed; the text says why.

    """


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """
    A back end registers or renews its lease.

    """

    lease: Lease


@dataclass(frozen=True, slots=True)
class LeaveNotice:
    """
    A back end gives up its lease. `incarnation` is the process life of the back end; None if the
    call does not contain it.

    """

    instance: str
    incarnation: Incarnation | None = None


@dataclass(frozen=True, slots=True)
class PutDocument:
    """
    The operator submits a document; `body` holds the bytes as received.

    """

    document: Document
    body: bytes


@dataclass(frozen=True, slots=True)
class ReadDocument:
    """
    The operator asks for the newest document.

    """


@dataclass(frozen=True, slots=True)
class SetModelVersion:
    """
    The operator sets the version of a model's weights that engines are to serve.

    """

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class SetEvacuation:
    """
    The operator asks that no more requests are sent to the back ends of a zone, or takes that back
    if `evacuated` is not set.

    """

    zone: ZoneId
    evacuated: bool


@dataclass(frozen=True, slots=True)
class UnknownCall:
    """
    A call whose method and path match no call of the platform.

    """


Call = (
    Heartbeat
    | LeaveNotice
    | PutDocument
    | ReadDocument
    | SetEvacuation
    | SetModelVersion
    | UnknownCall
)
