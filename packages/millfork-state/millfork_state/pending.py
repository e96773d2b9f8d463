"""
Proposals on their way through the log.

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
    A proposal on its way through the log.

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
    The command with the leader's time, where it carries one.

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
