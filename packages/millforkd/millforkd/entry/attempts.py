"""
One attempt of a call: sends the request to one endpoint in two steps, `Reserve` and `Start`.

After `Reserve` the endpoint keeps a slot or a place in its queue for the request, but doesn't run
it. As long as this entry has not sent `Start`, the request can't have run, even if the endpoint
fails; the verdict NOT_RUN relies on this.

"""

from collections.abc import Callable
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
# The longest wait for the reply to `Reserve`, while no other endpoint can be tried instead. A sound
# endpoint may pause for two seconds.
MAX_RESERVE_WAIT_S: Final = 3.0
MAX_BUFFERED_BYTES: Final = 16 * 1024 * 1024
STOPPED_DETAIL: Final = 'this entry has stopped'


@dataclass(frozen=True, slots=True)
class Call:
    """
    One caller's request after parsing. `key` is the idempotency key, empty if the request has none
    or is repeatable. `claim` is the id under which this entry claims the key, empty before the
    claim and without a key. Calls with the same `affinity` prefer the same endpoint. `deadline` is
    in monotonic seconds.

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
    The outcome of an attempt whose answer broke off and whose back end ended or may have ended.
    `incarnation` is the incarnation (process life) of that back end or, if the connection to the
    endpoint was lost, of the endpoint daemon.

    """

    request_id: RequestId = RequestId('')
    incarnation: IncarnationKey = NO_INCARNATION
    # The endpoint, if the connection to it was lost; else empty. A lost endpoint sends no report
    # about this attempt.
    lost_endpoint: InstanceId = NO_INSTANCE


@dataclass(frozen=True, slots=True)
class TurnedAway(Refusal):
    """
    The outcome of an attempt whose back end answered that it accepts no requests now (429 or
    503). The caller gets `response` only if the call ends with this outcome.

    """

    response: Response = field(default_factory=lambda: Response(0))


@dataclass(frozen=True, slots=True)
class SilentEndpoint(Refusal):
    """
    The outcome of an attempt whose endpoint did not reply to `Reserve` in time, while another
    endpoint can be tried. That retry is already taken from the retry budget.

    """


def replicated_key(call: Call) -> str:
    """
    Return the key under which the replicated state stores the call's idempotency key.

    """
    return f'{call.organisation}/{call.service}/{call.key}'


def endpoint_incarnation(instance: InstanceId, start: int) -> IncarnationKey:
    """
    Return the incarnation key of an endpoint's process that started at `start` (ns since 1970).

    """
    return IncarnationKey(f'{instance}/{start}')


class ConnectionLost(Message):
    """
    Queued as the last event of an attempt when the connection to its endpoint closes.

    """


class EntryStopped(Message):
    """
    Queued as an event of an attempt that is in progress at the end of a planned stop.

    """


class Attempt:
    """
    One attempt of a call. `events` queues the endpoint's messages about the attempt, and
    `ConnectionLost` if the connection closes, or `EntryStopped` if this entry stops.

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
        # Set once a part was dropped because MAX_BUFFERED_BYTES were waiting to be read.
        self.has_overflowed = False
        # The task that waits for the reply to `Reserve`.
        self.reserving: curio.Task | None = None
        self.started = False
        self.ended = False
        self.ended_by_stop = False
        self.next_sequence = 0
        self.received_bytes = 0
        # The incarnation of the back end that was running the request when the entry cancelled
        # the request; empty if no back end was running it.
        self.cancelled_incarnation = NO_INCARNATION

    async def enqueue(self, message: Message) -> None:
        """
        Queue an event; events are read in the order in which they were queued. A part is dropped
        if the caller reads too slowly, which ends the attempt.

        """
        if isinstance(message, Part):
            if self.buffered_bytes > MAX_BUFFERED_BYTES:
                self.has_overflowed = True
                return
            self.buffered_bytes += len(message.data)
        await self.events.put(message)

    async def reserve(
        self, call: Call, timeout: float, may_try_another: Callable[[], bool] = lambda: False
    ) -> Refusal | None:
        """
        Reserve a slot or a place in the endpoint's queue. Return None on success, else a refusal,
        whose verdict is always NOT_RUN. The endpoint has `timeout` seconds to reply. After that, it
        is given up once `may_try_another` returns true, which is asked every `timeout` seconds, and
        after MAX_RESERVE_WAIT_S at the latest.

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
        wait_s = min(max(timeout, MAX_RESERVE_WAIT_S), remaining_s)
        calling = await self.env.spawn(self._call_reserve, request, wait_s)
        self.reserving = calling
        try:
            while not await _ends_within(calling, timeout):
                if may_try_another():
                    await self._cancel_without_reply()
                    return SilentEndpoint(Reason.TIMED_OUT, detail='the endpoint did not answer')
            reply: Reserved | Refusal = await calling.join()
        except curio.TaskCancelled:
            await self._cancel_without_reply()
            raise
        finally:
            self.reserving = None
            await calling.cancel(blocking=False)
        if isinstance(reply, Refusal):
            return reply
        if reply.ok:
            return None
        return Refusal(Reason(reply.reason), Verdict.NOT_RUN, reply.detail, reply.retry_after_ms)

    async def _call_reserve(self, request: Reserve, timeout: float) -> Reserved | Refusal:
        try:
            reply = await self.connection.call(request, timeout)
        except curio.TaskCancelled:
            if not self.ended_by_stop:
                raise
            await self._cancel_without_reply()
            return Refusal(Reason.STOPPING, detail=STOPPED_DETAIL)
        except PeerTimedOut:
            await self._cancel_without_reply()
            return Refusal(Reason.TIMED_OUT, detail='the endpoint did not answer in time')
        except PeerRefused:
            return Refusal(Reason.BACKEND_FAILED, detail='the endpoint failed')
        except PeerError:
            return Refusal(Reason.UNREACHABLE, detail='the connection to the endpoint was lost')
        if not isinstance(reply, Reserved):
            return Refusal(Reason.BACKEND_FAILED, detail='the endpoint sent an unexpected answer')
        return reply

    async def _cancel_without_reply(self) -> None:
        try:
            await self.connection.notify(Cancel(self.request_id))
        except PeerLost:
            pass

    async def start(self) -> Refusal | None:
        """
        Send `Start`, after which the request may have run, and return None. If the connection is
        already lost, or this entry has stopped, return a refusal with the verdict NOT_RUN.

        """
        if self.ended_by_stop:
            await self._cancel_without_reply()
            return Refusal(Reason.STOPPING, detail=STOPPED_DETAIL)
        try:
            await self.connection.notify(Start(self.request_id))
        except PeerLost:
            return Refusal(Reason.UNREACHABLE, detail='the connection to the endpoint was lost')
        self.started = True
        return None

    async def receive_head(self, deadline: float) -> Head | Refusal:
        """
        Return the status and headers of the answer, or a refusal if the attempt failed or
        `deadline` (monotonic seconds) passed.

        """
        message = await self._next_event(deadline)
        if isinstance(message, (Head, Refusal)):
            return message
        return Refusal(Reason.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, 'the answer has no head')

    async def receive_part(self, deadline: float) -> bytes | Refusal | None:
        """
        Return the next part of the body, None once the answer is complete, or a refusal if the
        attempt failed, the answer is incomplete or `deadline` (monotonic seconds) passed.

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
            return Refusal(Reason.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, 'a message is out of order')
        if (message.parts, message.bytes) != (self.next_sequence, self.received_bytes):
            return Refusal(Reason.TRUNCATED, Verdict.MAY_HAVE_RUN, 'the answer is truncated')
        return None

    async def _next_event(self, deadline: float) -> Message | Refusal:
        if self.has_overflowed or self.buffered_bytes > MAX_BUFFERED_BYTES:
            return Refusal(Reason.TOO_LARGE, Verdict.MAY_HAVE_RUN, 'the caller reads too slowly')
        try:
            async with curio.timeout_after(max(deadline - self.env.monotonic(), 0.001)):
                message: Message = await self.events.get()
        except curio.TaskTimeout:
            return await self._cancel_for(Reason.TIMED_OUT, 'the deadline passed')
        if isinstance(message, EntryStopped):
            return await self._cancel_for(Reason.STOPPING, STOPPED_DETAIL)
        if isinstance(message, ConnectionLost):
            self.ended = True
            return self._connection_lost_refusal()
        if isinstance(message, End):
            self.ended = True
            if message.reason:
                return self._refusal_from_end(message)
        return message

    def _connection_lost_refusal(self) -> Refusal:
        detail = 'the connection to the endpoint was lost during the request'
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

    async def _cancel_for(self, reason: Reason, detail: str) -> Refusal:
        """
        Cancel the request and return the refusal. The verdict is NOT_RUN only if the endpoint
        confirms that the request did not run.

        """
        verdict = await self.cancel()
        return Refusal(reason, verdict, detail)

    async def end_by_stop(self) -> None:
        """
        End the attempt with the reason STOPPING, because this entry stops.

        """
        self.ended_by_stop = True
        if self.reserving is not None:
            await self.reserving.cancel(blocking=False)
        await self.events.put(EntryStopped())

    async def cancel(self) -> Verdict:
        """
        Cancel the request at the endpoint. Return the endpoint's verdict and set
        `cancelled_incarnation`, both from the reply; without a valid reply within CANCEL_TIMEOUT_S,
        only return MAY_HAVE_RUN.

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


async def _ends_within(task: curio.Task, seconds: float) -> bool:
    try:
        async with curio.timeout_after(seconds):
            await task.wait()
    except curio.TaskTimeout:
        return False
    return True
