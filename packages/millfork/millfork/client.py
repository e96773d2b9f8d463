"""
Sends an operator's control requests to an entry that can answer them.

"""

import json
from typing import Any, Final

import curio

from millfork.models import Arguments
from millfork_core.verdicts import Reason
from millfork_web.client import Client, ExchangeFailed
from millfork_web.models import Response

CONTROL_PATH_PREFIX: Final = '/control/v1/'
REQUEST_TIMEOUT_S: Final = 10.0
MAX_ROUNDS: Final = 3
PAUSE_BETWEEN_ROUNDS_S: Final = 0.5
# Reasons of refusals after which the request may still succeed at another entry or at a later try.
RETRYABLE_REASONS: Final = frozenset(
    {Reason.NO_QUORUM.value, Reason.NOT_READY.value, Reason.STOPPING.value}
)


class NoEntryReachable(Exception):
    """
    No entry could be reached.

    """


class ControlClient:
    """
    Sends a control request to one entry after another until one gives a final answer. Retries are
    safe because each change carries a command id: a repeated command only returns the first result.

    """

    def __init__(self, arguments: Arguments) -> None:
        self.arguments = arguments

    async def request(self, method: str, action: str, body: Any = None) -> Response:
        """
        Send a request and return the first answer that is not a refusal with a reason in
        `RETRYABLE_REASONS`. If all answers are such refusals, return the last one.

        :raises NoEntryReachable: if no entry answered.

        """
        headers = [('authorization', f'Bearer {self.arguments.token}')]
        payload = b'' if body is None else json.dumps(body).encode()
        last_response: Response | None = None
        for _ in range(MAX_ROUNDS):
            for host, port in self.arguments.entries:
                try:
                    last_response = await Client(host, port).fetch(
                        method, CONTROL_PATH_PREFIX + action, headers, payload, REQUEST_TIMEOUT_S
                    )
                except ExchangeFailed:
                    continue
                if last_response.header('millfork-reason') not in RETRYABLE_REASONS:
                    return last_response
            await curio.sleep(PAUSE_BETWEEN_ROUNDS_S)
        if last_response is not None:
            return last_response
        addresses = ', '.join(f'{host}:{port}' for host, port in self.arguments.entries)
        raise NoEntryReachable(f'no entry could be reached: {addresses}')
