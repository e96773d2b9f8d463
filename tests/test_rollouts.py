"""
One engine's way to a version: its turn, the end of what runs, halves and wholes.

"""

import hashlib
from dataclasses import dataclass, field, replace

import curio
import pytest

from millfork_adapter.exchange import EngineReport
from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_core.ranks import rank
from millfork_registry.records import EndpointState, ServedVersion
from millforkd.sidecar.expiry import ExpiryWatcher
from millforkd.sidecar.fleet import Fleet
from millforkd.sidecar.pieces import PieceStore, WeightsId
from millforkd.sidecar.rollout import DRAIN_S, LATE_DRAIN_S, TURNS, Rollout
from millforkd.sidecar.target import Target
from millforkd.switching import LAST_SENT_S
from tests.test_servers import Clock

LAYERS, PIECES = 4, 8
DUE_S = 1.2
OLD = ServedVersion('m', 1, 0, LAYERS)
NEW = ServedVersion('m', 2, 0, LAYERS)
NAMES = [f'10.0.0.{number}:1' for number in range(6)]


@dataclass
class StandInEngine:
    """
    Serves what it was ordered to; what runs ends when the test says so.

    """

    served: tuple = (OLD,)
    running: int = 0
    laid: list = field(default_factory=list)
    orders: list = field(default_factory=list)

    async def report(self):
        items = tuple((item.model, item.version, item.first, item.end) for item in self.served)
        return EngineReport(self.running, 0, 0, 0, 1.0, False, items)

    async def read_staged(self, model, index):
        return None

    async def stage(self, model, index, data):
        self.laid.append(index)
        return True

    async def start(self, model, version, first, end, interrupts):
        self.orders.append((version, first, end, interrupts, self.running))
        self.served = (ServedVersion(model, version, first, end),)
        self.running = 0
        return True


class StandInGathering:
    def __init__(self, caches=('10.0.1.1:1',)):
        self.caches = list(caches)

    def near_caches(self):
        return self.caches

    async def obtain_digests(self, held):
        await held.set_digests(tuple('d' for _ in range(PIECES)))
        return True

    async def gather(self, held, wanted):
        held.pieces.update(dict.fromkeys(wanted, b'piece'))


class Engines:
    """
    A rollout among other engines whose states the test sets.

    """

    def __init__(self, turn, engine=None, gathering=None):
        self.engine = engine if engine is not None else StandInEngine()
        self.gathering = gathering if gathering is not None else StandInGathering()
        weights = WeightsId('m', 2)
        ordered = sorted(NAMES, key=lambda name: rank(str(weights), name))
        self.env = Environment(InstanceId(ordered[turn]), ZoneId('z1'))
        self.others = {name: (OLD,) for name in NAMES if name != ordered[turn]}
        now = self.env.monotonic()
        self.target = Target(weights, LAYERS, PIECES, now, now + DUE_S)
        self.changing = []
        self.asked = 0
        fleet = Fleet(self.env, 's', self.states, self.own, lambda: (LAYERS, PIECES))
        self.rollout = Rollout(
            self.env,
            self.engine,
            PieceStore(),
            self.gathering,
            fleet,
            lambda: self.target,
            self.announce,
        )

    def states(self):
        self.asked += 1
        return [_state(name, served) for name, served in self.others.items()]

    def own(self):
        return _state(str(self.env.instance), self.engine.served)

    async def announce(self):
        self.changing.append(self.rollout.changing_to)

    def change(self, count):
        for name in list(self.others)[:count]:
            self.others[name] = (NEW,)

    async def until(self, condition, bound_s=5.0):
        async with curio.timeout_after(bound_s):
            while not condition():
                await curio.sleep(0.01)

    async def run(self):
        self.rollout.report = await self.engine.report()
        return await curio.spawn(self.rollout.run, daemon=True)


def _state(instance, served):
    return EndpointState(instance, 's', 'z1', instance, 80, 1, '', True, served=tuple(served))


def test_an_engine_changes_once_those_of_the_turns_before_have():
    async def run():
        engines = Engines(turn=1)
        task = await engines.run()
        engines.change(len(NAMES) // TURNS - 1)
        await engines.until(
            lambda: engines.rollout.store.get_or_create(engines.target.weights).whole
        )
        asked = engines.asked
        await engines.until(lambda: engines.asked > asked + 3)
        assert engines.changing == []
        engines.change(len(NAMES) // TURNS)
        await engines.until(lambda: engines.engine.orders)
        assert engines.env.monotonic() < engines.target.due
        await task.cancel()

    curio.run(run)


def test_the_last_turn_comes_when_nothing_more_is_sent_to_the_old_version():
    async def run():
        engines = Engines(turn=2)
        task = await engines.run()
        await engines.until(lambda: engines.engine.orders)
        assert engines.env.monotonic() >= engines.target.due
        await task.cancel()

    curio.run(run)


def test_entries_hear_first_and_what_runs_has_time_to_end():
    async def run():
        engines = Engines(turn=0, engine=StandInEngine(running=3))
        task = await engines.run()
        await engines.until(lambda: engines.changing)
        assert engines.changing == [2]
        assert engines.engine.orders == []
        engines.engine.running = 0
        await engines.until(lambda: engines.engine.orders)
        assert engines.engine.orders == [(2, 0, LAYERS, True, 0)]
        assert engines.engine.laid == list(range(PIECES))
        await engines.until(lambda: engines.changing[-1] == 0)
        await task.cancel()

    curio.run(run)


@pytest.mark.parametrize(('ended_s', 'drain_s'), [(0.0, DRAIN_S), (5.0, LATE_DRAIN_S)])
def test_what_runs_too_long_is_broken_off(ended_s, drain_s):
    async def run():
        engines = Engines(turn=0, engine=StandInEngine(running=3))
        engines.target = replace(engines.target, due=engines.target.due - ended_s)
        began = engines.env.monotonic()
        task = await engines.run()
        await engines.until(lambda: engines.engine.orders)
        assert engines.engine.orders == [(2, 0, LAYERS, True, 3)]
        assert (engines.env.monotonic() - began > DRAIN_S) == (drain_s == DRAIN_S)
        await task.cancel()

    curio.run(run)


@pytest.mark.parametrize(
    ('served', 'caches', 'first'),
    [((OLD,), ('10.0.1.1:1',), LAYERS), ((), ('10.0.1.1:1',), 2), ((OLD,), (), 2)],
)
def test_halves_come_first_where_an_engine_is_empty_or_no_cache_helps(served, caches, first):
    async def run():
        engines = Engines(0, StandInEngine(served), StandInGathering(caches))
        engines.others = dict.fromkeys(engines.others, served)
        task = await engines.run()
        await engines.until(lambda: engines.engine.orders)
        _, begin, end, interrupts, _ = engines.engine.orders[0]
        assert end - begin == first
        assert interrupts == bool(served)
        await engines.until(lambda: engines.engine.served == (NEW,))
        await task.cancel()

    curio.run(run)


def test_a_replica_that_does_not_answer_does_not_hold_an_engine_up():
    async def run():
        engines = Engines(turn=0)

        async def announce():
            await curio.sleep(30)

        engines.rollout.announce = announce
        task = await engines.run()
        await engines.until(lambda: engines.engine.served == (NEW,))
        await task.cancel()

    curio.run(run)


class StalledGathering(StandInGathering):
    """
    Brings so many pieces, then no more until the test says so.

    """

    def __init__(self, count):
        super().__init__()
        self.count = count
        self.resume = curio.Event()

    async def gather(self, held, wanted):
        held.pieces.update(dict.fromkeys(range(self.count), b'piece'))
        await self.resume.wait()
        await super().gather(held, wanted)


def test_a_version_that_ends_before_the_next_is_here_is_taken_from_the_engine():
    async def run():
        engines = Engines(0, StandInEngine(running=3), StalledGathering(3))
        rollout = engines.rollout
        expiry = ExpiryWatcher(engines.env, engines.engine, rollout.store, rollout)
        task = await engines.run()
        watching = await curio.spawn(expiry.run, daemon=True)
        await engines.until(lambda: engines.engine.orders)
        ends = engines.target.due + LAST_SENT_S
        assert engines.target.due < engines.env.monotonic() < ends
        assert engines.engine.orders == [(2, 0, 1, False, 3)]
        assert engines.engine.laid == [0, 1]
        await task.cancel()
        await watching.cancel()

    curio.run(run)


def test_an_ended_version_is_taken_where_nothing_of_the_next_one_is_here():
    """
    An origin was down when version 2 was named. All six engines kept version 1 until the
    first layer of the next one came: it ended 8.0 s after it was replaced, and was taken
    from them 12.15 s to 12.31 s after. A layer that lies at the engine will do.

    """

    async def run():
        engines = Engines(0, StandInEngine(running=3), StalledGathering(0))
        rollout = engines.rollout
        expiry = ExpiryWatcher(engines.env, engines.engine, rollout.store, rollout)
        task = await engines.run()
        watching = await curio.spawn(expiry.run, daemon=True)
        await engines.until(lambda: engines.engine.orders)
        ends = engines.target.due + LAST_SENT_S
        assert engines.target.due < engines.env.monotonic() < ends
        (order,) = engines.engine.orders
        assert order == (1, LAYERS // 2, LAYERS // 2 + 1, False, 3)
        assert engines.engine.laid == []
        rollout.report = await engines.engine.report()
        await engines.gathering.resume.set()
        await engines.until(lambda: engines.engine.served == (NEW,))
        assert engines.engine.orders == [order, (2, 0, LAYERS, False, 0)]
        await task.cancel()
        await watching.cancel()

    curio.run(run)


@pytest.mark.parametrize(
    ('served', 'layers', 'orders'),
    [
        ((OLD,), LAYERS, 1),
        ((ServedVersion('m', 1, 0, 2),), LAYERS, 1),
        ((ServedVersion('m', 1, 0, 1),), LAYERS, 0),
        ((ServedVersion('m', 1, 2, 3),), LAYERS, 0),
        ((ServedVersion('m', 1, 0, 1),), 1, 0),
        ((), LAYERS, 0),
    ],
)
def test_an_engine_is_left_a_single_layer_once(served, layers, orders):
    async def run():
        engines = Engines(0, StandInEngine(served))
        engines.target = replace(engines.target, layers=layers, due=0.0)
        rollout = engines.rollout
        rollout.report = await engines.engine.report()
        expiry = ExpiryWatcher(engines.env, engines.engine, rollout.store, rollout)
        for version in (2, 3, 2):
            engines.target = replace(engines.target, weights=WeightsId('m', version))
            rollout.staged_checked = True
            if expiry._has_ended(engines.target):
                await expiry._empty_engine(engines.target)
            rollout.report = await engines.engine.report()
        assert len(engines.engine.orders) == orders

    curio.run(run)


@pytest.mark.parametrize(('lies', 'orders'), [(False, 1), (True, 0)])
def test_a_daemon_that_has_started_looks_first_whose_pieces_lie_at_the_engine(lies, orders):
    """
    Daemons were killed with all pieces of version 2 laid and the order not given yet.
    Those that came after them had an engine of version 1 take layer 8 of 16 from these,
    0.08 s before they had looked at what lies there: 'version=1 layers=8-9 status=202',
    then 'Took staged pieces. weights=tilo440000@2 good=96 bad=0'.

    """

    async def run():
        engines = Engines(0, StandInEngine(), StalledGathering(0))
        rollout = engines.rollout
        rollout.report = await engines.engine.report()
        expiry = ExpiryWatcher(engines.env, engines.engine, rollout.store, rollout)
        engines.target = replace(engines.target, due=0.0)
        await expiry._empty_engine(engines.target)
        assert engines.engine.orders == []
        held = rollout.store.get_or_create(engines.target.weights)
        data = b'piece'
        digest = hashlib.sha256(data).hexdigest() if lies else 'd'

        async def obtain_digests(held):
            await held.set_digests((digest,) + ('d',) * (PIECES - 1))
            return True

        async def read_staged(model, index):
            return data

        engines.gathering.obtain_digests = obtain_digests
        engines.engine.read_staged = read_staged
        await rollout._check_staged(held)
        await expiry._empty_engine(engines.target)
        assert len(engines.engine.orders) == orders

    curio.run(run)


def test_an_ended_version_is_taken_though_the_target_has_just_moved_on():
    """
    Three engines behind squeezed links kept version 1 beyond its end at 22.0 s: 88 of 96
    pieces of version 2 were here, but version 4 had become the target at 21.51 s and no
    piece nor digest of it had come. A request that its entry had given up at 21.7 s came
    through the link at 22.02 s and began 8,132 ms after version 2 was acknowledged.

    """

    async def run():
        engines = Engines(0, StandInEngine(), StalledGathering(0))
        rollout = engines.rollout
        rollout.report = await engines.engine.report()
        expiry = ExpiryWatcher(engines.env, engines.engine, rollout.store, rollout)
        rollout.staged_checked = True
        engines.target = replace(engines.target, weights=WeightsId('m', 4), due=0.0)
        await expiry._empty_engine(engines.target)
        assert engines.engine.orders == [(1, LAYERS // 2, LAYERS // 2 + 1, False, 0)]

    curio.run(run)


@pytest.mark.parametrize(('here', 'due'), [(3, True), (6, True), (7, False)])
def test_an_engine_that_is_about_to_have_the_next_version_takes_no_order_before(here, due):
    async def run():
        engines = Engines(0)
        clock = Clock()
        engines.env.monotonic = clock
        engines.target = replace(engines.target, due=clock.now + 1.0)
        rollout = engines.rollout
        rollout.report = await engines.engine.report()
        expiry = ExpiryWatcher(engines.env, engines.engine, rollout.store, rollout)
        held = rollout.store.get_or_create(engines.target.weights)
        clock.now = engines.target.due + LAST_SENT_S - 1.0
        for count in range(here - 3, here + 1):
            held.pieces = dict.fromkeys(range(count), b'piece')
            expiry._record_arrivals(count)
            clock.now += 0.32
        assert expiry._is_due(engines.target, held) == due

    curio.run(run)


def test_a_version_that_has_not_ended_stays():
    async def run():
        engines = Engines(0, StandInEngine(), StalledGathering(3))
        engines.target = replace(engines.target, due=float('inf'))
        rollout = engines.rollout
        expiry = ExpiryWatcher(engines.env, engines.engine, rollout.store, rollout)
        rollout.report = await engines.engine.report()
        assert not expiry._has_ended(engines.target)

    curio.run(run)


def test_turns_take_equal_parts_of_the_engines():
    counts = [0] * TURNS
    for position in range(len(NAMES)):
        engines = Engines(position)
        counts[engines.rollout.fleet.own_turn(WeightsId('m', 2), TURNS)] += 1
    assert counts == [len(NAMES) // TURNS] * TURNS
