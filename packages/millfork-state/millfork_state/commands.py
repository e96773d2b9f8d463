"""
Commands to the replicated state, and their results.

Every command carries an id, so that one sent again gets its first result.
Times are milliseconds since the epoch, stamped by the leader.

"""

from enum import Enum

import msgspec


class Command(msgspec.Struct, tag=True, frozen=True):
    """
    Base of all commands.

    """


class Change(msgspec.Struct, frozen=True):
    """
    Set or remove one key. With `expect`, the change holds only if nobody set
    or removed the key after that revision.

    """

    key: str
    value: bytes | None = None
    expect: int | None = None


class Noop(Command, frozen=True):
    """
    A new leader's first entry.

    """


class SetMembers(Command, frozen=True):
    """
    The voters from here on: pairs of instance and disk id.

    """

    cluster: str
    members: list[tuple[str, str]]


class Apply(Command, frozen=True):
    """
    Change configuration: all changes or none.

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
    Say how a claimed attempt ended. With `released` it did not run.

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
    Set one key to a value of a higher version; a version that is not above
    the one held changes nothing.

    """

    key: str
    version: int
    value: bytes


AnyCommand = Noop | SetMembers | Apply | ClaimKey | SettleKey | Raise


class ApplyResult(msgspec.Struct, frozen=True):
    """
    The outcome of `Apply`: the revision it made, or the keys in conflict.

    """

    ok: bool
    revision: int
    conflicts: list[str] = []


class ClaimState(Enum):
    """
    What is known of a claimed key.

    """

    GRANTED = 'granted'
    IN_PROGRESS = 'in_progress'
    MAY_HAVE_RUN = 'may_have_run'
    DONE = 'done'
    REUSED = 'reused'


class ClaimResult(msgspec.Struct, frozen=True):
    """
    The outcome of `ClaimKey`; a DONE key brings its first answer.

    """

    state: ClaimState
    status: int = 0
    headers: list[tuple[str, str]] = []
    body: bytes = b''


class RaiseResult(msgspec.Struct, frozen=True):
    """
    The outcome of `Raise`: whether it changed the key, and the version held.

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
    The versioned value in `data`.

    :raises msgspec.ValidationError: if there is none.

    """
    return msgspec.msgpack.decode(data, type=Versioned)


Result = ApplyResult | ClaimResult | RaiseResult | None


def encode_command(command: Command) -> bytes:
    return msgspec.msgpack.encode(command)


def decode_command(data: bytes) -> AnyCommand:
    """
    The command in `data`.

    :raises msgspec.ValidationError: if there is none.

    """
    return msgspec.msgpack.decode(data, type=AnyCommand)
