"""
Histories of concurrent operations on the configuration, and a check of linearizability.

The check orders the changes by the revisions that the system reported. This order must agree
with real time, with compare-and-set and with every read.

"""

from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum


class Outcome(Enum):
    """
    The result of an operation as its caller saw it.

    """

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class Put:
    """
    One attempt to change a key. All attempts at one change have the same command id. The change
    must be refused if the key has changed after revision `expect` (None: no condition). Times are
    in seconds on one clock; `returned` is not used if the outcome is unknown. `revision` is the
    revision that the change got, or 0 unless the change was accepted.

    """

    command: str
    key: str
    value: str
    expect: int | None
    invoked: float
    returned: float
    outcome: Outcome
    revision: int = 0


@dataclass(frozen=True, slots=True)
class Read:
    """
    The result of a linearizable read: the revision of the configuration, and the value and
    revision of each key.

    """

    invoked: float
    returned: float
    revision: int
    items: dict[str, tuple[str, int]]


@dataclass(frozen=True, slots=True)
class Observation:
    """
    The revision in force on the instance `observer` at one moment.

    """

    observer: str
    at: float
    revision: int


@dataclass(slots=True)
class History:
    """
    All operations and observations of a run.

    """

    puts: list[Put] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)
    observations: list[Observation] = field(default_factory=list)


@dataclass(slots=True)
class _Command:
    """
    An accepted change. `invoked` is the time at which the first attempt began, `returned` the
    earliest time at which an attempt returned as accepted (infinity if none did).

    """

    key: str
    value: str
    expect: int | None
    invoked: float
    returned: float
    revision: int


def find_violations(history: History) -> list[str]:
    """
    Describe everything in the history that a linearizable system cannot produce.

    """
    violations = _check_resends(history)
    commands = _find_accepted_commands(history)
    violations += _check_order(commands)
    violations += _check_compare_and_set(commands)
    violations += _check_conflicts(history, commands)
    violations += _check_reads(history, commands)
    violations += _check_observations(history)
    return violations


def _check_resends(history: History) -> list[str]:
    """
    Find commands whose attempts got different known outcomes or different revisions.

    """
    answers_by_command: dict[str, set[tuple[Outcome, int]]] = defaultdict(set)
    for put in history.puts:
        if put.outcome is not Outcome.UNKNOWN:
            answers_by_command[put.command].add((put.outcome, put.revision))
    return [
        f'command {command} got {len(found)} different results'
        for command, found in answers_by_command.items()
        if len(found) > 1
    ]


def _find_accepted_commands(history: History) -> list[_Command]:
    """
    Return the accepted commands sorted by revision, including those known only from a read of
    their value.

    """
    revisions: dict[str, int] = {}
    for read in history.reads:
        revisions.update(dict(read.items.values()))
    first_invoked: dict[str, float] = {}
    for put in history.puts:
        first_invoked[put.command] = min(put.invoked, first_invoked.get(put.command, put.invoked))
    accepted: dict[str, _Command] = {}
    for put in history.puts:
        revision = put.revision if put.outcome is Outcome.ACCEPTED else 0
        revision = revision or revisions.get(put.value, 0)
        if not revision:
            continue
        returned_at = put.returned if put.outcome is Outcome.ACCEPTED else float('inf')
        known_command = accepted.get(put.command)
        if known_command is None:
            accepted[put.command] = _Command(
                put.key, put.value, put.expect, first_invoked[put.command], returned_at, revision
            )
            continue
        known_command.returned = min(known_command.returned, returned_at)
    return sorted(accepted.values(), key=lambda command: command.revision)


def _check_order(commands: list[_Command]) -> list[str]:
    """
    Find revisions that were given to two changes, and changes that were accepted before a change
    with a lower revision began.

    """
    violations = []
    for earlier, later in zip(commands, commands[1:], strict=False):
        if earlier.revision == later.revision:
            violations.append(f'revision {later.revision} was given twice')
    latest_invoked = 0.0
    for command in commands:
        if command.returned < latest_invoked:
            violations.append(f'revision {command.revision} was accepted before a lower one began')
        latest_invoked = max(latest_invoked, command.invoked)
    return violations


def _check_compare_and_set(commands: list[_Command]) -> list[str]:
    """
    Find conditional changes accepted although their key changed after the expected revision.

    """
    violations = []
    for command in commands:
        if command.expect is None:
            continue
        for other in commands:
            is_between = command.expect < other.revision < command.revision
            if other.key == command.key and is_between:
                violations.append(f'revision {command.revision} ignores revision {other.revision}')
    return violations


def _check_conflicts(history: History, commands: list[_Command]) -> list[str]:
    """
    Find conflicts that no other change of the key, accepted or of unknown outcome, can explain.

    """
    violations = []
    for put in history.puts:
        if put.outcome is not Outcome.CONFLICT or put.expect is None:
            continue
        others = [c for c in commands if c.key == put.key and c.revision > put.expect]
        unknown = [
            other
            for other in history.puts
            if other.key == put.key
            and other.outcome is Outcome.UNKNOWN
            and other.command != put.command
        ]
        if not others and not unknown:
            violations.append(f'command {put.command} got a conflict without a conflicting change')
    return violations


def _check_reads(history: History, commands: list[_Command]) -> list[str]:
    """
    Find reads that miss a change accepted before the read began, contain a change that began
    after the read returned, or differ from the newest change of a key up to the read's revision.

    """
    violations = []
    for read in history.reads:
        newest: dict[str, _Command] = {}
        for command in commands:
            if command.revision <= read.revision:
                newest[command.key] = command
            elif command.returned < read.invoked:
                violations.append(
                    f'a read at revision {read.revision} misses revision {command.revision}'
                )
            if command.revision <= read.revision and command.invoked > read.returned:
                violations.append(
                    f'a read at revision {read.revision} has a change that began later'
                )
        for key, command in newest.items():
            if read.items.get(key) != (command.value, command.revision):
                found = read.items.get(key)
                violations.append(f'a read at revision {read.revision} has {key} as {found}')
    return violations


def _check_observations(history: History) -> list[str]:
    """
    Find observers that saw the revision decrease.

    """
    violations = []
    last: dict[str, int] = {}
    for seen in sorted(history.observations, key=lambda seen: seen.at):
        if seen.revision < last.get(seen.observer, 0):
            violations.append(f'{seen.observer} went back to revision {seen.revision}')
        last[seen.observer] = seen.revision
    return violations
