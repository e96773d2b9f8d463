"""
Checks of staged pieces that end the daemon, repeat for ever or take engines out of service.

"""

from dataclasses import replace
from random import Random

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import ZoneId
from millfork_registry.records import ServedVersion
from millfork_scheduling.paths import find_paths
from millfork_scheduling.server_table import ServerTable
from millforkd.sidecar.engine import OrderOutcome
from millforkd.sidecar.layer_assignment import Layers
from millforkd.sidecar.loaded_layers import LayerOfVersion, LayerState, LoadedLayers, LoadOrder
from millforkd.sidecar.pieces import WeightsId
from millforkd.version_switching import LAST_SEND_BEFORE_END_S
from tests import test_stale_pieces as stale
from tests.test_servers import ENGINE, Clock, lease
from tests.test_stale_pieces import LAYERS, Daemon, StagingEngine, piece


class NoNewer(stale.Origin):
    """
    Has the pieces of all versions but version 3.

    """

    async def gather(self, held, wanted):
        if held.weights.version == 3:
            await curio.sleep(stale.DUE_S)
        await super().gather(held, wanted)


def test_a_refused_order_for_layers_that_are_held_does_not_end_the_daemon():
    """
    The engine refuses the order after a report, which shows that it holds the ordered layer.

    """

    class RefusesLate(StagingEngine):
        async def load_layers(self, model, version, first, end, interrupts):
            self.orders.append((first, end))
            await curio.sleep(0.2)
            return OrderOutcome.REFUSED

    engine = RefusesLate()

    async def run():
        daemon = Daemon(engine)
        await curio.spawn(daemon._report, daemon=True)
        await daemon.until(lambda: daemon.rollout.report is not None)
        daemon.rollout.staged_checked = True
        daemon.target = replace(daemon.target, due=0.0)
        await daemon.expiry._empty_engine(daemon.target)

    curio.run(run)
    assert engine.orders


def test_a_reduction_that_is_carried_out_late_from_healed_pieces_is_noticed():
    """
    An unanswered order for a layer that the engine holds is carried out while a piece is bad. The
    piece is written again before the daemon learns of it.

    """
    loaded = LoadedLayers()
    weights = WeightsId('m', 2)
    loaded.record_report([ServedVersion('m', 2, 0, LAYERS)], 0.0)
    loaded.record_order(LoadOrder(weights, Layers(1, 2), {1: 0.0}))
    loaded.record_report([ServedVersion('m', 2, 0, LAYERS)], 0.1)
    loaded.record_write([1])
    loaded.record_order(LoadOrder(weights, Layers(1, 2), {1: 4.1}))
    loaded.record_report([ServedVersion('m', 2, 1, 2)], 4.2)
    assert loaded.numbers(weights, LayerState.PROVEN) == []


def test_a_piece_that_was_once_refused_does_not_make_its_layer_suspect_for_ever():
    class SlowLoads(StagingEngine):
        refused = False

        async def stage(self, model, index, data):
            if index == 3 and not self.refused:
                self.refused = True
                return False
            return await super().stage(model, index, data)

        async def _load(self, order, delay_s):
            await curio.sleep(stale.LATE_ORDER_S)
            await super()._load(order, delay_s)

    engine = SlowLoads()

    async def run():
        daemon = Daemon(engine)
        await daemon.start()
        await daemon.until_changed()

    curio.run(run)


@pytest.mark.parametrize('layers', [1, 0])
def test_a_suspect_model_of_one_layer_is_not_ordered_without_pause(monkeypatch, layers):
    class AlreadyHolds(StagingEngine):
        async def load_layers(self, model, version, first, end, interrupts):
            self.orders.append((version, first, end))
            await curio.sleep(0)
            return OrderOutcome.ACCEPTED

    monkeypatch.setattr(stale, 'LAYERS', layers)
    engine = AlreadyHolds(served=ServedVersion('m', 2, 0, layers or None))

    async def run():
        for index in range(stale.PIECES):
            engine._store(index, piece(2, index))
        daemon = Daemon(engine)
        await daemon.start()
        loaded = daemon.rollout.state.loaded
        loaded.states = dict.fromkeys(loaded.states, LayerState.SUSPECT)
        await curio.sleep(2.0)

    curio.run(run)

    assert len(engine.orders) <= 20


def test_an_engine_that_accepts_no_piece_goes_on_with_a_version_that_has_not_ended():
    class RefusesOne(StagingEngine):
        async def stage(self, model, index, data):
            if index == stale.PIECES - 1:
                return False
            return await super().stage(model, index, data)

    engine = RefusesOne()
    usable = []

    async def run():
        daemon = Daemon(engine)
        await daemon.start()
        for _ in range(300):
            usable.append(bool(daemon.usable_layers))
            await curio.sleep(0.01)

    curio.run(run)
    assert all(usable)
    assert not engine.orders


def test_no_layer_of_an_ended_version_is_ordered_as_part_of_a_longer_load():
    """
    A version ends while a slow engine loads the rest of its layers in several orders.

    """

    class TimedOrders(StagingEngine):
        async def load_layers(self, model, version, first, end, interrupts):
            outcome = await super().load_layers(model, version, first, end, interrupts)
            ordered.append((Environment.monotonic(), version, end - first, outcome))
            return outcome

    ordered = []
    engine = TimedOrders(served=ServedVersion('m', 2, 0, 1), call_s=0.12)

    async def run():
        for index in range(stale.PIECES):
            engine._store(index, piece(2, index))
        daemon = Daemon(engine)
        daemon.rollout.gatherer = NoNewer()
        await daemon.start()
        await daemon.until(lambda: engine.orders)
        daemon.target = replace(daemon.make_target(3), due=daemon.env.monotonic())
        await daemon.until(lambda: daemon.expiry.emptied_for[1] == 3)
        return daemon.target.due + LAST_SEND_BEFORE_END_S

    ends_at = curio.run(run)
    late = [order for order in ordered if order[0] > ends_at and order[2] > 1]
    assert late == []


def test_layers_of_an_older_version_are_checked_while_the_next_version_is_not_there():
    engine = StagingEngine(unanswered_delays=[stale.LATE_ORDER_S])

    async def run():
        daemon = Daemon(engine)
        daemon.rollout.gatherer = NoNewer()
        await daemon.start()
        await daemon.until(lambda: engine.orders)
        daemon.target = daemon.make_target(3)
        await daemon.until(lambda: engine.served.version == 2)
        async with curio.timeout_after(5):
            await daemon.until_changed(2)
        return daemon

    assert curio.run(run).violations == []


def test_two_engines_stay_a_path_while_their_layers_grow_in_several_orders():
    table = ServerTable(ZoneId('z1'), Random(1), Clock())
    table.apply_leases([lease(1, version=2, end=9), lease(2, version=2, first=8)])
    (path,) = find_paths(list(table.servers.values()), ENGINE, 2)
    assert [server.instance for server in path.servers] == ['i-1', 'i-2']
    assert 8 <= path.split <= 9


def test_a_layer_is_not_proven_by_a_piece_that_was_written_after_it_was_loaded():
    """
    An unanswered order is carried out over 3 s after a piece turned bad, while the daemon reads
    the pieces back for the next order. It writes the piece again once the layers are reported.

    """

    class TakesLate(StagingEngine):
        async def load_layers(self, model, version, first, end, interrupts):
            outcome = await super().load_layers(model, version, first, end, interrupts)
            if outcome is OrderOutcome.UNKNOWN:
                # The daemon gives the call up.
                await curio.sleep(stale.LONG_CALL_S)
            return outcome

        async def read_staged(self, model, index):
            if index == stale.PIECES - 1 and self.spoiled:
                # The layers are reported after the daemon began to read their pieces back.
                self.spoiled = False
                await self.until_reported()
            return await super().read_staged(model, index)

    engine = TakesLate(unanswered_delays=[stale.LATE_ORDER_S])
    engine.spoiled = False

    async def run():
        daemon = Daemon(engine)

        async def spoil():
            await daemon.until(lambda: engine.orders)
            engine.spoil(stale.PIECES - 1)
            engine.spoiled = True

        engine.on_first_stage = spoil
        engine.until_reported = lambda: daemon.until(
            lambda: daemon.rollout.served == (ServedVersion('m', 2, 0, LAYERS),)
        )
        await daemon.start()
        await daemon.until_changed()
        return daemon

    assert curio.run(run).violations == []


def test_a_check_proves_no_layer_of_which_a_piece_was_written_meanwhile():
    loaded = LoadedLayers()
    weights = WeightsId('m', 2)
    loaded.record_report([], 0.0)
    loaded.record_report([ServedVersion('m', 2, 0, LAYERS)], 0.1)
    loaded.record_write([1])
    loaded.confirm(LayerOfVersion(weights, 1), True)
    assert loaded.numbers(weights, LayerState.SUSPECT) == [1]


def test_an_engine_is_emptied_without_reading_pieces_back_first():
    """
    With slow calls, reading back delays the order beyond the end of the served version. The layer
    is not used until it is checked.

    """

    class CountsReads(StagingEngine):
        async def read_staged(self, model, index):
            if not self.orders:
                reads.append(index)
            return await super().read_staged(model, index)

    reads = []
    engine = CountsReads()

    async def run():
        daemon = Daemon(engine)
        daemon.rollout.record_report(await engine.report())
        daemon.target = replace(daemon.target, due=0.0)
        held = daemon.rollout.store.get_or_create(daemon.target.weights)
        await stale.Origin().gather(held, range(stale.PIECES_PER_LAYER))
        await daemon.expiry._empty_engine(daemon.target)
        await daemon.until(lambda: engine.served == ServedVersion('m', 2, 0, 1))
        daemon.rollout.record_report(await engine.report())
        assert daemon.rollout.announced_version == 2
        await daemon.rollout.checks.check_unproven(daemon.target)
        assert daemon.rollout.announced_version == 0

    curio.run(run)
    assert reads == []
