"""
Commands and reads sent to the leader of the replicated state from any process.

"""

from typing import Final

import curio
import msgspec

from millfork_core.environment import Environment
from millfork_core.ids import NO_INSTANCE, InstanceId
from millfork_core.line_limiter import LineLimiter
from millfork_core.logs import Component, logger
from millfork_core.verdicts import Reason, Refusal, Refused, Verdict
from millfork_state.commands import AnyCommand, encode_command
from millfork_state.node import ReadTarget, ReportRow, StateBody, StateNode
from millfork_wire.connection import PeerError, PeerUnreachable
from millfork_wire.messages import Propose, Proposed, ReadState, Report, StateView
from millfork_wire.peers import PeerAddress, Peers

CALL_TIMEOUT_S: Final = 3.0
RETRY_DELAY_S: Final = 0.1
# How long a replica waits until it has applied what the leader has committed.
MAX_APPLY_WAIT_S: Final = 0.2
DEFAULT_TIMEOUT_S: Final = 6.0

log = logger(Component.STATE)


class LeaderClient:
    """
    Finds the leader and sends it commands and reads, or handles them locally if this process leads.

    """

    def __init__(
        self,
        env: Environment,
        peers: Peers,
        replicas: list[PeerAddress],
        node: StateNode | None,
        call_timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self.env = env
        self.peers = peers
        # Not copied, as the caller adds replicas to the list when it learns of them.
        self.addresses = replicas
        self.node = node
        self.call_timeout_s = call_timeout_s
        self.leader: InstanceId = NO_INSTANCE
        # The replica that was last asked for a read which failed, and how it failed, for the log.
        self.last_read_failure = ''
        # Log lines about failed reads, by target.
        self.failed_read_lines = LineLimiter()

    @property
    def replicas(self) -> dict[InstanceId, PeerAddress]:
        return {address.instance: address for address in self.addresses}

    async def propose(
        self,
        command: AnyCommand,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> bytes:
        """
        Send a command and return its encoded result. If there is no answer, or the answer is 'no
        quorum', the command is sent again for up to `timeout_s` seconds. This is harmless, as
        commands are idempotent.

        :raises Refused: NO_QUORUM if no leader committed the command in time, with a verdict on
            whether the command may have run; otherwise the leader's reason to refuse the command.

        """
        data = encode_command(command)
        deadline = self.env.monotonic() + timeout_s
        verdict = Verdict.NOT_RUN
        while self.env.monotonic() < deadline:
            reply = await self._propose_once(Propose(data))
            if reply is None:
                verdict = Verdict.MAY_HAVE_RUN
                await curio.sleep(RETRY_DELAY_S)
                continue
            if reply.ok:
                return reply.result
            if reply.reason != Reason.NO_QUORUM.value:
                raise Refused(Refusal(Reason(reply.reason), Verdict.NOT_RUN, reply.leader))
            if reply.result == Verdict.MAY_HAVE_RUN.value.encode():
                verdict = Verdict.MAY_HAVE_RUN
            self.leader = InstanceId(reply.leader)
            await curio.sleep(RETRY_DELAY_S)
        raise Refused(Refusal(Reason.NO_QUORUM, verdict, 'no quorum of the state is reachable'))

    async def _propose_once(self, message: Propose) -> Proposed | None:
        """
        Send a command once, or handle it locally. None if the command may have reached another
        replica but no valid answer arrived.

        """
        if self.node is not None and (self.node.leads or self.leader == self.env.instance):
            return await self.node.answer_propose(message.command)
        address = self._next_address()
        try:
            reply = await self.peers.call(address, message, self.call_timeout_s)
        except PeerUnreachable:
            return Proposed(False, b'', Reason.NO_QUORUM.value, '')
        except PeerError:
            self.leader = NO_INSTANCE
            return None
        return reply if isinstance(reply, Proposed) else None

    def _next_address(self) -> PeerAddress:
        leader = self.node.replica.leader if self.node is not None else self.leader
        replicas = self.replicas
        if leader in replicas and leader != self.env.instance:
            return replicas[leader]
        others = [a for a in replicas.values() if a.instance != self.env.instance]
        if not others:
            raise Refused(Refusal(Reason.NO_QUORUM, detail='no other replica is known'))
        return self.env.random.choice(others)

    async def read_state(self, timeout_s: float = DEFAULT_TIMEOUT_S) -> StateBody:
        """
        The leader's configuration. The read is linearizable. A process with a replica asks the
        leader only up to where its log is committed, and for the configuration itself only if the
        replica lags behind.

        :raises Refused: NO_QUORUM if no leader with a majority answers.

        """
        if self.node is not None:
            deadline = self.env.monotonic() + timeout_s
            index = msgspec.json.decode(await self._read(ReadTarget.INDEX, timeout_s), type=int)
            if await self.node.replica.wait_until_applied(index, MAX_APPLY_WAIT_S):
                return self.node.state_body()
            timeout_s = deadline - self.env.monotonic()
        return msgspec.json.decode(await self._read(ReadTarget.STATE, timeout_s), type=StateBody)

    async def read_reports(self) -> list[Report]:
        """
        The instances' newest reports that have reached the leader.

        :raises Refused: NO_QUORUM if no leader with a majority answers.

        """
        rows = msgspec.json.decode(
            await self._read(ReadTarget.REPORTS, DEFAULT_TIMEOUT_S), type=list[ReportRow]
        )
        return [Report(*row) for row in rows]

    async def _read(self, target: ReadTarget, timeout_s: float) -> bytes:
        deadline = self.env.monotonic() + timeout_s
        while self.env.monotonic() < deadline:
            body = await self._read_once(target)
            if body is not None:
                return body
            await curio.sleep(RETRY_DELAY_S)
        reads = self.failed_read_lines.count(target, self.env.monotonic())
        if reads:
            log.info(
                'Read not confirmed. target={} {} reads={}',
                target.value,
                self.last_read_failure,
                reads,
            )
        raise Refused(Refusal(Reason.NO_QUORUM, detail='no leader confirms its state'))

    async def _read_once(self, target: ReadTarget) -> bytes | None:
        if self.node is not None and self.node.leads:
            self.last_read_failure = 'leader=self failure=not_confirmed'
            return await self.node.read(target, self.call_timeout_s)
        address = self._next_address()
        try:
            reply = await self.peers.call(address, ReadState(target.value), self.call_timeout_s)
        except PeerError as error:
            self.last_read_failure = f'asked={address.instance} failure={type(error).__name__}'
            return None
        if not isinstance(reply, StateView):
            return None
        self.leader = InstanceId(reply.leader)
        if reply.ok:
            return reply.body
        self.last_read_failure = (
            f'asked={address.instance} failure=not_confirmed leader={reply.leader or "unknown"}'
        )
        return None
