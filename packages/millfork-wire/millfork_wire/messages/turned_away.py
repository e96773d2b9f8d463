"""
Requests that were turned away, between the entries of a zone.

"""

from dataclasses import dataclass

from millfork_wire.messages.base import Message


@dataclass(slots=True)
class NoteTurnedAway(Message):
    """
    A request was turned away, so long after its first try.

    """

    fingerprint: bytes = b''
    elapsed_ms: int = 0


@dataclass(slots=True)
class AskTurnedAway(Message):
    fingerprint: bytes = b''


@dataclass(slots=True)
class TurnedAwayBefore(Message):
    """
    Whether it was turned away lately, and when it was first tried.

    """

    found: bool = False
    elapsed_ms: int = 0
