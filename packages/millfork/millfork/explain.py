"""
Counts requests by outcome and time, from the logs of entries (front proxies).

"""

import re
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Final

# The last log line that an entry writes for each request.
REQUEST_ENDED: Final = re.compile(r'(\d\d):(\d\d):(\d\d\.\d+) \w+ proxy: Request ended\. (.*)')
SECONDS_PER_DAY: Final = 86_400


class Cause(Enum):
    """
    The outcome of a request, and why. A served request is late if its first token took longer
    than `EndedRequest.left_ms`, for one of three causes: an entry had turned the caller away
    before; the entry expected a late first token because the engines were full; or the entry did
    not foresee the delay.

    """

    IN_TIME = 'in time'
    SERVED = 'served'
    LATE_AFTER_REFUSAL = 'late: came back'
    LATE_ENGINES_FULL = 'late: full engines'
    LATE_UNFORESEEN = 'late: unforeseen'
    BUSY = 'refused: busy'
    NO_SERVER = 'refused: no server'
    LIMITED = 'refused: limits'
    RESTING = 'refused: rest'
    LEAVING = 'refused: leaving'
    QUARANTINED = 'refused: quarantine'
    REFUSED = 'refused: other'
    FAILED = 'failed'
    CALLER_LEFT = 'caller left'


# The cause for each reason that an entry gives for a refusal. All other reasons are `REFUSED`.
CAUSE_BY_REFUSAL_REASON: Final = {
    'busy': Cause.BUSY,
    'no_endpoint': Cause.NO_SERVER,
    'limited': Cause.LIMITED,
    'resting': Cause.RESTING,
    'leaving': Cause.LEAVING,
    'suspected': Cause.QUARANTINED,
    'quarantined': Cause.QUARANTINED,
    'quarantined_part': Cause.QUARANTINED,
}


@dataclass(frozen=True, slots=True)
class EndedRequest:
    """
    One request, from the entry's last log line about the request. `at_s` is the time of arrival,
    in seconds since midnight; `first_ms` is the time to the first token (-1: none).
    `expected_ms` is the entry's last estimate of the time to the first token, and `left_ms` the
    time that the route's target left for the first token at the time of the estimate (both 0: the
    entry made no estimate). `elapsed_ms` is the time from the caller's first try, which was turned
    away, to this arrival (0: this is the first try, or no earlier try is known).

    """

    at_s: float
    outcome: str
    reason: str = ''
    first_ms: float = -1.0
    expected_ms: float = 0.0
    left_ms: float = 0.0
    elapsed_ms: float = 0.0


def read_ended_requests(lines: Iterable[str]) -> Iterator[EndedRequest]:
    """
    Parse the lines that report the end of a request; other lines are skipped.

    """
    for line in lines:
        found = REQUEST_ENDED.search(line)
        if found is None:
            continue
        hours, minutes, seconds, rest = found.groups()
        fields = dict(item.split('=', 1) for item in rest.split() if '=' in item)
        ended_s = int(hours) * 3600 + int(minutes) * 60 + float(seconds)
        yield EndedRequest(
            (ended_s - _number(fields, 'ms') / 1000) % SECONDS_PER_DAY,
            fields.get('outcome', ''),
            fields.get('reason', ''),
            _number(fields, 'first_ms', -1.0),
            _number(fields, 'expected_ms'),
            _number(fields, 'left_ms'),
            _number(fields, 'elapsed_ms'),
        )


def _number(fields: dict[str, str], name: str, default: float = 0.0) -> float:
    try:
        return float(fields[name])
    except (KeyError, ValueError):
        return default


def determine_cause(request: EndedRequest) -> Cause:
    """
    Determine the cause of a request's outcome from the fields of the log line.

    """
    if request.outcome == 'served':
        return _determine_cause_of_served(request)
    if request.outcome == 'caller_gone':
        return Cause.CALLER_LEFT
    if request.outcome != 'refused':
        return Cause.FAILED
    return CAUSE_BY_REFUSAL_REASON.get(request.reason, Cause.REFUSED)


def _determine_cause_of_served(request: EndedRequest) -> Cause:
    if not request.left_ms and not request.expected_ms:
        # The service has no engines, so the entry made no estimate.
        return Cause.SERVED
    if 0 <= request.first_ms <= request.left_ms:
        return Cause.IN_TIME
    if request.elapsed_ms > 0:
        return Cause.LATE_AFTER_REFUSAL
    if request.expected_ms > request.left_ms:
        return Cause.LATE_ENGINES_FULL
    return Cause.LATE_UNFORESEEN


def format_table(requests: Iterable[EndedRequest], interval_s: float) -> list[str]:
    """
    Format a table with the number of requests of each cause: a heading, a line for each interval
    of `interval_s` seconds in which a request arrived, and a line of totals. The first interval
    begins with the first request. Without requests, the table is empty.

    """
    ordered = sorted(requests, key=lambda request: request.at_s)
    if not ordered:
        return []
    started_at_s = ordered[0].at_s
    counts_by_interval: dict[int, Counter[Cause]] = {}
    for request in ordered:
        interval = int((request.at_s - started_at_s) / interval_s)
        counts_by_interval.setdefault(interval, Counter())[determine_cause(request)] += 1
    total = sum(counts_by_interval.values(), Counter())
    causes = [cause for cause in Cause if total[cause]]
    lines = [_row('from second', [cause.value for cause in causes])]
    for interval, counts in sorted(counts_by_interval.items()):
        lines.append(_row(f'{interval * interval_s:g}', [str(counts[cause]) for cause in causes]))
    lines.append(_row('all', [str(total[cause]) for cause in causes]))
    return lines


def _row(name: str, cells: list[str]) -> str:
    return f'{name:<12}' + ''.join(f'{cell:>20}' for cell in cells)
