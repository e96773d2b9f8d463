"""
Prompts with a part that crashes each back end which begins to answer them.

"""

import itertools
import threading
from collections.abc import Iterable, Sequence
from random import Random
from typing import Final

from millfork_platform import client_requests
from millfork_standins.http_calls import call
from millfork_standins.late_sends import ENDS_TO_KNOW, KNOWN_AFTER_S, find_late_sends
from millfork_standins.seeded import SeededFleet
from millfork_standins.seeded_ports import CALLERS_PORT
from millfork_standins.soak.callers import API_KEY, DEADLINE_MS, ROUTE_HOST, RequestKind
from millfork_standins.soak.checks import CONTACT_S, Period
from millfork_web.models import Request

CRASHING_PART: Final = 'bad0'
RESTART_DELAY_S: Final = 2.0
REQUEST_INTERVAL_S: Final = 0.3
# The most requests with the part that may reach back ends once all entries must know it.
MAX_SENT_LATE: Final = 3


class CrashingPartCaller:
    """
    Sends prompts with the crashing part to all entries. Apart from that part, no two are alike.

    """

    def __init__(self, fleet: SeededFleet, seed: int, stop: threading.Event) -> None:
        self.fleet = fleet
        self.random = Random(seed)
        self.stop = stop
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        for number in itertools.count():
            if self.stop.wait(REQUEST_INTERVAL_S):
                return
            host = self.random.choice(self.fleet.entry_hosts)
            call(host, CALLERS_PORT, self._request(number))

    def _request(self, number: int) -> Request:
        kind = self.random.choice(list(RequestKind))
        headers = [
            ('host', ROUTE_HOST),
            ('authorization', f'Bearer {API_KEY}'),
            (client_requests.REQUEST_ID, f'crashing-{number}'),
            (client_requests.DEADLINE_MS, str(DEADLINE_MS)),
            (client_requests.PREFIX_PARTS, f'{CRASHING_PART}:100,{number:x}:100'),
        ]
        return Request('POST', f'{kind.value}{number}', headers, f'body {number}'.encode())


def find_broken_promise(
    ends: Sequence[float], sent_at: Iterable[float], faults: list[Period]
) -> list[str]:
    """
    Describe a break of the promise that at most `MAX_SENT_LATE` requests with the part reach back
    ends late. Requests that arrive during a fault, or up to `CONTACT_S` after one, don't count. All
    times are monotonic seconds.

    """
    late = [
        at
        for at in find_late_sends(ends, sent_at)
        if not any(fault.began_at <= at <= fault.ended_at + CONTACT_S for fault in faults)
    ]
    if len(late) <= MAX_SENT_LATE:
        return []
    return [
        f'{len(late)} requests with a part that ended {len(ends)} back ends reached back ends '
        f'later than {KNOWN_AFTER_S} s after end {ENDS_TO_KNOW}'
    ]
