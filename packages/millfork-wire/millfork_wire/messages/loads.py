"""
The load of one engine, between an entry and the endpoint daemon next to the engine.

"""

from dataclasses import dataclass

from millfork_wire.messages.base import Message


@dataclass(slots=True)
class AskLoad(Message):
    pass


@dataclass(slots=True)
class EngineLoad(Message):
    """
    The numbers of requests that run and wait at the engine at this moment, the engine's pace
    in percent of the usual time of a step, and its incarnation. Not `known` if the engine does
    not answer.

    """

    known: bool = False
    running: int = 0
    queued: int = 0
    pace_percent: int = 100
    incarnation: int = 0
