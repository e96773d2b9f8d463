"""
Draws backpressure signals of back ends from a seed, and checks that entries respect the limits.

The signals have their own random generator, so that a seed gives the same faults with and
without signals.

"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Final

from millfork_platform import client_requests
from millfork_standins.back_end import BackEnd

MAX_GAP_S: Final = 4.0
MIN_SIGNAL_S: Final = 4.0
MAX_SIGNAL_S: Final = 9.0
LIMIT_RANGE_PER_S: Final = (0.5, 5.0)
RETRY_AFTER_RANGE_S: Final = (0.5, 3.0)
# The time that entries may take to apply an announced limit.
REACTION_TIME_S: Final = 3.0
# The length of the windows in which requests are counted.
WINDOW_S: Final = 4.0
# Requests beyond a limit that are allowed each time that a fault of an entry begins or ends, one
# for each caller: the entry and the daemons that lost their connection to the entry may not know
# the limit.
EXTRA_REQUESTS_PER_FAULT: Final = 6


class SignalKind(Enum):
    """
    The backpressure signal that a back end sends with all its answers: a limit, or a 503 with
    (`RETRY_AFTER`) or without (`TURNED_AWAY`) a retry-after time.

    """

    LIMIT = 'limit'
    RETRY_AFTER = 'rest'
    TURNED_AWAY = 'turned_away'


@dataclass(frozen=True, slots=True)
class PlannedSignal:
    """
    A signal of one back end, `at_s` after the start of the run. `value` is a limit in
    requests/s or a retry-after time in seconds; it is not used with `TURNED_AWAY`.

    """

    at_s: float
    duration_s: float
    kind: SignalKind
    back_end: int
    value: float = 0.0


def plan_signals(seed: int, seconds: float, back_ends: int) -> list[PlannedSignal]:
    """
    Return the signals of a run sorted by start time; those of one back end do not overlap.

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
        value = random.uniform(
            *(LIMIT_RANGE_PER_S if kind is SignalKind.LIMIT else RETRY_AFTER_RANGE_S)
        )
        duration_s = random.uniform(MIN_SIGNAL_S, MAX_SIGNAL_S)
        available_at[back_end] = at_s + duration_s
        signals.append(PlannedSignal(at_s, duration_s, kind, back_end, value))


def begin_signal(back_end: BackEnd, planned: PlannedSignal) -> None:
    """
    Make the back end send the planned signal with all answers until `end_signal` is called.

    """
    if planned.kind is SignalKind.LIMIT:
        back_end.extra_headers = {client_requests.SERVER_LIMIT: f'{planned.value:.3f}'}
        return
    back_end.turns_away = True
    if planned.kind is SignalKind.RETRY_AFTER:
        back_end.extra_headers = {client_requests.RETRY_AFTER: f'{planned.value:.3f}'}


def end_signal(back_end: BackEnd) -> None:
    """
    Make the back end stop sending a signal.

    """
    back_end.turns_away = False
    back_end.extra_headers = {}


@dataclass(frozen=True, slots=True)
class LimitPeriod:
    """
    A period (monotonic seconds) in which a back end announced a limit.

    """

    back_end: BackEnd
    limit_per_s: float
    began_at: float
    ended_at: float


def find_exceeded_limits(
    limit_periods: Iterable[LimitPeriod], entry_faults_at: list[float]
) -> list[str]:
    """
    Describe each period in which a back end got more requests within `WINDOW_S` than the limit
    and the tolerances allow. `entry_faults_at` has the times (monotonic seconds) at which faults
    of entries began and ended.

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
                    f'{period.back_end.instance} announced {period.limit_per_s:.2f} requests/s '
                    f'and got {count} requests in {WINDOW_S:g} s, allowed {allowed:.0f}'
                )
                break
    return violations
