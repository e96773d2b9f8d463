"""
Endpoint daemons that end between a load order and the report that shows its layers. The next
process can't know what its predecessor had read back, so no engine may serve a layer that was
loaded from a piece that had been bad for over 3 s.

"""

from dataclasses import dataclass, field, replace
from random import Random

import curio
import pytest

from millfork_core.ids import ZoneId
from millfork_registry.records import ServedVersion
from millfork_scheduling.placement import Requirements
from millfork_scheduling.server import CHANGE_LAPSES_S
from millfork_scheduling.server_table import ServerTable
from millforkd.sidecar.pieces import WeightsId
from tests.test_servers import ENGINE, SERVICE, Clock, lease, report
from tests.test_stale_pieces import (
    LATE_ORDER_S,
    LAYERS,
    PIECES,
    Daemon,
    StagingEngine,
    piece,
    spoil_after_order,
)

# Limit of the time in which a new process proves the layers of a fast engine, in seconds.
MAX_PROVING_S = 1.0
ALL_LAYERS = ServedVersion('m', 2, 0, LAYERS)


@dataclass
class CountingEngine(StagingEngine):
    """
    An engine that serves what lies staged, tells how many orders it has begun, and lists the
    pieces that were read back.

    """

    served: ServedVersion | None = ALL_LAYERS
    earlier_orders: int = 1
    reads: list = field(default_factory=list)

    def __post_init__(self):
        for index in range(PIECES):
            self._store(index, piece(self.served.version, index))

    async def report(self):
        report = await super().report()
        return replace(report, orders=self.earlier_orders + len(self.orders))

    async def read_staged(self, model, index):
        self.reads.append(index)
        return await super().read_staged(model, index)


class RestartedDaemon(Daemon):
    """
    A process of the endpoint daemon, with the states of daemons that it receives with its feed.

    """

    def __init__(self, engine, announced=()):
        super().__init__(engine)
        self.rollout.fleet.states = lambda: list(announced)
        self.tasks = []

    async def start(self):
        self.tasks.append(await curio.spawn(self._report))
        await self.until(lambda: self.rollout.report is not None)
        for run in (self.rollout.run, self.expiry.run, self._check):
            self.tasks.append(await curio.spawn(run))

    async def end(self):
        for task in self.tasks:
            await task.cancel()


@pytest.mark.parametrize('spoiled', [(0,), range(PIECES)], ids=len)
def test_layers_of_an_ended_daemon_are_not_used_if_their_pieces_were_bad(spoiled):
    async def run():
        engine = StagingEngine(unanswered_delays=[LATE_ORDER_S])
        engine.on_first_stage = spoil_after_order(engine, spoiled)
        first = RestartedDaemon(engine)
        await first.start()
        await first.until(lambda: engine.orders)
        await first.end()
        await first.until(lambda: engine.served.version == 2)
        assert engine.worst_bad_s > 3.0
        second = RestartedDaemon(engine)
        await second.start()
        await second.until_changed()
        await second.end()
        return second

    assert curio.run(run).violations == []


def run_beside(engine, announced=(), wait=None, target_version=2):
    """
    Run a new process beside an engine until `wait(daemon)` is over; by default, until entries may
    use all layers of version 2. Returns that daemon.

    """

    async def run():
        daemon = RestartedDaemon(engine, announced)
        daemon.target = daemon.make_target(target_version)
        daemon.began_at = daemon.env.monotonic()
        daemon.usable_at_once = None
        await daemon.start()
        daemon.usable_at_once = bool(daemon.usable_layers)
        await (wait(daemon) if wait is not None else daemon.until_changed())
        daemon.took_s = daemon.env.monotonic() - daemon.began_at
        await daemon.end()
        return daemon

    return curio.run(run)


def announced_state(engine, **changes):
    state = Daemon(engine)._own()
    values = {name: getattr(state, name) for name in state.__struct_fields__}
    return type(state)(**(values | {'sequence': 0} | changes))


def test_layers_that_were_announced_as_usable_stay_usable_and_are_not_read_back():
    """
    The pieces staged now may be of another version, or bad by now.

    """
    engine = CountingEngine()
    for index in range(PIECES):
        engine.spoil(index)
    daemon = run_beside(engine, [announced_state(engine)])
    assert daemon.usable_at_once
    assert engine.reads == engine.orders == []


def test_a_state_that_arrives_with_the_target_is_known_before_pieces_are_read_back():
    """
    The ended process had staged pieces of the next version, so those of the served version can't be
    read back.

    """
    engine = CountingEngine()
    for index in range(PIECES):
        engine._store(index, piece(3, index))

    async def run():
        daemon = RestartedDaemon(engine)
        daemon.rollout.checks.awaits_announced = lambda: True
        daemon.rollout.record_report(await engine.report())
        await daemon.rollout._step(daemon.target)
        assert daemon.usable_layers == []
        state = announced_state(engine)
        daemon.rollout.fleet.states = lambda: [state]
        daemon.rollout.checks.awaits_announced = lambda: False
        await daemon.rollout._step(daemon.target)
        assert daemon.usable_layers

    curio.run(run)
    assert engine.reads == engine.orders == []


def test_layers_that_an_engine_has_started_with_are_usable_at_once():
    engine = CountingEngine(earlier_orders=0)
    for index in range(PIECES):
        engine.spoil(index)
    daemon = run_beside(engine)
    assert daemon.usable_at_once
    assert engine.reads == engine.orders == []


@pytest.mark.parametrize(
    'changes',
    [
        {'changing_to': 2},
        {'incarnation': 7},
        {'reachable': False},
        {'served': (ServedVersion('m', 1, 0, LAYERS),)},
        {'served': (ServedVersion('m', 2, 0, LAYERS - 1),)},
        {'served': ()},
        {'service': 'other'},
        {'instance': '10.0.0.2:1'},
        # A report of the new process itself.
        {'sequence': 1 << 60},
    ],
    ids=str,
)
def test_layers_that_were_not_announced_as_usable_are_not_used_if_a_piece_is_bad(changes):
    engine = CountingEngine()
    engine.spoil(PIECES - 1)
    engine.bad_for[2, LAYERS - 1] = LATE_ORDER_S
    daemon = run_beside(engine, [announced_state(engine, **changes)])
    assert daemon.violations == []
    assert engine.orders


def test_an_order_that_drops_layers_leaves_no_layer_usable_that_was_announced_before():
    engine = CountingEngine(served=ServedVersion('m', 2, 0, LAYERS // 2))
    engine.spoil(0)
    engine.bad_for[2, 0] = LATE_ORDER_S
    daemon = run_beside(engine, [announced_state(engine, served=(ALL_LAYERS,))])
    assert daemon.violations == []


def test_intact_layers_are_proven_within_a_second_without_an_order():
    engine = CountingEngine(call_s=0.002)
    daemon = run_beside(engine)
    assert not daemon.usable_at_once
    assert engine.orders == []
    assert len(engine.reads) == PIECES
    assert daemon.took_s < MAX_PROVING_S


def test_silence_of_the_engine_does_not_make_its_layers_suspect():
    engine = CountingEngine()

    async def wait(daemon):
        obtain_digests = daemon.rollout.gatherer.obtain_digests

        async def fall_silent(held):
            daemon.rollout.gatherer.obtain_digests = obtain_digests
            daemon.rollout.record_report(None)
            return await obtain_digests(held)

        daemon.rollout.gatherer.obtain_digests = fall_silent
        await daemon.until_changed()

    run_beside(engine, wait=wait)
    assert engine.orders == []


def test_only_bad_pieces_are_fetched_again():
    gathered = []
    engine = CountingEngine()
    engine.spoil(PIECES - 1)

    async def wait(daemon):
        gather = daemon.rollout.gatherer.gather

        async def record(held, wanted):
            await daemon.rollout.gatherer.obtain_digests(held)
            gathered.extend(held.missing(wanted))
            await gather(held, wanted)

        daemon.rollout.gatherer.gather = record
        await daemon.until(lambda: engine.orders)
        await daemon.until_changed()

    run_beside(engine, wait=wait)
    # All pieces are missing until the good ones of them have been read.
    assert gathered in ([], [PIECES - 1])


def test_nothing_is_fetched_until_the_digests_tell_which_pieces_are_good():
    engine = CountingEngine()
    gathered = []

    async def wait(daemon):
        gatherer = daemon.rollout.gatherer
        obtain_digests = gatherer.obtain_digests

        async def fail(held):
            attempts.append(held.weights)
            return False

        async def gather(held, wanted):
            gathered.append(wanted)

        attempts = []
        gatherer.obtain_digests, gatherer.gather = fail, gather
        await daemon.until(lambda: len(attempts) >= 3)
        assert daemon.usable_layers == []
        gatherer.obtain_digests = obtain_digests
        await daemon.until_changed()

    run_beside(engine, wait=wait)
    assert gathered == engine.orders == []


def test_layers_of_the_served_version_are_proven_while_the_next_one_is_fetched():
    """
    The digests of the served version arrive only once pieces of the next one are awaited.

    """
    served = ServedVersion('m', 2, 0, LAYERS)
    engine = CountingEngine(served=served)

    async def wait(daemon):
        gatherer = daemon.rollout.gatherer
        obtain_digests = gatherer.obtain_digests
        is_fetching = curio.Event()

        async def obtain(held):
            if held.weights == WeightsId('m', 2) and not is_fetching.is_set():
                return False
            return await obtain_digests(held)

        async def gather(held, wanted):
            await is_fetching.set()
            await curio.sleep(1000)

        gatherer.obtain_digests, gatherer.gather = obtain, gather
        await daemon.until_changed(2)

    daemon = run_beside(engine, wait=wait, target_version=3)
    assert not daemon.usable_at_once
    assert engine.orders == []


def test_entries_do_not_use_unproven_layers_when_the_daemon_ends():
    """
    The daemon's last report names layers that the engine holds, as those of a change in progress.
    Then it ends, and the lease of the engine names the same layers.

    """
    clock = Clock()
    table = ServerTable(ZoneId('z1'), Random(1), clock)
    table.apply_leases([lease(1, version=2)])
    unproven = (ServedVersion('m', 2, 0, ENGINE.layers),)
    table.apply_reports([report(1, 1, served=unproven, changing_to=2)])
    assert table.choose(Requirements(SERVICE, ENGINE), set()) is None
    clock.now += CHANGE_LAPSES_S + 1.0
    table.forget_lapsed_changes()
    assert table.choose(Requirements(SERVICE, ENGINE), set()) is None
