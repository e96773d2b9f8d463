"""
Pieces that turn bad in the engine's staging area, or were never stored there, before the engine
loads them. No engine may serve a layer that was loaded from a piece that had been bad for over 3 s.

"""

import hashlib
from dataclasses import dataclass, field, replace

import curio
import pytest

from millfork_adapter.exchange import EngineReport
from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_registry.records import EndpointState, ServedVersion
from millforkd.sidecar.engine import OrderOutcome
from millforkd.sidecar.expiry import ExpiryWatcher
from millforkd.sidecar.fleet import Fleet
from millforkd.sidecar.layer_assignment import Layers
from millforkd.sidecar.pieces import PieceStore, WeightsId
from millforkd.sidecar.rollout import Rollout
from millforkd.sidecar.target import Target

# A layer may be loaded from a piece that turned bad at most this many seconds before.
MAX_BAD_S = 3.0
LAYERS, PIECES = 8, 48
PIECES_PER_LAYER = PIECES // LAYERS
# Seconds from the first staged piece until a piece turns bad.
TURNS_BAD_AFTER_S = 0.1
LOAD_S = 0.2
# Slower than any call of a sound engine, but answered before the daemon gives the call up.
LONG_CALL_S = 2.4
# The engine takes an order, or what is staged for it, this long after the order was sent.
LATE_ORDER_S = 3.5
DUE_S = 60.0
TIMEOUT_S = 40.0


def piece(version, index):
    return b'%d-%d' % (version, index)


@dataclass
class StagingEngine:
    """
    An engine with a staging area, which loads whatever is staged. `bad_for` has, by version and
    layer, for how long the layer's oldest bad piece had been bad when the layer was loaded.

    """

    served: ServedVersion | None = ServedVersion('m', 1, 0, LAYERS)
    call_s: float = 0.0
    staged: dict = field(default_factory=dict)
    changed_at: dict = field(default_factory=dict)
    # The next writes of these pieces store nothing.
    ignored: set = field(default_factory=set)
    bad_for: dict = field(default_factory=dict)
    # The longest such time of all layers that were ever loaded.
    worst_bad_s: float = 0.0
    orders: list = field(default_factory=list)
    # Seconds from the next orders until the engine takes and answers them.
    order_delays: list = field(default_factory=list)
    # Seconds from the next orders, which get no answer, until the engine takes them.
    unanswered_delays: list = field(default_factory=list)
    # The engine takes the next orders at once, but what is staged for them after these times.
    load_delays: list = field(default_factory=list)
    running: int = 0
    busy: bool = False
    on_first_stage: object = None

    def __post_init__(self):
        for index in range(PIECES):
            self._store(index, piece(1, index))

    def _store(self, index, data):
        self.staged[index] = data
        self.changed_at[index] = Environment.monotonic()

    def spoil(self, index):
        self._store(index, b'bad')

    async def report(self):
        served = (self.served,) if self.served is not None else ()
        items = tuple((item.model, item.version, item.first, item.end) for item in served)
        begun = len(self.orders)
        return EngineReport(self.running, 0, 0, 0, 1.0, self.busy, items, orders=begun)

    async def read_staged(self, model, index):
        await curio.sleep(self.call_s)
        return self.staged.get(index)

    async def stage(self, model, index, data):
        if self.on_first_stage is not None:
            on_first_stage, self.on_first_stage = self.on_first_stage, None
            await curio.spawn(on_first_stage, daemon=True)
        await curio.sleep(self.call_s)
        if index in self.ignored:
            self.ignored.remove(index)
            return True
        self._store(index, data)
        return True

    async def load_layers(self, model, version, first, end, interrupts):
        if self.busy:
            return OrderOutcome.REFUSED
        order = ServedVersion(model, version, first, end)
        self.orders.append(order)
        if self.unanswered_delays:
            delay_s = self.unanswered_delays.pop(0)
            await curio.spawn(self._take_late, order, delay_s, daemon=True)
            return OrderOutcome.UNKNOWN
        if self.order_delays:
            await curio.sleep(self.order_delays.pop(0))
        await self._take(order)
        return OrderOutcome.ACCEPTED

    async def _take_late(self, order, delay_s):
        await curio.sleep(delay_s)
        await self._take(order)

    async def _take(self, order):
        self.busy = True
        if self.load_delays:
            await curio.spawn(self._load, order, self.load_delays.pop(0), daemon=True)
            return
        self._read_pieces(order)
        await curio.spawn(self._load, order, 0.0, daemon=True)

    def _read_pieces(self, order):
        kept = self._kept(order)
        for layer in range(order.first, order.end):
            if layer not in kept:
                indexes = Layers(layer, layer + 1).pieces(LAYERS, PIECES)
                self.bad_for[order.version, layer] = max(
                    self._bad_for(order.version, index) for index in indexes
                )
                self.worst_bad_s = max(self.worst_bad_s, self.bad_for[order.version, layer])

    def _bad_for(self, version, index):
        if self.staged[index] == piece(version, index):
            return 0.0
        return Environment.monotonic() - self.changed_at[index]

    def _kept(self, order):
        """
        The layers that are not loaded anew, as the engine holds them and the order adds others.

        """
        held = self.served
        grows = (
            held is not None
            and held.version == order.version
            and order.first <= held.first
            and held.end <= order.end
        )
        return range(held.first, held.end) if grows else range(0)

    async def _load(self, order, delay_s):
        await curio.sleep(delay_s)
        if delay_s:
            self._read_pieces(order)
        await curio.sleep(LOAD_S)
        self.served = order
        self.running = 0
        self.busy = False


class Origin:
    """
    Has all digests and pieces of all versions at once.

    """

    def near_caches(self):
        return ['10.0.1.1:1']

    async def obtain_digests(self, held):
        digests = [
            hashlib.sha256(piece(held.weights.version, index)).hexdigest()
            for index in range(PIECES)
        ]
        await held.set_digests(tuple(digests))
        return True

    async def gather(self, held, wanted):
        await self.obtain_digests(held)
        held.pieces.update({index: piece(held.weights.version, index) for index in wanted})


class Daemon:
    """
    The rollout and the expiry watcher of one endpoint daemon.

    """

    def __init__(self, engine, max_bad_s=MAX_BAD_S):
        self.engine = engine
        self.max_bad_s = max_bad_s
        self.env = Environment(InstanceId('10.0.0.1:1'), ZoneId('z1'))
        self.target = self.make_target(2)
        fleet = Fleet(self.env, 's', list, self._own, lambda: (LAYERS, PIECES))
        self.rollout = Rollout(
            self.env, engine, PieceStore(), Origin(), fleet, lambda: self.target, self._announce
        )
        self.expiry = ExpiryWatcher(self.env, engine, self.rollout.store, self.rollout)
        self.violations = []

    def make_target(self, version):
        now = self.env.monotonic()
        return Target(WeightsId('m', version), LAYERS, PIECES, now, now + DUE_S)

    def _own(self):
        served = (self.engine.served,) if self.engine.served is not None else ()
        return EndpointState('10.0.0.1:1', 's', 'z1', '10.0.0.1', 80, 1, '', True, served=served)

    async def _announce(self):
        return None

    async def start(self):
        await curio.spawn(self._report, daemon=True)
        while self.rollout.report is None:
            await curio.sleep(0.01)
        for run in (self.rollout.run, self.expiry.run, self._check):
            await curio.spawn(run, daemon=True)

    async def _report(self):
        while True:
            self.rollout.record_report(await self.engine.report())
            await curio.sleep(0.05)

    @property
    def usable_layers(self):
        """
        The layers of the engine with which entries may have requests run.

        """
        served = self.engine.served
        if served is None or self.rollout.announced_version:
            return []
        if served.first and served.end < LAYERS:
            return []
        if (served,) != self.rollout.served:
            return []
        return [(served.version, layer) for layer in range(served.first, served.end)]

    async def _check(self):
        while True:
            for layer in self.usable_layers:
                if self.engine.bad_for.get(layer, 0.0) > self.max_bad_s:
                    self.violations.append((layer, self.engine.bad_for[layer]))
            await curio.sleep(0.01)

    async def until(self, condition):
        async with curio.timeout_after(TIMEOUT_S):
            while not condition():
                await curio.sleep(0.01)

    async def until_changed(self, version=2):
        """
        Wait until entries may use all layers of a version.

        """
        wanted = [(version, layer) for layer in range(LAYERS)]
        await self.until(lambda: self.usable_layers == wanted)
        # One more check of the layers that are served now.
        await curio.sleep(0.05)


def change_version(engine, spoiled=(0,)):
    """
    Change the version of an engine of which the given pieces turn bad shortly after the first was
    staged; return the daemon.

    """

    async def spoil():
        await curio.sleep(TURNS_BAD_AFTER_S)
        while not all(engine.staged[index] == piece(2, index) for index in spoiled):
            await curio.sleep(0.005)
        for index in spoiled:
            engine.spoil(index)

    async def run():
        daemon = Daemon(engine)
        await daemon.start()
        await daemon.until_changed()
        return daemon

    engine.on_first_stage = spoil
    return curio.run(run)


@pytest.mark.parametrize('call_s', [0.0, 0.04, 0.08])
def test_no_layer_is_loaded_from_a_piece_that_turned_bad_long_before(call_s):
    daemon = change_version(StagingEngine(call_s=call_s))
    assert daemon.violations == []
    assert daemon.engine.worst_bad_s <= MAX_BAD_S


def test_no_layer_is_loaded_from_a_piece_that_turned_bad_after_it_was_read_back():
    class TurnsBad(StagingEngine):
        async def read_staged(self, model, index):
            data = await super().read_staged(model, index)
            if index == 0 and data == piece(2, index) and self.spoil_count:
                self.spoil_count -= 1
                self.spoil(index)
            return data

    engine = TurnsBad(call_s=0.08)
    # Also if the piece is read back a second time before the order.
    engine.spoil_count = 2
    daemon = change_version(engine, spoiled=())
    assert engine.spoil_count < 2
    assert daemon.violations == []
    assert engine.worst_bad_s <= MAX_BAD_S


def test_a_write_that_stored_nothing_is_noticed_before_the_order():
    daemon = change_version(StagingEngine(ignored={0, 17}), spoiled=())
    assert daemon.violations == []
    assert daemon.engine.worst_bad_s == 0.0


def test_a_long_call_while_staging_does_not_make_pieces_stale():
    class OneLongCall(StagingEngine):
        async def stage(self, model, index, data):
            if index == PIECES - 1 and data == piece(2, index):
                await curio.sleep(LONG_CALL_S)
            if index == PIECES - 2 and data == piece(2, index):
                await curio.sleep(LONG_CALL_S)
            return await super().stage(model, index, data)

    daemon = change_version(OneLongCall())
    assert daemon.violations == []
    assert daemon.engine.worst_bad_s <= MAX_BAD_S


def spoil_after_order(engine, indexes):
    async def spoil():
        while not engine.orders:
            await curio.sleep(0.005)
        for index in indexes:
            engine.spoil(index)

    return spoil


@pytest.mark.parametrize('spoiled', [(0,), (0, PIECES - 1), range(PIECES)], ids=len)
@pytest.mark.parametrize('late', ['order', 'load'])
def test_layers_that_were_loaded_late_from_bad_pieces_are_loaded_again(late, spoiled):
    """
    The engine takes the order, or what is staged for it, so late that no time before the order
    would do. With all layers bad, none is left that the engine can be reduced to.

    """
    engine = StagingEngine()
    delays = engine.order_delays if late == 'order' else engine.load_delays
    delays.append(LATE_ORDER_S)

    async def run():
        engine.on_first_stage = spoil_after_order(engine, spoiled)
        daemon = Daemon(engine)
        await daemon.start()
        await daemon.until_changed()
        return daemon

    assert curio.run(run).violations == []


@pytest.mark.parametrize('late_s', [1.5, 4.5])
def test_an_order_that_is_taken_after_newer_pieces_were_staged_is_noticed(late_s):
    engine = StagingEngine(unanswered_delays=[late_s])

    async def run():
        # The daemon itself wrote the newer pieces, so no time since then excuses it.
        daemon = Daemon(engine, max_bad_s=0.0)
        await daemon.start()
        await daemon.until(lambda: engine.orders)
        daemon.target = daemon.make_target(3)
        await daemon.until(lambda: engine.served.version == 3)
        await daemon.until(lambda: engine.served.version == 2)
        await daemon.until_changed(3)
        return daemon

    assert curio.run(run).violations == []


@pytest.mark.parametrize(
    ('first', 'end'), [(0, LAYERS), (LAYERS - 2, LAYERS), (0, 2), (LAYERS // 2, LAYERS)]
)
def test_an_emptied_engine_keeps_no_layer_that_begins_or_ends_a_path(first, end):
    """
    The layer of the served version is loaded from pieces that nothing has checked, so no request
    may run through it.

    """
    engine = StagingEngine(served=ServedVersion('m', 1, first, end))

    async def run():
        daemon = Daemon(engine)
        daemon.rollout.record_report(await engine.report())
        daemon.rollout.staged_checked = True
        daemon.target = replace(daemon.target, due=0.0)
        for index in range(PIECES):
            engine.spoil(index)
        await daemon.expiry._empty_engine(daemon.target)
        (order,) = engine.orders
        assert order.version == 1
        assert order.first > 0 and order.end == order.first + 1 < LAYERS
        await daemon.until(lambda: engine.served == order)
        daemon.rollout.record_report(await engine.report())
        assert daemon.rollout.announced_version == 1

    curio.run(run)
