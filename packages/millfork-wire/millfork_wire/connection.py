"""
A connection to a peer: calls, events, and the tasks that read and write frames.

"""

from collections.abc import Awaitable, Callable
from itertools import count
from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId
from millfork_core.logs import Component, logger
from millfork_wire import codec
from millfork_wire.codec import BadFrame, Frame, FrameKind
from millfork_wire.fragments import Fragment, FrameAssembler
from millfork_wire.messages import (
    Chunk,
    End,
    Failure,
    Head,
    Hello,
    Message,
    Part,
    Ping,
    PushChunk,
    Received,
    Reserve,
    Reserved,
    Start,
)
from millfork_wire.outbox import Outbox
from millfork_wire.priorities import Priority
from millfork_wire.transport import Transport

DATA_MESSAGES: Final = (Chunk, PushChunk, Reserve, Reserved, Start, Head, Part, End)

log = logger(Component.WIRE)


class PeerError(Exception):
    """
    A call to a peer failed.

    """


class PeerLost(PeerError):
    """
    The connection was closed; the peer may have acted on the call.

    """


class PeerUnreachable(PeerError):
    """
    No connection could be opened; the peer did not receive the call.

    """


class PeerTimedOut(PeerError):
    """
    The peer did not answer in time; it may still act on the call.

    """


class PeerRefused(PeerError):
    """
    The peer answered with a failure.

    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(f'{failure.reason}: {failure.detail}')
        self.failure = failure


class _PendingCall:
    __slots__ = ('answered', 'reply')

    def __init__(self) -> None:
        self.answered = curio.Event()
        self.reply: Message | None = None


Handler = Callable[['Connection', Message], Awaitable[Message | None]]
ClosedHandler = Callable[['Connection'], Awaitable[None]]


class Connection:
    """
    An authenticated connection to a peer. Both sides send calls and events. `handler` gets the
    peer's messages and returns the reply to a request. `dialled` is set on the side that opened
    the connection.

    """

    def __init__(
        self,
        env: Environment,
        transport: Transport,
        hello: Hello,
        handler: Handler,
        on_closed: ClosedHandler,
        dialled: bool,
    ) -> None:
        self.env = env
        self.transport = transport
        self.hello = hello
        self.peer = InstanceId(hello.instance)
        self.handler = handler
        self.on_closed = on_closed
        self.dialled = dialled
        self.closed = False
        self.last_received_at = env.monotonic()
        self.pending_calls: dict[int, _PendingCall] = {}
        self.call_ids = count(1)
        self.outbox = Outbox()
        self.tasks: set[curio.Task] = set()
        self.writer: curio.Task | None = None

    async def call(self, message: Message, timeout: float) -> Message:
        """
        Send a request and return its reply, which must arrive within `timeout` seconds.

        :raises PeerLost: if the connection is closed before the reply arrives.
        :raises PeerTimedOut: if the reply does not arrive in time.
        :raises PeerRefused: if the reply is a failure.

        """
        if self.closed:
            raise PeerLost(f'the connection to {self.peer} is closed')
        call_id = next(self.call_ids)
        pending_call = _PendingCall()
        self.pending_calls[call_id] = pending_call
        try:
            async with curio.timeout_after(timeout):
                await self._enqueue(Frame(call_id, FrameKind.REQUEST, message))
                await pending_call.answered.wait()
        except curio.TaskTimeout:
            raise PeerTimedOut(f'{self.peer} did not answer within {timeout:.1f} s') from None
        finally:
            self.pending_calls.pop(call_id, None)
        if pending_call.reply is None:
            raise PeerLost(f'the connection to {self.peer} was closed during the call')
        if isinstance(pending_call.reply, Failure):
            raise PeerRefused(pending_call.reply)
        return pending_call.reply

    async def notify(self, message: Message) -> None:
        """
        Queue an event (a message without a reply) for sending; wait while the queue is full.

        :raises PeerLost: if the connection is closed before the event is queued.

        """
        if self.closed:
            raise PeerLost(f'the connection to {self.peer} is closed')
        await self._enqueue(Frame(0, FrameKind.EVENT, message))

    @property
    def has_bulk(self) -> bool:
        """
        Whether a transfer to the peer is queued or on its way.

        """
        return self.outbox.has_bulk

    async def wait_until_bulk_is_sent(self, timeout: float) -> bool:
        """
        Wait until no transfer to the peer is queued or on its way, or the connection is closed.
        False after `timeout` seconds.

        """
        try:
            async with curio.timeout_after(timeout):
                await self.outbox.wait_until_bulk_is_sent()
        except curio.TaskTimeout:
            return False
        return True

    async def _enqueue(self, frame: Frame) -> None:
        data = codec.encode(frame)
        self._count_bytes(frame.message, len(data), 'out')
        await self.outbox.put(data)
        if self.closed:
            raise PeerLost(f'the connection to {self.peer} was closed')

    def _count_bytes(self, message: Message, size: int, direction: str) -> None:
        """
        Count the bytes of a control message (any but `DATA_MESSAGES`). Callers' requests and
        weights have their own metrics.

        """
        if not isinstance(message, DATA_MESSAGES):
            self.env.metrics.count(self.env.metrics.wire_bytes, size, way=direction)

    async def write_frames(self) -> None:
        """
        Write queued frames until the connection is closed.

        """
        try:
            while batch := await self.outbox.take():
                await self.transport.send_bytes(b''.join(batch) if len(batch) > 1 else batch[0])
        except OSError:
            await self.close()

    async def read_frames(self) -> None:
        """
        Dispatch the peer's frames until the connection fails or is closed, then close the socket.

        """
        assembler = FrameAssembler()
        try:
            while not self.closed:
                fragment = await self.transport.receive_fragment()
                self.last_received_at = self.env.monotonic()
                if fragment.priority is Priority.BULK:
                    await self._acknowledge(fragment)
                frame = assembler.add(fragment)
                if frame is None:
                    continue
                size = codec.LENGTH_BYTES + assembler.last_frame_bytes
                self._count_bytes(frame.message, size, 'in')
                await self._dispatch(frame)
        except BadFrame as error:
            self.env.metrics.count(self.env.metrics.wire, event='bad_frame')
            log.warning('Bad frame from {}: {}.', self.peer, error)
        except (OSError, EOFError):
            pass
        finally:
            await self.close()
            # Cancel the writer before the socket is closed. Otherwise the event loop would keep
            # waiting on the socket's file descriptor, which another connection may already use.
            if self.writer is not None:
                await self.writer.cancel()
            await self.transport.close()

    async def _acknowledge(self, fragment: Fragment) -> None:
        size = codec.LENGTH_BYTES + len(fragment.body)
        # Never waits for a full outbox, as that would stop the reader of this connection. The
        # peer's window bounds the number of acknowledgements.
        await self.outbox.put_now(codec.encode(Frame(0, FrameKind.EVENT, Received(size))))

    async def _dispatch(self, frame: Frame) -> None:
        if isinstance(frame.message, Received):
            await self.outbox.acknowledge(frame.message.size)
            return
        if frame.kind is FrameKind.REPLY:
            pending_call = self.pending_calls.get(frame.id)
            if pending_call is None:
                self.env.metrics.count(self.env.metrics.wire, event='late_reply')
                return
            pending_call.reply = frame.message
            await pending_call.answered.set()
            return
        if frame.kind is FrameKind.EVENT:
            await self._handle_event(frame.message)
            return
        task = await self.env.spawn(self._answer, frame)
        self.tasks.add(task)

    async def _answer(self, frame: Frame) -> None:
        try:
            reply = await self._reply_to(frame.message)
            if not self.closed:
                await self._send_reply(frame.id, reply)
        except PeerLost as error:
            log.debug('A reply is dropped: {}.', error)
        finally:
            self.tasks.discard(await curio.current_task())

    async def _send_reply(self, call_id: int, reply: Message) -> None:
        try:
            await self._enqueue(Frame(call_id, FrameKind.REPLY, reply))
        except PeerLost:
            raise
        except Exception as error:  # such as a reply over the size limit
            log.exception('Encoding {} for {} failed.', type(reply).__name__, self.peer)
            await self._enqueue(Frame(call_id, FrameKind.REPLY, Failure('internal', str(error))))

    async def _handle_event(self, message: Message) -> None:
        try:
            await self.handler(self, message)
        except PeerLost as error:
            log.debug('Handling {} ended: {}.', type(message).__name__, error)
        except Exception:  # an error in one handler must not close the connection
            log.exception('Handling {} from {} failed.', type(message).__name__, self.peer)

    async def _reply_to(self, message: Message) -> Message:
        if isinstance(message, Ping):
            return message
        try:
            reply = await self.handler(self, message)
        except Exception as error:  # an error in one handler must not end the process
            log.exception('Handling {} from {} failed.', type(message).__name__, self.peer)
            return Failure('internal', str(error))
        if reply is None:
            return Failure('unexpected', type(message).__name__)
        return reply

    async def close(self) -> None:
        """
        Close the connection, if it is open. Pending calls raise `PeerLost`.

        """
        if self.closed:
            return
        self.closed = True
        for pending_call in list(self.pending_calls.values()):
            await pending_call.answered.set()
        await self.transport.shutdown()
        await self.outbox.close()
        await self.on_closed(self)
