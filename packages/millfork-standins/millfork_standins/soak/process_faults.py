"""
Injects faults into the processes of a soak run, and restarts those that end by themselves.

"""

import resource
import shutil
import signal
import subprocess
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final

from millfork_standins.soak.checks import Period
from millfork_standins.soak.fault_plan import Fault, FaultKind
from millfork_standins.soak.fleet import SoakFleet
from millfork_standins.soak.replacements import CATCH_UP_S
from millfork_standins.soak.signals import handles_signal

START_TIMEOUT_S: Final = 20.0
STOP_TIMEOUT_S: Final = 10.0
POLL_INTERVAL_S: Final = 0.1
# A full disk is simulated by this limit on the size of the files that a process writes.
FULL_DISK_FILE_BYTES: Final = 1


def wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    """
    Return whether the condition holds within `timeout_s`.

    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(POLL_INTERVAL_S)
    return False


class ProcessFaults:
    """
    Signals, kills and restarts the processes of a fleet. A host has at most one fault at a time.

    """

    def __init__(self, fleet: SoakFleet) -> None:
        self.fleet = fleet
        self.stop_periods: list[Period] = []
        # When signals, ends and starts disturbed processes, each with the name of its kind.
        self.disturbances: list[Period] = []
        self.disturbance_names: dict[Period, str] = {}
        # Hosts with a fault in progress, whose processes may have exited because of the fault.
        self.hosts_under_fault: set[str] = set()
        # Hosts whose processes have been stopped for good.
        self.gone_hosts: set[str] = set()
        # Processes that have got SIGTERM.
        self.stopping: dict[str, subprocess.Popen[bytes]] = {}
        # Whether a replica is losing its disk now, and when the next one may (monotonic seconds).
        self.losing_disk = False
        self.next_disk_loss_at = 0.0
        self.lock = threading.Lock()
        self.violations: list[str] = []

    def claim(self, host: str) -> bool:
        """
        Return whether no fault was in progress on the host; one is from now on.

        """
        with self.lock:
            return self._claim_locked(host)

    def _claim_locked(self, host: str) -> bool:
        if host in self.gone_hosts or host in self.hosts_under_fault:
            return False
        self.hosts_under_fault.add(host)
        return True

    def release(self, host: str) -> None:
        with self.lock:
            self.hosts_under_fault.discard(host)

    def claim_disk(self, host: str) -> bool:
        """
        As `claim`, for a replica that is about to lose its disk. False also if another one has lost
        its disk, by a fault or for good, and has been back or replaced for less than `CATCH_UP_S`:
        a fleet tolerates the loss of one disk at a time.

        """
        with self.lock:
            if self.losing_disk or time.monotonic() < self.next_disk_loss_at:
                return False
            self.losing_disk = self._claim_locked(host)
            return self.losing_disk

    def release_disk(self, host: str) -> None:
        self.release(host)
        with self.lock:
            self.losing_disk = False
            self.next_disk_loss_at = time.monotonic() + CATCH_UP_S

    def remove_replica(self, host: str) -> None:
        """
        Stop a replica by SIGTERM for good. The caller has claimed its host.

        """
        with self._recorded(host, 'remove'):
            self._wait_until_signals_are_handled(host)
            self._stop_gracefully(host)
        with self.lock:
            self.gone_hosts.add(host)

    def reload(self, host: str) -> None:
        """
        Send SIGHUP to the host's process, also if it is being stopped.

        """
        process = self.fleet.processes.get(host) or self.stopping.get(host)
        if process is None:
            return
        try:
            # Until the daemon has installed its handler, the signal would end the process.
            wait_until(lambda: handles_signal(process.pid, signal.SIGHUP), START_TIMEOUT_S)
            process.send_signal(signal.SIGHUP)
        except OSError:
            # The process has exited meanwhile.
            return

    def inject(self, fault: Fault, wait: Callable[[float], None] = time.sleep) -> None:
        """
        Inject a fault, and return once it is over. The caller has claimed the host. `wait` gets the
        fault's duration and returns when the fault is to end.

        """
        with self._recorded(fault.target, fault.kind.value):
            self._inject(fault, wait)

    def _inject(self, fault: Fault, wait: Callable[[float], None]) -> None:
        host = fault.target
        self._wait_until_signals_are_handled(host)
        if fault.kind is FaultKind.PAUSE:
            self.fleet.signal(host, signal.SIGSTOP)
            wait(fault.duration_s)
            self.fleet.signal(host, signal.SIGCONT)
            return
        if fault.kind is FaultKind.FULL_DISK:
            self._limit_file_size(host, FULL_DISK_FILE_BYTES)
            wait(fault.duration_s)
            self._limit_file_size(host, resource.RLIM_INFINITY)
            return
        if fault.kind is FaultKind.STOP:
            self._stop_gracefully(host)
        else:
            self.fleet.kill(host)
        if fault.kind is FaultKind.LOSE_DISK:
            shutil.rmtree(self.fleet.folder / host, ignore_errors=True)
        wait(fault.duration_s)
        self.fleet.start_process(host)

    @contextmanager
    def _recorded(self, host: str, name: str) -> Iterator[None]:
        began_at = time.monotonic()
        try:
            yield
        finally:
            period = Period(host, began_at, time.monotonic())
            self.disturbance_names[period] = name
            self.disturbances.append(period)

    def restart_ended(self) -> None:
        """
        Start each process again that exited without a fault, and record the exit as a violation.

        """
        for host, process in list(self.fleet.processes.items()):
            if host not in self.hosts_under_fault and process.poll() is not None:
                self.violations.append(f'{host} exited by itself with status {process.returncode}')
                self.fleet.start_process(host)

    def _stop_gracefully(self, host: str) -> None:
        process = self.stopping[host] = self.fleet.processes.pop(host)
        began_at = time.monotonic()
        process.terminate()
        try:
            status = process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            self.violations.append(f'{host} did not exit within {STOP_TIMEOUT_S} s of SIGTERM')
            return
        finally:
            del self.stopping[host]
            self.stop_periods.append(Period(host, began_at, time.monotonic()))
        if status:
            self.violations.append(f'{host} exited with status {status} after SIGTERM')

    def _wait_until_signals_are_handled(self, host: str) -> None:
        """
        Wait until the host's process handles the signals that this run sends: before, they would
        end it.

        """
        pid = self.fleet.processes[host].pid
        signals = (signal.SIGHUP, signal.SIGTERM)
        wait_until(lambda: all(handles_signal(pid, number) for number in signals), START_TIMEOUT_S)

    def _limit_file_size(self, host: str, size: int) -> None:
        pid = self.fleet.processes[host].pid
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))
