"""
Asks several replicas the same question, so that none that is gone holds up the others' answers.

"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_wire.messages import Replicas
from millfork_wire.peers import PeerAddress

# How long the first replica is asked alone. Usually it answers within some milliseconds, and no
# other one has to be asked.
HEAD_START_S: Final = 0.15


@dataclass(frozen=True, slots=True)
class SurveyAnswer:
    """
    A replica's answer.

    """

    address: PeerAddress
    reply: Replicas


@dataclass(slots=True)
class Survey:
    """
    The answers to one question, and the first of them that was wanted; None if none was.

    """

    answers: list[SurveyAnswer] = field(default_factory=list)
    wanted: SurveyAnswer | None = None


class ReplicaSurvey:
    """
    Asks replicas through `ask`, which returns None for one that doesn't answer in time.

    """

    def __init__(
        self, env: Environment, ask: Callable[[PeerAddress], Awaitable[Replicas | None]]
    ) -> None:
        self.env = env
        self.ask = ask

    async def find(
        self, addresses: list[PeerAddress], is_wanted: Callable[[Replicas], bool]
    ) -> Survey:
        """
        Ask the first of these replicas and, if it gives no wanted answer within `HEAD_START_S`, all
        others at the same time. Returns once a wanted answer has arrived or no replica is left to
        answer. Replicas that haven't answered by then are still being asked.

        """
        survey = Survey()
        if not addresses:
            return survey
        received: curio.Queue = curio.Queue()
        first, *others = addresses
        await self.env.spawn(self._ask_one, first, received)
        outstanding = len(addresses)
        async with curio.ignore_after(HEAD_START_S):
            await self._receive(received, survey, is_wanted)
            outstanding -= 1
        if survey.wanted is not None:
            return survey
        for address in others:
            await self.env.spawn(self._ask_one, address, received)
        while outstanding and survey.wanted is None:
            await self._receive(received, survey, is_wanted)
            outstanding -= 1
        return survey

    async def _receive(
        self, received: curio.Queue, survey: Survey, is_wanted: Callable[[Replicas], bool]
    ) -> None:
        """
        Receive the outcome of one question, and add the answer if there is one.

        """
        address, reply = await received.get()
        if reply is None:
            return
        answer = SurveyAnswer(address, reply)
        survey.answers.append(answer)
        if is_wanted(reply):
            survey.wanted = answer

    async def _ask_one(self, address: PeerAddress, received: curio.Queue) -> None:
        await received.put((address, await self.ask(address)))
