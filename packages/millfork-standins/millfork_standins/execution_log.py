"""
What a back end really executed, one JSON object a line.

"""

import json
from pathlib import Path
from typing import Any


class ExecutionLog:
    """
    Appends at once, so that a killed process leaves what it did.

    """

    def __init__(self, path: Path) -> None:
        path.parent.mkdir(parents=True, exist_ok=True)
        self.file = path.open('a')

    def write(self, **fields: Any) -> None:
        self.file.write(json.dumps(fields) + '\n')
        self.file.flush()


def read_executions(path: Path) -> list[dict[str, Any]]:
    """
    The lines of one log; none if there is no file.

    """
    if not path.exists():
        return []
    return [json.loads(line) for line in path.read_text().splitlines()]
