"""
What became of requests, by cause and moment, from the logs of entries.

"""

import re
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Final

# The last line that an entry writes of each request.
ENDED: Final = re.compile(r'(\d\d):(\d\d):(\d\d\.\d+) \w+ proxy: Request ended\. (.*)')
SECONDS_OF_A_DAY: Final = 86_400


class Cause(Enum):
    """
    What a request came to. Late is what had its first token after the time left for it.

    """

    IN_TIME = 'in time'
    SERVED = 'served'
    RETURNED = 'late: came back'
    FULL = 'late: full engines'
    UNFORESEEN = 'late: unforeseen'
    BUSY = 'refused: busy'
    NOTHING_SERVES = 'refused: no server'
    LIMITED = 'refused: limits'
    RESTING = 'refused: rest'
    LEAVING = 'refused: leaving'
    REFUSED = 'refused: other'
    FAILED = 'failed'
    LEFT = 'caller left'


# By the reason that the entry gave.
CAUSES_OF_REFUSALS: Final = {
    'busy': Cause.BUSY,
    'no_endpoint': Cause.NOTHING_SERVES,
    'limited': Cause.LIMITED,
    'resting': Cause.RESTING,
    'leaving': Cause.LEAVING,
}


@dataclass(frozen=True, slots=True)
class Ended:
    """
    One request as the entry's last line tells it: when it came (seconds of the day), and
    the times that decided, in ms. `left_ms` is what was left for the first token when an
    engine was last weighed; 0 where none was.

    """

    at_s: float
    outcome: str
    reason: str = ''
    first_ms: float = -1.0
    expected_ms: float = 0.0
    left_ms: float = 0.0
    elapsed_ms: float = 0.0


def read(lines: Iterable[str]) -> Iterator[Ended]:
    """
    The requests that these lines tell of; other lines are passed over.

    """
    for line in lines:
        found = ENDED.search(line)
        if found is None:
            continue
        hours, minutes, seconds, rest = found.groups()
        fields = dict(item.split('=', 1) for item in rest.split() if '=' in item)
        ended_s = int(hours) * 3600 + int(minutes) * 60 + float(seconds)
        yield Ended(
            (ended_s - _number(fields, 'ms') / 1000) % SECONDS_OF_A_DAY,
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


def cause_of(ended: Ended) -> Cause:
    """
    Why a request ended as it did.

    """
    if ended.outcome == 'served':
        return _cause_of_served(ended)
    if ended.outcome == 'caller_gone':
        return Cause.LEFT
    if ended.outcome != 'refused':
        return Cause.FAILED
    return CAUSES_OF_REFUSALS.get(ended.reason, Cause.REFUSED)


def _cause_of_served(ended: Ended) -> Cause:
    if not ended.left_ms and not ended.expected_ms:
        # A plain service's request: nothing was weighed.
        return Cause.SERVED
    if 0 <= ended.first_ms <= ended.left_ms:
        return Cause.IN_TIME
    if ended.elapsed_ms > 0:
        return Cause.RETURNED
    if ended.expected_ms > ended.left_ms:
        return Cause.FULL
    return Cause.UNFORESEEN


def table(requests: Iterable[Ended], every_s: float) -> list[str]:
    """
    A line for each span of so many seconds, counted from the first request, with the
    number of requests of each cause; a line of sums at the end.

    """
    ended = sorted(requests, key=lambda item: item.at_s)
    if not ended:
        return []
    began = ended[0].at_s
    spans: dict[int, Counter[Cause]] = {}
    for item in ended:
        span = int((item.at_s - began) / every_s)
        spans.setdefault(span, Counter())[cause_of(item)] += 1
    total = sum(spans.values(), Counter())
    causes = [cause for cause in Cause if total[cause]]
    lines = [_row('from second', [cause.value for cause in causes])]
    for span, counts in sorted(spans.items()):
        lines.append(_row(f'{span * every_s:g}', [str(counts[cause]) for cause in causes]))
    lines.append(_row('all', [str(total[cause]) for cause in causes]))
    return lines


def _row(name: str, cells: list[str]) -> str:
    return f'{name:<12}' + ''.join(f'{cell:>20}' for cell in cells)
