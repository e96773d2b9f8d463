"""
Plans replacements of replicas from a seed: a new one on an empty disk joins and catches up, then an
old one gets SIGTERM and is gone for good, with its disk.

The replacements have their own random generator, so that a seed gives the same faults with and
without them.

"""

import re
import time
from dataclasses import dataclass
from random import Random
from typing import Final

from millfork_platform import client_requests
from millfork_standins.http_calls import call
from millfork_standins.seeded_ports import CONTROL_PORT
from millfork_web.models import Request

MAX_GAP_S: Final = 3.0
# A new replica counts as lost for this time (`catch_up_s` of a deployment), so no other one may be
# gone for good before.
CATCH_UP_S: Final = 4.0
ADMIN_PORT: Final = 9400
VOTER_METRIC: Final = re.compile(rb'^millfork_voter(?:{})? 1', re.MULTILINE)


@dataclass(frozen=True, slots=True)
class PlannedReplacement:
    """
    The replica that holds the place `number` of the first ones is replaced, `after_s` after the end
    of the previous replacement.

    """

    after_s: float
    number: int


def plan_replacements(seed: int, seconds: float, replicas: int) -> list[PlannedReplacement]:
    """
    Return the replacements of a run in their order. The last one begins within `seconds` if they
    take no time.

    """
    random = Random(f'replacements {seed}')
    planned: list[PlannedReplacement] = []
    at_s = 0.0
    while True:
        after_s = random.uniform(0.0, MAX_GAP_S)
        number = random.randrange(replicas)
        at_s += after_s
        if at_s >= seconds:
            return planned
        planned.append(PlannedReplacement(after_s, number))


def has_joined(host: str, started_at: float) -> bool:
    """
    Whether the replica on a host, started at `started_at` (monotonic seconds), has had the time to
    catch up, counts itself among the voters, and is answered by a majority. A replica counts itself
    among the voters before the others have agreed, so the first two don't suffice.

    """
    if time.monotonic() - started_at < CATCH_UP_S:
        return False
    reply = call(host, ADMIN_PORT, Request('GET', '/metrics'))
    if not VOTER_METRIC.search(reply.body):
        return False
    return call(host, CONTROL_PORT, client_requests.read_document_request()).status == 200
