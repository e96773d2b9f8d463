"""
Proposed commands that are not yet applied.

"""

import time

import curio

from millfork_state.commands import (
    AnyCommand,
    Apply,
    ClaimKey,
    Command,
    Noop,
    Result,
    SettleKey,
    encode_command,
)
from millfork_state.storage import LogEntry


class PendingProposal:
    """
    A proposed command. `settled` is set once the command is applied and `result` is known, or
    once this replica no longer leads. In the latter case, `applied` is False, and the command may
    still be committed.

    """

    def __init__(self, command: Command) -> None:
        self.command = command
        self.settled = curio.Event()
        self.applied = False
        self.result: Result = None

    async def settle(self, applied: bool, result: Result = None) -> None:
        self.applied = applied
        self.result = result
        await self.settled.set()


def with_timestamp(command: AnyCommand) -> AnyCommand:
    """
    A copy of the command with the current time, or the command itself if its type has no time.

    """
    at_ms = int(time.time() * 1000)
    if isinstance(command, Apply):
        return Apply(command.command_id, command.changes, at_ms)
    if isinstance(command, ClaimKey):
        return ClaimKey(command.key, command.attempt, command.fingerprint, at_ms)
    if isinstance(command, SettleKey):
        return SettleKey(
            command.key,
            command.attempt,
            command.released,
            command.status,
            command.headers,
            command.body,
            at_ms,
        )
    return command


def noop_entry(term: int, index: int) -> LogEntry:
    return LogEntry(term, index, encode_command(Noop()))
