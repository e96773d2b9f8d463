"""
Execution logs of the stand-in back ends: one line with a JSON object per event, such as the start
of a request.

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
    Return the parsed lines of a log, or an empty list if the file does not exist. A last line
    without its line break is left out, as it may still be being written.

    """
    if not path.exists():
        return []
    lines, _, _ = path.read_text().rpartition('\n')
    return [json.loads(line) for line in lines.splitlines()]
