"""
Draws from a seed the faults of engines with a staging area, of the endpoint daemons beside them,
and the times at which the operator names new versions of the weights.

Both have their own random generators, so that a seed gives the same faults with and without them.

"""

from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Final

# The longest time between the starts of two faults of a fleet with three engines; with more
# engines, faults follow each other as much faster.
MAX_GAP_S: Final = 0.8
ENGINES_PER_GAP: Final = 3
# A sound engine answers a call within 0 ms to 80 ms.
MAX_CALL_S: Final = 0.08
# The most pieces that turn bad at once, and the most writes in a row that store nothing.
MAX_BAD_PIECES: Final = 24
MAX_LOST_WRITES: Final = 4
# An order is taken up to this much later. Until `MAX_ANSWERED_S` a daemon waits for the answer.
MAX_LATE_S: Final = 6.0
MAX_ANSWERED_S: Final = 2.4
MIN_UNANSWERED_S: Final = 2.6
# The platform's rules do not count a pause of a second or so of a sound engine as a fault.
MAX_PAUSE_S: Final = 2.0
MAX_DAEMON_PAUSE_S: Final = 5.0
MAX_DAEMON_DOWN_S: Final = 3.0
# A third of the versions follow the one before at this interval, so that it has not been loaded
# everywhere.
MAX_SERIES_INTERVAL_S: Final = 1.5
MIN_VERSION_INTERVAL_S: Final = 3.0
MAX_VERSION_INTERVAL_S: Final = 9.0
SERIES_SHARE: Final = 0.33


class WeightFaultKind(Enum):
    """
    A fault of an engine, or of the endpoint daemon beside it. After LATE_ANSWER the engine takes
    and answers its next order late; after UNANSWERED it takes the order late and never answers;
    after LATE_TAKE it reads what is staged only when its running requests have ended. A daemon is
    ended by SIGKILL or SIGTERM, or suspended by SIGSTOP.

    """

    SLOW_CALLS = 'slow_calls'
    BAD_PIECES = 'bad_pieces'
    LOST_WRITES = 'lost_writes'
    LATE_ANSWER = 'late_answer'
    UNANSWERED = 'unanswered'
    LATE_TAKE = 'late_take'
    PAUSE_ENGINE = 'pause_engine'
    RESTART_ENGINE = 'restart_engine'
    KILL_DAEMON = 'kill_daemon'
    STOP_DAEMON = 'stop_daemon'
    PAUSE_DAEMON = 'pause_daemon'


LATE_ORDERS: Final = frozenset({WeightFaultKind.LATE_ANSWER, WeightFaultKind.UNANSWERED})
# The share of late orders at whose arrival pieces turn bad, and at whose arrival the daemon ends.
BAD_PIECES_SHARE: Final = 0.5
DAEMON_END_SHARE: Final = 0.25
# The range of the durations; faults that are not named here have none.
DURATIONS_S: Final = {
    WeightFaultKind.SLOW_CALLS: (2.0, 8.0),
    WeightFaultKind.LATE_ANSWER: (0.1, MAX_ANSWERED_S),
    WeightFaultKind.UNANSWERED: (MIN_UNANSWERED_S, MAX_LATE_S),
    WeightFaultKind.LATE_TAKE: (1.0, MAX_LATE_S),
    WeightFaultKind.PAUSE_ENGINE: (0.1, MAX_PAUSE_S),
    WeightFaultKind.KILL_DAEMON: (0.1, MAX_DAEMON_DOWN_S),
    WeightFaultKind.STOP_DAEMON: (0.1, MAX_DAEMON_DOWN_S),
    WeightFaultKind.PAUSE_DAEMON: (0.1, MAX_DAEMON_PAUSE_S),
}
# Pieces turn bad and calls are slow more often than the rest: a layer is loaded from a bad piece
# only if its piece is struck between the staging and the order.
KIND_WEIGHTS: Final = {
    WeightFaultKind.SLOW_CALLS: 4,
    WeightFaultKind.BAD_PIECES: 8,
    WeightFaultKind.LOST_WRITES: 2,
    WeightFaultKind.LATE_ANSWER: 2,
    WeightFaultKind.UNANSWERED: 2,
    WeightFaultKind.LATE_TAKE: 2,
    WeightFaultKind.PAUSE_ENGINE: 2,
    WeightFaultKind.RESTART_ENGINE: 1,
    WeightFaultKind.KILL_DAEMON: 1,
    WeightFaultKind.STOP_DAEMON: 1,
    WeightFaultKind.PAUSE_DAEMON: 2,
}


@dataclass(frozen=True, slots=True)
class WeightFault:
    """
    One fault of the engine `engine` or of its daemon, `at_s` after the start of the run.
    `duration_s` is 0 for faults without a duration. `call_s` is the time of a call during
    `SLOW_CALLS`, `pieces` has the indexes of `BAD_PIECES`, `writes` is the number of `LOST_WRITES`.
    As an order arrives that is to be taken late, these `pieces` turn bad as well, and the daemon is
    killed for `daemon_down_s`, unless that is 0.

    """

    at_s: float
    duration_s: float
    kind: WeightFaultKind
    engine: int
    call_s: float = 0.0
    pieces: tuple[int, ...] = ()
    writes: int = 0
    daemon_down_s: float = 0.0


def plan_weight_faults(seed: int, seconds: float, engines: int, pieces: int) -> list[WeightFault]:
    """
    Return the faults of a run in the order of their times, for engines with `pieces` pieces.

    """
    random = Random(f'weights {seed}')
    faults: list[WeightFault] = []
    at_s = 0.0
    while True:
        at_s += random.uniform(0.0, MAX_GAP_S * ENGINES_PER_GAP / engines)
        if at_s >= seconds:
            return faults
        kind = random.choices(list(KIND_WEIGHTS), list(KIND_WEIGHTS.values()))[0]
        faults.append(_draw_fault(random, at_s, kind, random.randrange(engines), pieces))


def _draw_fault(
    random: Random, at_s: float, kind: WeightFaultKind, engine: int, pieces: int
) -> WeightFault:
    duration_s = random.uniform(*DURATIONS_S.get(kind, (0.0, 0.0)))
    if kind is WeightFaultKind.SLOW_CALLS:
        call_s = random.uniform(0.0, MAX_CALL_S)
        return WeightFault(at_s, duration_s, kind, engine, call_s=call_s)
    if kind is WeightFaultKind.BAD_PIECES:
        return WeightFault(at_s, duration_s, kind, engine, pieces=_draw_pieces(random, pieces))
    if kind in LATE_ORDERS:
        struck = _draw_pieces(random, pieces) if random.random() < BAD_PIECES_SHARE else ()
        down_s = random.uniform(0.1, MAX_LATE_S) if random.random() < DAEMON_END_SHARE else 0.0
        return WeightFault(at_s, duration_s, kind, engine, pieces=struck, daemon_down_s=down_s)
    if kind is WeightFaultKind.LOST_WRITES:
        writes = random.randint(1, MAX_LOST_WRITES)
        return WeightFault(at_s, duration_s, kind, engine, writes=writes)
    return WeightFault(at_s, duration_s, kind, engine)


def _draw_pieces(random: Random, pieces: int) -> tuple[int, ...]:
    return tuple(random.sample(range(pieces), random.randint(1, min(MAX_BAD_PIECES, pieces))))


def plan_versions(seed: int, seconds: float) -> list[float]:
    """
    Return the times, in seconds after the start of the run, at which the operator names the next
    version. The first one is named within the first seconds.

    """
    random = Random(f'versions {seed}')
    times: list[float] = []
    at_s = random.uniform(0.0, MAX_SERIES_INTERVAL_S)
    while at_s < seconds:
        times.append(at_s)
        if random.random() < SERIES_SHARE:
            at_s += random.uniform(0.0, MAX_SERIES_INTERVAL_S)
        else:
            at_s += random.uniform(MIN_VERSION_INTERVAL_S, MAX_VERSION_INTERVAL_S)
    return times
