"""
The frames that wait to be written to one connection.

Frames are taken in the order of their priorities. Of BULK frames, only as many bytes are on their
way as the window allows, so that they fill neither the buffers of the socket nor those of a slow
link, in which later urgent frames would wait. The peer acknowledges each BULK fragment that it has
read.

"""

from collections import deque
from typing import Final

import curio

from millfork_wire import codec
from millfork_wire.fragments import split_frame
from millfork_wire.priorities import SENDING_ORDER, Priority

MAX_QUEUED_FRAGMENTS: Final = 4096
# One write combines fragments until their total size reaches this.
MAX_WRITE_BYTES: Final = 64 * 1024
BULK_WINDOW_BYTES: Final = 64 * 1024
# A BULK frame of up to this size is sent as a normal one.
MAX_SMALL_BYTES: Final = 4 * 1024


class Outbox:
    """
    The queue of each priority. Once it is closed, nothing waits for it any more.

    """

    def __init__(self) -> None:
        self.queues: dict[Priority, deque[bytes]] = {
            priority: deque() for priority in SENDING_ORDER
        }
        self.unacknowledged_bytes = 0
        self.closed = False
        # Set when fragments may have become ready to be written.
        self.ready = curio.Event()
        # Set when there is space for further frames.
        self.space = curio.Event()
        # Set when no BULK fragment is queued or on its way.
        self.bulk_sent = curio.Event()

    def qsize(self) -> int:
        """
        The number of queued fragments.

        """
        return sum(len(queue) for queue in self.queues.values())

    def queued_bytes(self) -> int:
        """
        The bytes of the queued fragments, without those that are on their way.

        """
        return sum(len(fragment) for queue in self.queues.values() for fragment in queue)

    def full(self) -> bool:
        return self.qsize() >= MAX_QUEUED_FRAGMENTS

    @property
    def has_bulk(self) -> bool:
        """
        Whether a BULK fragment is queued, or the peer has not acknowledged it yet.

        """
        return bool(self.queues[Priority.BULK]) or self.unacknowledged_bytes > 0

    async def put(self, data: bytes) -> None:
        """
        Queue an encoded frame, and wait while the outbox is full. Does nothing once the outbox is
        closed.

        """
        while self.full() and not self.closed:
            self.space.clear()
            await self.space.wait()
        await self.put_now(data)

    async def put_now(self, data: bytes) -> None:
        """
        Queue an encoded frame even if the outbox is full.

        """
        if self.closed:
            return
        header = codec.parse_header(data[: codec.LENGTH_BYTES])
        priority = header.priority
        if priority is Priority.BULK and header.length <= MAX_SMALL_BYTES and not self.has_bulk:
            # It delays other messages no more than they delay each other, and overtakes none.
            priority = Priority.NORMAL
            data = (
                codec.encode_header(header.length, priority, header.packed)
                + data[codec.LENGTH_BYTES :]
            )
        self.queues[priority].extend(split_frame(data))
        await self.ready.set()

    async def take(self) -> list[bytes]:
        """
        Take the fragments for the next write, and wait until there is one. Empty once the outbox
        is closed.

        """
        while not self.closed:
            batch = self._take_ready()
            if batch:
                await self.space.set()
                return batch
            self.ready.clear()
            await self.ready.wait()
        return []

    def _take_ready(self) -> list[bytes]:
        """
        The fragments for one write: at least one of each priority that has any, as a priority that
        never pauses, such as that of weights, would otherwise keep back all lower ones.

        """
        batch: list[bytes] = []
        size = 0
        for priority in SENDING_ORDER:
            queue = self.queues[priority]
            is_first = True
            while queue and (is_first or size < MAX_WRITE_BYTES):
                if priority is Priority.BULK:
                    if self.unacknowledged_bytes >= BULK_WINDOW_BYTES:
                        break
                    self.unacknowledged_bytes += len(queue[0])
                is_first = False
                size += len(queue[0])
                batch.append(queue.popleft())
        return batch

    async def acknowledge(self, size: int) -> None:
        """
        Record that the peer has read `size` bytes of BULK fragments.

        """
        self.unacknowledged_bytes = max(self.unacknowledged_bytes - size, 0)
        await self.ready.set()
        if not self.has_bulk:
            await self.bulk_sent.set()

    async def wait_until_bulk_is_sent(self) -> None:
        """
        Return once no BULK fragment is queued or on its way, or the outbox is closed.

        """
        while self.has_bulk and not self.closed:
            self.bulk_sent.clear()
            await self.bulk_sent.wait()

    async def close(self) -> None:
        """
        Drop what is queued, and wake all tasks that wait.

        """
        self.closed = True
        for queue in self.queues.values():
            queue.clear()
        for event in (self.ready, self.space, self.bulk_sent):
            await event.set()
