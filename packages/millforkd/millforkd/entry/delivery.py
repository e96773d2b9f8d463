"""
Handing an answer to the caller: streamed as it comes, or whole.

"""

from typing import Final

from millfork_core.verdicts import Reason, Refusal, Verdict
from millfork_web.models import Headers, Response, find_header
from millfork_web.retry_after import REJECTION_STATUSES
from millfork_web.server import Exchange
from millfork_wire.messages import Head
from millforkd.entry.attempts import Attempt, TurnedAway

STREAM_TYPE: Final = 'text/event-stream'
MAX_WHOLE_BYTES: Final = 16 * 1024 * 1024
NOT_PASSED_ON: Final = frozenset(
    {'connection', 'content-length', 'keep-alive', 'transfer-encoding', 'date', 'server'}
)


class Delivery:
    """
    The way back to one caller. A streamed answer is begun once; one that
    can't be finished is broken off, so that nobody takes it for whole.

    """

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange
        self.begun = False
        self.response: Response | None = None

    async def deliver(self, attempt: Attempt, deadline: float) -> Refusal | None:
        """
        Pass on one attempt's answer, or say why there is none.

        """
        head = await attempt.head(deadline)
        if isinstance(head, Refusal):
            return head
        headers = _passed_on(head)
        if find_header(headers, 'content-type').startswith(STREAM_TYPE):
            return await self._stream(attempt, head.status, headers, deadline)
        refusal = await self._whole(attempt, head.status, headers, deadline)
        if refusal is not None or self.response is None or head.status not in REJECTION_STATUSES:
            return refusal
        response, self.response = self.response, None
        detail = f'the back end answered {head.status}'
        return TurnedAway(Reason.BUSY, Verdict.MAY_HAVE_RUN, detail, response=response)

    async def _stream(
        self, attempt: Attempt, status: int, headers: Headers, deadline: float
    ) -> Refusal | None:
        first = await attempt.part(deadline)
        if isinstance(first, Refusal):
            return first
        self.begun = True
        await self.exchange.start(status, headers)
        piece = first
        while piece is not None:
            await self.exchange.write(piece)
            next_piece = await attempt.part(deadline)
            if isinstance(next_piece, Refusal):
                await self.exchange.abort()
                return next_piece
            piece = next_piece
        await self.exchange.finish()
        return None

    async def _whole(
        self, attempt: Attempt, status: int, headers: Headers, deadline: float
    ) -> Refusal | None:
        body = bytearray()
        while True:
            piece = await attempt.part(deadline)
            if isinstance(piece, Refusal):
                return piece
            if piece is None:
                break
            body += piece
            if len(body) > MAX_WHOLE_BYTES:
                return Refusal(Reason.TOO_LARGE, Verdict.MAY_HAVE_RUN, 'the answer is too large')
        self.response = Response(status, headers, bytes(body))
        return None


def _passed_on(head: Head) -> Headers:
    return [
        (header.name, header.value) for header in head.headers if header.name not in NOT_PASSED_ON
    ]
