"""
Messages between the entries of a zone about requests that were turned away.

"""

from dataclasses import dataclass

from millfork_wire.messages.base import Message


@dataclass(slots=True)
class NoteTurnedAway(Message):
    """
    A request was turned away, `elapsed_ms` after its first try.

    """

    fingerprint: bytes = b''
    elapsed_ms: int = 0


@dataclass(slots=True)
class AskTurnedAway(Message):
    fingerprint: bytes = b''


@dataclass(slots=True)
class TurnedAwayBefore(Message):
    """
    Whether the request was turned away recently, and how long ago its first try was.

    """

    found: bool = False
    elapsed_ms: int = 0
