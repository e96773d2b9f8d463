"""
One soak run: starts a fleet and callers, injects faults, and checks the platform's promises.

"""

import threading
import time
from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import Final

from millfork_standins.back_end import BackEnd
from millfork_standins.soak.back_end import FIRST_ZONE
from millfork_standins.soak.backpressure import (
    LimitPeriod,
    PlannedSignal,
    SignalKind,
    begin_signal,
    end_signal,
    find_exceeded_limits,
    plan_signals,
)
from millfork_standins.soak.callers import SERVICE, Caller, Operator
from millfork_standins.soak.checks import Period, broken_promises, find_lost_requests
from millfork_standins.soak.cold import ColdBackEnds
from millfork_standins.soak.crashing_part import (
    CRASHING_PART,
    RESTART_DELAY_S,
    CrashingPartCaller,
    find_broken_promise,
)
from millfork_standins.soak.engines import ROUTE, VERSION_MS, engine_services
from millfork_standins.soak.evacuations import Evacuator
from millfork_standins.soak.fault_plan import Fault, FaultKind, plan_faults
from millfork_standins.soak.fleet import SoakFleet
from millfork_standins.soak.lags import in_series
from millfork_standins.soak.link_proxy import LinkProxy, inject_link_fault
from millfork_standins.soak.planned_work import PLANNED_KINDS, plan_pauses, plan_work
from millfork_standins.soak.process_faults import (
    POLL_INTERVAL_S,
    START_TIMEOUT_S,
    ProcessFaults,
    wait_until,
)
from millfork_standins.soak.regions import TAIL_S, RegionSoak
from millfork_standins.soak.replacements import ReplicaReplacer
from millfork_standins.soak.result import RegionCounts, SoakResult, WeightCounts
from millfork_standins.soak.weights import WeightChanges

BACK_ENDS: Final = 3
REPLICAS: Final = 3
ENTRIES: Final = 2
CALLERS: Final = 6
# As in a deployment: a back end that pauses keeps its lease.
HEARTBEAT_S: Final = 1.2
EVENT_INTERVAL_S: Final = 0.05
# The platform requires that callers are served again within this time after the last fault.
RECOVERY_TIMEOUT_S: Final = 12.0


class SoakRun:
    """
    Runs a fleet for `planned_s` under the planned work of one seed, then for `seconds` under its
    faults. Back ends pause all the time.

    """

    def __init__(
        self,
        folder: Path,
        seed: int,
        seconds: float,
        backpressure: bool = False,
        planned_s: float = 0.0,
        entries: int = ENTRIES,
        callers: int = CALLERS,
        crashing_part: bool = False,
        evacuations: bool = False,
        cold: bool = False,
        replacements: bool = False,
        engines: int = 0,
        regions: bool = False,
        replicas: int = REPLICAS,
    ) -> None:
        self.seed = seed
        self.seconds = seconds
        self.planned_s = planned_s
        self.caller_count = callers
        # The backpressure signals of the run, and the periods in which back ends announced limits.
        self.backpressure_signals = plan_signals(seed, seconds, BACK_ENDS) if backpressure else []
        self.limit_periods: list[LimitPeriod] = []
        # Times (monotonic seconds) at which faults of entries began and ended.
        self.entry_faults_at: list[float] = []
        self.fault_periods: list[Period] = []
        # Faults of links that delay requests to back ends, by instance.
        self.request_delays: dict[str, list[Period]] = {}
        self.fleet = SoakFleet(
            folder,
            replicas,
            entries,
            version_ms=VERSION_MS if engines else 0,
            endpoints=engines,
            heartbeat_s=HEARTBEAT_S,
        )
        self.processes = ProcessFaults(self.fleet)
        if crashing_part:
            # Set before any stream begins, as it decides how streams are framed.
            self.fleet.crashing_part = CRASHING_PART
            self.fleet.restart_delay_s = RESTART_DELAY_S
        self.stop = threading.Event()
        self.links: list[LinkProxy] = []
        self.callers: list[Caller] = []
        run_s = planned_s + seconds
        self.evacuator = Evacuator(self.fleet, seed, run_s, self.stop) if evacuations else None
        self.cold = ColdBackEnds(self.fleet, seed, run_s, self.stop) if cold else None
        self.replacer = None
        if replacements:
            self.replacer = ReplicaReplacer(
                self.fleet,
                seed,
                run_s,
                self.processes.claim_disk,
                self.processes.release_disk,
                self.processes.remove_replica,
            )
        self.regions = None
        self.operator = Operator(self.fleet, self.stop)
        if regions:
            self.regions = RegionSoak(
                self.fleet, self.processes, self.replacer, seed, planned_s, seconds, self.stop
            )
            self.operator = self.regions.operator
        if self.cold:
            self.operator.service = self.cold.service
        self.weights = None
        if engines:
            self.weights = WeightChanges(self.fleet, self.processes, seed, run_s, self.stop)
            self.operator.other_services = engine_services(self.weights.origin.spec(FIRST_ZONE))
            self.operator.other_routes = (ROUTE,)
        self.violations: list[str] = []

    def run(self) -> SoakResult:
        """
        Start the fleet and its callers, inject the faults of the seed, and check the platform's
        promises.

        """
        try:
            self._start()
            self._start_other_events()
            work = plan_work(
                self.seed, self.planned_s, self.fleet.replica_hosts, self.fleet.entry_hosts
            )
            self._inject_faults(work, [])
            faults = plan_faults(
                self.seed,
                self.seconds,
                self.fleet.replica_hosts,
                self.fleet.entry_hosts,
                BACK_ENDS,
            )
            if self.regions:
                faults = in_series(faults, self.regions.pauses_of_faults)
            self._inject_faults(faults, self.backpressure_signals)
            self._finish_other_events()
            self._check_recovery()
            return self._result(len(faults))
        finally:
            self.stop.set()
            for link in self.links:
                link.close()
            self.fleet.close()
            if self.weights:
                self.weights.close()

    def _start_other_events(self) -> None:
        """
        Start what happens beside the planned work and the faults.

        """
        if self.fleet.crashing_part:
            CrashingPartCaller(self.fleet, self.seed, self.stop)
        threading.Thread(target=self._pause_back_ends, daemon=True).start()
        if self.evacuator:
            self.evacuator.thread.start()
        if self.cold:
            self.cold.thread.start()
        if self.replacer:
            self.replacer.thread.start()
        if self.weights:
            self.weights.start()
        if self.regions:
            self.regions.start()

    def _finish_other_events(self) -> None:
        if self.regions:
            self.regions.lags.finish()
            self.fault_periods += self.regions.lags.unplanned
        if self.evacuator:
            # No caller is served again while all zones are evacuated.
            self.evacuator.thread.join()
        if self.replacer:
            self.replacer.finish()
        if self.weights:
            self.weights.finish()

    def _start(self) -> None:
        self.fleet.start()
        for number in range(BACK_ENDS):
            back_end = self.fleet.add_back_end(SERVICE, f'i-{number}')
            host, port = back_end.server_address[:2]
            link = LinkProxy(str(host), (str(host), int(port)))
            back_end.advertised = link.address
            back_end.event_interval_s = EVENT_INTERVAL_S
            self.links.append(link)
            threading.Thread(
                target=self._close_after_end, args=(link, back_end), daemon=True
            ).start()
        if not wait_until(self.operator.put_next, START_TIMEOUT_S):
            raise RuntimeError(f'no replica accepted a document within {START_TIMEOUT_S} s')
        self.operator.thread.start()
        self.callers = [
            Caller(number, self.fleet, self.stop) for number in range(self.caller_count)
        ]
        if not wait_until(self._all_callers_served, START_TIMEOUT_S):
            raise RuntimeError(f'not all callers are served within {START_TIMEOUT_S} s')

    def _close_after_end(self, link: LinkProxy, back_end: BackEnd) -> None:
        """
        Close the address of a back end once it has ended. The back end that replaces it has no
        link.

        """
        back_end.ended.wait()
        link.close()

    def _pause_back_ends(self) -> None:
        started_at = time.monotonic()
        for planned in plan_pauses(self.seed, self.planned_s + self.seconds, BACK_ENDS):
            if self.stop.wait(max(started_at + planned.at_s - time.monotonic(), 0.0)):
                return
            for number in planned.back_ends:
                self.fleet.back_ends[number].pause(planned.duration_s)

    def _inject_faults(self, faults: list[Fault], signals: list[PlannedSignal]) -> None:
        started_at = time.monotonic()
        threads = [
            threading.Thread(target=self._send_signal, args=(planned, started_at), daemon=True)
            for planned in signals
        ]
        for thread in threads:
            thread.start()
        for fault in faults:
            while time.monotonic() - started_at < fault.at_s:
                self.processes.restart_ended()
                time.sleep(POLL_INTERVAL_S)
            thread = threading.Thread(target=self._inject_fault, args=(fault,), daemon=True)
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    def _send_signal(self, planned: PlannedSignal, started_at: float) -> None:
        back_end = self.fleet.back_ends[planned.back_end]
        self.stop.wait(started_at + planned.at_s - time.monotonic())
        signal_began_at = time.monotonic()
        begin_signal(back_end, planned)
        self.stop.wait(planned.duration_s)
        end_signal(back_end)
        if planned.kind is SignalKind.LIMIT:
            self.limit_periods.append(
                LimitPeriod(back_end, planned.value, signal_began_at, time.monotonic())
            )

    def _inject_fault(self, fault: Fault) -> None:
        began_at = time.monotonic()
        if fault.kind is FaultKind.RELOAD:
            self.processes.reload(fault.target)
        elif fault.target.isdigit():
            inject_link_fault(self.links[int(fault.target)], fault)
        elif not self._inject_host_fault(fault):
            return
        period = Period(fault.target, began_at, time.monotonic())
        if fault.kind not in PLANNED_KINDS:
            self.fault_periods.append(period)
        if fault.kind in (FaultKind.SILENCE, FaultKind.DELAY):
            self.request_delays.setdefault(f'i-{fault.target}', []).append(period)

    def _inject_host_fault(self, fault: Fault) -> bool:
        """
        Inject the fault unless one is in progress on its host; return whether it was injected.

        """
        if self.replacer:
            fault = replace(fault, target=self.replacer.current_host(fault.target))
        loses_disk = fault.kind is FaultKind.LOSE_DISK
        claim = self.processes.claim_disk if loses_disk else self.processes.claim
        release = self.processes.release_disk if loses_disk else self.processes.release
        if not claim(fault.target):
            return False
        try:
            self._record_entry_fault(fault.target)
            self.processes.inject(fault)
        finally:
            self._record_entry_fault(fault.target)
            release(fault.target)
        return True

    def _record_entry_fault(self, host: str) -> None:
        if host in self.fleet.entry_hosts:
            self.entry_faults_at.append(time.monotonic())

    def _all_callers_served(self) -> bool:
        return all(
            any(answer.status == 200 for answer in caller.answers[-5:]) for caller in self.callers
        )

    def _check_recovery(self) -> None:
        began_at = time.monotonic()
        callers = [*self.callers, *(self.regions.callers if self.regions else ())]
        answer_counts = [len(caller.answers) for caller in callers]

        def all_callers_served_again() -> bool:
            return all(
                any(answer.status == 200 for answer in caller.answers[answer_count:])
                for caller, answer_count in zip(callers, answer_counts, strict=True)
            )

        if not wait_until(all_callers_served_again, RECOVERY_TIMEOUT_S):
            self.violations.append(
                f'not all callers are served {RECOVERY_TIMEOUT_S} s after the last fault'
            )
        if not wait_until(lambda: self.operator.read() is not None, RECOVERY_TIMEOUT_S):
            self.violations.append('the document cannot be read back')
        if self.regions:
            self.stop.wait(max(began_at + TAIL_S - time.monotonic(), 0.0))
        self.processes.restart_ended()
        self.stop.set()
        for thread in (self.operator.thread, *(caller.thread for caller in self.callers)):
            thread.join(START_TIMEOUT_S)
        read_version = self.operator.read()
        if read_version is None or read_version < self.operator.acknowledged_version:
            self.violations.append(
                f'the last read returned version {read_version}, '
                f'acknowledged was {self.operator.acknowledged_version}'
            )

    def _result(self, fault_count: int) -> SoakResult:
        answers = [answer for caller in self.callers for answer in caller.answers]
        executed = {back_end.instance: back_end.executed_ids() for back_end in self.fleet.back_ends}
        faults = list(self.fault_periods)
        ends = [
            back_end.crashed_at
            for back_end in self.fleet.back_ends
            if back_end.crashed_at is not None
        ]
        violations = [
            *self.violations,
            *self.processes.violations,
            *find_broken_promise(ends, self.fleet.crashing_requests_at, faults),
            *self.operator.stale_reads,
            *broken_promises(answers, executed),
            *find_lost_requests(
                answers,
                executed,
                faults + [Period('', ended_at, ended_at + RESTART_DELAY_S) for ended_at in ends],
                self.processes.stop_periods,
                self.fleet.broken_ids,
            ),
        ]
        violations += find_exceeded_limits(self.limit_periods, self.entry_faults_at)
        process_faults = [fault for fault in faults if not fault.target.isdigit()]
        if self.evacuator:
            entries = {
                answer.request_id: answer.timeline.entry for answer in answers if answer.timeline
            }
            violations += self.evacuator.find_violations(
                entries, process_faults, self.request_delays
            )
        if self.replacer:
            violations += self.replacer.violations
        if self.cold:
            violations += self.cold.find_violations(process_faults, self.request_delays)
        if self.weights:
            violations += self.weights.find_violations(faults, executed)
        if self.regions:
            violations += self.regions.find_violations(executed)
        return SoakResult(
            self.seed,
            fault_count,
            Counter(answer.status for answer in answers),
            self.operator.acknowledged_version,
            self.operator.reads,
            violations,
            len(self.evacuator.evacuations) if self.evacuator else 0,
            self.cold.checked_requests if self.cold else 0,
            self.weights.counts if self.weights else WeightCounts(),
            self.regions.counts if self.regions else RegionCounts(),
        )
