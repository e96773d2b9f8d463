"""
Sends commands to the leader of the replicas, from daemons that keep no replicated state themselves.

"""

from typing import Final

from millfork_core.logs import Component, logger
from millfork_core.verdicts import Verdict
from millfork_registry.discovery import Discovery, address_of
from millfork_state.commands import AnyCommand, encode_command
from millfork_wire.connection import PeerError
from millfork_wire.messages import Propose, Proposed
from millfork_wire.peers import Peers

# The most replicas that are asked for one command: any replica, and the leader that it names.
MAX_CALLS: Final = 2

log = logger(Component.DAEMON)


class Proposer:
    """
    Sends each command once. `timeout_s` limits each of at most `MAX_CALLS` calls, in seconds.

    """

    def __init__(self, peers: Peers, discovery: Discovery, timeout_s: float) -> None:
        self.peers = peers
        self.discovery = discovery
        self.timeout_s = timeout_s

    async def propose(self, command: AnyCommand) -> bytes | None:
        """
        Send a command to the leader and return its encoded result; None if it isn't known to have
        been carried out. It is not sent again then, as its result would no longer tell whether this
        call carried it out.

        """
        message = Propose(encode_command(command))
        addresses = self.discovery.addresses()
        if not addresses:
            return None
        address = addresses[0]
        for _ in range(MAX_CALLS):
            try:
                reply = await self.peers.call(address, message, self.timeout_s)
            except PeerError as error:
                log.info('No result of a command from replica {}: {}.', address.instance, error)
                return None
            if not isinstance(reply, Proposed):
                return None
            if reply.ok:
                return reply.result
            if reply.result != Verdict.NOT_RUN.value.encode() or not reply.leader:
                log.info(
                    'Replica {} did not carry out a command: {}.', address.instance, reply.reason
                )
                return None
            # Only the leader carries out commands; other replicas name it.
            address = address_of(reply.leader)
        return None
