"""
A seeded fleet of real processes on loopback addresses, for tests.

Daemons are started with `deploy/millforkd.py` from settings as the platform writes
them; the operator and the back ends are stand-ins
that speak through the adapter's own names.

"""

import itertools
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from bisect import bisect_left
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any, Final

from millfork_platform import client_requests
from millfork_platform.settings_templates import TemplateValues, render_settings
from millfork_registry.records import Lease, LeaseState
from millfork_routing.documents import Document
from millfork_settings.seeded import SeededRole
from millfork_web.models import Request

ROOT: Final = Path(__file__).parents[3]
WIRE_PORT: Final = 7700
CONTROL_PORT: Final = 8000
CALLERS_PORT: Final = 8005
READY_PORT: Final = 8002
ENGINE_PORT: Final = 8001
HEARTBEAT_S: Final = 0.3
BOUND_S: Final = 20.0
CALL_TIMEOUT_S: Final = 5.0
LOAD_THREADS: Final = 32
# A request that says this ends each back end that runs it.
CRASHING_BODY: Final = b'this ends the back end that runs it'


@dataclass(slots=True)
class Reply:
    """
    An answer as a caller sees it; status 0 where there is none.

    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''


def call(host: str, port: int, request: Request) -> Reply:
    """
    Send one request on a connection of its own.

    """
    connection = HTTPConnection(host, port, timeout=CALL_TIMEOUT_S)
    try:
        connection.request(request.method, request.path, request.body, dict(request.headers))
        response = connection.getresponse()
        body = response.read()
    except (OSError, HTTPException):
        return Reply(0)
    finally:
        connection.close()
    headers = {name.lower(): value for name, value in response.getheaders()}
    return Reply(response.status, headers, body)


class _Handler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    server: 'BackEnd'

    def do_GET(self) -> None:
        self._answer()

    def do_POST(self) -> None:
        self._answer()

    def _answer(self) -> None:
        asked = self.rfile.read(int(self.headers.get('content-length', 0)))
        self.server.arrived_at.append(time.monotonic())
        turns_away = self.server.turns_away
        if not turns_away:
            headers = {key.lower(): value for key, value in self.headers.items()}
            self.server.executed.append(headers)
        if asked == CRASHING_BODY:
            self.close_connection = True
            self.server.crashing += 1
            time.sleep(self.server.crashes_after_s)
            self.server.crash()
            return
        if turns_away:
            self.send_response(503)
            self.send_header(client_requests.REQUEST_ID, self.headers[client_requests.REQUEST_ID])
            self.send_header(client_requests.NOT_RUN, '1')
            self._say()
            self.send_header('content-length', '0')
            self.end_headers()
            return
        if self.server.breaks_off:
            self.close_connection = True
            self.connection.shutdown(socket.SHUT_RDWR)
            return
        self.server.release.wait(BOUND_S)
        body = b'answer'
        time.sleep(self.server.works_s)
        self.send_response(200)
        self._say()
        self.send_header(client_requests.REQUEST_ID, self.headers[client_requests.REQUEST_ID])
        self.send_header(client_requests.SIGNATURE, self.server.instance)
        self.send_header('content-length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _say(self) -> None:
        for name, value in self.server.says.items():
            self.send_header(name, value)

    def log_message(self, format: str, *arguments: object) -> None:
        return None


class BackEnd(ThreadingHTTPServer):
    """
    A plain service's server: it notes what it runs, and sends heartbeats to
    whichever replica takes them.

    """

    daemon_threads = True

    def __init__(self, host: str, service: str, instance: str, fleet: 'SeededFleet') -> None:
        super().__init__((host, 0), _Handler)
        self.service = service
        self.instance = instance
        self.fleet = fleet
        # Where callers reach it, if not at its own address.
        self.advertised: tuple[str, int] | None = None
        self.state = LeaseState.READY
        self.sequence = 0
        self.executed: list[dict[str, str]] = []
        # Of each request, in monotonic seconds.
        self.arrived_at: list[float] = []
        # Requests that end it, and how long it works on one.
        self.crashing = 0
        self.crashes_after_s = 0.0
        # What it says of itself in the heads of all answers.
        self.says: dict[str, str] = {}
        self.works_s = 0.0
        self.breaks_off = False
        # How long after its connections its address closes when it crashes.
        self.closes_after_s = 0.0
        # Answers at once that it does not run the request.
        self.turns_away = False
        self.release = threading.Event()
        self.release.set()
        self.ended = threading.Event()
        self.open: set[socket.socket] = set()
        threading.Thread(target=self.serve_forever, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def get_request(self) -> tuple[socket.socket, Any]:
        """
        Take a connection, and remember it. One that ends leaves it without an answer.

        """
        sock, address = super().get_request()
        self.open.add(sock)
        if self.ended.is_set():
            raise OSError('nobody takes connections any more')
        return sock, address

    def crash(self) -> None:
        """
        End as a process does: all connections and the address at once, or the address some
        time later, and no word to anyone.

        """
        self.ended.set()
        if not self.closes_after_s:
            self._close_address()
        self._close_connections()
        threading.Thread(target=self._finish_crash, daemon=True).start()

    def _finish_crash(self) -> None:
        if self.closes_after_s:
            time.sleep(self.closes_after_s)
            self._close_address()
            self._close_connections()
        self.shutdown()

    def _close_address(self) -> None:
        if self.socket.fileno() < 0:
            # The test is over.
            return
        # Closed alone, it went on taking connections while another thread polls it.
        self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()

    def _close_connections(self) -> None:
        for sock in list(self.open):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                # Its caller closed it before.
                continue

    def _lease(self) -> Lease:
        host, port = self.advertised or (str(self.server_address[0]), int(self.server_address[1]))
        self.sequence += 1
        return Lease(self.instance, self.service, host, port, 'zone', 4, self.state, self.sequence)

    def heartbeat(self) -> bool:
        """
        Send one heartbeat; True once a replica acknowledged it.

        """
        request = client_requests.heartbeat_request(self._lease())
        return any(
            call(host, CONTROL_PORT, request).status == 200 for host in self.fleet.replica_hosts
        )

    def most_in(self, seconds: float, since: float) -> int:
        """
        The most requests that came in any so many seconds, from a moment on.

        """
        times = [at for at in list(self.arrived_at) if at >= since]
        return max(
            (bisect_left(times, at + seconds) - first for first, at in enumerate(times)), default=0
        )

    def _beat(self) -> None:
        while not self.ended.wait(HEARTBEAT_S):
            self.heartbeat()

    def handle_error(self, request: object, client_address: object) -> None:
        """
        Entries reset what they gave up; that is no fault of the stand-in.

        """

    def executed_ids(self) -> list[str]:
        """
        The ids of the requests that it ran.

        """
        return [headers[client_requests.REQUEST_ID] for headers in list(self.executed)]

    def drain(self) -> bool:
        """
        Say 'draining'; True once that is acknowledged.

        """
        self.state = LeaseState.DRAINING
        return self.heartbeat()

    def end(self) -> None:
        self.ended.set()
        self.release.set()
        self.shutdown()
        self.server_close()


class SeededFleet:
    """
    Replicas and entries, by host.

    """

    def __init__(
        self,
        folder: Path,
        replicas: int = 3,
        entries: int = 1,
        version_ms: int = 0,
        endpoints: int = 0,
    ) -> None:
        self.folder = folder
        # For how long an older version of weights may be begun on.
        self.version_ms = version_ms
        # Fleets of tests that run at the same time need addresses of their own.
        network = f'127.{100 + os.getpid() % 100}'
        self.replica_hosts = [f'{network}.1.{number}' for number in range(1, replicas + 1)]
        self.entry_hosts = [f'{network}.2.{number}' for number in range(1, entries + 1)]
        self.back_host = f'{network}.3.1'
        # Endpoint daemons; nothing answers as the engine beside them.
        self.endpoint_hosts = [f'{network}.4.{number}' for number in range(1, endpoints + 1)]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.back_ends: list[BackEnd] = []

    def start(self) -> None:
        for host in (*self.replica_hosts, *self.entry_hosts, *self.endpoint_hosts):
            self.start_one(host, first_start=True)

    def start_one(self, host: str, first_start: bool = False) -> None:
        """
        Start the process of one host with settings written anew.

        """
        path = self.folder / f'{host}.yaml'
        path.write_text(self._settings(host, first_start))
        command = [sys.executable, str(ROOT / 'deploy' / 'millforkd.py'), f'--settings={path}']
        with (self.folder / f'{host}.log').open('ab') as log:
            self.processes[host] = subprocess.Popen(command, stdout=log, stderr=log)

    def _settings(self, host: str, first_start: bool) -> str:
        role = self._role(host)
        place = TemplateValues(
            host,
            host,
            'zone',
            'region',
            WIRE_PORT,
            CONTROL_PORT,
            CALLERS_PORT,
            READY_PORT,
            [f'{replica}:{CONTROL_PORT}' for replica in self.replica_hosts[:3]],
            first_start,
            int(HEARTBEAT_S * 1000),
            data_folder=self.folder / host,
            engine=f'{host}:{ENGINE_PORT}',
            service='engines',
        )
        place.bounds['version_ms'] = self.version_ms
        template = ROOT / 'deploy' / 'settings' / f'{role.value}.yaml'
        return render_settings(template.read_text(), place)

    def _role(self, host: str) -> SeededRole:
        if host in self.replica_hosts:
            return SeededRole.REPLICA
        return SeededRole.ENTRY if host in self.entry_hosts else SeededRole.ENDPOINT

    def log(self, host: str) -> str:
        return (self.folder / f'{host}.log').read_text()

    def signal(self, host: str, number: signal.Signals) -> None:
        self.processes[host].send_signal(number)

    def kill(self, host: str) -> None:
        process = self.processes.pop(host)
        process.kill()
        process.wait()

    def add_back_end(self, service: str, instance: str) -> BackEnd:
        made = BackEnd(self.back_host, service, instance, self)
        self.back_ends.append(made)
        return made

    def control(self, request: Request) -> Reply:
        """
        Send an operator's call to one replica after another until one takes
        it, as operators do.

        """
        until = time.monotonic() + BOUND_S
        reply = Reply(0)
        while time.monotonic() < until:
            for host in self.replica_hosts:
                reply = call(host, CONTROL_PORT, request)
                if 200 <= reply.status < 500:
                    return reply
            time.sleep(HEARTBEAT_S)
        return reply

    def put(self, document: Document) -> Reply:
        return self.control(client_requests.put_document_request(document))

    def ask(self, request: Request, entry: int = 0) -> Reply:
        """
        A caller's request to one entry.

        """
        return call(self.entry_hosts[entry], CALLERS_PORT, request)

    def load(self, make: Callable[[], Request], per_s: float, seconds: float) -> list[Reply]:
        """
        Callers' requests at an even pace, spread over the entries; their answers.

        """
        began = time.monotonic()
        pause = threading.Event()
        with ThreadPoolExecutor(LOAD_THREADS) as pool:
            replies = []
            for number in itertools.count():
                due = began + number / per_s
                if due > began + seconds:
                    break
                pause.wait(max(due - time.monotonic(), 0))
                replies.append(pool.submit(self.ask, make(), number % len(self.entry_hosts)))
            return [reply.result() for reply in replies]

    def close(self) -> None:
        for back_end in self.back_ends:
            back_end.end()
        for host in list(self.processes):
            self.kill(host)
