"""
A soak of a fleet in three regions with slow links between them: large documents change in storms
while replicas lag.

"""

import threading
from collections import Counter
from typing import Final

from millfork_standins.soak.added_routes import (
    DENIAL_STATUSES,
    DocumentReader,
    RouteCaller,
    RouteOperator,
    find_denied_routes,
    find_old_reads,
    find_refused_reads,
    must_be_applied,
)
from millfork_standins.soak.back_end import ZONES
from millfork_standins.soak.callers import Answer
from millfork_standins.soak.checks import Period, broken_promises
from millfork_standins.soak.clock import clock_time
from millfork_standins.soak.contact import CALM_S, Disturbances
from millfork_standins.soak.fleet import SoakFleet
from millfork_standins.soak.lags import LagInjector, plan_pauses_of_faults, wait_for_claim
from millfork_standins.soak.process_faults import START_TIMEOUT_S, ProcessFaults
from millfork_standins.soak.replacements import ReplicaReplacer
from millfork_standins.soak.result import RegionCounts

# For all traffic from one region to another.
REGION_MBPS: Final = 20.0
# The run goes on for this time after its last fault, so that reads are checked in calm times.
TAIL_S: Final = CALM_S + 4.0


class RegionSoak:
    """
    What a soak run with `--regions` adds to the fleet. Each zone is a region.

    """

    def __init__(
        self,
        fleet: SoakFleet,
        processes: ProcessFaults,
        replacer: ReplicaReplacer | None,
        seed: int,
        planned_s: float,
        fault_s: float,
        stop: threading.Event,
    ) -> None:
        fleet.spread_over_zones(len(ZONES))
        fleet.limit_region_links(REGION_MBPS)
        self.fleet = fleet
        self.processes = processes
        self.first_replicas = len(fleet.replica_hosts)
        self.stop = stop
        self.pauses_of_faults = plan_pauses_of_faults(seed, fault_s)
        self.operator = RouteOperator(fleet, stop, seed)
        self.reader = DocumentReader(fleet, stop)
        self.lags = LagInjector(
            processes,
            self.operator,
            seed,
            planned_s + fault_s,
            replacer.current_host if replacer else str,
        )
        if replacer:
            # Lags take the claim most of the time.
            replacer.claim = wait_for_claim(replacer.claim, replacer.ended)
        self.callers: list[RouteCaller] = []

    def start(self) -> None:
        self.callers = [
            RouteCaller(number, self.operator, self.stop)
            for number in range(len(self.fleet.entry_hosts))
        ]
        self.reader.thread.start()
        self.lags.thread.start()

    def find_violations(self, executed: dict[str, list[str]]) -> list[str]:
        """
        Describe the broken promises, and write what happened to the processes to `processes.log`.

        """
        for thread in (self.reader.thread, *(caller.thread for caller in self.callers)):
            thread.join(START_TIMEOUT_S)
        self._write_log()
        acknowledged_at = dict(self.operator.acknowledged_at)
        versions = {key: value for caller in self.callers for key, value in caller.versions.items()}
        answers = self.answers
        # An entry may deny routes that it can't know yet, so these answers have a check of their
        # own.
        others = [answer for answer in answers if answer.status not in DENIAL_STATUSES]
        disturbances = self.disturbances
        return [
            *find_denied_routes(answers, versions, acknowledged_at, disturbances),
            *find_refused_reads(self.reader.rounds, disturbances),
            *find_old_reads(self.reader.rounds, acknowledged_at),
            *broken_promises(others, executed),
        ]

    @property
    def answers(self) -> list[Answer]:
        return [answer for caller in self.callers for answer in caller.answers]

    @property
    def disturbances(self) -> Disturbances:
        entries = set(self.fleet.entry_hosts)
        core = [period for period in self.processes.disturbances if period.target not in entries]
        core += [Period('', at, at) for at in self.fleet.added_at]
        at_entries = [period for period in self.processes.disturbances if period.target in entries]
        return Disturbances(core, at_entries, self.first_replicas)

    @property
    def counts(self) -> RegionCounts:
        """
        Return what the run had, and how much of it the checks applied to.

        """
        disturbances = self.disturbances
        answers = self.answers
        calls = 0
        for caller in self.callers:
            for answer in caller.answers:
                timeline = answer.timeline
                if timeline is None or not answer.status:
                    continue
                began_at, ended_at = timeline.started_at, timeline.ended_at
                version = caller.versions[answer.request_id]
                if not must_be_applied(self.operator.acknowledged_at, version, began_at):
                    continue
                calls += disturbances.is_in_touch(timeline.entry, began_at, ended_at)
        calm_reads = sum(
            disturbances.is_core_stable(replies[0].sent_at, replies[-1].ended_at, CALM_S)
            for replies in self.reader.rounds
        )
        refused_reads = sum(
            all(reply.status != 200 for reply in replies) for replies in self.reader.rounds
        )
        return RegionCounts(
            self.operator.document_bytes,
            len(self.lags.lags),
            len(self.lags.disk_losses),
            len(self.reader.rounds),
            calm_reads,
            refused_reads,
            calls,
            Counter(answer.status for answer in answers),
        )

    def _write_log(self) -> None:
        periods = sorted(self.processes.disturbances, key=lambda period: period.began_at)
        lines = [
            f'{clock_time(period.began_at)} to {clock_time(period.ended_at)} {period.target} '
            f'{self.processes.disturbance_names[period]}\n'
            for period in periods
        ]
        lines += [f'{clock_time(at)} a replica is added\n' for at in self.fleet.added_at]
        lines += [
            f'{clock_time(replies[0].sent_at)} all replicas refused a read\n'
            for replies in self.reader.rounds
            if all(reply.status != 200 for reply in replies)
        ]
        (self.fleet.folder / 'processes.log').write_text(''.join(sorted(lines)))
