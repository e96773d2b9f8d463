"""
Messages by which an entry asks an endpoint daemon for the load of the engine beside it.

"""

from dataclasses import dataclass

from millfork_wire.messages.base import Message


@dataclass(slots=True)
class AskLoad(Message):
    pass


@dataclass(slots=True)
class EngineLoad(Message):
    """
    Reply to `AskLoad`: the numbers of requests that run and wait at the engine, the duration of a
    generation step in percent of the duration declared for the engine (`pace_percent`), and the
    engine's incarnation (one process life). `known` is not set if the engine does not answer.

    """

    known: bool = False
    running: int = 0
    queued: int = 0
    pace_percent: int = 100
    incarnation: int = 0
