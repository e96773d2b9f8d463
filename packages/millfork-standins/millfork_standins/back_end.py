"""
A stand-in for the back ends of a seeded fleet: a server of a plain service that answers, pauses,
breaks off and crashes as a test sets it.

It uses the header names of the platform's adapter (`millfork_platform`).

"""

import socket
import threading
import time
from bisect import bisect_left
from dataclasses import dataclass
from enum import Enum
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import TYPE_CHECKING, Any, ClassVar, Final

from millfork_core.sockets import RESET_ON_CLOSE
from millfork_platform import client_requests
from millfork_registry.records import Lease, LeaseState
from millfork_standins.http_calls import call
from millfork_standins.seeded_ports import CONTROL_PORT
from millfork_web.framing import Framing

if TYPE_CHECKING:
    from millfork_standins.seeded import SeededFleet

WAIT_TIMEOUT_S: Final = 20.0
LISTEN_BACKLOG: Final = 256
# Requests with this path prefix are answered with a stream of `STREAM_EVENTS` events.
STREAM_PATH: Final = '/stream/'
STREAM_EVENTS: Final = 8
# Requests with this path prefix are answered with `LARGE_ANSWER`.
LARGE_PATH: Final = '/large/'
LARGE_ANSWER: Final = b'large answer' * 20_000
# A request with this body crashes the back end that runs it, for a stream after its
# first event.
CRASHING_BODY: Final = b'this ends the back end that runs it'


class BreakKind(Enum):
    """
    How a stream breaks off: the connection is closed or reset, or the last chunk is sent.

    """

    CLOSE = 'close'
    RESET = 'reset'
    LAST_CHUNK = 'last_chunk'


@dataclass(frozen=True, slots=True)
class RawAnswer:
    """
    The bytes of an answer, in which REQUEST_ID stands for the id of the request, and whether the
    back end closes the connection afterwards, with a reset if `resets`. If `rest` isn't empty, it
    follows after `pause_s` seconds. If `endless` isn't empty, these bytes follow again and again,
    each after `pause_s` seconds, until the entry closes the connection.

    """

    REQUEST_ID: ClassVar[bytes] = b'@id'

    data: bytes
    closes: bool = False
    endless: bytes = b''
    pause_s: float = 0.0
    rest: bytes = b''
    resets: bool = False


def stream_event(number: int) -> bytes:
    """
    The event of a simulated stream that has the id `number`.

    """
    return f'id: {number}\ndata: word {number}\n\n'.encode()


class BackEndHandler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    server: 'BackEnd'
    # The framing of the answer to the current request.
    framing = Framing.CHUNKED

    def do_GET(self) -> None:
        self._handle_request()

    def do_POST(self) -> None:
        self._handle_request()

    def _handle_request(self) -> None:
        request_body = self.rfile.read(int(self.headers.get('content-length', 0)))
        self.framing = self.server.fleet.framing_of(
            self.headers.get(client_requests.REQUEST_ID, '')
        )
        self.server.record_arrival(self.headers.get(client_requests.REQUEST_ID, ''))
        self.server.wait_while_silent()
        turns_away = self.server.turns_away
        if not turns_away:
            headers = {key.lower(): value for key, value in self.headers.items()}
            self.server.executed.append(headers)
        if request_body == CRASHING_BODY or self._has_crashing_part():
            self.close_connection = True
            self.server.crash_request_count += 1
            self.server.fleet.crashing_requests_at.append(time.monotonic())
            if self.path.startswith(STREAM_PATH):
                self._send_stream_head()
                self._send_chunk(stream_event(1) + self.server.fleet.last_data_before_crash)
            time.sleep(self.server.crash_delay_s)
            self.server.crash()
            return
        if turns_away:
            self.send_response(503)
            self.send_header(client_requests.REQUEST_ID, self.headers[client_requests.REQUEST_ID])
            self.send_header(client_requests.NOT_RUN, '1')
            self._send_extra_headers()
            self.send_header('content-length', '0')
            self.end_headers()
            return
        if self.server.drops_requests:
            self._break_off(b'')
            return
        raw_answer = self.server.fleet.take_raw_answer(request_body)
        if raw_answer is not None:
            self._send_raw(raw_answer)
            return
        self.server.release.wait(WAIT_TIMEOUT_S)
        self.server.reach_event(0)
        resumed = client_requests.LAST_EVENT_ID in self.headers
        if self.server.fails_requests or self.server.fleet.take_failure(resumed):
            self._send_failure()
            return
        if self.path.startswith(STREAM_PATH) and not self.server.fleet.content_type:
            self._send_stream()
            return
        body = LARGE_ANSWER if self.path.startswith(LARGE_PATH) else self.server.fleet.take_answer()
        time.sleep(self.server.service_time_s)
        self.send_response(200)
        self._send_extra_headers()
        self.send_header(client_requests.REQUEST_ID, self.headers[client_requests.REQUEST_ID])
        self.send_header(client_requests.SIGNATURE, self.server.instance)
        if self.server.fleet.content_type:
            self.send_header('content-type', self.server.fleet.content_type)
        if self.framing is Framing.CONNECTION:
            self.close_connection = True
        else:
            self.send_header('content-length', str(len(body)))
        self.end_headers()
        if body is LARGE_ANSWER and self.server.fleet.take_break(1):
            self._break_off(body[: len(body) // 2], self.server.fleet.break_kind)
            return
        self.server.wait_while_silent()
        self.wfile.write(body)

    def _send_raw(self, raw_answer: RawAnswer) -> None:
        self.close_connection = raw_answer.closes
        request_id = self.headers[client_requests.REQUEST_ID].encode()
        self.wfile.write(raw_answer.data.replace(RawAnswer.REQUEST_ID, request_id))
        if raw_answer.rest and not self.server.ended.wait(raw_answer.pause_s):
            self.wfile.write(raw_answer.rest.replace(RawAnswer.REQUEST_ID, request_id))
        if raw_answer.resets:
            self._break_off(b'', BreakKind.RESET)
            return
        while raw_answer.endless and not self.server.ended.wait(raw_answer.pause_s):
            # Ends with an error once the entry has closed the connection.
            self.wfile.write(raw_answer.endless)

    def _has_crashing_part(self) -> bool:
        parts = self.headers.get(client_requests.PREFIX_PARTS, '').split(',')
        return self.server.fleet.crashing_part in [part.partition(':')[0] for part in parts[:-1]]

    def _break_off(self, last_data: bytes, break_kind: BreakKind = BreakKind.CLOSE) -> None:
        self.wfile.write(last_data)
        self.close_connection = True
        if break_kind is BreakKind.RESET:
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.connection.close()
            return
        self.connection.shutdown(socket.SHUT_RDWR)

    def _send_failure(self) -> None:
        self.send_response(500)
        self.send_header(client_requests.REQUEST_ID, self.headers[client_requests.REQUEST_ID])
        self.send_header('content-length', '0')
        self.end_headers()

    def _send_stream(self) -> None:
        """
        Send the events after the one that the request names as the last one received.

        """
        self._send_stream_head()
        last_received = int(self.headers.get(client_requests.LAST_EVENT_ID, '0'))
        for number in range(last_received + 1, STREAM_EVENTS + 1):
            request_id = self.headers[client_requests.REQUEST_ID]
            break_kind = self.server.fleet.take_stream_break(request_id, number)
            if break_kind is not None:
                self._break_stream(stream_event(number), break_kind)
                return
            time.sleep(self.server.event_interval_s)
            self.server.wait_while_silent()
            self._send_chunk(stream_event(number))
            self.server.reach_event(number)
        if self.server.fleet.stream_tail:
            self._send_chunk(self.server.fleet.stream_tail)
        self._send_chunk(b'')

    def _send_stream_head(self) -> None:
        self.send_response(200)
        self.send_header(client_requests.REQUEST_ID, self.headers[client_requests.REQUEST_ID])
        self.send_header(client_requests.SIGNATURE, self.server.instance)
        self.send_header('content-type', 'text/event-stream')
        if self.framing is Framing.CONNECTION:
            self.close_connection = True
        else:
            self.send_header('transfer-encoding', 'chunked')
        self.end_headers()

    def _break_stream(self, event: bytes, break_kind: BreakKind) -> None:
        fleet = self.server.fleet
        if fleet.break_event_bytes:
            self._send_chunk(event[: fleet.break_event_bytes])
        if break_kind is BreakKind.LAST_CHUNK:
            self._send_chunk(b'')
            return
        self._break_off(b'', break_kind)

    def _send_chunk(self, data: bytes) -> None:
        if self.framing is Framing.CONNECTION:
            self.wfile.write(data)
            return
        self.wfile.write(b'%x\r\n%s\r\n' % (len(data), data))

    def _send_extra_headers(self) -> None:
        for name, value in self.server.extra_headers.items():
            self.send_header(name, value)

    def log_message(self, format: str, *arguments: object) -> None:
        return None


class BackEnd(ThreadingHTTPServer):
    """
    A server of a plain service that records the requests it executes and sends heartbeats to
    the first replica that accepts them.

    """

    daemon_threads = True
    handler_type: ClassVar[type[BackEndHandler]] = BackEndHandler
    # Connections of all entries of a large fleet may arrive at once.
    request_queue_size = LISTEN_BACKLOG

    def __init__(self, host: str, service: str, instance: str, fleet: 'SeededFleet') -> None:
        super().__init__((host, 0), self.handler_type)
        self.service = service
        self.instance = instance
        self.fleet = fleet
        # Address that the leases contain (None: the listening address).
        self.advertised: tuple[str, int] | None = None
        self.state = LeaseState.READY
        self.sequence = 0
        # Headers of each request that was not turned away.
        self.executed: list[dict[str, str]] = []
        # Arrival time of each request, in monotonic seconds.
        self.arrived_at: list[float] = []
        # Number of crashing requests that arrived, and seconds from their arrival until the crash.
        self.crash_request_count = 0
        self.crash_delay_s = 0.0
        # Headers added to all answers.
        self.extra_headers: dict[str, str] = {}
        self.service_time_s = 0.0
        # Time before each event of a stream.
        self.event_interval_s = 0.0
        # Whether connections are closed without an answer to their requests.
        self.drops_requests = False
        # In a crash, seconds from the close of the connections to the close of the listening
        # address.
        self.address_close_delay_s = 0.0
        # Whether all requests are answered with 503 and the header which says that the request was
        # not run.
        self.turns_away = False
        # Whether requests are answered with status 500.
        self.fails_requests = False
        # The back end falls silent once, for `pause_s`, after this event of a stream (0:
        # before the head of an answer; None: never).
        self.pause_after_event: int | None = None
        self.pause_s = 0.0
        self.silent_until = 0.0
        self.heartbeats_silent_until = 0.0
        # Requests that are executed wait for this event before they are answered.
        self.release = threading.Event()
        self.release.set()
        self.ended = threading.Event()
        # Time of the crash, in monotonic seconds; None before.
        self.crashed_at: float | None = None
        self.open_connections: set[socket.socket] = set()
        threading.Thread(target=self.serve_forever, daemon=True).start()
        threading.Thread(target=self._send_heartbeats, daemon=True).start()

    def get_request(self) -> tuple[socket.socket, Any]:
        """
        Accept a connection and store its socket.

        :raises OSError: if the back end has ended; the connection stays open without an answer.

        """
        sock, address = super().get_request()
        self.open_connections.add(sock)
        if self.ended.is_set():
            raise OSError('the back end has ended and accepts no connections')
        return sock, address

    def crash(self) -> None:
        """
        End like a crashing process: all connections close without an answer, and the listening
        address closes with them or `address_close_delay_s` later.

        """
        if self.crashed_at is not None:
            return
        self.crashed_at = time.monotonic()
        self.ended.set()
        if not self.address_close_delay_s:
            self._close_address()
        self._close_connections()
        threading.Thread(target=self._finish_crash, daemon=True).start()

    def record_arrival(self, request_id: str) -> None:
        self.arrived_at.append(time.monotonic())

    def reach_event(self, number: int) -> None:
        """
        Begin the pause if it is due after this event. While the back end is silent, all its
        answers wait here.

        """
        if number == self.pause_after_event:
            self.pause_after_event = None
            self.silent_until = time.monotonic() + self.pause_s
        self.wait_while_silent()

    def pause(self, seconds: float) -> None:
        """
        Begin no request and send nothing, also no heartbeat, for `seconds`. A lease that is
        shorter ends meanwhile.

        """
        self.silent_until = self.heartbeats_silent_until = time.monotonic() + seconds

    def wait_while_silent(self) -> None:
        while (remaining_s := self.silent_until - time.monotonic()) > 0:
            time.sleep(remaining_s)

    def _finish_crash(self) -> None:
        if self.address_close_delay_s:
            time.sleep(self.address_close_delay_s)
            self._close_address()
            self._close_connections()
        self.shutdown()
        self.fleet.replace_back_end(self)

    def _close_address(self) -> None:
        if self.socket.fileno() < 0:
            # `crash` has closed the socket already.
            return
        # Without the shutdown, the closed socket accepts connections while another thread polls.
        self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()

    def _close_connections(self) -> None:
        for sock in list(self.open_connections):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The caller has closed the connection already.
                continue

    def _lease(self) -> Lease:
        host, port = self.advertised or (str(self.server_address[0]), int(self.server_address[1]))
        self.sequence += 1
        return Lease(self.instance, self.service, host, port, 'zone', 4, self.state, self.sequence)

    def heartbeat(self) -> bool:
        """
        Send one heartbeat; return True if a replica acknowledged the heartbeat.

        """
        request = client_requests.heartbeat_request(self._lease())
        return any(
            call(host, CONTROL_PORT, request).status == 200 for host in self.fleet.replica_hosts
        )

    def max_arrivals_within(self, seconds: float, since: float) -> int:
        """
        Return the highest number of requests that arrived in any interval of `seconds` that begins
        at or after `since` (monotonic seconds).

        """
        times = [at for at in list(self.arrived_at) if at >= since]
        return max(
            (bisect_left(times, at + seconds) - first for first, at in enumerate(times)), default=0
        )

    def _send_heartbeats(self) -> None:
        while not self.ended.wait(self.fleet.heartbeat_s):
            time.sleep(max(self.heartbeats_silent_until - time.monotonic(), 0.0))
            self.heartbeat()

    def handle_error(self, request: object, client_address: object) -> None:
        """
        Ignore errors, as entries reset the connections of requests that they cancel.

        """

    def executed_ids(self) -> list[str]:
        """
        Return the ids of the executed requests.

        """
        return [headers[client_requests.REQUEST_ID] for headers in list(self.executed)]

    def drain(self) -> bool:
        """
        Send a heartbeat with the state 'draining'; return True if a replica acknowledged the
        heartbeat.

        """
        self.state = LeaseState.DRAINING
        return self.heartbeat()

    def end(self) -> None:
        self.ended.set()
        self.release.set()
        self.shutdown()
        self.server_close()
