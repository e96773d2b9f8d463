"""
Recording how a request with an idempotency key ended.

The entry does so; where the entry is lost, the endpoint that knows the outcome
does, so that the caller's next try finds it.

"""

from typing import Final

from millfork_core.environment import Environment
from millfork_core.verdicts import Refused
from millfork_state.commands import SettleKey
from millfork_state.leader_client import LeaderClient
from millfork_web.models import Response

SETTLE_TIMEOUT_S: Final = 30.0
# A longer first answer is not kept; the caller then learns only that it ran.
MAX_KEPT_BODY_BYTES: Final = 16 * 1024


async def settle_claim(
    env: Environment,
    proposals: LeaderClient,
    key: str,
    claim: str,
    response: Response | None,
) -> None:
    """
    Keep the response under the key; without one, release the key.

    """
    command = SettleKey(key, claim, released=response is None)
    if response is not None and len(response.body) <= MAX_KEPT_BODY_BYTES:
        command = SettleKey(key, claim, False, response.status, response.headers, response.body)
    try:
        await proposals.propose(command, SETTLE_TIMEOUT_S)
    except Refused:
        env.metrics.count(env.metrics.state, event='claim_unsettled')
