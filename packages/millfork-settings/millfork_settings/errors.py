"""
Errors in the files of settings and declarations. All problems of a file are reported at once.

"""

from dataclasses import dataclass
from pathlib import Path

from pydantic import ValidationError


@dataclass(frozen=True, slots=True)
class Problem:
    """
    One problem in a file: the path of the key, and what is expected there or is wrong.

    """

    key: str
    expected: str


class BadFile(Exception):
    """
    Raised if a file is missing, unreadable or invalid; `problems` lists all problems found.

    """

    def __init__(self, path: Path, problems: list[Problem]) -> None:
        lines = [f'{path}: {problem.key}: {problem.expected}' for problem in problems]
        super().__init__('\n'.join(lines))
        self.path = path
        self.problems = problems


def find_problems(error: ValidationError) -> list[Problem]:
    """
    Convert a validation error of pydantic to a list of problems.

    """
    problems = []
    for item in error.errors():
        key = '.'.join(str(step) for step in item['loc']) or '(whole file)'
        expected = 'unknown key' if item['type'] == 'extra_forbidden' else item['msg']
        problems.append(Problem(key, expected))
    return problems
