"""
Delivers an answer to the caller: event streams part by part, other answers as a whole.

"""

from typing import Final

from millfork_core.verdicts import Reason, Refusal, Verdict
from millfork_web.event_stream import is_event_stream
from millfork_web.exchange import Exchange
from millfork_web.models import Headers, Response, find_header
from millfork_web.retry_after import REJECTION_STATUSES
from millfork_wire.messages import Head
from millforkd.entry.attempts import Attempt, TurnedAway

MAX_UNSTREAMED_BYTES: Final = 16 * 1024 * 1024
UNFORWARDED_HEADERS: Final = frozenset(
    {'connection', 'content-length', 'keep-alive', 'transfer-encoding', 'date', 'server'}
)


class Delivery:
    """
    Delivers the answer of one call to its caller. At most one streamed answer is started. If that
    answer can't be completed, the connection is aborted, so that the caller sees that the answer
    is incomplete.

    """

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange
        self.has_started = False
        self.response: Response | None = None

    async def deliver(self, attempt: Attempt, deadline: float) -> Refusal | None:
        """
        Relay the answer of an attempt if it is an event stream; store any other answer in
        `response`. Return None if the answer is complete, else a refusal. If the back end turned
        the request away (429 or 503, not streamed), the refusal is a TurnedAway with that answer,
        and `response` is None.

        """
        head = await attempt.receive_head(deadline)
        if isinstance(head, Refusal):
            return head
        headers = _forwarded_headers(head)
        if is_event_stream(find_header(headers, 'content-type')):
            return await self._stream(attempt, head.status, headers, deadline)
        refusal = await self._receive_whole(attempt, head.status, headers, deadline)
        if refusal is not None or self.response is None or head.status not in REJECTION_STATUSES:
            return refusal
        response, self.response = self.response, None
        detail = f'the back end answered {head.status}'
        return TurnedAway(Reason.BUSY, Verdict.MAY_HAVE_RUN, detail, response=response)

    async def _stream(
        self, attempt: Attempt, status: int, headers: Headers, deadline: float
    ) -> Refusal | None:
        first = await attempt.receive_part(deadline)
        if isinstance(first, Refusal):
            return first
        self.has_started = True
        await self.exchange.start(status, headers)
        part = first
        while part is not None:
            await self.exchange.write(part)
            next_part = await attempt.receive_part(deadline)
            if isinstance(next_part, Refusal):
                await self.exchange.abort()
                return next_part
            part = next_part
        await self.exchange.finish()
        return None

    async def _receive_whole(
        self, attempt: Attempt, status: int, headers: Headers, deadline: float
    ) -> Refusal | None:
        body = bytearray()
        while True:
            part = await attempt.receive_part(deadline)
            if isinstance(part, Refusal):
                return part
            if part is None:
                break
            body += part
            if len(body) > MAX_UNSTREAMED_BYTES:
                return Refusal(Reason.TOO_LARGE, Verdict.MAY_HAVE_RUN, 'the answer is too large')
        self.response = Response(status, headers, bytes(body))
        return None


def _forwarded_headers(head: Head) -> Headers:
    return [
        (header.name, header.value)
        for header in head.headers
        if header.name not in UNFORWARDED_HEADERS
    ]
