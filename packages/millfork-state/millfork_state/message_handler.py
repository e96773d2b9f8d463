"""
Answers of a replica of the state to messages from other processes.

"""

from functools import singledispatchmethod

from millfork_state.formation import accept_genesis, identity_of
from millfork_state.node import StateNode
from millfork_wire import messages
from millfork_wire.codec import PreVote
from millfork_wire.messages import Done, Message


class StateMessageHandler:
    """
    Passes messages to one replica and returns its answers.

    """

    def __init__(self, node: StateNode) -> None:
        self.node = node

    async def handle(self, message: Message) -> Message | None:
        """
        The answer to a message, or None if the message isn't for a replica.

        """
        reply: Message | None = await self._dispatch(message)
        return reply

    @singledispatchmethod
    async def _dispatch(self, message: Message) -> Message | None:
        return None

    @_dispatch.register
    async def _(self, message: PreVote) -> Message:
        return await self.node.replica.on_pre_vote(message)

    @_dispatch.register
    async def _(self, message: messages.VoteRequest) -> Message:
        return await self.node.replica.on_vote(message)

    @_dispatch.register
    async def _(self, message: messages.AppendRequest) -> Message:
        return await self.node.replica.on_append(message)

    @_dispatch.register
    async def _(self, message: messages.InstallRequest) -> Message:
        return await self.node.replica.on_install(message)

    @_dispatch.register
    async def _(self, message: messages.Identify) -> Message:
        return identity_of(self.node.replica)

    @_dispatch.register
    async def _(self, message: messages.Genesis) -> Message:
        members = [(member.instance, member.disk) for member in message.members]
        return Done(await accept_genesis(self.node.replica, message.cluster, members))

    @_dispatch.register
    async def _(self, message: messages.Propose) -> Message:
        return await self.node.answer_propose(message.command)

    @_dispatch.register
    async def _(self, message: messages.ReadState) -> Message:
        return await self.node.answer_read(message)
