"""
One connection to one peer: calls, events, and the task that reads them.

"""

from collections.abc import Awaitable, Callable
from itertools import count
from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId
from millfork_core.logs import Component as LogPart
from millfork_core.logs import logger
from millfork_wire import codec
from millfork_wire.codec import BadFrame, Frame, Kind
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
    Reserve,
    Reserved,
    Start,
)
from millfork_wire.transport import Transport

MAX_QUEUED_FRAMES: Final = 4096
MAX_BATCH_BYTES: Final = 256 * 1024
NOT_CONTROL: Final = (Chunk, PushChunk, Reserve, Reserved, Start, Head, Part, End)

log = logger(LogPart.WIRE)


class PeerError(Exception):
    """
    A call to a peer has no answer.

    """


class PeerLost(PeerError):
    """
    The connection is gone; the peer may have acted on the call.

    """


class PeerUnreachable(PeerError):
    """
    No connection could be made; the peer saw nothing of the call.

    """


class PeerTimedOut(PeerError):
    """
    No answer in time; the peer may still act on the call.

    """


class PeerRefused(PeerError):
    """
    The peer answered with a failure.

    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(f'{failure.reason}: {failure.detail}')
        self.failure = failure


class _Call:
    __slots__ = ('answered', 'reply')

    def __init__(self) -> None:
        self.answered = curio.Event()
        self.reply: Message | None = None


Handler = Callable[['Connection', Message], Awaitable[Message | None]]
ClosedHandler = Callable[['Connection'], Awaitable[None]]


class Connection:
    """
    A proven connection, used from both ends for calls and events.

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
        self.last_heard = env.monotonic()
        self.calls: dict[int, _Call] = {}
        self.ids = count(1)
        self.outbox: curio.Queue = curio.Queue(MAX_QUEUED_FRAMES)
        self.tasks: set[curio.Task] = set()
        self.writer: curio.Task | None = None

    async def call(self, message: Message, timeout: float) -> Message:
        """
        Send a request and return its reply within `timeout` seconds.

        :raises PeerLost, PeerTimedOut, PeerRefused: where there is none.

        """
        if self.closed:
            raise PeerLost(f'{self.peer} is gone')
        call_id = next(self.ids)
        call = _Call()
        self.calls[call_id] = call
        try:
            async with curio.timeout_after(timeout):
                await self._post(Frame(call_id, Kind.REQUEST, message))
                await call.answered.wait()
        except curio.TaskTimeout:
            raise PeerTimedOut(f'{self.peer} gave no answer in {timeout:.1f} s') from None
        finally:
            self.calls.pop(call_id, None)
        if call.reply is None:
            raise PeerLost(f'{self.peer} went away')
        if isinstance(call.reply, Failure):
            raise PeerRefused(call.reply)
        return call.reply

    async def notify(self, message: Message) -> None:
        """
        Send an event.

        :raises PeerLost: if the connection is already closed.

        """
        if self.closed:
            raise PeerLost(f'{self.peer} is gone')
        await self._post(Frame(0, Kind.EVENT, message))

    async def _post(self, frame: Frame) -> None:
        data = codec.encode(frame)
        self._count_bytes(frame.message, len(data), 'out')
        await self.outbox.put(data)

    def _count_bytes(self, message: Message, size: int, way: str) -> None:
        """
        Count the bytes of control; requests and weights are counted as such.

        """
        if not isinstance(message, NOT_CONTROL):
            self.env.metrics.count(self.env.metrics.wire_bytes, size, way=way)

    async def write_frames(self) -> None:
        """
        The writing task: frames queued together leave in one send.

        """
        try:
            while True:
                batch = [await self.outbox.get()]
                if self.closed:
                    return
                size = len(batch[0])
                while not self.outbox.empty() and size < MAX_BATCH_BYTES:
                    batch.append(await self.outbox.get())
                    size += len(batch[-1])
                await self.transport.send_bytes(b''.join(batch) if len(batch) > 1 else batch[0])
        except OSError:
            await self.close()

    async def read_frames(self) -> None:
        """
        The reading task: lasts as long as the connection.

        """
        try:
            while not self.closed:
                frame = await self.transport.receive()
                self.last_heard = self.env.monotonic()
                self._count_bytes(frame.message, self.transport.last_size, 'in')
                await self._dispatch(frame)
        except BadFrame as error:
            self.env.metrics.count(self.env.metrics.wire, event='bad_frame')
            log.warning('Bad frame from {}: {}.', self.peer, error)
        except (OSError, EOFError):
            pass
        finally:
            await self.close()
            # The event loop must not hold a closed socket for the writer: its
            # number may be another connection's by then.
            if self.writer is not None:
                await self.writer.cancel()
            await self.transport.close()

    async def _dispatch(self, frame: Frame) -> None:
        if frame.kind is Kind.REPLY:
            call = self.calls.get(frame.id)
            if call is None:
                self.env.metrics.count(self.env.metrics.wire, event='late_reply')
                return
            call.reply = frame.message
            await call.answered.set()
            return
        if frame.kind is Kind.EVENT:
            await self.handler(self, frame.message)
            return
        task = await self.env.spawn(self._answer, frame)
        self.tasks.add(task)

    async def _answer(self, frame: Frame) -> None:
        try:
            reply = await self._reply_to(frame.message)
            if not self.closed:
                await self._post(Frame(frame.id, Kind.REPLY, reply))
        finally:
            self.tasks.discard(await curio.current_task())

    async def _reply_to(self, message: Message) -> Message:
        if isinstance(message, Ping):
            return message
        try:
            reply = await self.handler(self, message)
        except Exception as error:  # a fault in one handler must not end the process
            log.exception('Handling {} from {} failed.', type(message).__name__, self.peer)
            return Failure('internal', str(error))
        if reply is None:
            return Failure('unexpected', type(message).__name__)
        return reply

    async def close(self) -> None:
        """
        Close once; every waiting call learns that the peer is lost.

        """
        if self.closed:
            return
        self.closed = True
        for call in list(self.calls.values()):
            await call.answered.set()
        await self.transport.shut()
        if self.outbox.empty():
            await self.outbox.put(b'')
        await self.on_closed(self)
