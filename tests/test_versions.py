"""
Which version of its weights a request may begin on, from moment to moment.

"""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, Revision, ServiceName, ZoneId
from millfork_scheduling.placement import Wanted
from millfork_state.commands import Versioned, encode_versioned
from millfork_state.keys import version_key
from millfork_state.view import Held, View
from millforkd.proxy.admission import Admission
from millforkd.sidecar.pieces import PieceStore, WeightsId
from millforkd.sidecar.target import STUCK_AFTER_S, TargetChooser
from millforkd.switching import LAST_SENT_S
from millforkd.versions import Versions
from tests.test_servers import ENGINE, Clock

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
    made = Versions(env, view, SWITCH_MS)
    made.refresh()
    return made


def name(view, versions, version):
    revision = Revision(view.revision + 1)
    value = encode_versioned(Versioned(version, b''))
    view.change(revision, {version_key('m'): Held(value, revision)}, [])
    versions.refresh()


def test_until_a_new_version_is_due_an_older_one_will_do(view, versions, clock):
    name(view, versions, 2)
    assert (versions.least('m'), versions.newest('m')) == (0, 2)
    clock.now += SWITCH_S - LAST_SENT_S + 0.01
    assert versions.least('m') == 2


def test_each_version_is_due_by_its_own_naming(view, versions, clock):
    name(view, versions, 2)
    clock.now += 3
    name(view, versions, 3)
    clock.now += SWITCH_S - LAST_SENT_S - 2.9
    assert versions.least('m') == 2
    clock.now += 3
    assert versions.least('m') == 3
    assert versions.ends_at('m', 3) is None
    assert versions.ends_at('m', 1) < versions.ends_at('m', 2)


def test_what_stood_at_the_start_is_due_at_once(view, clock):
    env = Environment(InstanceId('a:1'), ZoneId('zone'), monotonic=clock)
    made = Versions(env, view, SWITCH_MS)
    name(view, made, 4)
    assert made.least('m') == 4


def test_a_request_is_sent_again_by_what_holds_then(view, versions, clock):
    admission = Admission(versions.env, versions)
    wanted = admission.as_of_now(Wanted(ServiceName('s'), ENGINE), False)
    name(view, versions, 2)
    assert wanted.least_version == 0
    clock.now += SWITCH_S
    assert admission.as_of_now(wanted, False).least_version == 2


FIGURES = replace(ENGINE, pieces=100, piece_bytes=1000)
RATE = 20_000.0


def targets(versions, clock, store, served=1):
    return TargetChooser(versions.env, versions, store, lambda: served, RATE)


def test_the_newest_version_is_brought_while_it_can_be_here_in_time(view, versions, clock):
    store = PieceStore()
    made = targets(versions, clock, store)
    assert made.choose(FIGURES).weights.version == 1
    name(view, versions, 2)
    assert made.choose(FIGURES).weights.version == 2
    clock.now += 2.0
    name(view, versions, 3)
    assert made.choose(FIGURES).weights.version == 3


def test_a_version_in_between_comes_first_where_the_newest_does_not_come(view, versions, clock):
    store = PieceStore()
    made = targets(versions, clock, store)
    name(view, versions, 2)
    store.get_or_create(WeightsId('m', 2)).pieces = dict.fromkeys(range(60), b'')
    clock.now += 3.0
    name(view, versions, 3)
    assert made.choose(FIGURES).weights.version == 3
    clock.now += STUCK_AFTER_S / 2
    assert made.choose(FIGURES).weights.version == 3
    clock.now += STUCK_AFTER_S
    made.choose(FIGURES)
    target = made.choose(FIGURES)
    assert target.weights.version == 2
    assert target.due < clock.now + 4.0


def test_after_the_end_the_version_that_is_nearly_here_serves_meanwhile(view, versions, clock):
    store = PieceStore()
    made = targets(versions, clock, store)
    name(view, versions, 2)
    store.get_or_create(WeightsId('m', 2)).pieces = dict.fromkeys(range(95), b'')
    clock.now += 5.0
    name(view, versions, 3)
    clock.now += 3.5
    assert made.choose(FIGURES).weights.version == 2
    clock.now += 3.0
    assert made.choose(FIGURES).weights.version == 3


def test_a_version_that_ends_too_soon_is_not_served_in_between(view, versions, clock):
    store = PieceStore()
    made = targets(versions, clock, store)
    name(view, versions, 2)
    store.get_or_create(WeightsId('m', 2)).pieces = dict.fromkeys(range(94), b'')
    clock.now += 2.0
    name(view, versions, 3)
    made.choose(FIGURES)
    clock.now += SWITCH_S - 2.0 - LAST_SENT_S
    made.choose(FIGURES)
    clock.now += LAST_SENT_S + 0.4
    for _ in range(8):
        assert made.choose(FIGURES).weights.version == 3
        clock.now += STUCK_AFTER_S / 5


def test_an_engine_that_serves_its_target_waits_for_nothing(view, versions, clock):
    store = PieceStore()
    made = targets(versions, clock, store, served=2)
    name(view, versions, 2)
    for _ in range(5):
        made.choose(FIGURES)
        clock.now += STUCK_AFTER_S
    assert made.stuck_until == {}


def test_the_newest_comes_first_where_changing_twice_gains_nothing(view, versions, clock):
    store = PieceStore()
    made = targets(versions, clock, store)
    name(view, versions, 2)
    store.get_or_create(WeightsId('m', 2)).pieces = dict.fromkeys(range(50), b'')
    clock.now += 3.5
    name(view, versions, 3)
    for count in range(0, 100, 5):
        store.get_or_create(WeightsId('m', 3)).pieces = dict.fromkeys(range(count), b'')
        assert made.choose(FIGURES).weights.version == 3
        clock.now += 0.25


def test_a_version_that_is_nearly_here_comes_first(view, versions, clock):
    store = PieceStore()
    made = targets(versions, clock, store)
    name(view, versions, 2)
    store.get_or_create(WeightsId('m', 2)).pieces = dict.fromkeys(range(95), b'')
    clock.now += 6.0
    name(view, versions, 3)
    assert made.choose(FIGURES).weights.version == 2


def test_an_engine_that_serves_nothing_is_brought_to_the_newest(view, versions, clock):
    made = targets(versions, clock, PieceStore(), served=0)
    name(view, versions, 2)
    clock.now += SWITCH_S - 1.0
    name(view, versions, 3)
    assert made.choose(FIGURES).weights.version == 3


def test_the_engines_must_change_when_the_version_that_they_serve_ends(view, versions, clock):
    made = targets(versions, clock, PieceStore())
    name(view, versions, 2)
    began = clock.now
    clock.now += 2.0
    name(view, versions, 3)
    assert made.choose(FIGURES).due < began + SWITCH_S


class OneEngine:
    """
    One engine, the versions named to its daemon, and the pieces there.

    """

    def __init__(self):
        self.clock, self.view, self.store = Clock(), View(), PieceStore()
        env = Environment(InstanceId('a:1'), ZoneId('zone'), monotonic=self.clock)
        self.versions = Versions(env, self.view, SWITCH_MS)
        self.served = 1
        self.newest = 1
        self.targets = TargetChooser(env, self.versions, self.store, lambda: self.served, RATE)

    def name_next(self):
        self.newest += 1
        name(self.view, self.versions, self.newest)

    def choose(self):
        return self.targets.choose(FIGURES)


STEPS = st.lists(
    st.tuples(st.sampled_from(['name', 'wait', 'piece', 'serve']), st.integers(1, 20)), max_size=40
)


@given(STEPS)
def test_an_engine_is_never_sent_back_nor_to_a_version_that_was_not_named(steps):
    fleet = OneEngine()
    for step, number in steps:
        if step == 'name':
            fleet.name_next()
        if step == 'wait':
            fleet.clock.now += number / 4
        target = fleet.choose()
        assert max(fleet.served, 1) <= target.weights.version <= fleet.newest
        held = fleet.store.get_or_create(target.weights)
        if step == 'piece':
            held.pieces.update(dict.fromkeys(range(number * 5), b''))
        if step == 'serve' and len(held.pieces) == FIGURES.pieces:
            fleet.served = target.weights.version


@given(STEPS)
def test_once_all_pieces_come_the_newest_is_served_in_the_end(steps):
    fleet = OneEngine()
    for step, number in steps:
        if step == 'name':
            fleet.name_next()
        fleet.clock.now += number / 4
        fleet.choose()
    for _ in range(10):
        fleet.clock.now += FIGURES.pieces * FIGURES.piece_bytes / RATE
        target = fleet.choose()
        fleet.store.get_or_create(target.weights).pieces = dict.fromkeys(range(FIGURES.pieces), b'')
        fleet.choose()
        fleet.served = target.weights.version
    assert fleet.served == fleet.newest
