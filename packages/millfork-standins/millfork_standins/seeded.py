"""
A seeded fleet (its processes start from a few replica addresses) on loopback addresses.

The daemons are started with `deploy/millforkd.py` from settings as the platform writes them. The
operator and the back ends are stand-ins that use the header names of the platform's adapter
(`millfork_platform`).

"""

import itertools
import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection
from pathlib import Path
from typing import Final

from millfork_platform import client_requests
from millfork_platform.settings_templates import TemplateValues, render_settings
from millfork_routing.documents import Document
from millfork_settings.seeded import SeededRole
from millfork_standins.back_end import (
    WAIT_TIMEOUT_S,
    BackEnd,
    BreakKind,
    RawAnswer,
    stream_event,
)
from millfork_standins.http_calls import Reply, call
from millfork_standins.region_daemon import PROXY_VARIABLE
from millfork_standins.region_links import RegionLinks
from millfork_standins.seeded_ports import (
    CALLERS_PORT,
    CONTROL_PORT,
    ENGINE_PORT,
    READY_PORT,
    WIRE_PORT,
)
from millfork_web.framing import Framing
from millfork_web.models import Request

ROOT: Final = Path(__file__).parents[3]
REGION_DAEMON: Final = Path(__file__).with_name('region_daemon.py')
HEARTBEAT_INTERVAL_S: Final = 0.3
LOAD_THREADS: Final = 32


class SeededFleet:
    """
    The replicas, entries, endpoint daemons and back ends of one fleet.

    """

    def __init__(
        self,
        folder: Path,
        replicas: int = 3,
        entries: int = 1,
        version_ms: int = 0,
        endpoints: int = 0,
        heartbeat_s: float = HEARTBEAT_INTERVAL_S,
    ) -> None:
        self.folder = folder
        self.heartbeat_s = heartbeat_s
        # For how many milliseconds after a new version is set in the configuration requests may
        # still begin on the older version.
        self.version_ms = version_ms
        # Values that replace those of `DEFAULT_BOUNDS` in the settings.
        self.bounds: dict[str, object] = {}
        # Maps all zones of the deployment to their regions (None: the settings name none).
        self.zones: dict[str, str] | None = None
        # Tests that run at the same time need different addresses.
        block, second_octet = divmod(os.getpid(), 100)
        subnets = [f'127.{100 + second_octet}.{10 * (block % 25) + role}' for role in range(1, 5)]
        self.replica_subnet = subnets[0]
        self.last_replica = replicas
        self.replica_hosts = [f'{subnets[0]}.{number}' for number in range(1, replicas + 1)]
        self.entry_hosts = [f'{subnets[1]}.{number}' for number in range(1, entries + 1)]
        self.back_end_host = f'{subnets[2]}.1'
        # Hosts of the endpoint daemons. No engine runs beside them, unless `engine_addresses` has
        # its address.
        self.endpoint_hosts = [f'{subnets[3]}.{number}' for number in range(1, endpoints + 1)]
        self.engine_addresses: dict[str, str] = {}
        # The event before which streams break off, and the number of streams that are still to.
        self.break_before_event = 0
        self.breaks_left = 0
        # How they break off, and how many bytes of that event they send before.
        self.break_kind = BreakKind.CLOSE
        self.break_event_bytes = 0
        # How the end of an answer shows: streams are sent in chunks, other answers with a length,
        # unless this is CONNECTION.
        self.framing = Framing.CHUNKED
        # If set, every second request is answered with these bytes.
        self.raw_answer: RawAnswer | None = None
        self.raw_answer_turns = itertools.count()
        # The answers to the next requests with a body, by that body; None stands for a usual one.
        self.raw_answers: dict[bytes, list[RawAnswer | None]] = {}
        # The content type of all answers, which then are no streams; none if empty.
        self.content_type = ''
        # The next bodies that are neither streams nor large; `answer` once there is none.
        self.answers: list[bytes] = []
        # A request whose prompt has this part, other than as the last one, crashes the back end
        # that runs it, like a request with CRASHING_BODY; no part does if it is empty.
        self.crashing_part = ''
        # Arrival times of the requests that crash back ends, in monotonic seconds.
        self.crashing_requests_at: list[float] = []
        # Seconds from the crash of a back end to the start of another one that replaces it (None:
        # none does).
        self.restart_delay_s: float | None = None
        self.closing = threading.Event()
        # Sent after the first event of a stream that crashes its back end.
        self.last_data_before_crash = stream_event(2)[:-1]
        # Sent after the last event of a whole stream.
        self.stream_tail = b''
        # The number of resumed streams that are still to be answered with status 500.
        self.resume_failures_left = 0
        # The script that starts a daemon.
        self.daemon = ROOT / 'deploy' / 'millforkd.py'
        # The links between regions, through which the daemons reach each other (None: they reach
        # each other directly).
        self.region_links: RegionLinks | None = None
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.back_ends: list[BackEnd] = []

    def start(self) -> None:
        for host in (*self.replica_hosts, *self.entry_hosts, *self.endpoint_hosts):
            self.start_process(host, first_start=True)

    def start_process(self, host: str, first_start: bool = False) -> None:
        """
        Write the settings of one host and start its process. `first_start` is the setting which
        says that the whole fleet starts for the first time, on empty disks.

        """
        path = self.folder / f'{host}.yaml'
        path.write_text(self._settings(host, first_start))
        daemon, environment = self.daemon, dict(os.environ)
        if self.region_links is not None:
            daemon = REGION_DAEMON
            environment[PROXY_VARIABLE] = ':'.join(map(str, self.region_links.address))
        command = [sys.executable, str(daemon), f'--settings={path}']
        with (self.folder / f'{host}.log').open('ab') as log:
            self.processes[host] = subprocess.Popen(
                command, stdout=log, stderr=log, env=environment
            )

    def _settings(self, host: str, first_start: bool) -> str:
        role = self._role(host)
        template_values = TemplateValues(
            host,
            host,
            self.zone_of(host),
            'region',
            WIRE_PORT,
            CONTROL_PORT,
            CALLERS_PORT,
            READY_PORT,
            [f'{replica}:{CONTROL_PORT}' for replica in self.replica_hosts[:3]],
            first_start,
            int(self.heartbeat_s * 1000),
            data_folder=self.folder / host,
            engine=self.engine_addresses.get(host, f'{host}:{ENGINE_PORT}'),
            service='engines',
            zones=self.zones,
        )
        template_values.bounds.update(self.bounds)
        template_values.bounds['version_ms'] = self.version_ms
        template = ROOT / 'deploy' / 'settings' / f'{role.value}.yaml'
        return render_settings(template.read_text(), template_values)

    def limit_region_links(self, mbps: float) -> None:
        """
        Let the daemons that start from now on reach each other through links that pass `mbps`
        Mbit/s from one region to another. Each zone is a region of its own.

        """
        self.region_links = RegionLinks(self.back_end_host, self.zone_of, mbps)

    def zone_of(self, host: str) -> str:
        return 'zone'

    def _role(self, host: str) -> SeededRole:
        if host in self.replica_hosts:
            return SeededRole.REPLICA
        return SeededRole.ENTRY if host in self.entry_hosts else SeededRole.ENDPOINT

    def log(self, host: str) -> str:
        return (self.folder / f'{host}.log').read_text()

    def signal(self, host: str, signal_number: signal.Signals) -> None:
        self.processes[host].send_signal(signal_number)

    def kill(self, host: str) -> None:
        process = self.processes.pop(host)
        process.kill()
        process.wait()

    def stop(self, host: str) -> int:
        """
        Stop a process by SIGTERM; return its exit status.

        """
        process = self.processes.pop(host)
        process.terminate()
        return process.wait()

    def restart_all(self) -> None:
        """
        Kill all processes at the same moment, and start them again. Disks are kept.

        """
        hosts = list(self.processes)
        for host in hosts:
            self.signal(host, signal.SIGKILL)
        for host in hosts:
            self.processes.pop(host).wait()
        for host in hosts:
            self.start_process(host)

    def add_replica(self) -> str:
        """
        Start another replica on an empty disk, at a host that no replica had before; return its
        host.

        """
        self.last_replica += 1
        host = f'{self.replica_subnet}.{self.last_replica}'
        # Replaced, as other threads iterate over the list.
        self.replica_hosts = [*self.replica_hosts, host]
        self.start_process(host)
        return host

    def add_back_end(self, service: str, instance: str) -> BackEnd:
        back_end = BackEnd(self.back_end_host, service, instance, self)
        self.back_ends.append(back_end)
        return back_end

    def replace_back_end(self, crashed: BackEnd) -> None:
        """
        Start another back end in place of a crashed one, after `restart_delay_s`.

        """
        if self.restart_delay_s is None or self.closing.wait(self.restart_delay_s):
            return
        new = self.add_back_end(crashed.service, f'{crashed.instance}+')
        new.crash_delay_s = crashed.crash_delay_s
        new.service_time_s = crashed.service_time_s

    def take_break(self, event: int) -> bool:
        """
        Return True if a stream is to break off before this event.

        """
        if not self.breaks_left or event != self.break_before_event:
            return False
        self.breaks_left -= 1
        return True

    def framing_of(self, request_id: str) -> Framing:
        """
        Return the framing of the answer to a request; streams are sent in chunks and other answers
        with a length, unless it is CONNECTION.

        """
        return self.framing

    def take_stream_break(self, request_id: str, event: int) -> BreakKind | None:
        """
        Return how the stream that answers a request breaks off before this event; None if it
        doesn't.

        """
        return self.break_kind if self.take_break(event) else None

    def take_raw_answer(self, request_body: bytes) -> RawAnswer | None:
        """
        Return the next one of `raw_answers` for a request with this body. If there is none, return
        `raw_answer` for every second request, else None.

        """
        if raw_answers := self.raw_answers.get(request_body):
            return raw_answers.pop(0)
        return self.raw_answer if next(self.raw_answer_turns) % 2 else None

    def take_answer(self) -> bytes:
        """
        Return the next body that is neither a stream nor large.

        """
        return self.answers.pop(0) if self.answers else b'answer'

    def take_failure(self, resumed: bool) -> bool:
        """
        Return True if a request is to be answered with status 500.

        """
        if not self.resume_failures_left or not resumed:
            return False
        self.resume_failures_left -= 1
        return True

    def control(self, request: Request) -> Reply:
        """
        Send an operator's request to the replicas in turn until one answers with a status
        between 200 and 499, or `WAIT_TIMEOUT_S` seconds have passed; return the last reply.

        """
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        reply = Reply(0)
        while time.monotonic() < deadline:
            for host in self.replica_hosts:
                reply = call(host, CONTROL_PORT, request)
                if 200 <= reply.status < 500:
                    return reply
            time.sleep(HEARTBEAT_INTERVAL_S)
        return reply

    def put_document(self, document: Document) -> Reply:
        return self.control(client_requests.put_document_request(document))

    def send_request(
        self,
        request: Request,
        entry: int = 0,
        connection_type: type[HTTPConnection] = HTTPConnection,
    ) -> Reply:
        """
        Send a caller's request to one entry.

        """
        return call(self.entry_hosts[entry], CALLERS_PORT, request, connection_type)

    def send_load(
        self, make_request: Callable[[], Request], per_s: float, seconds: float
    ) -> list[Reply]:
        """
        Send requests at a constant rate to the entries in turn and return all replies in the
        order of the requests.

        """
        started_at = time.monotonic()
        pause = threading.Event()
        with ThreadPoolExecutor(LOAD_THREADS) as pool:
            replies = []
            for number in itertools.count():
                due_at = started_at + number / per_s
                if due_at > started_at + seconds:
                    break
                pause.wait(max(due_at - time.monotonic(), 0))
                replies.append(
                    pool.submit(self.send_request, make_request(), number % len(self.entry_hosts))
                )
            return [reply.result() for reply in replies]

    def close(self) -> None:
        self.closing.set()
        for back_end in self.back_ends:
            back_end.end()
        for host in list(self.processes):
            self.kill(host)
        if self.region_links is not None:
            self.region_links.close()
