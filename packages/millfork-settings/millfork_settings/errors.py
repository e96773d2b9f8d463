"""
Errors in settings and declarations; all problems of a file are reported at once.

"""

from dataclasses import dataclass
from pathlib import Path

from pydantic import ValidationError


@dataclass(frozen=True, slots=True)
class Problem:
    """
    One problem: the path of the key in the file, and the expected value.

    """

    key: str
    expected: str


class BadFile(Exception):
    """
    A file is missing, unreadable or invalid; `problems` lists every error found.

    """

    def __init__(self, path: Path, problems: list[Problem]) -> None:
        lines = [f'{path}: {problem.key}: {problem.expected}' for problem in problems]
        super().__init__('\n'.join(lines))
        self.path = path
        self.problems = problems


def find_problems(error: ValidationError) -> list[Problem]:
    """
    Convert the errors of pydantic to problems.

    """
    problems = []
    for item in error.errors():
        key = '.'.join(str(step) for step in item['loc']) or '(whole file)'
        expected = 'unknown key' if item['type'] == 'extra_forbidden' else item['msg']
        problems.append(Problem(key, expected))
    return problems
