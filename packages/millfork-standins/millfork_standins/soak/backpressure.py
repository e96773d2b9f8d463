"""
What back ends say of themselves in a run, by seed, and whether entries heeded it.

Drawn apart from the faults, which stay the same with and without it.

"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Final

from millfork_platform import standins
from millfork_standins.seeded import BackEnd

MAX_GAP_S: Final = 4.0
MIN_SIGNAL_S: Final = 4.0
MAX_SIGNAL_S: Final = 9.0
LIMITS_PER_S: Final = (0.5, 5.0)
RESTS_S: Final = (0.5, 3.0)
# How long the word may take to be heeded, and in what time requests are counted.
REACTION_TIME_S: Final = 3.0
WINDOW_S: Final = 4.0
# An entry that was struck may know nothing, as may those that lost a connection with it: so
# many callers send meanwhile.
EXTRA_REQUESTS_PER_FAULT: Final = 6


class SignalKind(Enum):
    """
    What a back end says of itself in all its answers.

    """

    LIMIT = 'limit'
    REST = 'rest'
    TURNED_AWAY = 'turned_away'


@dataclass(frozen=True, slots=True)
class PlannedSignal:
    """
    What one back end says of itself from a moment on: seconds from the begin, how long, the
    value of a limit (requests a second) or of a rest (seconds).

    """

    at_s: float
    duration_s: float
    kind: SignalKind
    back_end: int
    value: float = 0.0


def plan_signals(seed: int, seconds: float, back_ends: int) -> list[PlannedSignal]:
    """
    What back ends say in a run, in order; each one thing at a time.

    """
    random = Random(f'backpressure {seed}')
    signals: list[PlannedSignal] = []
    available_at = [0.0] * back_ends
    at_s = 0.0
    while True:
        at_s += random.uniform(0.0, MAX_GAP_S)
        if at_s >= seconds:
            return signals
        back_end = random.randrange(back_ends)
        if at_s < available_at[back_end]:
            continue
        kind = random.choice(list(SignalKind))
        value = random.uniform(*(LIMITS_PER_S if kind is SignalKind.LIMIT else RESTS_S))
        duration_s = random.uniform(MIN_SIGNAL_S, MAX_SIGNAL_S)
        available_at[back_end] = at_s + duration_s
        signals.append(PlannedSignal(at_s, duration_s, kind, back_end, value))


def begin_signal(back_end: BackEnd, planned: PlannedSignal) -> None:
    """
    Send a signal with all answers from now on.

    """
    if planned.kind is SignalKind.LIMIT:
        back_end.says = {standins.LIMIT: f'{planned.value:.3f}'}
        return
    back_end.turns_away = True
    if planned.kind is SignalKind.REST:
        back_end.says = {standins.RETRY_AFTER: f'{planned.value:.3f}'}


def end_signal(back_end: BackEnd) -> None:
    """
    Send no signal any more.

    """
    back_end.turns_away = False
    back_end.says = {}


@dataclass(frozen=True, slots=True)
class LimitPeriod:
    """
    A back end that named a limit from one moment to another (monotonic seconds).

    """

    back_end: BackEnd
    limit_per_s: float
    began_at: float
    ended_at: float


def find_exceeded_limits(
    limit_periods: Iterable[LimitPeriod], entry_faults_at: list[float]
) -> list[str]:
    """
    Limits that were not kept, in words; `struck_at` is when entries were struck.

    """
    violations = []
    for period in limit_periods:
        arrivals = [
            at
            for at in period.back_end.arrived_at
            if period.began_at + REACTION_TIME_S <= at <= period.ended_at
        ]
        for first in arrivals:
            count = sum(first <= at < first + WINDOW_S for at in arrivals)
            entry_faults = sum(
                first - REACTION_TIME_S - WINDOW_S <= at < first + WINDOW_S
                for at in entry_faults_at
            )
            allowed = (
                1.5 * period.limit_per_s * WINDOW_S + 5 + EXTRA_REQUESTS_PER_FAULT * entry_faults
            )
            if count > allowed:
                violations.append(
                    f'{period.back_end.instance} named {period.limit_per_s:.2f} a second and got '
                    f'{count} requests in {WINDOW_S:g} s, allowed {allowed:.0f}'
                )
                break
    return violations
