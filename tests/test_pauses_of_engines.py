"""
Engines that fall silent for up to two seconds and go on, as the daemon beside them sees them.

"""

import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import curio
import pytest

from millfork_platform.adapter import PlatformAdapter
from millfork_web.client import Client
from millforkd.sidecar.engine import LocalEngine

PAUSE_S = 1.9
PIECE = b'piece'


class PausingEngine(ThreadingHTTPServer):
    """
    An engine that does what it is asked, and answers each call `PAUSE_S` later.

    """

    daemon_threads = True

    def __init__(self):
        super().__init__(('127.0.0.1', 0), _Handler)
        self.calls = []
        threading.Thread(target=self.serve_forever, daemon=True).start()


class _Handler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'

    def answer(self):
        self.rfile.read(int(self.headers.get('content-length', 0)))
        self.server.calls.append(self.path)
        time.sleep(PAUSE_S)
        body = PIECE if 'stage' in self.path else b'{"running":1,"queued":0}'
        self.send_response(200)
        self.send_header('content-length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    do_GET = do_POST = do_PUT = answer

    def log_message(self, format, *arguments):
        return None


@pytest.fixture
def engine():
    engine = PausingEngine()
    yield engine
    engine.shutdown()
    engine.server_close()


def test_calls_that_a_pausing_engine_answers_late_succeed(engine):
    async def run():
        # Each call on a connection of its own, so that all wait for the same pause.
        engines = [LocalEngine(PlatformAdapter(), Client(*engine.server_address)) for _ in range(4)]
        tasks = [
            await curio.spawn(engines[0].report),
            await curio.spawn(engines[1].stage, 'm', 0, PIECE),
            await curio.spawn(engines[2].read_staged, 'm', 0),
            await curio.spawn(engines[3].load_layers, 'm', 2, 0, 4, True),
        ]
        return [await task.join() for task in tasks]

    report, staged, read, ordered = curio.run(run)
    assert report is not None
    assert (staged, read, ordered) == (True, PIECE, True)
    assert len(engine.calls) == 4
