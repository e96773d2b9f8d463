"""
Sends an operator's control requests to an entry that can answer them.

"""

import json
from typing import Any, Final

import curio

from millfork.models import Arguments
from millfork_core.verdicts import Reason
from millfork_web.client import Client, ExchangeFailed
from millfork_web.models import Request, Response

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
    None of the processes that a command may ask could be reached.

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
        request = Request(method, CONTROL_PATH_PREFIX + action, headers, payload)
        return await send_in_turn(self.arguments.entries, request)


class AdminClient:
    """
    Sends a request to one admin port after another until one gives a final answer. Each request may
    be repeated: orders that were carried out before change nothing.

    """

    def __init__(self, arguments: Arguments) -> None:
        self.arguments = arguments

    async def request(self, method: str, path: str) -> Response:
        """
        Send a request and return the first final answer, as `ControlClient.request` does.

        :raises NoEntryReachable: if no process answered.

        """
        return await send_in_turn(self.arguments.admin, Request(method, path))


async def send_in_turn(addresses: list[tuple[str, int]], request: Request) -> Response:
    """
    Send a request to one address after another, in `MAX_ROUNDS` rounds at most, and return the
    first answer that is not a refusal with a reason in `RETRYABLE_REASONS`. If all answers are such
    refusals, return the last one.

    :raises NoEntryReachable: if no process answered.

    """
    last_response: Response | None = None
    for _ in range(MAX_ROUNDS):
        for host, port in addresses:
            try:
                last_response = await Client(host, port).fetch(
                    request.method, request.path, request.headers, request.body, REQUEST_TIMEOUT_S
                )
            except ExchangeFailed:
                continue
            if last_response.header('millfork-reason') not in RETRYABLE_REASONS:
                return last_response
        await curio.sleep(PAUSE_BETWEEN_ROUNDS_S)
    if last_response is not None:
        return last_response
    names = ', '.join(f'{host}:{port}' for host, port in addresses)
    raise NoEntryReachable(f'no process could be reached: {names}')
