"""
Logs of the requests that a back end executed, one JSON object per line.

"""

import json
from pathlib import Path
from typing import Any


class ExecutionLog:
    """
    Appends lines to a log and flushes each line, so that the log of a killed process is complete.

    """

    def __init__(self, path: Path) -> None:
        path.parent.mkdir(parents=True, exist_ok=True)
        self.file = path.open('a')

    def write(self, **fields: Any) -> None:
        self.file.write(json.dumps(fields) + '\n')
        self.file.flush()


def read_executions(path: Path) -> list[dict[str, Any]]:
    """
    Parse the lines of a log; an empty list if the file does not exist.

    """
    if not path.exists():
        return []
    return [json.loads(line) for line in path.read_text().splitlines()]
