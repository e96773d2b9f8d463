"""
One run of the soak: the fleet, its faults, its callers, the verdict.

"""

import resource
import shutil
import signal
import subprocess
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

from millfork_standins.seeded import SeededFleet
from millfork_standins.soak.backpressure import (
    Period,
    PlannedSignal,
    SignalKind,
    begin,
    end,
    plan_signals,
    unheeded,
)
from millfork_standins.soak.callers import SERVICE, Caller, Operator
from millfork_standins.soak.checks import broken_promises
from millfork_standins.soak.link import Link
from millfork_standins.soak.plan import Fault, FaultKind, plan

BACK_ENDS: Final = 3
ENTRIES: Final = 2
CALLERS: Final = 6
START_S: Final = 20.0
# Service must be back this long after the last fault (the platform's bound is 12 s).
RECOVER_S: Final = 12.0
POLL_S: Final = 0.1
STOP_S: Final = 10.0
DELAY_S: Final = 0.3
# Bytes that a file may have while its disk is full.
FULL_BYTES: Final = 1


def handles_signal(pid: int, number: signal.Signals) -> bool:
    """
    Whether a process ignores or catches a signal.

    """
    fields = dict(
        line.split(':\t', 1) for line in Path(f'/proc/{pid}/status').read_text().splitlines()
    )
    mask = int(fields['SigIgn'], 16) | int(fields['SigCgt'], 16)
    return bool(mask >> (number - 1) & 1)


@dataclass(slots=True)
class Verdict:
    """
    What a run showed.

    """

    seed: int
    faults: int
    statuses: Counter[int] = field(default_factory=Counter)
    documents: int = 0
    reads: int = 0
    broken: list[str] = field(default_factory=list)


class Soak:
    """
    A fleet under faults.

    """

    def __init__(self, folder: Path, seed: int, seconds: float, backpressure: bool = False) -> None:
        self.seed = seed
        self.seconds = seconds
        # What back ends say of themselves meanwhile, and when they named limits.
        self.signals = plan_signals(seed, seconds, BACK_ENDS) if backpressure else []
        self.limited: list[Period] = []
        self.entries_struck_at: list[float] = []
        self.fleet = SeededFleet(folder, entries=ENTRIES)
        self.stop = threading.Event()
        self.links: list[Link] = []
        self.callers: list[Caller] = []
        self.operator = Operator(self.fleet, self.stop)
        # Hosts whose process is down on purpose, or being handled.
        self.struck: set[str] = set()
        self.lock = threading.Lock()
        self.broken: list[str] = []

    def run(self) -> Verdict:
        """
        Play the seed's faults; what was broken is in the verdict.

        """
        try:
            self._start()
            faults = plan(
                self.seed,
                self.seconds,
                self.fleet.replica_hosts,
                self.fleet.entry_hosts,
                BACK_ENDS,
            )
            self._play(faults)
            self._recover()
            return self._verdict(len(faults))
        finally:
            self.stop.set()
            for link in self.links:
                link.close()
            self.fleet.close()

    def _start(self) -> None:
        self.fleet.start()
        for number in range(BACK_ENDS):
            back_end = self.fleet.add_back_end(SERVICE, f'i-{number}')
            host, port = back_end.server_address[:2]
            link = Link(str(host), (str(host), int(port)))
            back_end.advertised = link.address
            self.links.append(link)
        if not self._holds(self.operator.put_next, START_S):
            raise RuntimeError('the fleet takes no document')
        self.operator.thread.start()
        self.callers = [Caller(number, self.fleet, self.stop) for number in range(CALLERS)]
        if not self._holds(self._serves, START_S):
            raise RuntimeError('the fleet does not serve')

    def _play(self, faults: list[Fault]) -> None:
        began = time.monotonic()
        threads = [
            threading.Thread(target=self._signal, args=(planned, began), daemon=True)
            for planned in self.signals
        ]
        for thread in threads:
            thread.start()
        for fault in faults:
            while time.monotonic() - began < fault.at_s:
                self._look_for_ended()
                time.sleep(POLL_S)
            thread = threading.Thread(target=self._strike, args=(fault,), daemon=True)
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    def _signal(self, planned: PlannedSignal, began: float) -> None:
        back_end = self.fleet.back_ends[planned.back_end]
        self.stop.wait(began + planned.at_s - time.monotonic())
        began_at = time.monotonic()
        begin(back_end, planned)
        self.stop.wait(planned.for_s)
        end(back_end)
        if planned.kind is SignalKind.LIMIT:
            self.limited.append(Period(back_end, planned.value, began_at, time.monotonic()))

    # Faults.

    def _strike(self, fault: Fault) -> None:
        if fault.target.isdigit():
            self._strike_link(self.links[int(fault.target)], fault)
            return
        with self.lock:
            if fault.target in self.struck:
                return
            self.struck.add(fault.target)
        try:
            self._note_struck(fault.target)
            self._strike_process(fault)
        finally:
            self._note_struck(fault.target)
            with self.lock:
                self.struck.discard(fault.target)

    def _note_struck(self, host: str) -> None:
        if host in self.fleet.entry_hosts:
            self.entries_struck_at.append(time.monotonic())

    def _strike_link(self, link: Link, fault: Fault) -> None:
        if fault.kind is FaultKind.RESET:
            link.reset()
            return
        link.delay_s = DELAY_S if fault.kind is FaultKind.DELAY else 0.0
        link.holds_requests = fault.kind is FaultKind.SILENCE
        link.holds_answers = fault.kind in (FaultKind.SILENCE, FaultKind.ONE_WAY)
        time.sleep(fault.for_s)
        link.delay_s = 0.0
        link.holds_requests = link.holds_answers = False

    def _strike_process(self, fault: Fault) -> None:
        host = fault.target
        # Before, a signal would strike the interpreter and not the daemon.
        self._holds(lambda: self._listens(host), START_S)
        if fault.kind is FaultKind.RELOAD:
            self.fleet.signal(host, signal.SIGHUP)
            return
        if fault.kind is FaultKind.PAUSE:
            self.fleet.signal(host, signal.SIGSTOP)
            time.sleep(fault.for_s)
            self.fleet.signal(host, signal.SIGCONT)
            return
        if fault.kind is FaultKind.FULL_DISK:
            self._limit_files(host, FULL_BYTES)
            time.sleep(fault.for_s)
            self._limit_files(host, resource.RLIM_INFINITY)
            return
        if fault.kind is FaultKind.STOP:
            self._stop_planned(host)
        else:
            self.fleet.kill(host)
        if fault.kind is FaultKind.LOSE_DISK:
            shutil.rmtree(self.fleet.folder / host, ignore_errors=True)
        time.sleep(fault.for_s)
        self.fleet.start_process(host)

    def _stop_planned(self, host: str) -> None:
        process = self.fleet.processes.pop(host)
        process.terminate()
        try:
            status = process.wait(STOP_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            self.broken.append(f'{host} did not end in {STOP_S} s')
            return
        if status:
            self.broken.append(f'{host} ended a planned stop with {status}')

    def _listens(self, host: str) -> bool:
        """
        Whether the host's process has said what becomes of the signals sent here.

        """
        pid = self.fleet.processes[host].pid
        return all(handles_signal(pid, number) for number in (signal.SIGHUP, signal.SIGTERM))

    def _limit_files(self, host: str, size: int) -> None:
        pid = self.fleet.processes[host].pid
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))

    # What must hold.

    def _look_for_ended(self) -> None:
        for host, process in list(self.fleet.processes.items()):
            if host not in self.struck and process.poll() is not None:
                self.broken.append(f'{host} ended by itself with {process.returncode}')
                self.fleet.start_process(host)

    def _holds(self, condition: Callable[[], bool], within_s: float) -> bool:
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if condition():
                return True
            time.sleep(POLL_S)
        return False

    def _serves(self) -> bool:
        return all(
            any(answer.status == 200 for answer in caller.answers[-5:]) for caller in self.callers
        )

    def _recover(self) -> None:
        marks = [len(caller.answers) for caller in self.callers]

        def serves_again() -> bool:
            return all(
                any(answer.status == 200 for answer in caller.answers[mark:])
                for caller, mark in zip(self.callers, marks, strict=True)
            )

        if not self._holds(serves_again, RECOVER_S):
            self.broken.append(f'no service {RECOVER_S} s after the last fault')
        if not self._holds(lambda: self.operator.read() is not None, RECOVER_S):
            self.broken.append('the document can not be read back')
        self._look_for_ended()
        self.stop.set()
        for thread in (self.operator.thread, *(caller.thread for caller in self.callers)):
            thread.join(START_S)
        found = self.operator.read()
        if found is None or found < self.operator.acknowledged:
            self.broken.append(f'read back {found}, acknowledged {self.operator.acknowledged}')

    def _verdict(self, faults: int) -> Verdict:
        answers = [answer for caller in self.callers for answer in caller.answers]
        executed = {back_end.instance: back_end.executed_ids() for back_end in self.fleet.back_ends}
        broken = [*self.broken, *self.operator.stale, *broken_promises(answers, executed)]
        broken += unheeded(self.limited, self.entries_struck_at)
        return Verdict(
            self.seed,
            faults,
            Counter(answer.status for answer in answers),
            self.operator.acknowledged,
            self.operator.reads,
            broken,
        )
