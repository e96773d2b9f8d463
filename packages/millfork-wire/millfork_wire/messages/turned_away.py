"""
Messages between the entries of a zone about callers' requests that were turned away (refused).

"""

from dataclasses import dataclass

from millfork_wire.messages.base import Message


@dataclass(slots=True)
class NoteTurnedAway(Message):
    """
    Reports that a request was turned away, `elapsed_ms` after the caller's first try.

    """

    fingerprint: bytes = b''
    elapsed_ms: int = 0


@dataclass(slots=True)
class AskTurnedAway(Message):
    fingerprint: bytes = b''


@dataclass(slots=True)
class TurnedAwayBefore(Message):
    """
    Reply to `AskTurnedAway`: whether the request was turned away recently, and the time since the
    caller's first try.

    """

    found: bool = False
    elapsed_ms: int = 0
