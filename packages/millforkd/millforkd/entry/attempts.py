"""
One attempt of a request at one endpoint, in two steps.

The endpoint first reserves a place and runs nothing before `Start`. As long
as this entry has not sent `Start`, the request can't have run, whatever
becomes of the endpoint; that is what makes 'not run' true.

"""

from dataclasses import dataclass, field
from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.ids import (
    NO_INCARNATION,
    NO_INSTANCE,
    IncarnationKey,
    InstanceId,
    OrganisationId,
    RequestId,
)
from millfork_core.verdicts import Reason, Refusal, Verdict
from millfork_routing.balance import Backend
from millfork_web.models import Headers, Response
from millfork_wire.connection import (
    Connection,
    PeerError,
    PeerLost,
    PeerRefused,
    PeerTimedOut,
)
from millfork_wire.messages import (
    Cancel,
    Cancelled,
    End,
    Head,
    Header,
    Message,
    Part,
    Reserve,
    Reserved,
    Start,
)

CANCEL_TIMEOUT_S: Final = 0.3
MAX_BUFFERED_BYTES: Final = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Call:
    """
    One caller's request, as the entry understood it. `claim` is the attempt
    that holds its idempotency key, once claimed.

    """

    organisation: OrganisationId
    service: str
    method: str
    path: str
    headers: Headers
    body: bytes
    repeatable: bool
    key: str
    claim: str
    affinity: str
    priority: int
    deadline: float


@dataclass(frozen=True, slots=True)
class InterruptedAttempt(Refusal):
    """
    An attempt whose back end ended, or whose answer broke off so that it may have.

    """

    request_id: RequestId = RequestId('')
    incarnation: IncarnationKey = NO_INCARNATION
    # The endpoint, where the connection to it was lost: it tells nothing more of this attempt.
    lost_endpoint: InstanceId = NO_INSTANCE


@dataclass(frozen=True, slots=True)
class TurnedAway(Refusal):
    """
    An attempt whose back end answered that it takes nothing now; the answer is the caller's if
    no other back end does better.

    """

    response: Response = field(default_factory=lambda: Response(0))


def replicated_key(call: Call) -> str:
    """
    The call's idempotency key, as the replicated state knows it.

    """
    return f'{call.organisation}/{call.service}/{call.key}'


def endpoint_incarnation(instance: InstanceId, start: int) -> IncarnationKey:
    """
    One run of an endpoint's process.

    """
    return IncarnationKey(f'{instance}/{start}')


class ConnectionLost(Message):
    """
    Stands in the queue where the connection ended.

    """


class Attempt:
    """
    One attempt; `events` brings what the endpoint sends.

    """

    def __init__(
        self,
        env: Environment,
        request_id: RequestId,
        backend: Backend,
        connection: Connection,
    ) -> None:
        self.env = env
        self.request_id = request_id
        self.backend = backend
        self.connection = connection
        self.events: curio.Queue = curio.Queue()
        self.buffered_bytes = 0
        self.started = False
        self.ended = False
        self.next_sequence = 0
        self.received_bytes = 0
        # The back end's incarnation that had it when it was cancelled, if one had.
        self.cancelled_incarnation = NO_INCARNATION

    async def enqueue(self, message: Message) -> None:
        """
        Take an event from the endpoint, in order.

        """
        if isinstance(message, Part):
            self.buffered_bytes += len(message.data)
        await self.events.put(message)

    async def reserve(self, call: Call, timeout: float) -> Refusal | None:
        """
        Ask for a place; a refusal here is always NOT_RUN.

        """
        remaining_s = call.deadline - self.env.monotonic()
        request = Reserve(
            self.request_id,
            call.organisation,
            call.service,
            max(int(remaining_s * 1000), 1),
            call.priority,
            call.method,
            call.path,
            [Header(name, value) for name, value in call.headers],
            call.body,
            replicated_key(call) if call.claim else '',
            call.claim,
        )
        try:
            reply = await self.connection.call(request, min(timeout, remaining_s))
        except PeerTimedOut:
            await self._cancel_without_reply()
            return Refusal(Reason.TIMED_OUT, detail='an endpoint gave no answer')
        except PeerRefused:
            return Refusal(Reason.BACKEND_FAILED, detail='an endpoint failed')
        except PeerError:
            return Refusal(Reason.UNREACHABLE, detail='an endpoint went away')
        if not isinstance(reply, Reserved):
            return Refusal(Reason.BACKEND_FAILED, detail='an endpoint gave a wrong answer')
        if reply.ok:
            return None
        return Refusal(Reason(reply.reason), Verdict.NOT_RUN, reply.detail, reply.retry_after_ms)

    async def _cancel_without_reply(self) -> None:
        try:
            await self.connection.notify(Cancel(self.request_id))
        except PeerLost:
            pass

    async def start(self) -> Refusal | None:
        """
        Let the endpoint run the request. From here it may have run.

        """
        try:
            await self.connection.notify(Start(self.request_id))
        except PeerLost:
            return Refusal(Reason.UNREACHABLE, detail='an endpoint went away')
        self.started = True
        return None

    async def receive_head(self, deadline: float) -> Head | Refusal:
        """
        Wait for the answer's head.

        """
        message = await self._next_event(deadline)
        if isinstance(message, (Head, Refusal)):
            return message
        return Refusal(Reason.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, 'an answer without a head')

    async def receive_part(self, deadline: float) -> bytes | Refusal | None:
        """
        The next piece of the answer; None once it is whole.

        """
        message = await self._next_event(deadline)
        if isinstance(message, Part):
            self.buffered_bytes -= len(message.data)
            if message.sequence != self.next_sequence:
                return Refusal(Reason.TRUNCATED, Verdict.MAY_HAVE_RUN, 'a piece is missing')
            self.next_sequence += 1
            self.received_bytes += len(message.data)
            return message.data
        if isinstance(message, Refusal):
            return message
        if not isinstance(message, End):
            return Refusal(Reason.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, 'out of order')
        if (message.parts, message.bytes) != (self.next_sequence, self.received_bytes):
            return Refusal(Reason.TRUNCATED, Verdict.MAY_HAVE_RUN, 'the answer is cut short')
        return None

    async def _next_event(self, deadline: float) -> Message | Refusal:
        if self.buffered_bytes > MAX_BUFFERED_BYTES:
            return Refusal(Reason.TOO_LARGE, Verdict.MAY_HAVE_RUN, 'the caller reads too slowly')
        try:
            async with curio.timeout_after(max(deadline - self.env.monotonic(), 0.001)):
                message: Message = await self.events.get()
        except curio.TaskTimeout:
            return await self._cancel_at_deadline()
        if isinstance(message, ConnectionLost):
            self.ended = True
            return self._connection_lost_refusal()
        if isinstance(message, End):
            self.ended = True
            if message.reason:
                return self._refusal_from_end(message)
        return message

    def _connection_lost_refusal(self) -> Refusal:
        detail = 'the endpoint went away while it ran the request'
        if not self.backend.start:
            return Refusal(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, detail)
        return InterruptedAttempt(
            Reason.CONNECTION_LOST,
            Verdict.MAY_HAVE_RUN,
            detail,
            request_id=self.request_id,
            incarnation=endpoint_incarnation(self.backend.instance, self.backend.start),
            lost_endpoint=self.backend.instance,
        )

    def _refusal_from_end(self, end: End) -> Refusal:
        reason, verdict = Reason(end.reason), Verdict(end.verdict)
        if not end.incarnation:
            return Refusal(reason, verdict, end.detail)
        incarnation = IncarnationKey(end.incarnation)
        return InterruptedAttempt(
            reason, verdict, end.detail, request_id=self.request_id, incarnation=incarnation
        )

    async def _cancel_at_deadline(self) -> Refusal:
        """
        Cancel at the endpoint; it may know that nothing ran.

        """
        verdict = await self.cancel()
        return Refusal(Reason.TIMED_OUT, verdict, 'the deadline passed')

    async def cancel(self) -> Verdict:
        """
        Cancel and return what is known of the request.

        """
        self.ended = True
        try:
            reply = await self.connection.call(Cancel(self.request_id), CANCEL_TIMEOUT_S)
        except PeerError:
            return Verdict.MAY_HAVE_RUN
        if not isinstance(reply, Cancelled):
            return Verdict.MAY_HAVE_RUN
        self.cancelled_incarnation = IncarnationKey(reply.incarnation)
        return Verdict(reply.verdict)
