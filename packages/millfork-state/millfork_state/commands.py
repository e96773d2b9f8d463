"""
Commands to the replicated state, and their results.

Commands are idempotent: `Apply` carries an id, a claim its attempt, and a raise its version.
Times are milliseconds since the epoch, set by the leader.

"""

from enum import Enum

import msgspec


class Command(msgspec.Struct, tag=True, frozen=True):
    """
    Base of all commands.

    """


class Change(msgspec.Struct, frozen=True):
    """
    Set one key, or remove it if `value` is None. With `expect`, the change conflicts if the key
    was set or removed after that revision.

    """

    key: str
    value: bytes | None = None
    expect: int | None = None


class Noop(Command, frozen=True):
    """
    The first entry of a new leader's term. It changes nothing.

    """


class SetMembers(Command, frozen=True):
    """
    Replace the voters, which are pairs of instance and disk id.

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
    Claim an idempotency key for one attempt.

    """

    key: str
    attempt: str
    fingerprint: str
    at_ms: int = 0


class SettleKey(Command, frozen=True):
    """
    Record how a claimed attempt ended. If `released`, it did not run and the key is free again.

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
    Set one key to a value of a higher version. A version not above the stored
    one changes nothing.

    """

    key: str
    version: int
    value: bytes


AnyCommand = Noop | SetMembers | Apply | ClaimKey | SettleKey | Raise


class ApplyResult(msgspec.Struct, frozen=True):
    """
    The outcome of `Apply`: the revision after it, or the keys in conflict.

    """

    ok: bool
    revision: int
    conflicts: list[str] = []


class ClaimState(Enum):
    """
    The state of an idempotency key, as a claim of it finds it.

    """

    GRANTED = 'granted'
    IN_PROGRESS = 'in_progress'
    MAY_HAVE_RUN = 'may_have_run'
    DONE = 'done'
    REUSED = 'reused'


class ClaimResult(msgspec.Struct, frozen=True):
    """
    The outcome of `ClaimKey`. A DONE key carries the answer of its first attempt.

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
    The value of a key that `Raise` sets.

    """

    version: int
    body: bytes


def encode_versioned(value: Versioned) -> bytes:
    return msgspec.msgpack.encode(value)


def decode_versioned(data: bytes) -> Versioned:
    """
    Decode a versioned value.

    :raises msgspec.ValidationError: if `data` isn't one.

    """
    return msgspec.msgpack.decode(data, type=Versioned)


Result = ApplyResult | ClaimResult | RaiseResult | None


def encode_command(command: Command) -> bytes:
    return msgspec.msgpack.encode(command)


def decode_command(data: bytes) -> AnyCommand:
    """
    Decode a command.

    :raises msgspec.ValidationError: if `data` isn't one.

    """
    return msgspec.msgpack.decode(data, type=AnyCommand)
