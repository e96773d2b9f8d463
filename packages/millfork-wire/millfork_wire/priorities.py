"""
The order in which the frames of one connection are written: elections, heartbeats and confirmations
never wait for transfers.

"""

from enum import IntEnum
from functools import singledispatch
from typing import Final

from millfork_wire import messages
from millfork_wire.messages import Message


class Priority(IntEnum):
    """
    The priority of a frame, with its value on the wire. Frames of the same priority keep their
    order; those of different priorities overtake each other.

    """

    NORMAL = 0
    URGENT = 1
    BULK = 2


# A larger answer to a read isn't urgent.
MAX_URGENT_BYTES: Final = 256
SENDING_ORDER: Final = (Priority.URGENT, Priority.NORMAL, Priority.BULK)


@singledispatch
def priority_of(message: Message) -> Priority:
    """
    The priority of a message. Messages that carry parts of the replicated state are BULK, even if
    they are small.

    """
    return Priority.NORMAL


@priority_of.register(messages.AppendReply)
@priority_of.register(messages.Ping)
@priority_of.register(messages.Proposed)
@priority_of.register(messages.ReadState)
@priority_of.register(messages.Received)
@priority_of.register(messages.VoteReply)
@priority_of.register(messages.VoteRequest)
def _(message: Message) -> Priority:
    return Priority.URGENT


@priority_of.register
def _(message: messages.AppendRequest) -> Priority:
    return Priority.BULK if message.entries else Priority.URGENT


@priority_of.register
def _(message: messages.InstallRequest) -> Priority:
    return Priority.BULK


@priority_of.register
def _(message: messages.StateView) -> Priority:
    return Priority.BULK if len(message.body) > MAX_URGENT_BYTES else Priority.URGENT


@priority_of.register
def _(message: messages.Update) -> Priority:
    return Priority.BULK if message.items else Priority.NORMAL
