"""
A fleet of real daemons, one beside each engine, with simulated engines that change their version
when they are ordered to and keep no pieces, and a simulated origin.

"""

import hashlib
import json
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import msgspec

from millfork_core.ids import OrganisationId, ServiceName
from millfork_platform import client_requests, names
from millfork_registry.records import ServedVersion
from millfork_routing.documents import (
    Document,
    EngineSpec,
    Organisation,
    Route,
    RouteKind,
    Service,
    Share,
)
from millfork_standins import back_end
from millfork_standins.back_end import STREAM_PATH, BackEnd
from millfork_standins.seeded import SeededFleet
from millfork_standins.seeded_ports import ENGINE_PORT
from millfork_web.models import Request
from tests.test_seeded_fleet import request

MODEL, LAYERS, PIECES = 'm', 4, 8
ENGINES = 3
VERSION_MS = 5000
PAUSE_S = 1.9
LOAD_S = 0.3
EVENT_S = 0.05
CALLS_PER_S = 10
ENGINE = EngineSpec(
    slots=64, tokens=300_000, step_ms=9.0, per_sequence_ms=0.02, per_context_ms=0.03,
    read_per_s=20_000, pairs_ms_per_million=1.0, steps_per_event=5, usual_prompt=100,
    usual_answer=40, model=MODEL, layers=LAYERS, pieces=PIECES, piece_bytes=64, warm_s=LOAD_S,
)  # fmt: skip


def piece(version, index):
    return b'%d-%d' % (version, index) * 8


class OriginHandler(BaseHTTPRequestHandler):
    """
    Sends the digests and the pieces of any version.

    """

    protocol_version = 'HTTP/1.1'

    def do_GET(self):
        path, _, query = self.path.partition('?')
        fields = dict(item.split('=') for item in query.split('&'))
        version = int(fields['version'])
        if path.startswith(names.PIECE_PATH):
            body = piece(version, int(fields['item_count']))
        else:
            digests = [hashlib.sha256(piece(version, i)).hexdigest() for i in range(PIECES)]
            body = json.dumps({'model': MODEL, 'version': version, 'digests': digests}).encode()
        self.send_response(200)
        self.send_header('content-length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format, *arguments):
        return None


class EngineHandler(back_end.BackEndHandler):
    """
    Answers the daemon's calls, and streams if the version that the entry expects is served.

    """

    def do_PUT(self):
        self._handle_request()

    def _handle_request(self):
        engine = self.server
        if self.path.startswith(names.STAGE_WRITE_PATH):
            engine.staged.add(int(self.path.rpartition('=')[2]))
            self._answer(200, b'')
        elif self.path.startswith(names.STAGE_READ_PATH):
            self._answer(404, b'')
        elif self.path == names.REPORT_PATH:
            self._answer(200, engine.report())
        elif self.path == names.LOAD_ORDER_PATH:
            engine.take_order(json.loads(self._body()))
            self._answer(202, b'')
        else:
            self._serve()

    def _body(self):
        return self.rfile.read(int(self.headers.get('content-length', 0)))

    def _answer(self, status, body, headers=()):
        if self.command != 'POST':
            self._body()
        self.server.reach_event(-1)
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header('content-length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _serve(self):
        engine = self.server
        self._body()
        engine.reach_event(0)
        expected = int(self.headers.get(names.EXPECT_VERSION, '0'))
        if engine.loading or expected != engine.version:
            request_id = self.headers[client_requests.REQUEST_ID]
            self._answer(
                503 if engine.loading else 421,
                b'',
                [(client_requests.REQUEST_ID, request_id), (client_requests.NOT_RUN, '1')],
            )
            return
        engine.executed.append({key.lower(): value for key, value in self.headers.items()})
        engine.running.add(self.connection)
        try:
            self._send_stream()
        finally:
            engine.running.discard(self.connection)


class Engine(BackEnd):
    """
    An engine that serves one version of a model, and changes it when it is ordered to.

    """

    def __init__(self, host, instance, fleet):
        self.version = 1
        self.loading = False
        self.staged = set()
        self.running = set()
        super().__init__(host, 'engines', instance, fleet)
        self.RequestHandlerClass = EngineHandler
        # When the engine is to pause: as the pieces are 'staging', or at the 'order' to change.
        self.pauses_at = None

    def _lease(self):
        served = (ServedVersion(MODEL, self.version, 0, LAYERS),)
        return msgspec.structs.replace(super()._lease(), served=served, slots=64)

    def begin_pause(self):
        self.pauses_at = None
        self.silent_until = time.monotonic() + PAUSE_S

    def reach_event(self, number):
        if number > 0:
            time.sleep(EVENT_S)
        super().reach_event(number)

    def report(self):
        if self.pauses_at == 'staging' and self.staged:
            self.begin_pause()
        return json.dumps(
            {
                'running': len(self.running), 'queued': 0, 'pace': 1.0, 'busy': self.loading,
                'models': [{'name': MODEL, 'version': self.version}],
                'layers': {'from': 0, 'target_version': LAYERS, 'version': self.version},
            }
        ).encode()  # fmt: skip

    def take_order(self, order):
        if self.pauses_at == 'order':
            self.begin_pause()
        if order['manner'] == 'preempt':
            for sock in list(self.running):
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    # The entry has closed the connection.
                    continue
        self.loading = True
        threading.Timer(LOAD_S, self.finish_load, (order['version'],)).start()

    def finish_load(self, version):
        self.version = version
        self.loading = False


class EngineFleet(SeededFleet):
    """
    A fleet with an endpoint daemon beside each of its engines.

    """

    def __init__(self, folder):
        super().__init__(folder, version_ms=VERSION_MS, endpoints=ENGINES)
        self.origin = ThreadingHTTPServer((self.back_end_host, 0), OriginHandler)
        self.origin.daemon_threads = True
        threading.Thread(target=self.origin.serve_forever, daemon=True).start()
        self.back_ends = [
            Engine(host, f'i-{number}', self) for number, host in enumerate(self.endpoint_hosts)
        ]

    def _settings(self, host, first_start):
        text = super()._settings(host, first_start)
        for engine in self.back_ends:
            engine_host, port = engine.server_address
            text = text.replace(f'{engine_host}:{ENGINE_PORT}', f'{engine_host}:{port}')
        return text

    def document_request(self, max_attempts):
        shares = (Share(ServiceName('engines'), 1),)
        route = Route(
            'r', 'h.example', STREAM_PATH, RouteKind.STREAMING, 6000, 3000, 1, shares,
            max_attempts, False, True, 0,
        )  # fmt: skip
        document = Document(
            1,
            (route,),
            (Service(ServiceName('engines'), 64, ENGINE),),
            (Organisation(OrganisationId('org'), ('key',)),),
        )
        put = client_requests.put_document_request(document)
        body = json.loads(put.body)
        host, port = self.origin.server_address
        body['services'].append(
            {'name': 'origin', 'origin': f'{host}:{port}', 'zone': 'zone', 'max_conns': 64}
        )
        return Request(put.method, put.path, put.headers, json.dumps(body).encode())

    def close(self):
        super().close()
        self.origin.shutdown()
        self.origin.server_close()


def stream_request():
    call = request(STREAM_PATH, 'POST', body=b'prompt')
    headers = [item for item in call.headers if item[0] != client_requests.DEADLINE_MS]
    headers += [(client_requests.DEADLINE_MS, '6000'), (names.MODEL, MODEL)]
    headers += [(names.TOKEN_COUNT, '100,40')]
    return Request(call.method, call.path, headers, call.body)
