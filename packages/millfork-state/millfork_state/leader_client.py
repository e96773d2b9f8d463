"""
Commands and reads sent to the leader of the replicated state from any process.

"""

from collections import Counter
from typing import Final

import curio
import msgspec

from millfork_core.environment import Environment
from millfork_core.ids import NO_INSTANCE, InstanceId
from millfork_core.line_limiter import LineLimiter
from millfork_core.logs import Component, logger
from millfork_core.verdicts import Reason, Refusal, Refused, Verdict
from millfork_state.commands import AnyCommand, encode_command
from millfork_state.node import CommittedIndex, ReadTarget, ReportRow, StateBody, StateNode
from millfork_wire.connection import PeerError, PeerUnreachable
from millfork_wire.messages import Message, Propose, Proposed, ReadState, Report, StateView
from millfork_wire.peers import PeerAddress, Peers

CALL_TIMEOUT_S: Final = 3.0
RETRY_DELAY_S: Final = 0.1
# How long a replica waits until it has applied what the leader has committed.
MAX_APPLY_WAIT_S: Final = 0.2
DEFAULT_TIMEOUT_S: Final = 6.0
NOT_CONFIRMED: Final = 'not_confirmed'

log = logger(Component.STATE)


class FailedTries:
    """
    The failed tries of one command or read, for the log.

    """

    def __init__(self) -> None:
        # By how a try failed, which replica was asked, and which leader that replica named.
        self.counts: Counter[tuple[str, str, str]] = Counter()

    def add(self, failure: str, asked: str, leader: str = '') -> None:
        """
        Count a try that failed.

        """
        self.counts[failure, asked, leader] += 1

    def describe(self) -> str:
        """
        The number of tries for each way in which they failed: `FAILURE@ASKED:NUMBER`, and the
        leader that the replica named if it is another one.

        """
        descriptions = []
        for (failure, asked, leader), number in self.counts.items():
            named = f'(leader={leader})' if leader and leader != asked else ''
            descriptions.append(f'{failure}@{asked}{named}:{number}')
        return f'failed={",".join(descriptions)}'


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
        tries = FailedTries()
        while self.env.monotonic() < deadline:
            reply = await self._propose_once(Propose(data), tries)
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
        raise self._no_quorum('no quorum of the state is reachable', tries, verdict)

    def _no_quorum(
        self, detail: str, tries: FailedTries, verdict: Verdict = Verdict.NOT_RUN
    ) -> Refused:
        context = tries.describe()
        if self.node is not None:
            context = f'{context} {self.node.describe()}'
        return Refused(Refusal(Reason.NO_QUORUM, verdict, detail), context)

    async def _propose_once(self, message: Propose, tries: FailedTries) -> Proposed | None:
        """
        Send a command once, or handle it locally. None if the command may have reached another
        replica but no valid answer arrived.

        """
        if self.node is not None and (self.node.leads or self.leader == self.env.instance):
            reply: Message = await self.node.answer_propose(message.command)
            asked = self.env.instance
        else:
            address = self._next_address(tries)
            asked = address.instance
            try:
                reply = await self.peers.call(address, message, self.call_timeout_s)
            except PeerUnreachable as error:
                tries.add(type(error).__name__, asked)
                return Proposed(False, b'', Reason.NO_QUORUM.value, '')
            except PeerError as error:
                tries.add(type(error).__name__, asked)
                self.leader = NO_INSTANCE
                return None
        if not isinstance(reply, Proposed):
            return None
        if not reply.ok:
            tries.add(reply.reason, asked, reply.leader)
        return reply

    def _next_address(self, tries: FailedTries) -> PeerAddress:
        leader = self.node.replica.leader if self.node is not None else self.leader
        replicas = self.replicas
        if leader in replicas and leader != self.env.instance:
            return replicas[leader]
        others = [a for a in replicas.values() if a.instance != self.env.instance]
        if not others:
            raise self._no_quorum('no other replica is known', tries)
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
            if await self._has_applied(self.node, await self._read(ReadTarget.INDEX, timeout_s)):
                return self.node.state_body()
            timeout_s = deadline - self.env.monotonic()
        return msgspec.json.decode(await self._read(ReadTarget.STATE, timeout_s), type=StateBody)

    async def _has_applied(self, node: StateNode, body: bytes) -> bool:
        """
        Whether this process's replica has applied, perhaps after `MAX_APPLY_WAIT_S`, what the
        leader has committed.

        """
        committed = msgspec.json.decode(body, type=CommittedIndex)
        if committed.cluster != node.replica.cluster:
            return False
        return await node.replica.wait_until_applied(committed.index, MAX_APPLY_WAIT_S)

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
        tries = FailedTries()
        while self.env.monotonic() < deadline:
            body = await self._read_once(target, tries)
            if body is not None:
                return body
            await curio.sleep(RETRY_DELAY_S)
        reads = self.failed_read_lines.count(target, self.env.monotonic())
        if reads:
            log.info(
                'Read not confirmed. target={} {} reads={}', target.value, tries.describe(), reads
            )
        raise self._no_quorum('no leader confirms its state', tries)

    async def _read_once(self, target: ReadTarget, tries: FailedTries) -> bytes | None:
        if self.node is not None and self.node.leads:
            body = await self.node.read(target, self.call_timeout_s)
            if body is None:
                tries.add(NOT_CONFIRMED, self.env.instance)
            return body
        address = self._next_address(tries)
        try:
            reply = await self.peers.call(address, ReadState(target.value), self.call_timeout_s)
        except PeerError as error:
            tries.add(type(error).__name__, address.instance)
            return None
        if not isinstance(reply, StateView):
            return None
        self.leader = InstanceId(reply.leader)
        if reply.ok:
            return reply.body
        tries.add(NOT_CONFIRMED, address.instance, reply.leader or 'unknown')
        return None
