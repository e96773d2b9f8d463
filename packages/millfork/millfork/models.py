"""
The parsed command line and the output streams of a command.

"""

import sys
from dataclasses import dataclass, field


@dataclass
class Arguments:
    """
    One parsed command line.

    """

    command: str
    operands: list[str]
    entries: list[tuple[str, int]]
    token: str
    organisation: str = ''
    expect: int | None = None
    command_id: str = ''
    watch: bool = False
    timeout: float = 600.0
    undo: bool = False
    json: bool = False
    # Seconds per line of the output of `explain`.
    every: float = 2.0
    # The admin ports of daemons of a seeded fleet.
    admin: list[tuple[str, int]] = field(default_factory=list)
    # The request that `route` asks about.
    api_key: str = ''
    model: str = ''
    prompt_tokens: str = '0'
    parts: list[str] = field(default_factory=list)


@dataclass
class Environment:
    """
    Writes to standard output and standard error, or to lists in tests.

    """

    stdout: list[str] | None = None
    stderr: list[str] | None = None

    def out(self, text: str) -> None:
        self._write(text, self.stdout, error=False)

    def err(self, text: str) -> None:
        self._write(text, self.stderr, error=True)

    def _write(self, text: str, target: list[str] | None, error: bool) -> None:
        if target is not None:
            target.append(text)
            return
        print(text, file=sys.stderr if error else sys.stdout, flush=True)
