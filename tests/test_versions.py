"""
The versions of weights on which a request may begin at a given time, and the version that an
endpoint daemon chooses as the next target of its engine.

"""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, Revision, ServiceName, ZoneId
from millfork_scheduling.placement import Requirements
from millfork_state.commands import Versioned, encode_versioned
from millfork_state.keys import version_key
from millfork_state.view import StoredValue, View
from millforkd.proxy.admission import Admission
from millforkd.sidecar.pieces import PieceStore, WeightsId
from millforkd.sidecar.target import STUCK_AFTER_S, TargetChooser
from millforkd.version_switching import LAST_SEND_BEFORE_END_S
from millforkd.versions import VersionTracker
from tests.test_servers import ENGINE, Clock

# Requests may begin on older versions for this many ms after a new version was set.
SWITCH_MS = 8000
SWITCH_S = SWITCH_MS / 1000


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def view():
    return View()


@pytest.fixture
def versions(clock, view):
    env = Environment(InstanceId('a:1'), ZoneId('zone'), monotonic=clock)
    versions = VersionTracker(env, view, SWITCH_MS)
    versions.refresh()
    return versions


def set_version(view, versions, version):
    revision = Revision(view.revision + 1)
    value = encode_versioned(Versioned(version, b''))
    view.apply_change(revision, {version_key('m'): StoredValue(value, revision)}, [])
    versions.refresh()


def test_an_older_version_is_allowed_until_the_new_one_is_due(view, versions, clock):
    set_version(view, versions, 2)
    assert (versions.oldest_usable('m'), versions.newest('m')) == (0, 2)
    clock.now += SWITCH_S - LAST_SEND_BEFORE_END_S + 0.01
    assert versions.oldest_usable('m') == 2


def test_the_due_time_of_each_version_counts_from_its_own_setting(view, versions, clock):
    set_version(view, versions, 2)
    clock.now += 3
    set_version(view, versions, 3)
    clock.now += SWITCH_S - LAST_SEND_BEFORE_END_S - 2.9
    assert versions.oldest_usable('m') == 2
    clock.now += 3
    assert versions.oldest_usable('m') == 3
    assert versions.ends_at('m', 3) is None
    assert versions.ends_at('m', 1) < versions.ends_at('m', 2)


def test_a_version_present_at_the_start_is_due_at_once(view, clock):
    env = Environment(InstanceId('a:1'), ZoneId('zone'), monotonic=clock)
    versions = VersionTracker(env, view, SWITCH_MS)
    set_version(view, versions, 4)
    assert versions.oldest_usable('m') == 4


def test_a_retried_request_uses_the_versions_allowed_at_the_retry(view, versions, clock):
    admission = Admission(versions.env, versions)
    requirements = admission.with_current_versions(Requirements(ServiceName('s'), ENGINE), False)
    set_version(view, versions, 2)
    assert requirements.min_version == 0
    clock.now += SWITCH_S
    assert admission.with_current_versions(requirements, False).min_version == 2


PIECED_ENGINE = replace(ENGINE, pieces=100, piece_bytes=1000)
BYTES_PER_S = 20_000.0


def new_targets(versions, clock, store, served=1):
    return TargetChooser(versions.env, versions, store, lambda: served, BYTES_PER_S)


def test_the_newest_version_is_the_target_while_it_can_arrive_in_time(view, versions, clock):
    store = PieceStore()
    targets = new_targets(versions, clock, store)
    assert targets.choose(PIECED_ENGINE).weights.version == 1
    set_version(view, versions, 2)
    assert targets.choose(PIECED_ENGINE).weights.version == 2
    clock.now += 2.0
    set_version(view, versions, 3)
    assert targets.choose(PIECED_ENGINE).weights.version == 3


def test_an_intermediate_version_is_the_target_if_the_newest_does_not_arrive(view, versions, clock):
    store = PieceStore()
    targets = new_targets(versions, clock, store)
    set_version(view, versions, 2)
    store.get_or_create(WeightsId('m', 2)).pieces = dict.fromkeys(range(60), b'')
    clock.now += 3.0
    set_version(view, versions, 3)
    assert targets.choose(PIECED_ENGINE).weights.version == 3
    clock.now += STUCK_AFTER_S / 2
    assert targets.choose(PIECED_ENGINE).weights.version == 3
    clock.now += STUCK_AFTER_S
    targets.choose(PIECED_ENGINE)
    target = targets.choose(PIECED_ENGINE)
    assert target.weights.version == 2
    assert target.due < clock.now + 4.0


def test_after_the_end_a_nearly_complete_version_is_the_target_first(view, versions, clock):
    store = PieceStore()
    targets = new_targets(versions, clock, store)
    set_version(view, versions, 2)
    store.get_or_create(WeightsId('m', 2)).pieces = dict.fromkeys(range(95), b'')
    clock.now += 5.0
    set_version(view, versions, 3)
    clock.now += 3.5
    assert targets.choose(PIECED_ENGINE).weights.version == 2
    clock.now += 3.0
    assert targets.choose(PIECED_ENGINE).weights.version == 3


def test_an_intermediate_version_that_ends_too_soon_is_not_the_target(view, versions, clock):
    store = PieceStore()
    targets = new_targets(versions, clock, store)
    set_version(view, versions, 2)
    store.get_or_create(WeightsId('m', 2)).pieces = dict.fromkeys(range(94), b'')
    clock.now += 2.0
    set_version(view, versions, 3)
    targets.choose(PIECED_ENGINE)
    clock.now += SWITCH_S - 2.0 - LAST_SEND_BEFORE_END_S
    targets.choose(PIECED_ENGINE)
    clock.now += LAST_SEND_BEFORE_END_S + 0.4
    for _ in range(8):
        assert targets.choose(PIECED_ENGINE).weights.version == 3
        clock.now += STUCK_AFTER_S / 5


def test_an_engine_that_serves_its_target_is_never_stuck(view, versions, clock):
    store = PieceStore()
    targets = new_targets(versions, clock, store, served=2)
    set_version(view, versions, 2)
    for _ in range(5):
        targets.choose(PIECED_ENGINE)
        clock.now += STUCK_AFTER_S
    assert targets.stuck_until == {}


def test_the_newest_version_is_the_target_if_changing_twice_gains_nothing(view, versions, clock):
    store = PieceStore()
    targets = new_targets(versions, clock, store)
    set_version(view, versions, 2)
    store.get_or_create(WeightsId('m', 2)).pieces = dict.fromkeys(range(50), b'')
    clock.now += 3.5
    set_version(view, versions, 3)
    for count in range(0, 100, 5):
        store.get_or_create(WeightsId('m', 3)).pieces = dict.fromkeys(range(count), b'')
        assert targets.choose(PIECED_ENGINE).weights.version == 3
        clock.now += 0.25


def test_a_nearly_complete_version_is_the_target_first(view, versions, clock):
    store = PieceStore()
    targets = new_targets(versions, clock, store)
    set_version(view, versions, 2)
    store.get_or_create(WeightsId('m', 2)).pieces = dict.fromkeys(range(95), b'')
    clock.now += 6.0
    set_version(view, versions, 3)
    assert targets.choose(PIECED_ENGINE).weights.version == 2


def test_the_target_of_an_engine_that_serves_nothing_is_the_newest_version(view, versions, clock):
    targets = new_targets(versions, clock, PieceStore(), served=0)
    set_version(view, versions, 2)
    clock.now += SWITCH_S - 1.0
    set_version(view, versions, 3)
    assert targets.choose(PIECED_ENGINE).weights.version == 3


def test_the_target_is_due_when_the_served_version_ends(view, versions, clock):
    targets = new_targets(versions, clock, PieceStore())
    set_version(view, versions, 2)
    set_at = clock.now
    clock.now += 2.0
    set_version(view, versions, 3)
    assert targets.choose(PIECED_ENGINE).due < set_at + SWITCH_S


class OneEngine:
    """
    One engine, the versions set for its model, and the pieces of weights that its daemon holds.

    """

    def __init__(self):
        self.clock, self.view, self.store = Clock(), View(), PieceStore()
        env = Environment(InstanceId('a:1'), ZoneId('zone'), monotonic=self.clock)
        self.versions = VersionTracker(env, self.view, SWITCH_MS)
        self.served = 1
        self.newest = 1
        self.targets = TargetChooser(
            env, self.versions, self.store, lambda: self.served, BYTES_PER_S
        )

    def set_next(self):
        self.newest += 1
        set_version(self.view, self.versions, self.newest)

    def choose(self):
        return self.targets.choose(PIECED_ENGINE)


STEPS = st.lists(
    st.tuples(st.sampled_from(['set', 'wait', 'piece', 'serve']), st.integers(1, 20)), max_size=40
)


@given(STEPS)
def test_an_engine_never_gets_an_older_version_nor_one_that_was_not_set(steps):
    engine = OneEngine()
    for step, number in steps:
        if step == 'set':
            engine.set_next()
        if step == 'wait':
            engine.clock.now += number / 4
        target = engine.choose()
        assert max(engine.served, 1) <= target.weights.version <= engine.newest
        held = engine.store.get_or_create(target.weights)
        if step == 'piece':
            held.pieces.update(dict.fromkeys(range(number * 5), b''))
        if step == 'serve' and len(held.pieces) == PIECED_ENGINE.pieces:
            engine.served = target.weights.version


@given(STEPS)
def test_once_all_pieces_arrive_the_newest_version_is_served(steps):
    engine = OneEngine()
    for step, number in steps:
        if step == 'set':
            engine.set_next()
        engine.clock.now += number / 4
        engine.choose()
    for _ in range(10):
        engine.clock.now += PIECED_ENGINE.pieces * PIECED_ENGINE.piece_bytes / BYTES_PER_S
        target = engine.choose()
        engine.store.get_or_create(target.weights).pieces = dict.fromkeys(
            range(PIECED_ENGINE.pieces), b''
        )
        engine.choose()
        engine.served = target.weights.version
    assert engine.served == engine.newest
