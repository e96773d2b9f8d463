"""
The state machine that every replica runs over its log.

"""

from collections import OrderedDict
from typing import Final

import msgspec

from millfork_core.ids import Revision
from millfork_state.commands import (
    AnyCommand,
    Apply,
    ApplyResult,
    Change,
    ClaimKey,
    ClaimResult,
    ClaimState,
    Raise,
    RaiseResult,
    Result,
    SettleKey,
    Versioned,
    decode_versioned,
    encode_versioned,
)
from millfork_state.view import StoredValue, View

# The most results of `Apply` that are kept to answer resent commands.
MAX_REMEMBERED_COMMANDS: Final = 20_000
# The most removed keys for which the revision of the removal is kept, to detect conflicts.
MAX_REMEMBERED_REMOVALS: Final = 20_000
# Claims of idempotency keys are forgotten after this time.
CLAIM_LIFETIME_MS: Final = 24 * 3600 * 1000
# An attempt that is not settled within this time may have run: the entry (front proxy) that
# claimed the idempotency key for the attempt counts as lost.
CLAIM_OPEN_TIMEOUT_MS: Final = 120_000


class Claim(msgspec.Struct):
    """
    The attempt that holds an idempotency key, and the attempt's answer once `done`.

    """

    attempt: str
    fingerprint: str
    at_ms: int
    done: bool = False
    status: int = 0
    headers: list[tuple[str, str]] = []
    body: bytes = b''


class Dump(msgspec.Struct):
    """
    The whole state of the state machine, as a snapshot contains it.

    """

    cluster: str
    revision: int
    items: dict[str, tuple[bytes, int]]
    results: list[tuple[str, ApplyResult]]
    claims: list[tuple[str, Claim]]
    members: list[tuple[str, str]]
    removed: list[tuple[str, int]] = []


class StateMachine:
    """
    Applies commands in log order. It is deterministic: equal logs give equal states.

    """

    def __init__(self, view: View) -> None:
        self.view = view
        self.results: OrderedDict[str, ApplyResult] = OrderedDict()
        self.claims: OrderedDict[str, Claim] = OrderedDict()
        self.removed: OrderedDict[str, int] = OrderedDict()

    def apply(self, command: AnyCommand) -> Result:
        """
        Apply one command and return its result, or None if the command has no result.

        """
        if isinstance(command, Apply):
            return self._apply_changes(command)
        if isinstance(command, ClaimKey):
            return self._claim(command)
        if isinstance(command, SettleKey):
            self._settle(command)
        if isinstance(command, Raise):
            return self._raise(command)
        return None

    def _raise(self, command: Raise) -> RaiseResult:
        stored = self.view.items.get(command.key)
        stored_version = decode_versioned(stored.value).version if stored is not None else None
        if stored_version is not None and command.version <= stored_version:
            return RaiseResult(False, stored_version)
        revision = Revision(self.view.revision + 1)
        value = encode_versioned(Versioned(command.version, command.value))
        self.view.apply_change(revision, {command.key: StoredValue(value, revision)}, [])
        return RaiseResult(True, command.version)

    def _apply_changes(self, command: Apply) -> ApplyResult:
        first = self.results.get(command.command_id)
        if first is not None:
            return first
        result = self._change_all(command.changes)
        self.results[command.command_id] = result
        if len(self.results) > MAX_REMEMBERED_COMMANDS:
            self.results.popitem(last=False)
        return result

    def _change_all(self, changes: list[Change]) -> ApplyResult:
        view = self.view
        conflicts = []
        for change in changes:
            if change.expect is None:
                continue
            if self._last_change_revision(change.key) > change.expect:
                conflicts.append(change.key)
        if conflicts:
            return ApplyResult(False, view.revision, conflicts)
        effective = [change for change in changes if self._differs(change.key, change.value)]
        if not effective:
            return ApplyResult(True, view.revision)
        revision = Revision(view.revision + 1)
        items = {c.key: StoredValue(c.value, revision) for c in effective if c.value is not None}
        removed = [c.key for c in effective if c.value is None]
        view.apply_change(revision, items, removed)
        self._remember_removed(revision, removed)
        return ApplyResult(True, revision)

    def _last_change_revision(self, key: str) -> int:
        stored = self.view.items.get(key)
        return stored.revision if stored else self.removed.get(key, 0)

    def _remember_removed(self, revision: int, keys: list[str]) -> None:
        for key in keys:
            self.removed[key] = revision
            self.removed.move_to_end(key)
        while len(self.removed) > MAX_REMEMBERED_REMOVALS:
            self.removed.popitem(last=False)

    def _differs(self, key: str, value: bytes | None) -> bool:
        stored = self.view.items.get(key)
        return (stored.value if stored else None) != value

    def _claim(self, command: ClaimKey) -> ClaimResult:
        self._forget_old_claims(command.at_ms)
        claim = self.claims.get(command.key)
        if claim is None:
            self.claims[command.key] = Claim(command.attempt, command.fingerprint, command.at_ms)
            return ClaimResult(ClaimState.GRANTED)
        if claim.attempt == command.attempt:
            return ClaimResult(ClaimState.GRANTED)
        if claim.fingerprint != command.fingerprint:
            return ClaimResult(ClaimState.REUSED)
        if claim.done:
            return ClaimResult(ClaimState.DONE, claim.status, claim.headers, claim.body)
        if command.at_ms - claim.at_ms > CLAIM_OPEN_TIMEOUT_MS:
            return ClaimResult(ClaimState.MAY_HAVE_RUN)
        return ClaimResult(ClaimState.IN_PROGRESS)

    def _settle(self, command: SettleKey) -> None:
        claim = self.claims.get(command.key)
        if claim is None or claim.attempt != command.attempt or claim.done:
            return
        if command.released:
            del self.claims[command.key]
            return
        claim.done = True
        claim.status = command.status
        claim.headers = command.headers
        claim.body = command.body

    def _forget_old_claims(self, now_ms: int) -> None:
        while self.claims:
            key, claim = next(iter(self.claims.items()))
            if now_ms - claim.at_ms < CLAIM_LIFETIME_MS:
                return
            del self.claims[key]

    def dump(self, members: list[tuple[str, str]]) -> bytes:
        """
        Encode the whole state, together with the voters.

        """
        view = self.view
        items = {key: (stored.value, int(stored.revision)) for key, stored in view.items.items()}
        dump = Dump(
            view.cluster,
            view.revision,
            items,
            list(self.results.items()),
            list(self.claims.items()),
            members,
            list(self.removed.items()),
        )
        return msgspec.msgpack.encode(dump)

    def restore(self, data: bytes) -> None:
        """
        Replace the whole state by the one in a dump.

        """
        dump = msgspec.msgpack.decode(data, type=Dump)
        items = {
            key: StoredValue(value, Revision(revision))
            for key, (value, revision) in dump.items.items()
        }
        self.view.replace(dump.cluster, Revision(dump.revision), items)  # type: ignore[arg-type]
        self.results = OrderedDict(dump.results)
        self.claims = OrderedDict(dump.claims)
        self.removed = OrderedDict(dump.removed)


def members_in(data: bytes) -> list[tuple[str, str]]:
    """
    The voters in a dump.

    """
    return msgspec.msgpack.decode(data, type=Dump).members
