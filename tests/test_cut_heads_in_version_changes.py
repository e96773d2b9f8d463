"""
Engines and an origin that cut the heads of their answers to the daemons' calls while a version
changes. No engine loads a layer from a piece that is not there, and the version comes all the same.

Real daemons, one beside each engine, with simulated engines and a simulated origin.

"""

import itertools
import json
import socket
import threading

import msgspec
import pytest

from millfork_core.sockets import RESET_ON_CLOSE
from millfork_platform import client_requests, names
from millfork_registry.records import ServedVersion
from tests.utils import changing_engines as changes
from tests.utils.changing_engines import (
    LAYERS,
    LOAD_S,
    MODEL,
    PIECES,
    Engine,
    EngineFleet,
    EngineHandler,
    OriginHandler,
    piece,
    stream_request,
)
from tests.utils.fleets import wait_until
from tests.utils.streams import WHOLE_STREAM

# One of so many answers is cut, each at the next place.
CUT_EVERY = 5
CUT_EVERY_OF_ORIGIN = 2
PLACES = (b'HTTP/1.', b'HTTP/1.1 20', b'\r\n', b'content-le', b'content-length: ', b'\r\n\r', None)
DAEMON_PATHS = (
    names.STAGE_WRITE_PATH,
    names.STAGE_READ_PATH,
    names.REPORT_PATH,
    names.LOAD_ORDER_PATH,
)
CALLS_PER_S = 5
LOAD_SECONDS = 4.0


class Cuts:
    """
    Counts the answers of a server and cuts one of `every`, and the next one if `is_next_cut`, each
    at another place, in turn by a close and a reset.

    """

    def __init__(self, every):
        self.every = every
        self.is_next_cut = False
        self.answers = itertools.count(1)
        self.made = itertools.count()
        self.count = 0

    def cut(self, handler, status, body):
        """
        Cut this answer if it is its turn; return whether it was.

        """
        if next(self.answers) % self.every and not self.is_next_cut:
            return False
        self.is_next_cut = False
        number = next(self.made)
        self.count = number + 1
        head = b'HTTP/1.1 %d Text\r\ncontent-length: %d\r\n\r\n' % (status, len(body) or 12)
        place = PLACES[number % len(PLACES)]
        stop = len(head) if place is None else head.index(place) + len(place)
        handler.close_connection = True
        handler.wfile.write(head[:stop])
        if number % 2:
            handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            handler.connection.close()
        return True


class CuttingOriginHandler(OriginHandler):
    cuts = None

    def do_GET(self):
        if not self.cuts.cut(self, 200, b'twelve bytes'):
            super().do_GET()


class CuttingEngineHandler(EngineHandler):
    """
    Keeps the staged pieces. Calls whose answers are cut are carried out if the fleet says so; the
    answer to the first order is always cut.

    """

    def _handle_request(self):
        engine = self.server
        call = next((path for path in DAEMON_PATHS if self.path.startswith(path)), '')
        if not call:
            if len(engine.layers) == LAYERS:
                engine.served_good.append(all(engine.layers.values()))
                self._serve()
                return
            request_id = self.headers[client_requests.REQUEST_ID]
            not_run = [(client_requests.REQUEST_ID, request_id), (client_requests.NOT_RUN, '1')]
            self._answer(421, b'', not_run)
            return
        content = self._body()
        status, body = engine.answer_of(self.path)
        if call == names.LOAD_ORDER_PATH and call not in engine.cut_calls:
            engine.cuts.is_next_cut = True
        is_cut = engine.cuts.cut(self, status, body)
        if not is_cut or engine.fleet.carries_out_cut_calls:
            engine.carry_out(self.path, content)
        if is_cut:
            engine.cut_calls.append(call)
            return
        self.send_response(status)
        self.send_header('content-length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def finish(self):
        try:
            super().finish()
        except OSError:
            # The connection was reset.
            return


class CuttingEngine(Engine):
    """
    Holds a range of the layers of one version, and serves requests once it holds all of them.

    """

    def __init__(self, host, instance, fleet):
        self.pieces = {}
        # The held layers, and whether all pieces of a layer were there when it was loaded.
        self.layers = dict.fromkeys(range(LAYERS), True)
        self.cuts = Cuts(CUT_EVERY)
        self.cut_calls = []
        # Whether the layers were good, by request that was served.
        self.served_good = []
        super().__init__(host, instance, fleet)
        self.RequestHandlerClass = CuttingEngineHandler

    def _lease(self):
        served = (ServedVersion(MODEL, self.version, min(self.layers), max(self.layers) + 1),)
        return msgspec.structs.replace(super()._lease(), served=served)

    def report(self):
        report = json.loads(super().report())
        report['layers'].update({'from': min(self.layers), 'target_version': max(self.layers) + 1})
        return json.dumps(report).encode()

    def answer_of(self, path):
        if path.startswith(names.STAGE_READ_PATH):
            data = self.pieces.get(int(path.rpartition('=')[2]))
            return (404, b'') if data is None else (200, data)
        if path == names.REPORT_PATH:
            return 200, self.report()
        return (202 if path == names.LOAD_ORDER_PATH else 200), b''

    def carry_out(self, path, content):
        if path.startswith(names.STAGE_WRITE_PATH):
            self.pieces[int(path.rpartition('=')[2])] = content
        if path == names.LOAD_ORDER_PATH:
            order = json.loads(content)
            version = order['version']
            layers = {
                number: self._is_staged(version, number)
                for number in range(order.get('from', 0), order.get('target_version', LAYERS))
            }
            self.loading = True
            threading.Timer(LOAD_S, self._hold, (version, layers)).start()

    def serves_whole(self, version):
        return self.version == version and len(self.layers) == LAYERS

    def _is_staged(self, version, number):
        per_layer = PIECES // LAYERS
        indexes = range(number * per_layer, (number + 1) * per_layer)
        return all(self.pieces.get(index) == piece(version, index) for index in indexes)

    def _hold(self, version, layers):
        # Layers that are held already are not loaded anew.
        held = self.layers if version == self.version else {}
        self.layers = {number: held.get(number, good) for number, good in layers.items()}
        self.finish_load(version)


@pytest.fixture
def fleet(tmp_path, monkeypatch):
    origin_cuts = Cuts(CUT_EVERY_OF_ORIGIN)
    monkeypatch.setattr(CuttingOriginHandler, 'cuts', origin_cuts)
    monkeypatch.setattr(changes, 'OriginHandler', CuttingOriginHandler)
    monkeypatch.setattr(changes, 'Engine', CuttingEngine)
    fleet = EngineFleet(tmp_path)
    fleet.origin_cuts = origin_cuts
    fleet.carries_out_cut_calls = True
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.close()


@pytest.mark.parametrize('carries_out_cut_calls', [True, False])
def test_cut_heads_of_calls_load_no_missing_piece_and_stop_no_change(fleet, carries_out_cut_calls):
    fleet.carries_out_cut_calls = carries_out_cut_calls
    assert fleet.control(fleet.document_request(max_attempts=2)).status == 200
    wait_until(lambda: fleet.send_request(stream_request()).body == WHOLE_STREAM)
    assert fleet.control(client_requests.set_version_request(MODEL, 2)).status == 200
    replies = fleet.send_load(stream_request, CALLS_PER_S, LOAD_SECONDS)
    wait_until(lambda: all(engine.serves_whole(2) for engine in fleet.back_ends))
    wait_until(lambda: fleet.send_request(stream_request()).body == WHOLE_STREAM)
    for reply in replies:
        assert (reply.status, reply.body) == (200, WHOLE_STREAM) or reply.status in (502, 503)
    cut_paths = {path for engine in fleet.back_ends for path in engine.cut_calls}
    assert cut_paths == set(DAEMON_PATHS)
    assert fleet.origin_cuts.count
    assert all(good for engine in fleet.back_ends for good in engine.served_good)
    assert not any('Traceback' in fleet.log(host) for host in fleet.processes)
