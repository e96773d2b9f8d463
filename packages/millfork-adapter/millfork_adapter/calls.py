"""
Calls that arrive at a replica: from back ends and from the operator.

"""

from dataclasses import dataclass

from millfork_core.ids import Incarnation
from millfork_registry.records import Lease
from millfork_routing.documents import Document


class InvalidMessage(Exception):
    """
    A call, or a document in it, that makes no sense; the text says why.

    """


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """
    A back end renews its lease.

    """

    lease: Lease


@dataclass(frozen=True, slots=True)
class LeaveNotice:
    """
    A back end gives its lease back; None where it does not say which incarnation of it.

    """

    instance: str
    incarnation: Incarnation | None = None


@dataclass(frozen=True, slots=True)
class PutDocument:
    """
    The operator sends a document; `body` is kept as it came.

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
    The operator names the version of a model's weights to serve.

    """

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class UnknownCall:
    """
    Nothing that this system answers.

    """


Call = Heartbeat | LeaveNotice | PutDocument | ReadDocument | SetModelVersion | UnknownCall
