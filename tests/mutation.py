"""
Mutations: edits that remove a mechanism, and the test that must then fail.

"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Edit:
    """
    A text that occurs exactly once in the file at `path`, and its replacement.

    """

    path: str
    old: str
    new: str


@dataclass(frozen=True, slots=True)
class Mutation:
    """
    Edits that remove a mechanism, and the test that must fail without it. `name` states the
    property that the mechanism ensures.

    """

    name: str
    test: str
    edits: tuple[Edit, ...]


# Source folders of the packages that mutations edit: the daemons (D), the replicated state (S), the
# weights (W), routing (R), scheduling (C) and the registry (G).
D = 'packages/millforkd/millforkd/'
S = 'packages/millfork-state/millfork_state/'
W = 'packages/millfork-weights/millfork_weights/'
R = 'packages/millfork-routing/millfork_routing/'
C = 'packages/millfork-scheduling/millfork_scheduling/'
G = 'packages/millfork-registry/millfork_registry/'


def scenario(name: str) -> str:
    return f'tests/test_scenarios.py::test_scenario[{name}]'
