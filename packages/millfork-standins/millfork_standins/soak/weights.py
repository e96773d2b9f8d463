"""
Engines with a staging area beside the back ends of a soak run: the operator names new versions of
their weights while engines, staged pieces and endpoint daemons have faults.

"""

import threading
import time
from collections import Counter
from collections.abc import Callable, Sequence
from functools import partial
from random import Random
from typing import Final

from millfork_platform import client_requests
from millfork_standins.soak.callers import Answer, Caller
from millfork_standins.soak.checks import Period, broken_promises, find_lost_requests
from millfork_standins.soak.clock import clock_time
from millfork_standins.soak.engines import LOAD_S, SERVICE, VERSION_MS, WEIGHTS, EngineCaller
from millfork_standins.soak.fault_plan import Fault, FaultKind
from millfork_standins.soak.fleet import SoakFleet
from millfork_standins.soak.process_faults import START_TIMEOUT_S, ProcessFaults, wait_until
from millfork_standins.soak.result import WeightCounts
from millfork_standins.soak.weights_plan import (
    WeightFault,
    WeightFaultKind,
    plan_versions,
    plan_weight_faults,
)
from millfork_standins.staging_engine import StagingEngine
from millfork_standins.weights_origin import WeightsOrigin

ENGINES: Final = 3
CALLERS: Final = 6
# Streams of 8 events take 0.4 s to 1.6 s, by the engine.
MIN_EVENT_INTERVAL_S: Final = 0.05
MAX_EVENT_INTERVAL_S: Final = 0.2
# A version may be ended for `VERSION_MS` after the next one was named, and the platform requires
# service again within 12 s after the last fault.
NEWEST_VERSION_TIMEOUT_S: Final = VERSION_MS / 1000 + 12.0
# Longer than all replicas together are away in a run.
ACKNOWLEDGE_TIMEOUT_S: Final = 30.0

DAEMON_FAULTS: Final = {
    WeightFaultKind.KILL_DAEMON: FaultKind.KILL,
    WeightFaultKind.STOP_DAEMON: FaultKind.STOP,
    WeightFaultKind.PAUSE_DAEMON: FaultKind.PAUSE,
}
# The faults that excuse a request without an answer; the others may cost no caller an answer.
EXCUSING_KINDS: Final = frozenset(
    {
        WeightFaultKind.RESTART_ENGINE,
        WeightFaultKind.KILL_DAEMON,
        WeightFaultKind.PAUSE_DAEMON,
    }
)


class WeightChanges:
    """
    The engines of a run, their origin, callers and operator, and their faults, all as planned for a
    seed. `processes` injects the faults of the endpoint daemons. Created before the fleet starts,
    whose settings have the addresses of the engines.

    """

    def __init__(
        self,
        fleet: SoakFleet,
        processes: ProcessFaults,
        seed: int,
        seconds: float,
        stop: threading.Event,
    ) -> None:
        self.fleet = fleet
        self.processes = processes
        self.stop = stop
        engine_count = len(fleet.endpoint_hosts)
        self.faults = plan_weight_faults(seed, seconds, engine_count, WEIGHTS.pieces)
        self.version_times = plan_versions(seed, seconds)
        self.named_version = 1
        self.origin = WeightsOrigin(fleet.back_end_host, WEIGHTS)
        random = Random(f'engines {seed}')
        self.engines: list[StagingEngine] = []
        for number, host in enumerate(fleet.endpoint_hosts):
            engine = StagingEngine(host, SERVICE, f'engine-{number}', fleet, WEIGHTS, LOAD_S)
            engine.event_interval_s = random.uniform(MIN_EVENT_INTERVAL_S, MAX_EVENT_INTERVAL_S)
            engine.on_delayed_order = partial(self._strike_order, engine)
            fleet.engine_addresses[host] = f'{host}:{engine.server_address[1]}'
            self.engines.append(engine)
        # The faults of late orders that have not arrived yet, by engine, and the threads of those
        # that have.
        self.late_orders: dict[str, list[WeightFault]] = {}
        self.strikes: list[threading.Thread] = []
        self.callers: list[Caller] = []
        self.fault_periods: list[Period] = []
        self.log: list[tuple[float, str]] = []
        self.violations: list[str] = []
        self.threads = [
            threading.Thread(target=self._inject_faults, daemon=True),
            threading.Thread(target=self._name_versions, daemon=True),
        ]

    def start(self) -> None:
        """
        Start the callers, and the faults and changes once all callers are served.

        """
        # Behind the other back ends, which are known by their number.
        self.fleet.back_ends += self.engines
        self.callers = [EngineCaller(number, self.fleet, self.stop) for number in range(CALLERS)]
        if not wait_until(lambda: self._are_all_served([0] * CALLERS), START_TIMEOUT_S):
            raise RuntimeError(f'not all callers of engines are served within {START_TIMEOUT_S} s')
        for thread in self.threads:
            thread.start()

    def _are_all_served(self, answer_counts: Sequence[int]) -> bool:
        return all(
            any(answer.status == 200 for answer in caller.answers[count:])
            for caller, count in zip(self.callers, answer_counts, strict=True)
        )

    def finish(self) -> None:
        """
        Wait until the faults and changes are over, and check that all engines then serve the newest
        version in time, and all callers are served again.

        """
        for thread in self.threads:
            thread.join()
        if not wait_until(self._do_all_serve_newest, NEWEST_VERSION_TIMEOUT_S):
            for engine in self.engines:
                if not engine.serves_whole(self.named_version):
                    self.violations.append(
                        f'{engine.instance} serves {engine.served} and not version '
                        f'{self.named_version} {NEWEST_VERSION_TIMEOUT_S} s after the last fault'
                    )
        counts = [len(caller.answers) for caller in self.callers]
        if not wait_until(lambda: self._are_all_served(counts), START_TIMEOUT_S):
            self.violations.append(
                f'not all callers of engines are served {START_TIMEOUT_S} s after the last change'
            )

    def _do_all_serve_newest(self) -> bool:
        return all(engine.serves_whole(self.named_version) for engine in self.engines)

    def close(self) -> None:
        self.origin.end()

    def _wait(self, started_at: float, at_s: float) -> bool:
        return not self.stop.wait(max(started_at + at_s - time.monotonic(), 0.0))

    def _name_versions(self) -> None:
        started_at = time.monotonic()
        for at_s in self.version_times:
            if not self._wait(started_at, at_s):
                return
            version = self.named_version + 1
            self._record(f'version {version} is named')
            # The operator sends a call again until it is acknowledged.
            if not wait_until(partial(self._name_version, version), ACKNOWLEDGE_TIMEOUT_S):
                self.violations.append(
                    f'version {version} is not acknowledged within {ACKNOWLEDGE_TIMEOUT_S} s'
                )
                return
            self.named_version = version

    def _name_version(self, version: int) -> bool:
        request = client_requests.set_version_request(WEIGHTS.model, version)
        return 200 <= self.fleet.control(request).status < 300

    def _inject_faults(self) -> None:
        started_at = time.monotonic()
        threads = []
        for fault in self.faults:
            if not self._wait(started_at, fault.at_s):
                break
            thread = threading.Thread(target=self._inject, args=(fault,), daemon=True)
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()
        for engine in self.engines:
            engine.order_delays_s.clear()
        for thread in self.strikes:
            thread.join()
        for engine in self.engines:
            engine.staged.ignored_writes = 0

    def _inject(self, fault: WeightFault) -> None:
        engine = self.engines[fault.engine]
        self._record(f'{engine.instance} {fault}')
        began_at = time.monotonic()
        if fault.kind in DAEMON_FAULTS:
            self._inject_daemon_fault(fault.engine, DAEMON_FAULTS[fault.kind], fault.duration_s)
        else:
            ENGINE_FAULTS[fault.kind](self, engine, fault)
        if fault.kind in EXCUSING_KINDS:
            self.fault_periods.append(Period(engine.instance, began_at, time.monotonic()))

    def _inject_daemon_fault(self, engine: int, kind: FaultKind, duration_s: float) -> None:
        host = self.fleet.endpoint_hosts[engine]
        if not self.processes.claim(host):
            return
        try:
            self.processes.inject(Fault(0.0, duration_s, kind, host))
        finally:
            self.processes.release(host)

    def _strike_order(self, engine: StagingEngine) -> None:
        """
        Strike the pieces and the daemon as an order arrives that is taken late.

        """
        fault = self.late_orders[engine.instance].pop(0)
        self._record(f'{engine.instance} an order arrives for {fault}')
        self._spoil_pieces(engine, fault)
        if fault.daemon_down_s:
            thread = threading.Thread(target=self._end_daemon, args=(fault,), daemon=True)
            thread.start()
            self.strikes.append(thread)

    def _end_daemon(self, fault: WeightFault) -> None:
        began_at = time.monotonic()
        self._inject_daemon_fault(fault.engine, FaultKind.KILL, fault.daemon_down_s)
        instance = self.engines[fault.engine].instance
        self.fault_periods.append(Period(instance, began_at, time.monotonic()))

    def _slow_calls(self, engine: StagingEngine, fault: WeightFault) -> None:
        engine.call_s = fault.call_s
        self.stop.wait(fault.duration_s)
        engine.call_s = 0.0

    def _spoil_pieces(self, engine: StagingEngine, fault: WeightFault) -> None:
        for index in fault.pieces:
            engine.spoil(index)

    def _lose_writes(self, engine: StagingEngine, fault: WeightFault) -> None:
        engine.staged.ignored_writes = fault.writes

    def _delay_order(self, engine: StagingEngine, fault: WeightFault) -> None:
        self.late_orders.setdefault(engine.instance, []).append(fault)
        engine.order_delays_s.append(fault.duration_s)

    def _take_late(self, engine: StagingEngine, fault: WeightFault) -> None:
        engine.takes_when_idle = True
        self.stop.wait(fault.duration_s)
        engine.takes_when_idle = False

    def _pause_engine(self, engine: StagingEngine, fault: WeightFault) -> None:
        engine.pause(fault.duration_s)

    def _restart_engine(self, engine: StagingEngine, fault: WeightFault) -> None:
        engine.restart()

    def _record(self, text: str) -> None:
        self.log.append((time.monotonic(), text))

    def find_violations(
        self, faults: Sequence[Period], executed: dict[str, list[str]]
    ) -> list[str]:
        """
        Describe the broken promises, given the faults of other processes and links, and write what
        happened to the engines to `engines.log`.

        """
        for caller in self.callers:
            caller.thread.join(START_TIMEOUT_S)
        self._write_log()
        answers = self.answers
        # By the platform's rules an answer that the engine itself broke off is not lost.
        cut_ids = {request_id for engine in self.engines for request_id in engine.cut_ids}
        return [
            *self.violations,
            *find_wrong_streams(self.engines),
            *broken_promises(answers, executed),
            *find_lost_requests(
                answers,
                executed,
                [*faults, *self.fault_periods],
                self.processes.stop_periods,
                self.fleet.broken_ids | cut_ids,
            ),
        ]

    @property
    def counts(self) -> WeightCounts:
        taken = [layer for engine in self.engines for layer in engine.taken]
        return WeightCounts(
            self.named_version - 1,
            sum(engine.stream_count for engine in self.engines),
            len(taken),
            sum(layer.is_bad for layer in taken),
            Counter(answer.status for answer in self.answers),
        )

    @property
    def answers(self) -> list[Answer]:
        return [answer for caller in self.callers for answer in caller.answers]

    def _write_log(self) -> None:
        entries = list(self.log)
        for engine in self.engines:
            entries += [(layer.taken_at, f'{engine.instance} {layer}') for layer in engine.taken]
            entries += [(item.at, f'{engine.instance} {item}') for item in engine.violations]
        lines = [f'{clock_time(at)} {text}\n' for at, text in sorted(entries)]
        (self.fleet.folder / 'engines.log').write_text(''.join(lines))


ENGINE_FAULTS: Final[
    dict[WeightFaultKind, Callable[[WeightChanges, StagingEngine, WeightFault], None]]
] = {
    WeightFaultKind.SLOW_CALLS: WeightChanges._slow_calls,
    WeightFaultKind.BAD_PIECES: WeightChanges._spoil_pieces,
    WeightFaultKind.LOST_WRITES: WeightChanges._lose_writes,
    WeightFaultKind.LATE_ANSWER: WeightChanges._delay_order,
    WeightFaultKind.UNANSWERED: WeightChanges._delay_order,
    WeightFaultKind.LATE_TAKE: WeightChanges._take_late,
    WeightFaultKind.PAUSE_ENGINE: WeightChanges._pause_engine,
    WeightFaultKind.RESTART_ENGINE: WeightChanges._restart_engine,
}


def find_wrong_streams(engines: Sequence[StagingEngine]) -> list[str]:
    """
    Describe the streams with tokens of layers that were taken from pieces which had been bad for
    too long, or of two versions: for each engine and reason the number and the first one.

    """
    violations = []
    for engine in engines:
        for reason in {item.reason for item in engine.violations}:
            items = [item for item in engine.violations if item.reason == reason]
            first = items[0]
            bad = [f'{layer.version}/{layer.number}' for layer in first.layers if layer.is_bad]
            violations.append(
                f'{len(items)} streams at {engine.instance}: {reason}; first {first.request_id} '
                f'at {first.at:.3f} s, bad layers {" ".join(bad) or "none"}'
            )
    return violations
