"""
Configuration changes of concurrent operators are linearizable while replicas fail.

"""

import itertools
import operator
import uuid
from dataclasses import replace

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from millfork_standins.deployments import LANTING
from millfork_standins.fleet import Fleet
from millfork_standins.history import find_violations
from millfork_standins.layout import ADMIN_PORT, FleetOptions
from millfork_standins.recorder import PlannedOperation, Recorder
from millfork_standins.requests import fetch
from tests.utils.fleets import wait_until

DEPLOYMENT = replace(LANTING, engines=0, plain_services={})
THREADS = 4

operations = st.builds(
    PlannedOperation,
    entry=st.integers(0, 5),
    key=st.integers(0, 2),
    is_read=st.integers(0, 4).map(lambda number: number == 0),
    is_conditional=st.booleans(),
    is_resent=st.booleans(),
)
plan = st.builds(
    operator.add,
    st.lists(operations.filter(lambda operation: not operation.is_read), min_size=6, max_size=6),
    st.lists(operations, min_size=8, max_size=8),
)
plans = st.lists(plan, min_size=THREADS, max_size=THREADS)
run_numbers = itertools.count()


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    new_fleet = Fleet(DEPLOYMENT, tmp_path_factory.mktemp('fleet'), FleetOptions())
    new_fleet.start()
    path = new_fleet.write_declaration('organisations.yaml', new_fleet.organisations_declaration())
    assert new_fleet.run_millfork('apply', str(path)).returncode == 0
    yield new_fleet
    new_fleet.close()


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


def inject_no_failure(fleet, name):
    fleet.wait_ready(fleet.instances[name])


FAILURES = [kill_and_restart, freeze_and_thaw, inject_no_failure]


@given(plans)
@settings(
    max_examples=6,
    deadline=None,
    phases=[Phase.generate],
    suppress_health_check=[HealthCheck.function_scoped_fixture, HealthCheck.too_slow],
)
def test_configuration_is_linearizable_under_failure(fleet, plans):
    run_number = next(run_numbers)
    recorder = Recorder(fleet)
    recorder.read(0)
    observers = recorder.start_observers()
    threads = recorder.start_plans(plans)
    victim = fleet.replicas[run_number % len(fleet.replicas)].name
    FAILURES[run_number % len(FAILURES)](fleet, victim)
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
    assert find_violations(recorder.history) == []


def leader_of(fleet):
    for entry in fleet.replicas:
        text = fetch('GET', entry.host, ADMIN_PORT, '/metrics').body.decode()
        if 'millfork_leader 1' in text:
            return entry
    return None


def zone_number(entry):
    return int(entry.host.split('.')[2])


def test_a_leader_that_is_cut_off_accepts_nothing(tmp_path):
    fleet = Fleet(DEPLOYMENT, tmp_path, FleetOptions(relay=True))
    try:
        fleet.start()
        fleet.apply(fleet.organisations_declaration())
        leader = leader_of(fleet)
        zone = zone_number(leader)
        inside = fleet.entries.index(leader)
        outside = [n for n, e in enumerate(fleet.entries) if zone_number(e) != zone]
        recorder = Recorder(fleet)
        fleet.freeze_links(*[(zone, other) for other in (1, 2, 3) if other != zone])
        for number in range(2):
            recorder.put(inside, f'inside-{number}', number, None)
        wait_until(lambda: recorder.put(outside[0], uuid.uuid4().hex, 0, None))
        for number in outside[1:]:
            recorder.put(number, uuid.uuid4().hex, 1, None)
        fleet.freeze_links()
        wait_until(lambda: recorder.read(inside))
        wait_until(lambda: recorder.read(outside[0]))
    finally:
        fleet.close()
    assert find_violations(recorder.history) == []
