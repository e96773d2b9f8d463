"""
Histories of concurrent operators on real processes, under failure.

"""

import itertools
import operator
from dataclasses import replace

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from millfork_standins.deployments import LANTING
from millfork_standins.fleet import Fleet, FleetOptions
from millfork_standins.history import check
from millfork_standins.recorder import Recorder, Wish

SHAPE = replace(LANTING, engines=0, plain_services={})
THREADS = 4

wishes = st.builds(
    Wish,
    entry=st.integers(0, 5),
    key=st.integers(0, 2),
    is_read=st.integers(0, 4).map(lambda chance: chance == 0),
    expects=st.booleans(),
    resends=st.booleans(),
)
plan = st.builds(
    operator.add,
    st.lists(wishes.filter(lambda wish: not wish.is_read), min_size=6, max_size=6),
    st.lists(wishes, min_size=8, max_size=8),
)
plans = st.lists(plan, min_size=THREADS, max_size=THREADS)
turns = itertools.count()


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    made = Fleet(SHAPE, tmp_path_factory.mktemp('fleet'), FleetOptions())
    made.start()
    path = made.write_declaration('organisations.yaml', made.organisations_declaration())
    assert made.operate('apply', str(path)).returncode == 0
    yield made
    made.close()


def kill_and_restart(fleet, name):
    fleet.kill(name)
    fleet.start_daemon(fleet.instances[name])
    fleet.wait_ready(fleet.instances[name])


def freeze_and_thaw(fleet, name):
    fleet.freeze(name)
    other = next(entry for entry in fleet.entries if entry.name != name)
    for _ in range(3):
        fleet.wait_ready(other)
        Recorder(fleet).read(fleet.entries.index(other))
    fleet.thaw(name)


def leave_alone(fleet, name):
    fleet.wait_ready(fleet.instances[name])


TROUBLES = [kill_and_restart, freeze_and_thaw, leave_alone]


@given(plans)
@settings(
    max_examples=6,
    deadline=None,
    phases=[Phase.generate],
    suppress_health_check=[HealthCheck.function_scoped_fixture, HealthCheck.too_slow],
)
def test_configuration_is_linearizable_under_failure(fleet, plans):
    turn = next(turns)
    recorder = Recorder(fleet)
    recorder.read(0)
    observers = recorder.observe()
    threads = recorder.run(plans)
    victim = fleet.replicas[turn % len(fleet.replicas)].name
    TROUBLES[turn % len(TROUBLES)](fleet, victim)
    for thread in threads:
        thread.join(120)
    while not recorder.read(3):
        fleet.wait_ready(fleet.entries[3])
    recorder.stopping.set()
    for thread in observers:
        thread.join(10)
    accepted = [put for put in recorder.history.puts if put.revision]
    assert len(accepted) > THREADS
    assert recorder.history.observations
    assert check(recorder.history) == []
