"""
A stand-in of a sound server of a plain service: it answers what it gets, and registers with
heartbeats as the pages say.

"""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from fleet import CONTROL_PORT, call

HEARTBEAT_S = 1.2
# Bytes that are not an answer: they look like one, but have neither the signature nor the id.
SPOILT = b'HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 9\r\n\r\nIt works!'


class _Handler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'

    def do_GET(self):
        self._answer()

    def do_POST(self):
        self._answer()

    def _answer(self):
        self.rfile.read(int(self.headers.get('content-length', 0)))
        server = self.server
        request_id = self.headers.get('x-request-id', '')
        if not request_id:
            self._send(400, b'', request_id, not_run=True)
            return
        expected = self.headers.get('x-expect-instance', server.instance)
        if expected != server.instance:
            self._send(421, b'', request_id, not_run=True)
            return
        seen = {name.lower(): value for name, value in self.headers.items()}
        server.runs.append((time.monotonic(), request_id, seen))
        server.record.write(
            f'server {server.instance} runs {request_id} path={self.path} '
            f'tenant={seen.get("x-tenant")} authorization={seen.get("authorization")}'
        )
        time.sleep(server.work_s)
        if server.take_spoilt():
            server.record.write(f'server {server.instance} spoils its answer to {request_id}')
            self.wfile.write(SPOILT)
            return
        self._send(200, f'answer to {request_id}'.encode(), request_id)

    def _send(self, status, body, request_id, not_run=False):
        self.send_response(status)
        self.send_header('X-Request-Id', request_id)
        if not_run:
            self.send_header('X-Not-Executed', '1')
        else:
            self.send_header('X-Server-Stamp', f'{self.server.instance}.{request_id}')
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format, *arguments):
        return None


class BackEnd(ThreadingHTTPServer):
    daemon_threads = True

    def __init__(self, fleet, host, service, instance, work_s=0.02):
        super().__init__((host, 0), _Handler)
        self.fleet = fleet
        self.record = fleet.record
        self.service = service
        self.instance = instance
        self.work_s = work_s
        self.state = 'ready'
        self.sequence = 0
        self.runs = []
        # Each of so many answers is spoilt; 0: none is.
        self.spoils_each = 0
        self.answered = 0
        self.lock = threading.Lock()
        # Set once this server sends no more heartbeats.
        self.silent = threading.Event()
        threading.Thread(target=self.serve_forever, daemon=True).start()
        threading.Thread(target=self._send_heartbeats, daemon=True).start()

    def take_spoilt(self):
        """
        Count one answer; returns whether it is to be spoilt.

        """
        with self.lock:
            self.answered += 1
            return bool(self.spoils_each) and self.answered % self.spoils_each == 0

    def handle_error(self, request, client_address):
        """
        Ignore errors, as entries reset the connections of requests that they cancel.

        """

    def next_heartbeat(self):
        """
        The path and the body of the next heartbeat.

        """
        self.sequence += 1
        host, port = self.server_address
        body = json.dumps(
            {
                'service': self.service,
                'address': f'{host}:{port}',
                'zone': 'hall',
                'version': 'v1',
                'slots': 8,
                'state': self.state,
                'cold_left_ms': 0,
                'seq': self.sequence,
            }
        ).encode()
        return f'/v1/Instances.Heartbeat/{self.instance}', body

    def heartbeat(self):
        return self.tell(*self.next_heartbeat())

    def leave(self):
        """
        Say that this server leaves; it sends no further heartbeats.

        """
        self.silent.set()
        return self.tell(f'/v1/Instances.Leave/{self.instance}', b'')

    def tell(self, path, body):
        """
        Send a call to the first daemon that acknowledges it within a second; returns that daemon.

        """
        for replica in list(self.fleet.replicas):
            reply = call(replica, CONTROL_PORT, 'POST', path, {}, body)
            if 200 <= reply.status < 300:
                return replica
        return None

    def _send_heartbeats(self):
        while not self.silent.is_set():
            self.heartbeat()
            self.silent.wait(HEARTBEAT_S)

    def end(self):
        self.silent.set()
        self.shutdown()
        self.server_close()
