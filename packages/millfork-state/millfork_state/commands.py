"""
Commands to the replicated state, and their results.

Commands are idempotent: `Apply` carries a command id, `ClaimKey` and `SettleKey` the id of an
attempt, and `Raise` a version. Times are milliseconds since the epoch, set by the leader.

"""

from enum import Enum
from random import Random
from typing import Final

import msgspec

# Size of the random id of a command.
COMMAND_ID_BITS: Final = 128


class Command(msgspec.Struct, tag=True, frozen=True):
    """
    Base of all commands.

    """


class Change(msgspec.Struct, frozen=True):
    """
    Set one key, or remove it if `value` is None. A change with a revision in `expect` conflicts
    if the key was set or removed after that revision.

    """

    key: str
    value: bytes | None = None
    expect: int | None = None


class Noop(Command, frozen=True):
    """
    The command of the first log entry in a leader's term. It changes nothing.

    """


class SetMembers(Command, frozen=True):
    """
    Replace the voters of `cluster` by `members`, which are pairs of instance and disk id.

    """

    cluster: str
    members: list[tuple[str, str]]


class Apply(Command, frozen=True):
    """
    Change the configuration atomically: all changes or none.

    """

    command_id: str
    changes: list[Change]
    at_ms: int = 0


class ClaimKey(Command, frozen=True):
    """
    Claim an idempotency key for one attempt to run a request.

    """

    key: str
    attempt: str
    fingerprint: str
    at_ms: int = 0


class SettleKey(Command, frozen=True):
    """
    Record the answer of the attempt that holds an idempotency key or, if `released`, free the key
    for another claim, as the attempt did not run.

    """

    key: str
    attempt: str
    released: bool
    status: int = 0
    headers: list[tuple[str, str]] = []
    body: bytes = b''
    at_ms: int = 0


class Raise(Command, frozen=True):
    """
    Set one key to a value with a version. The command changes nothing if the stored version is
    equal or higher.

    """

    key: str
    version: int
    value: bytes


AnyCommand = Noop | SetMembers | Apply | ClaimKey | SettleKey | Raise


class ApplyResult(msgspec.Struct, frozen=True):
    """
    The outcome of `Apply`: whether its changes were made, the revision in force afterwards, and the
    keys in conflict.

    """

    ok: bool
    revision: int
    conflicts: list[str] = []


class ClaimState(Enum):
    """
    The answer to a claim of an idempotency key.

    GRANTED: the attempt holds the key. IN_PROGRESS: another attempt holds it. MAY_HAVE_RUN: another
    attempt holds it and was not settled in time. DONE: another attempt has an answer. REUSED: the
    key was claimed for a request with another fingerprint.

    """

    GRANTED = 'granted'
    IN_PROGRESS = 'in_progress'
    MAY_HAVE_RUN = 'may_have_run'
    DONE = 'done'
    REUSED = 'reused'


class ClaimResult(msgspec.Struct, frozen=True):
    """
    The outcome of `ClaimKey`. If `state` is DONE, the other fields hold the answer of the attempt
    that holds the key.

    """

    state: ClaimState
    status: int = 0
    headers: list[tuple[str, str]] = []
    body: bytes = b''


class RaiseResult(msgspec.Struct, frozen=True):
    """
    The outcome of `Raise`: whether it changed the key, and the version stored afterwards.

    """

    raised: bool
    version: int


class Versioned(msgspec.Struct, frozen=True, array_like=True):
    """
    A value that `Raise` set, with its version.

    """

    version: int
    body: bytes


def encode_versioned(value: Versioned) -> bytes:
    return msgspec.msgpack.encode(value)


def decode_versioned(data: bytes) -> Versioned:
    """
    Decode a versioned value.

    :raises msgspec.ValidationError: if `data` isn't a versioned value.

    """
    return msgspec.msgpack.decode(data, type=Versioned)


Result = ApplyResult | ClaimResult | RaiseResult | None


def new_command_id(random: Random) -> str:
    """
    A random id for `Apply`.

    """
    return f'{random.getrandbits(COMMAND_ID_BITS):x}'


def encode_command(command: Command) -> bytes:
    return msgspec.msgpack.encode(command)


def decode_command(data: bytes) -> AnyCommand:
    """
    Decode a command.

    :raises msgspec.ValidationError: if `data` isn't a command.

    """
    return msgspec.msgpack.decode(data, type=AnyCommand)
