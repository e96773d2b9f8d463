"""
The soak's engines with a staging area: the plan of their faults, and the checks.

"""

import pytest

from millfork_standins.running_requests import Violation
from millfork_standins.soak.engines import WEIGHTS
from millfork_standins.soak.run import SoakRun
from millfork_standins.soak.weights import find_wrong_streams
from millfork_standins.soak.weights_plan import (
    LATE_ORDERS,
    MAX_CALL_S,
    WeightFaultKind,
    plan_versions,
    plan_weight_faults,
)
from millfork_standins.staged_pieces import TakenLayer

ENGINES = 3
# A seed whose faults are of six kinds and over soon after the run.
SEED = 107
PLANNED_S, FAULTS_S = 1.0, 2.0


def test_a_seed_gives_the_same_faults_and_all_kinds_occur_at_all_engines():
    planned = [plan_weight_faults(seed, 20, ENGINES, WEIGHTS.pieces) for seed in range(20)]
    assert planned[7] == plan_weight_faults(7, 20, ENGINES, WEIGHTS.pieces)
    faults = [fault for plan in planned for fault in plan]
    assert {(fault.kind, fault.engine) for fault in faults} == {
        (kind, engine) for kind in WeightFaultKind for engine in range(ENGINES)
    }
    assert max(fault.call_s for fault in faults) <= MAX_CALL_S
    late = [fault for fault in faults if fault.kind in LATE_ORDERS]
    assert {(bool(fault.pieces), bool(fault.daemon_down_s)) for fault in late} == {
        (is_bad, ends) for is_bad in (False, True) for ends in (False, True)
    }
    assert {index for fault in faults for index in fault.pieces} == set(range(WEIGHTS.pieces))


@pytest.mark.parametrize('seed', range(20))
def test_versions_are_named_in_order_within_the_run(seed):
    times = plan_versions(seed, 60)
    assert times == sorted(times) == plan_versions(seed, 60)
    assert 0.0 <= times[0] <= times[-1] < 60
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    assert max(gaps) >= 3.0


class RecordedEngine:
    """
    An engine that recorded these violations.

    """

    instance = 'engine-0'

    def __init__(self, *violations):
        self.violations = list(violations)


def test_streams_with_wrong_layers_are_found():
    layers = (TakenLayer(2, 0, 0.0, 9.0), TakenLayer(2, 1, 3.5, 9.0))
    violations = [Violation('engine-0', f'{number}', 'bad', layers, 10.0) for number in range(2)]
    other = Violation('engine-0', '3', 'two versions', layers[:1], 11.0)
    found = find_wrong_streams([RecordedEngine(*violations, other), RecordedEngine()])
    assert sorted(found) == [
        '1 streams at engine-0: two versions; first 3 at 11.000 s, bad layers none',
        '2 streams at engine-0: bad; first 0 at 10.000 s, bad layers 2/1',
    ]


def test_engines_that_load_unread_pieces_are_found(tmp_path):
    """
    Guards against a check that can't fail: the layers of the running engines count as bad, as if
    they had been taken from bad pieces.

    """
    run = SoakRun(tmp_path, SEED, 1.0, engines=ENGINES)
    for engine in run.weights.engines:
        engine.held = [TakenLayer(1, layer.number, 3.5, 0.0) for layer in engine.held]
    result = run.run()
    assert any('had been bad for too long' in line for line in result.violations)


def test_a_short_run_with_changes_of_weights_breaks_no_promise(tmp_path):
    result = SoakRun(tmp_path, SEED, FAULTS_S, planned_s=PLANNED_S, engines=ENGINES).run()
    assert result.violations == []
    assert result.weights.versions
    assert result.weights.streams
    assert result.weights.layers
