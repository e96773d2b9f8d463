"""
The load of one engine, between an entry and the endpoint daemon beside it.

"""

from dataclasses import dataclass

from millfork_wire.messages.base import Message


@dataclass(slots=True)
class AskLoad(Message):
    pass


@dataclass(slots=True)
class EngineLoad(Message):
    """
    What runs and waits at the engine at this moment, its pace in percent of the usual time
    of a step, and its incarnation; not known where the engine does not answer.

    """

    known: bool = False
    running: int = 0
    queued: int = 0
    pace_percent: int = 100
    incarnation: int = 0
