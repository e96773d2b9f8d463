"""
Records the outcome of a request that has an idempotency key.

Usually the entry records the outcome. If the entry is lost, the endpoint that ran the request
records it, so that the caller's next attempt gets the outcome.

"""

from typing import Final

from millfork_core.environment import Environment
from millfork_core.verdicts import Refused
from millfork_state.commands import SettleKey
from millfork_state.leader_client import LeaderClient
from millfork_web.models import Response

SETTLE_TIMEOUT_S: Final = 30.0
# Responses with longer bodies aren't stored. A caller that repeats such a request learns only
# that the request ran.
MAX_KEPT_BODY_BYTES: Final = 16 * 1024


async def settle_claim(
    env: Environment,
    leader_client: LeaderClient,
    key: str,
    claim: str,
    response: Response | None,
) -> None:
    """
    Store the response under an idempotency key; `claim` is the id of the attempt that claimed the
    key. If the response is None, release the key. If the replicas refuse the command or don't
    answer within SETTLE_TIMEOUT_S, the failure is only counted in a metric.

    """
    command = SettleKey(key, claim, released=response is None)
    if response is not None and len(response.body) <= MAX_KEPT_BODY_BYTES:
        command = SettleKey(key, claim, False, response.status, response.headers, response.body)
    try:
        await leader_client.propose(command, SETTLE_TIMEOUT_S)
    except Refused:
        env.metrics.count(env.metrics.state, event='claim_unsettled')
