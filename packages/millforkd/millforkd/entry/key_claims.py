"""
Claims idempotency keys in the replicated state before the requests that have them may run.

"""

import hashlib
from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_core.verdicts import Reason, Refusal, Refused, Verdict
from millfork_state.commands import ClaimKey, ClaimResult, ClaimState
from millfork_state.leader_client import LeaderClient
from millfork_state.node import decode_claim_result
from millfork_web.models import Response
from millforkd.entry.attempts import Call, replicated_key
from millforkd.settling import settle_claim

CLAIM_TIMEOUT_S: Final = 4.0

log = logger(Component.ENTRY)


class KeyClaims:
    """
    Claims and settles idempotency keys; each step needs a quorum of the replicas.

    """

    def __init__(self, env: Environment, leader_client: LeaderClient) -> None:
        self.env = env
        self.leader_client = leader_client

    async def claim(self, call: Call) -> Response | None:
        """
        Claim the call's key under the id `call.claim`. Return None if the claim is granted, or
        the stored answer of the first request with this key.

        :raises Refused: if the first request with this key had other content or has no stored
            answer, or if no quorum answers.

        """
        proposing = await self.env.spawn(self._propose_claim, call)
        try:
            async with curio.timeout_after(max(call.deadline - self.env.monotonic(), 0.001)):
                await proposing.wait()
        except curio.TaskTimeout:
            log.info('A claim did not end by the deadline of its call. service={}', call.service)
        result: ClaimResult | None = proposing.result if proposing.terminated else None
        if result is None:
            await self.env.spawn(self._release_late_claim, call, proposing)
            detail = 'no quorum can confirm whether this key is in use'
            raise Refused(Refusal(Reason.CLAIM_UNAVAILABLE, detail=detail))
        if result.state is ClaimState.GRANTED:
            return None
        return _repeated_response(result)

    async def _propose_claim(self, call: Call) -> ClaimResult | None:
        command = ClaimKey(replicated_key(call), call.claim, _fingerprint(call))
        try:
            return decode_claim_result(await self.leader_client.propose(command, CLAIM_TIMEOUT_S))
        except Refused as error:
            log.info('A claim failed. service={} error={}', call.service, error)
            return None

    async def _release_late_claim(self, call: Call, proposing: curio.Task) -> None:
        """
        Release the key of a refused call once its claim has ended, as the claim may have been
        granted meanwhile, or be granted still.

        """
        result = await proposing.join()
        if result is None or result.state is ClaimState.GRANTED:
            await self.settle(call, None, Verdict.NOT_RUN)

    async def settle(self, call: Call, response: Response | None, verdict: Verdict) -> None:
        """
        Store the response under the call's key, or release the key if the request did not run. If
        the request may have run and there is no response, the key stays claimed.

        """
        if response is None and verdict is not Verdict.NOT_RUN:
            return
        await settle_claim(self.env, self.leader_client, replicated_key(call), call.claim, response)


def _repeated_response(result: ClaimResult) -> Response:
    if result.state is ClaimState.DONE and result.status:
        headers = [*result.headers, ('millfork-repeated-answer', 'yes')]
        return Response(result.status, headers, result.body)
    refusals = {
        ClaimState.DONE: Refusal(
            Reason.KEY_MAY_HAVE_RUN,
            Verdict.RAN,
            'the first request ran; its answer is too large to be stored',
        ),
        ClaimState.IN_PROGRESS: Refusal(
            Reason.KEY_IN_PROGRESS,
            Verdict.MAY_HAVE_RUN,
            'the first request with this key is still in progress',
        ),
        ClaimState.MAY_HAVE_RUN: Refusal(
            Reason.KEY_MAY_HAVE_RUN,
            Verdict.MAY_HAVE_RUN,
            'the outcome of the first request with this key is unknown',
        ),
        ClaimState.REUSED: Refusal(
            Reason.KEY_REUSED, Verdict.NOT_RUN, 'this key belongs to another request'
        ),
    }
    raise Refused(refusals[result.state])


def _fingerprint(call: Call) -> str:
    head = f'{call.method} {call.path}\n'.encode()
    return hashlib.sha256(head + call.body).hexdigest()
