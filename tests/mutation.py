"""
A mechanism to take out, with the proof that must then fail.

"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Edit:
    """
    A text that stands once in a file, and what replaces it.

    """

    path: str
    old: str
    new: str


@dataclass(frozen=True, slots=True)
class Mutation:
    """
    A mechanism taken out by edits, and the test that must then fail.

    """

    name: str
    test: str
    edits: tuple[Edit, ...]


D = 'packages/millforkd/millforkd/'
S = 'packages/millfork-state/millfork_state/'
W = 'packages/millfork-weights/millfork_weights/'
R = 'packages/millfork-routing/millfork_routing/'
C = 'packages/millfork-scheduling/millfork_scheduling/'
G = 'packages/millfork-registry/millfork_registry/'


def scenario(name: str) -> str:
    return f'tests/test_scenarios.py::test_scenario[{name}]'
