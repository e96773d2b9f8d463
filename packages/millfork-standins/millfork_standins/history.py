"""
Histories of concurrent operations on the configuration, and their check.

The checker is sound by the revisions that the system names: they must give
one order that fits real time, compare-and-set and every read.

"""

from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum


class Outcome(Enum):
    """
    How an operation ended for who asked.

    """

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class Put:
    """
    One sending of a change. Sendings of one command share its id. Times are
    seconds on one clock; `returned` is meaningless if the outcome is unknown.

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
    A linearizable read: the revision, and each key's value and revision.

    """

    invoked: float
    returned: float
    revision: int
    items: dict[str, tuple[str, int]]


@dataclass(frozen=True, slots=True)
class Observation:
    """
    What one observer saw in force at one moment.

    """

    observer: str
    at: float
    revision: int


@dataclass(slots=True)
class History:
    """
    Everything recorded in one run.

    """

    puts: list[Put] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)
    observations: list[Observation] = field(default_factory=list)


@dataclass(slots=True)
class _Command:
    key: str
    value: str
    expect: int | None
    invoked: float
    returned: float
    revision: int


def find_violations(history: History) -> list[str]:
    """
    Everything in the history that no correct system could have done.

    """
    found = _check_resends(history)
    commands = _commands(history)
    found += _check_order(commands)
    found += _check_compare_and_set(commands)
    found += _check_conflicts(history, commands)
    found += _check_reads(history, commands)
    found += _check_observations(history)
    return found


def _check_resends(history: History) -> list[str]:
    """
    A resent command has one outcome and one revision.

    """
    answers: dict[str, set[tuple[Outcome, int]]] = defaultdict(set)
    for put in history.puts:
        if put.outcome is not Outcome.UNKNOWN:
            answers[put.command].add((put.outcome, put.revision))
    return [
        f'command {command} was answered in {len(found)} ways'
        for command, found in answers.items()
        if len(found) > 1
    ]


def _commands(history: History) -> list[_Command]:
    """
    The accepted commands, also those known to be so only from a read.

    """
    revisions: dict[str, int] = {}
    for read in history.reads:
        revisions.update(dict(read.items.values()))
    found: dict[str, _Command] = {}
    for put in history.puts:
        revision = put.revision if put.outcome is Outcome.ACCEPTED else 0
        revision = revision or revisions.get(put.value, 0)
        if not revision:
            continue
        ended = put.returned if put.outcome is Outcome.ACCEPTED else float('inf')
        held = found.get(put.command)
        if held is None:
            found[put.command] = _Command(
                put.key, put.value, put.expect, put.invoked, ended, revision
            )
            continue
        held.invoked = min(held.invoked, put.invoked)
        held.returned = min(held.returned, ended)
    return sorted(found.values(), key=lambda command: command.revision)


def _check_order(commands: list[_Command]) -> list[str]:
    """
    Revisions are unique and fit real time.

    """
    found = []
    for earlier, later in zip(commands, commands[1:], strict=False):
        if earlier.revision == later.revision:
            found.append(f'revision {later.revision} was given twice')
    latest_invoked = 0.0
    for command in commands:
        if command.returned < latest_invoked:
            found.append(f'revision {command.revision} ended before an earlier one began')
        latest_invoked = max(latest_invoked, command.invoked)
    return found


def _check_compare_and_set(commands: list[_Command]) -> list[str]:
    """
    Nobody changed the key between the revision expected and the one made.

    """
    found = []
    for command in commands:
        if command.expect is None:
            continue
        for other in commands:
            between = command.expect < other.revision < command.revision
            if other.key == command.key and between:
                found.append(f'revision {command.revision} overlooked {other.revision}')
    return found


def _check_conflicts(history: History, commands: list[_Command]) -> list[str]:
    """
    A conflict needs a change that could have come in between.

    """
    found = []
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
            found.append(f'command {put.command} met a conflict with nobody')
    return found


def _check_reads(history: History, commands: list[_Command]) -> list[str]:
    """
    A read holds all that was accepted before it began, and nothing later.

    """
    found = []
    for read in history.reads:
        newest: dict[str, _Command] = {}
        for command in commands:
            if command.revision <= read.revision:
                newest[command.key] = command
            elif command.returned < read.invoked:
                found.append(f'a read at {read.revision} misses revision {command.revision}')
            if command.revision <= read.revision and command.invoked > read.returned:
                found.append(f'a read at {read.revision} saw the future')
        for key, command in newest.items():
            if read.items.get(key) != (command.value, command.revision):
                found.append(f'a read at {read.revision} has {key} as {read.items.get(key)}')
    return found


def _check_observations(history: History) -> list[str]:
    """
    No observer sees the revision go back.

    """
    found = []
    last: dict[str, int] = {}
    for seen in sorted(history.observations, key=lambda seen: seen.at):
        if seen.revision < last.get(seen.observer, 0):
            found.append(f'{seen.observer} went back to revision {seen.revision}')
        last[seen.observer] = seen.revision
    return found
