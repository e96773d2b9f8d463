"""
Control requests to any entry that answers.

"""

import json
from typing import Any, Final

import curio

from millfork.models import Arguments
from millfork_core.verdicts import Reason
from millfork_web.client import Client, ExchangeFailed
from millfork_web.models import Response

PREFIX: Final = '/control/v1/'
TIMEOUT_S: Final = 10.0
ROUNDS: Final = 3
PAUSE_S: Final = 0.5
WORTH_ANOTHER_ENTRY: Final = frozenset(
    {Reason.NO_QUORUM.value, Reason.NOT_READY.value, Reason.STOPPING.value}
)


class Unreachable(Exception):
    """
    No entry gave an answer.

    """


class ControlClient:
    """
    Asks the entries in turn. Commands carry ids, so asking again is safe.

    """

    def __init__(self, arguments: Arguments) -> None:
        self.arguments = arguments

    async def ask(self, method: str, action: str, body: Any = None) -> Response:
        """
        The first usable answer of an entry.

        :raises Unreachable: if there is none.

        """
        headers = [('authorization', f'Bearer {self.arguments.token}')]
        data = b'' if body is None else json.dumps(body).encode()
        last: Response | None = None
        for _ in range(ROUNDS):
            for host, port in self.arguments.entries:
                try:
                    last = await Client(host, port).fetch(
                        method, PREFIX + action, headers, data, TIMEOUT_S
                    )
                except ExchangeFailed:
                    continue
                if last.header('millfork-reason') not in WORTH_ANOTHER_ENTRY:
                    return last
            await curio.sleep(PAUSE_S)
        if last is not None:
            return last
        names = ', '.join(f'{host}:{port}' for host, port in self.arguments.entries)
        raise Unreachable(f'no entry answers: {names}')
