"""
A stand-in for a model engine with a staging area, beside which a real endpoint daemon runs.

Like an engine, it checks nothing that is staged or ordered. It records for how long the pieces had
been bad when it took a layer from them, and each stream that ran with such a layer.

"""

import socket
import threading
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, ClassVar, Final

import msgspec

from millfork_core.ids import Incarnation
from millfork_platform import client_requests
from millfork_platform.engine_requests import (
    DaemonRequest,
    LoadLayers,
    ReportQuery,
    StagedPieceQuery,
    expected_version,
    is_daemon_request,
    path_segments,
    read_daemon_request,
    report_body,
)
from millfork_registry.records import Lease, ServedVersion
from millfork_standins.back_end import BackEnd, BackEndHandler
from millfork_standins.running_requests import RunningRequest, Violation
from millfork_standins.staged_pieces import StagedPieces, TakenLayer
from millfork_standins.weights_origin import SimulatedWeights

if TYPE_CHECKING:
    from millfork_standins.seeded import SeededFleet

SLOTS: Final = 64
# Guards the layers, orders and running requests of all engines, as a request may run on several of
# them.
LOCK: Final = threading.Condition()


class _Handler(BackEndHandler):
    # An answer has two parts, of which the second would wait for an acknowledgement.
    disable_nagle_algorithm = True
    server: 'StagingEngine'
    running: RunningRequest | None = None

    def do_PUT(self) -> None:
        self._handle_request()

    def _handle_request(self) -> None:
        engine = self.server
        if is_daemon_request(self.path):
            request = read_daemon_request(self.path, self._read_body())
            time.sleep(engine.call_s)
            engine.wait_while_silent()
            status, body = engine.answer_daemon(request)
            # A pause that began with this call.
            engine.wait_while_silent()
            self._answer(status, body)
            return
        engine.wait_while_silent()
        headers = {name.lower(): value for name, value in self.headers.items()}
        result = engine.begin(headers, self.connection)
        if isinstance(result, int):
            self._read_body()
            self._answer(
                result,
                b'',
                [
                    (client_requests.REQUEST_ID, headers.get(client_requests.REQUEST_ID, '')),
                    (client_requests.NOT_RUN, '1'),
                ],
            )
            return
        self.running = result
        try:
            super()._handle_request()
        finally:
            self.running = None
            engine.end_request(result)

    def _read_body(self) -> bytes:
        return self.rfile.read(int(self.headers.get('content-length', 0)))

    def _answer(
        self, status: int, body: bytes, headers: list[tuple[str, str]] | None = None
    ) -> None:
        self.send_response(status)
        for name, value in headers or []:
            self.send_header(name, value)
        self.send_header('content-length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _send_chunk(self, data: bytes) -> None:
        request = self.running
        if request is not None and data:
            for engine in request.engines:
                engine.wait_while_silent()
        super()._send_chunk(data)
        if request is not None and data and not request.made_event:
            request.made_event = True
            self.server.check_running(request)


class StagingEngine(BackEnd):
    """
    An engine of the service `service` that serves streams with the layers that it was ordered to
    take from its staging area.

    It starts with all layers of `version`, which are also staged, or empty if that is None. A test
    may set the attributes that control faults at any time.

    """

    handler_type: ClassVar[type[BackEndHandler]] = _Handler

    def __init__(
        self,
        host: str,
        service: str,
        instance: str,
        fleet: 'SeededFleet',
        weights: SimulatedWeights,
        load_s: float,
        version: int | None = 1,
    ) -> None:
        self.weights = weights
        # Seconds in which all layers are loaded; a part of them takes its share.
        self.load_s = load_s
        self.staged = StagedPieces(weights)
        # The layers that the engine holds, all of the same version and without gaps.
        self.held: list[TakenLayer] = []
        # The order in progress, and whether it replaces all layers that are held.
        self.order: LoadLayers | None = None
        self.replaces = False
        self.running: list[RunningRequest] = []
        self.incarnation = _new_incarnation()
        # Orders that arrived. They may be taken later, or refused.
        self.arrived_orders: list[LoadLayers] = []
        # Orders that were accepted, layers that were taken, and streams that used wrong layers.
        self.orders: list[LoadLayers] = []
        self.taken: list[TakenLayer] = []
        self.violations: list[Violation] = []
        # The ids of the requests that an order or a restart ended.
        self.cut_ids: set[str] = set()
        # The number of streams that had at least one event made.
        self.stream_count = 0
        # Fault controls. Seconds for each call of the daemon.
        self.call_s = 0.0
        # Seconds from the next orders until each is taken and then answered. The daemon may have
        # given up the call meanwhile.
        self.order_delays_s: list[float] = []
        # Called as an order arrives that is taken after a delay.
        self.on_delayed_order: Callable[[], None] = lambda: None
        # Whether orders that replace all layers take what is staged only once the running requests
        # have ended, and not when they are accepted.
        self.takes_when_idle = False
        # Seconds for which the engine pauses at the next write of a piece and at the next order.
        self.pause_at_write_s = 0.0
        self.pause_at_order_s = 0.0
        if version is not None:
            self.staged.fill(version)
            numbers = range(weights.layers)
            self.held = [self.staged.take_layer(version, number) for number in numbers]
        super().__init__(host, service, instance, fleet)

    @property
    def served(self) -> ServedVersion | None:
        """
        The layers that the engine holds; None if there are none.

        """
        held = self.held
        if not held:
            return None
        return ServedVersion(
            self.weights.model, held[0].version, held[0].number, held[-1].number + 1
        )

    def serves_whole(self, version: int) -> bool:
        """
        Whether the engine holds all layers of a version and carries out no order.

        """
        whole = ServedVersion(self.weights.model, version, 0, self.weights.layers)
        return self.order is None and self.served == whole

    @property
    def worst_bad_s(self) -> float:
        """
        The longest time for which pieces had been bad when an ordered layer was taken from them.

        """
        return max((layer.bad_s for layer in list(self.taken)), default=0.0)

    def spoil(self, index: int) -> None:
        """
        Make the staged piece with this index bad.

        """
        with LOCK:
            self.staged.spoil(index)

    def restart(self, silent_s: float = 0.0) -> None:
        """
        End and start again under the same id: running requests and orders end, the layers are
        lost, and the staged pieces stay. The engine is silent for `silent_s` meanwhile.

        """
        self.pause(silent_s)
        with LOCK:
            self.incarnation = _new_incarnation(self.incarnation)
            self.sequence = 0
            self.held = []
            self.order = None
            self.replaces = False
            self._cut_running()
            LOCK.notify_all()
        self._close_connections()

    def _lease(self) -> Lease:
        served = self.served
        return msgspec.structs.replace(
            super()._lease(),
            served=(served,) if served is not None else (),
            slots=SLOTS,
            incarnation=self.incarnation,
        )

    def answer_daemon(self, request: DaemonRequest) -> tuple[int, bytes]:
        """
        Carry out a call of the daemon; return the status and the body of the answer.

        """
        if isinstance(request, LoadLayers):
            return self._accept(request), b''
        with LOCK:
            if isinstance(request, ReportQuery):
                return 200, self._report()
            if isinstance(request, StagedPieceQuery):
                data = self.staged.read(request.index)
                return (404, b'') if data is None else (200, data)
            self.staged.write(request.index, request.data)
            if self.pause_at_write_s:
                self.silent_until = time.monotonic() + self.pause_at_write_s
                self.pause_at_write_s = 0.0
        return 200, b''

    def _report(self) -> bytes:
        return report_body(
            self.weights.model,
            self.served,
            running=len(self.running),
            queued=0,
            busy=self.order is not None,
            incarnation=self.incarnation,
        )

    def _accept(self, order: LoadLayers) -> int:
        """
        Begin to carry out an order, after the delay that is set for it; return the status of the
        answer.

        """
        self.arrived_orders.append(order)
        if self.order_delays_s:
            delay_s = self.order_delays_s.pop(0)
            self.on_delayed_order()
            time.sleep(delay_s)
        with LOCK:
            if self.order is not None:
                return 409
            held = {layer.number for layer in self.held if layer.version == order.version}
            numbers = set(range(order.first, order.end))
            if numbers == held:
                return 200
            self.order = order
            self.orders.append(order)
            self.replaces = not held or not held < numbers
            # Layers of the same version that are held are not taken anew.
            missing = sorted(numbers if self.replaces else numbers - held)
            if self.replaces and order.interrupts:
                self._cut_running()
            takes_now = not (self.replaces and self.takes_when_idle)
            taken = self._take(order.version, missing) if takes_now else None
            incarnation = self.incarnation
            if self.pause_at_order_s:
                self.silent_until = time.monotonic() + self.pause_at_order_s
                self.pause_at_order_s = 0.0
        arguments = (order, missing, taken, incarnation)
        threading.Thread(target=self._load, args=arguments, daemon=True).start()
        return 202

    def _take(self, version: int, numbers: list[int]) -> list[TakenLayer]:
        taken = [self.staged.take_layer(version, number) for number in numbers]
        self.taken += taken
        return taken

    def _load(
        self,
        order: LoadLayers,
        missing: list[int],
        taken: list[TakenLayer] | None,
        incarnation: Incarnation,
    ) -> None:
        with LOCK:
            if self.replaces:
                LOCK.wait_for(lambda: not self.running or self.incarnation != incarnation)
            if self.incarnation != incarnation:
                return
            if taken is None:
                taken = self._take(order.version, missing)
        time.sleep(self.load_s * len(missing) / self.weights.layers)
        self.wait_while_silent()
        with LOCK:
            if self.incarnation != incarnation:
                return
            kept = [] if self.replaces else self.held
            self.held = sorted([*kept, *taken], key=lambda layer: layer.number)
            self.order = None
            self.replaces = False

    def _cut_running(self) -> None:
        for request in self.running:
            self.cut_ids.add(request.request_id)
            request.cut()

    def begin(self, headers: dict[str, str], sock: socket.socket) -> RunningRequest | int:
        """
        Begin a request; return the status of the refusal if it does not run.

        """
        if headers.get(client_requests.EXPECT_INSTANCE, self.instance) != self.instance:
            return 421
        version = expected_version(headers)
        engines: list[StagingEngine] = []
        layers: list[TakenLayer] = []
        with LOCK:
            for engine, part in self._parts(headers):
                if engine is None or engine.replaces or engine.ended.is_set():
                    return 503
                used = [layer for layer in engine.held if layer.number in part]
                if len(used) < len(part) or any(
                    layer.version != version for layer in used if version is not None
                ):
                    return 421
                engines.append(engine)
                layers += used
            request_id = headers.get(client_requests.REQUEST_ID, '')
            request = RunningRequest(sock, request_id, engines, layers)
            for engine in engines:
                engine.running.append(request)
        return request

    def _parts(self, headers: dict[str, str]) -> list[tuple['StagingEngine | None', range]]:
        """
        The engines of the request's path, None for those that do not exist, with their layers.

        """
        found: dict[tuple[str, int], StagingEngine] = {
            (str(engine.server_address[0]), int(engine.server_address[1])): engine
            for engine in list(self.fleet.back_ends)
            if isinstance(engine, StagingEngine)
        }
        parts: list[tuple[StagingEngine | None, range]] = [
            (found.get((segment.host, segment.port)), range(segment.first, segment.end))
            for segment in path_segments(headers)
        ]
        return parts or [(self, range(self.weights.layers))]

    def end_request(self, request: RunningRequest) -> None:
        with LOCK:
            for engine in request.engines:
                engine.running.remove(request)
            LOCK.notify_all()

    def check_running(self, request: RunningRequest) -> None:
        """
        Record a violation if a request that had an event made may not use its layers.

        """
        self.stream_count += 1
        reason = request.violation_reason(self.weights.layers)
        if not reason:
            return
        layers = tuple(request.layers)
        now = time.monotonic()
        self.violations.append(Violation(self.instance, request.request_id, reason, layers, now))


def _new_incarnation(before: Incarnation | None = None) -> Incarnation:
    """
    An incarnation that is later than the one before: the time in ms since 1970.

    """
    now_ms = time.time_ns() // 1_000_000
    return Incarnation(now_ms if before is None else max(now_ms, before + 1))
