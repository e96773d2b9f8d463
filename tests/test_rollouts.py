"""
The rollout of a version on one engine: the wait for the engine's turn and for running requests,
and the load orders for all or some layers.

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
from millforkd.sidecar.engine import OrderOutcome
from millforkd.sidecar.expiry import ExpiryWatcher
from millforkd.sidecar.fleet import Fleet
from millforkd.sidecar.pieces import PieceStore, WeightsId
from millforkd.sidecar.rollout import DRAIN_S, LATE_DRAIN_S, ROLLOUT_TURNS, Rollout
from millforkd.sidecar.target import Target
from millforkd.version_switching import LAST_SEND_BEFORE_END_S
from tests.test_servers import Clock

LAYERS, PIECES = 4, 8
# Seconds until the engine must change its version at the latest.
DUE_S = 1.2
OLD = ServedVersion('m', 1, 0, LAYERS)
NEW = ServedVersion('m', 2, 0, LAYERS)
NAMES = [f'10.0.0.{number}:1' for number in range(6)]


@dataclass
class FakeEngine:
    """
    An engine that serves the layers that it was last told to load. Its requests run until the
    test or a load order ends them.

    """

    served: tuple = (OLD,)
    running: int = 0
    staged_indexes: list = field(default_factory=list)
    staged: dict = field(default_factory=dict)
    orders: list = field(default_factory=list)

    async def report(self):
        items = tuple((item.model, item.version, item.first, item.end) for item in self.served)
        return EngineReport(self.running, 0, 0, 0, 1.0, False, items)

    async def read_staged(self, model, index):
        return self.staged.get(index)

    async def stage(self, model, index, data):
        self.staged_indexes.append(index)
        self.staged[index] = data
        return True

    async def load_layers(self, model, version, first, end, interrupts):
        self.orders.append((version, first, end, interrupts, self.running))
        self.served = (ServedVersion(model, version, first, end),)
        self.running = 0
        return OrderOutcome.ACCEPTED


class FakeGatherer:
    """
    Has all digests and pieces at once.

    """

    def __init__(self, caches=('10.0.1.1:1',)):
        self.caches = list(caches)

    def near_caches(self):
        return self.caches

    async def obtain_digests(self, held):
        await held.set_digests(tuple('d' for _ in range(PIECES)))
        return True

    async def gather(self, held, wanted):
        held.pieces.update(dict.fromkeys(wanted, b'piece'))


class RolloutUnderTest:
    """
    The rollout of the engine that changes in a given turn. The test sets the versions that the
    other engines serve.

    """

    def __init__(self, turn, engine=None, gatherer=None):
        self.engine = engine if engine is not None else FakeEngine()
        self.gatherer = gatherer if gatherer is not None else FakeGatherer()
        weights = WeightsId('m', 2)
        ordered = sorted(NAMES, key=lambda name: rank(str(weights), name))
        self.env = Environment(InstanceId(ordered[turn]), ZoneId('z1'))
        self.others = {name: (OLD,) for name in NAMES if name != ordered[turn]}
        now = self.env.monotonic()
        self.target = Target(weights, LAYERS, PIECES, now, now + DUE_S)
        self.announced_versions = []
        self.state_requests = 0
        fleet = Fleet(self.env, 's', self.states, self.own, lambda: (LAYERS, PIECES))
        self.rollout = Rollout(
            self.env,
            self.engine,
            PieceStore(),
            self.gatherer,
            fleet,
            lambda: self.target,
            self.announce,
        )

    def states(self):
        self.state_requests += 1
        return [_state(name, served) for name, served in self.others.items()]

    def own(self):
        return _state(str(self.env.instance), self.engine.served)

    async def announce(self):
        self.announced_versions.append(self.rollout.changing_to)

    def change_engines(self, count):
        for name in list(self.others)[:count]:
            self.others[name] = (NEW,)

    async def until(self, condition, timeout_s=5.0):
        async with curio.timeout_after(timeout_s):
            while not condition():
                await curio.sleep(0.01)

    async def run(self):
        self.rollout.record_report(await self.engine.report())
        return await curio.spawn(self.rollout.run, daemon=True)


def _state(instance, served):
    return EndpointState(instance, 's', 'z1', instance, 80, 1, '', True, served=tuple(served))


def test_an_engine_changes_after_the_engines_of_earlier_turns():
    async def run():
        under_test = RolloutUnderTest(turn=1)
        task = await under_test.run()
        under_test.change_engines(len(NAMES) // ROLLOUT_TURNS - 1)
        await under_test.until(
            lambda: under_test.rollout.store.get_or_create(under_test.target.weights).whole
        )
        state_requests = under_test.state_requests
        await under_test.until(lambda: under_test.state_requests > state_requests + 3)
        assert under_test.announced_versions == []
        under_test.change_engines(len(NAMES) // ROLLOUT_TURNS)
        await under_test.until(lambda: under_test.engine.orders)
        assert under_test.env.monotonic() < under_test.target.due
        await task.cancel()

    curio.run(run)


def test_the_last_turn_starts_when_entries_stop_sending_to_the_old_version():
    async def run():
        under_test = RolloutUnderTest(turn=2)
        task = await under_test.run()
        await under_test.until(lambda: under_test.engine.orders)
        assert under_test.env.monotonic() >= under_test.target.due
        await task.cancel()

    curio.run(run)


def test_a_change_is_announced_and_the_engine_drains_before_the_order():
    async def run():
        under_test = RolloutUnderTest(turn=0, engine=FakeEngine(running=3))
        task = await under_test.run()
        await under_test.until(lambda: under_test.announced_versions)
        assert under_test.announced_versions == [2]
        assert under_test.engine.orders == []
        under_test.engine.running = 0
        await under_test.until(lambda: under_test.engine.orders)
        assert under_test.engine.orders == [(2, 0, LAYERS, True, 0)]
        assert under_test.engine.staged_indexes == list(range(PIECES))
        await under_test.until(lambda: under_test.announced_versions[-1] == 0)
        await task.cancel()

    curio.run(run)


@pytest.mark.parametrize(('ended_s', 'drain_s'), [(0.0, DRAIN_S), (5.0, LATE_DRAIN_S)])
def test_requests_that_outlast_the_drain_are_interrupted(ended_s, drain_s):
    async def run():
        under_test = RolloutUnderTest(turn=0, engine=FakeEngine(running=3))
        under_test.target = replace(under_test.target, due=under_test.target.due - ended_s)
        started_at = under_test.env.monotonic()
        task = await under_test.run()
        await under_test.until(lambda: under_test.engine.orders)
        assert under_test.engine.orders == [(2, 0, LAYERS, True, 3)]
        assert (under_test.env.monotonic() - started_at > DRAIN_S) == (drain_s == DRAIN_S)
        await task.cancel()

    curio.run(run)


@pytest.mark.parametrize(
    ('served', 'caches', 'first'),
    [((OLD,), ('10.0.1.1:1',), LAYERS), ((), ('10.0.1.1:1',), 2), ((OLD,), (), 2)],
)
def test_an_empty_engine_or_one_without_caches_takes_half_of_the_layers_first(
    served, caches, first
):
    async def run():
        under_test = RolloutUnderTest(0, FakeEngine(served), FakeGatherer(caches))
        under_test.others = dict.fromkeys(under_test.others, served)
        task = await under_test.run()
        await under_test.until(lambda: under_test.engine.orders)
        _, first_layer, end_layer, interrupts, _ = under_test.engine.orders[0]
        assert end_layer - first_layer == first
        assert interrupts == bool(served)
        await under_test.until(lambda: under_test.engine.served == (NEW,))
        await task.cancel()

    curio.run(run)


def test_a_silent_replica_does_not_delay_the_engine():
    async def run():
        under_test = RolloutUnderTest(turn=0)

        async def announce():
            await curio.sleep(30)

        under_test.rollout.announce = announce
        task = await under_test.run()
        await under_test.until(lambda: under_test.engine.served == (NEW,))
        await task.cancel()

    curio.run(run)


class StalledGatherer(FakeGatherer):
    """
    Fetches the first `count` pieces, and the other pieces after the test has set `resume`.

    """

    def __init__(self, count):
        super().__init__()
        self.count = count
        self.resume = curio.Event()

    async def gather(self, held, wanted):
        held.pieces.update(dict.fromkeys(range(self.count), b'piece'))
        await self.resume.wait()
        await super().gather(held, wanted)


def test_a_version_that_ends_before_the_next_arrives_is_removed_from_the_engine():
    async def run():
        under_test = RolloutUnderTest(0, FakeEngine(running=3), StalledGatherer(3))
        rollout = under_test.rollout
        expiry = ExpiryWatcher(under_test.env, under_test.engine, rollout.store, rollout)
        task = await under_test.run()
        expiry_task = await curio.spawn(expiry.run, daemon=True)
        await under_test.until(lambda: under_test.engine.orders)
        ends = under_test.target.due + LAST_SEND_BEFORE_END_S
        assert under_test.target.due < under_test.env.monotonic() < ends
        assert under_test.engine.orders == [(2, 0, 1, False, 3)]
        assert under_test.engine.staged_indexes == [0, 1]
        await task.cancel()
        await expiry_task.cancel()

    curio.run(run)


def test_an_ended_version_is_removed_without_any_piece_of_the_next():
    """
    Guards against a version served beyond its end while the origin is down. Six engines kept
    version 1 until the first layer of version 2 arrived. Version 1 ended 8.0 s after version 2
    was set, but was removed 12.15 s to 12.31 s after version 2 was set. Reducing the engine to
    one layer of version 1, which is still staged, removes the version in time.

    """

    async def run():
        under_test = RolloutUnderTest(0, FakeEngine(running=3), StalledGatherer(0))
        rollout = under_test.rollout
        expiry = ExpiryWatcher(under_test.env, under_test.engine, rollout.store, rollout)
        task = await under_test.run()
        expiry_task = await curio.spawn(expiry.run, daemon=True)
        await under_test.until(lambda: under_test.engine.orders)
        ends = under_test.target.due + LAST_SEND_BEFORE_END_S
        assert under_test.target.due < under_test.env.monotonic() < ends
        (order,) = under_test.engine.orders
        assert order == (1, LAYERS // 2, LAYERS // 2 + 1, False, 3)
        assert under_test.engine.staged_indexes == []
        rollout.record_report(await under_test.engine.report())
        await under_test.gatherer.resume.set()
        await under_test.until(lambda: under_test.engine.served == (NEW,))
        assert under_test.engine.orders == [order, (2, 0, LAYERS, False, 0)]
        await task.cancel()
        await expiry_task.cancel()

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
def test_an_engine_is_reduced_to_a_single_layer_once(served, layers, orders):
    async def run():
        under_test = RolloutUnderTest(0, FakeEngine(served))
        under_test.target = replace(under_test.target, layers=layers, due=0.0)
        rollout = under_test.rollout
        rollout.record_report(await under_test.engine.report())
        expiry = ExpiryWatcher(under_test.env, under_test.engine, rollout.store, rollout)
        for version in (2, 3, 2):
            under_test.target = replace(under_test.target, weights=WeightsId('m', version))
            rollout.staged_checked = True
            if expiry._serves_ending_version(under_test.target):
                await expiry._empty_engine(under_test.target)
            rollout.record_report(await under_test.engine.report())
        assert len(under_test.engine.orders) == orders

    curio.run(run)


@pytest.mark.parametrize(('matches', 'orders'), [(False, 1), (True, 0)])
def test_a_started_daemon_checks_staged_pieces_before_it_empties_the_engine(matches, orders):
    """
    Guards against an engine that loads pieces of version 2 as version 1. Daemons were killed
    after they had staged all pieces of version 2 and before they sent the load order. A daemon
    started in place of one of them told its engine, which served version 1, to load layer 8 of
    16 of version 1, 0.08 s before the daemon checked which version was staged.

    """

    async def run():
        under_test = RolloutUnderTest(0, FakeEngine(), StalledGatherer(0))
        rollout = under_test.rollout
        rollout.record_report(await under_test.engine.report())
        expiry = ExpiryWatcher(under_test.env, under_test.engine, rollout.store, rollout)
        under_test.target = replace(under_test.target, due=0.0)
        await expiry._empty_engine(under_test.target)
        assert under_test.engine.orders == []
        held = rollout.store.get_or_create(under_test.target.weights)
        data = b'piece'
        digest = hashlib.sha256(data).hexdigest() if matches else 'd'

        async def obtain_digests(held):
            await held.set_digests((digest,) + ('d',) * (PIECES - 1))
            return True

        async def read_staged(model, index):
            return data

        under_test.gatherer.obtain_digests = obtain_digests
        under_test.engine.read_staged = read_staged
        await rollout._check_staged(held)
        await expiry._empty_engine(under_test.target)
        assert len(under_test.engine.orders) == orders

    curio.run(run)


def test_an_ended_version_is_removed_though_the_target_has_just_changed():
    """
    Guards against a version served beyond its end because the target changed shortly before.
    Three engines behind throttled links kept version 1 beyond its end at 22.0 s. Their daemons
    held 88 of 96 pieces of version 2, but at 21.51 s version 4 became the target, of which no
    piece or digest had arrived. A request that an entry had given up at 21.7 s arrived at
    22.02 s and started 8,132 ms after the acknowledgement that version 2 was set.

    """

    async def run():
        under_test = RolloutUnderTest(0, FakeEngine(), StalledGatherer(0))
        rollout = under_test.rollout
        rollout.record_report(await under_test.engine.report())
        expiry = ExpiryWatcher(under_test.env, under_test.engine, rollout.store, rollout)
        rollout.staged_checked = True
        under_test.target = replace(under_test.target, weights=WeightsId('m', 4), due=0.0)
        await expiry._empty_engine(under_test.target)
        assert under_test.engine.orders == [(1, LAYERS // 2, LAYERS // 2 + 1, False, 0)]

    curio.run(run)


@pytest.mark.parametrize(('present_count', 'due'), [(3, True), (6, True), (7, False)])
def test_an_engine_is_not_emptied_while_the_next_version_is_nearly_complete(present_count, due):
    async def run():
        under_test = RolloutUnderTest(0)
        clock = Clock()
        under_test.env.monotonic = clock
        under_test.target = replace(under_test.target, due=clock.now + 1.0)
        rollout = under_test.rollout
        rollout.record_report(await under_test.engine.report())
        expiry = ExpiryWatcher(under_test.env, under_test.engine, rollout.store, rollout)
        held = rollout.store.get_or_create(under_test.target.weights)
        clock.now = under_test.target.due + LAST_SEND_BEFORE_END_S - 1.0
        for count in range(present_count - 3, present_count + 1):
            held.pieces = dict.fromkeys(range(count), b'piece')
            expiry._record_arrivals(count)
            clock.now += 0.32
        assert expiry._is_due(under_test.target, held) == due

    curio.run(run)


def test_a_version_that_has_not_ended_is_not_removed():
    async def run():
        under_test = RolloutUnderTest(0, FakeEngine(), StalledGatherer(3))
        under_test.target = replace(under_test.target, due=float('inf'))
        rollout = under_test.rollout
        expiry = ExpiryWatcher(under_test.env, under_test.engine, rollout.store, rollout)
        rollout.record_report(await under_test.engine.report())
        assert not expiry._serves_ending_version(under_test.target)

    curio.run(run)


def test_each_turn_has_equally_many_engines():
    counts = [0] * ROLLOUT_TURNS
    for position in range(len(NAMES)):
        under_test = RolloutUnderTest(position)
        counts[under_test.rollout.fleet.own_turn(WeightsId('m', 2), ROLLOUT_TURNS)] += 1
    assert counts == [len(NAMES) // ROLLOUT_TURNS] * ROLLOUT_TURNS
