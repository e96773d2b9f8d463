"""
The tasks of a replica in a daemon: elections, leadership, proposals and reads.

"""

from enum import Enum
from typing import Final

import curio
import msgspec

from millfork_core.verdicts import Reason, Refusal, Refused, Verdict
from millfork_state import formation
from millfork_state.commands import (
    AnyCommand,
    ApplyResult,
    ClaimResult,
    Result,
    decode_command,
)
from millfork_state.election import campaign, wait_for_election_timeout
from millfork_state.leadership import Leadership
from millfork_state.replica import Replica, ReplicaState
from millfork_state.reports import Reports
from millfork_wire.messages import Proposed, ReadState, StateView

PROPOSE_TIMEOUT_S: Final = 2.5

# Instance, incarnation, sequence number and body of a report.
ReportRow = tuple[str, int, int, bytes]


class ReadTarget(Enum):
    """
    The data that can be read from the leader. `INDEX` is the log index up to which the leader's log
    is committed, as a `CommittedIndex`.

    """

    INDEX = 'index'
    STATE = 'state'
    REPORTS = 'reports'


class CommittedIndex(msgspec.Struct):
    """
    The log index up to which the leader's log is committed. It says nothing about the logs of other
    clusters.

    """

    cluster: str
    index: int


class StateBody(msgspec.Struct):
    """
    The configuration as a read returns it: each key's value and the revision that set it.

    """

    cluster: str
    revision: int
    items: dict[str, tuple[bytes, int]]


class StateNode:
    """
    Runs one replica, and proposes and reads through it.

    """

    def __init__(
        self,
        replica: Replica,
        reports: Reports,
        seeds: formation.Seeds | None = None,
    ) -> None:
        self.replica = replica
        self.reports = reports
        self.seeds = seeds or formation.Seeds(replica.others, may_form=True)
        self.leadership: Leadership | None = None

    async def run(self) -> None:
        """
        The replica's main task: forms or joins the state, then campaigns and leads.

        """
        replica = self.replica
        await formation.form_or_join(replica, self.seeds)
        await replica.env.spawn(formation.distribute_genesis, replica)
        while True:
            await wait_for_election_timeout(replica)
            try:
                if not await campaign(replica):
                    continue
            except OSError as error:
                replica.record_disk_failure(error)
                continue
            self.leadership = Leadership(replica)
            try:
                await self.leadership.run()
            except OSError as error:
                replica.record_disk_failure(error)
            self.leadership = None

    async def take_snapshots(self) -> None:
        """
        The task that replaces a long log by a snapshot, on the leader and on followers.

        """
        while True:
            await curio.sleep(self.replica.heartbeat_s * 4)
            try:
                await self.replica.snapshot_if_due()
            except OSError as error:
                self.replica.record_disk_failure(error)

    @property
    def leads(self) -> bool:
        return self.replica.state is ReplicaState.LEADER

    def update_metrics(self) -> None:
        """
        Set the gauges that only the leader has; 0 on other replicas.

        """
        leadership = self.leadership
        metrics = self.replica.env.metrics
        metrics.voter_lag_bytes.set({}, leadership.voter_lag_bytes() if leadership else 0)
        metrics.voter_silent_seconds.set({}, leadership.voter_silent_s() if leadership else 0.0)

    def describe(self) -> str:
        """
        What this replica knows of the state's leader, voters and log, for log lines.

        """
        parts = [self.replica.describe()]
        if self.leadership is not None:
            parts.append(self.leadership.describe())
        return ' '.join(parts)

    async def propose(self, command: AnyCommand) -> Result:
        """
        Commit a command as leader and return its result.

        :raises Refused: with NOT_RUN if this replica isn't the leader; with MAY_HAVE_RUN if the
            outcome isn't known in time or this replica steps down, as the command may still be
            committed.

        """
        if not self.leads:
            raise Refused(Refusal(Reason.NO_QUORUM, detail='this replica does not lead'))
        pending = await self.replica.propose(command)
        unknown = Refusal(Reason.NO_QUORUM, Verdict.MAY_HAVE_RUN, 'no quorum confirmed it')
        try:
            async with curio.timeout_after(PROPOSE_TIMEOUT_S):
                await pending.settled.wait()
        except curio.TaskTimeout:
            raise Refused(unknown) from None
        if not pending.applied:
            raise Refused(unknown)
        return pending.result

    async def answer_propose(self, data: bytes) -> Proposed:
        """
        Propose an encoded command, and return the outcome as a message.

        """
        try:
            result = await self.propose(decode_command(data))
        except msgspec.ValidationError as error:
            return Proposed(False, b'', Reason.INVALID.value, str(error))
        except Refused as error:
            verdict = error.refusal.verdict.value
            return Proposed(
                False, verdict.encode(), error.refusal.reason.value, self.replica.leader
            )
        return Proposed(True, msgspec.msgpack.encode(result))

    async def read(self, target: ReadTarget, timeout: float) -> bytes | None:
        """
        The target's data as JSON. None if this replica doesn't lead, or if no majority confirms
        within `timeout` seconds that it still leads.

        """
        leadership = self.leadership
        if leadership is None or not await leadership.confirm_leadership(timeout):
            return None
        if target is ReadTarget.REPORTS:
            return msgspec.json.encode([known.row for known in self.reports.by_instance.values()])
        if target is ReadTarget.INDEX:
            committed = CommittedIndex(self.replica.cluster, self.replica.commit)
            return msgspec.json.encode(committed)
        return msgspec.json.encode(self.state_body())

    def state_body(self) -> StateBody:
        """
        The configuration as this replica has applied it.

        """
        view = self.replica.view
        items = {key: (stored.value, int(stored.revision)) for key, stored in view.items.items()}
        return StateBody(view.cluster, view.revision, items)

    async def answer_read(self, message: ReadState) -> StateView:
        """
        Answer a read request from another process. The answer contains the id of the leader that
        this replica knows.

        """
        body = await self.read(ReadTarget(message.what), PROPOSE_TIMEOUT_S)
        return StateView(body is not None, body or b'', self.replica.leader)


def decode_apply_result(data: bytes) -> ApplyResult:
    return msgspec.msgpack.decode(data, type=ApplyResult)


def decode_claim_result(data: bytes) -> ClaimResult:
    return msgspec.msgpack.decode(data, type=ClaimResult)
