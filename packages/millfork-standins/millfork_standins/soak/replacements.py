"""
Replaces replicas at times drawn from a seed: a new one on an empty disk joins and catches up, then
an old one gets SIGTERM and is gone for good, with its disk.

The replacements have their own random generator, so that a seed gives the same faults with and
without them.

"""

import re
import shutil
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Final

from millfork_platform import client_requests
from millfork_standins.http_calls import call
from millfork_standins.seeded_ports import CONTROL_PORT
from millfork_standins.soak.fleet import SoakFleet
from millfork_web.models import Request

MAX_GAP_S: Final = 3.0
# A new replica counts as lost for this time (`catch_up_s` of a deployment), so no other one may be
# gone for good before.
CATCH_UP_S: Final = 4.0
JOIN_TIMEOUT_S: Final = 20.0
POLL_INTERVAL_S: Final = 0.1
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


class ReplicaReplacer:
    """
    Replaces replicas of a fleet, one after another. `claim` reserves a host unless a fault is in
    progress there, `release` ends that, and `stop_replica` stops the process of a host by SIGTERM.

    """

    def __init__(
        self,
        fleet: SoakFleet,
        seed: int,
        seconds: float,
        claim: Callable[[str], bool],
        release: Callable[[str], None],
        stop_replica: Callable[[str], None],
    ) -> None:
        self.fleet = fleet
        self.first_hosts = fleet.replica_hosts
        self.planned = plan_replacements(seed, seconds, len(self.first_hosts))
        self.claim = claim
        self.release = release
        self.stop_replica = stop_replica
        # The replicas that replaced others, by the host of the replica that they replaced.
        self.successors: dict[str, str] = {}
        self.violations: list[str] = []
        # No replacement begins once this is set.
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def finish(self) -> None:
        """
        Begin no further replacement, and wait for the one in progress.

        """
        self.ended.set()
        self.thread.join()

    def current_host(self, host: str) -> str:
        """
        Return the host of the replica that has replaced the one on `host`, directly or not.

        """
        while host in self.successors:
            host = self.successors[host]
        return host

    def _run(self) -> None:
        for planned in self.planned:
            if self.ended.wait(planned.after_s):
                return
            self._replace(self.first_hosts[planned.number])

    def _replace(self, first_host: str) -> None:
        """
        Replace the replica that holds the place of `first_host`, unless a fault is in progress
        there once the new one has joined.

        """
        started_at = time.monotonic()
        new = self.fleet.add_replacement(self.current_host(first_host))
        while not has_joined(new, started_at):
            if time.monotonic() - started_at > JOIN_TIMEOUT_S:
                self.violations.append(f'{new} has not joined {JOIN_TIMEOUT_S} s after its start')
                return
            time.sleep(POLL_INTERVAL_S)
        old = self.current_host(first_host)
        if not self.claim(old):
            return
        try:
            self.stop_replica(old)
            hosts = self.fleet.replica_hosts
            self.fleet.replica_hosts = [host for host in hosts if host != old]
            shutil.rmtree(self.fleet.folder / old, ignore_errors=True)
            self.successors[old] = new
        finally:
            self.release(old)
