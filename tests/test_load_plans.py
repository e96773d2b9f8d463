"""
Which layers an engine loads next.

"""

from millforkd.sidecar.layer_assignment import Layers
from millforkd.sidecar.load_plan import plan_load


def test_suspect_layers_of_a_half_are_dropped_for_a_layer_whose_pieces_are_there():
    """
    A daemon ended with a KeyError (soak, seed 803): its engine was to hold the second half of the
    layers, the first two of them were suspect, and the daemon chose layer 0 to replace them, of
    which it had no piece.

    """
    goal = Layers(4, 8)
    plan = plan_load(Layers(4, 6), [4, 5], goal)
    assert list(plan.wanted) == [6]
    assert plan.interrupts
    plan = plan_load(Layers(4, 8), goal.numbers, goal)
    assert plan.wanted[0] in goal.numbers
