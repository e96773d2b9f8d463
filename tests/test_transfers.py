"""
Transfers on a connection between daemons: small messages overtake them, and whole frames arrive.

"""

import socket

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from millfork_wire import codec
from millfork_wire import outbox as outbox_module
from millfork_wire.codec import BadFrame, Frame, FrameKind, PreVote
from millfork_wire.fragments import FRAGMENT_BYTES, Fragment, FrameAssembler
from millfork_wire.messages import (
    AppendRequest,
    Entry,
    InstallRequest,
    Ping,
    PushChunk,
    VoteReply,
    VoteRequest,
)
from millfork_wire.outbox import BULK_WINDOW_BYTES, Outbox
from millfork_wire.priorities import Priority
from millfork_wire.transport import MAX_UNSENT_BYTES
from tests.test_unanswered_calls import TIMEOUT_S, pair_of_connections

SNAPSHOT_BYTES = 8 * 1024 * 1024
HEARTBEAT = AppendRequest('c', 1, 'a', 0, 0, [], 0)


def fragment_of(data):
    header = codec.parse_header(data[: codec.LENGTH_BYTES])
    return Fragment(header.priority, header.packed, header.more, data[codec.LENGTH_BYTES :])


def message_bytes(message):
    return codec.encode(Frame(0, FrameKind.EVENT, message))


@pytest.mark.parametrize('request_', [HEARTBEAT, PreVote(), VoteRequest()])
def test_no_heartbeat_or_vote_waits_for_a_snapshot(request_):
    # Guards against elections and leaders that end because a lagging replica gets its snapshot.
    arrived = []

    async def answer(connection, message):
        arrived.append(type(message))
        return VoteReply()

    async def run():
        caller, _ = await pair_of_connections(answer)
        await caller.notify(InstallRequest(snapshot=bytes(SNAPSHOT_BYTES)))
        await caller.call(request_, TIMEOUT_S)
        assert InstallRequest not in arrived
        assert await caller.wait_until_bulk_is_sent(TIMEOUT_S)
        await caller.call(Ping(), TIMEOUT_S)
        assert InstallRequest in arrived

    curio.run(run)


def test_a_connection_whose_transfer_proceeds_is_not_silent():
    # Guards against a connection that is closed, and its transfer begun again, as no whole frame
    # arrives during a call.
    async def ignore(*arguments):
        return None

    async def run():
        caller, peer = await pair_of_connections(ignore)
        heard = []
        assemble = FrameAssembler.add

        def add(self, fragment):
            heard.append(peer.last_received_at)
            return assemble(self, fragment)

        with pytest.MonkeyPatch.context() as monkeypatch:
            monkeypatch.setattr(FrameAssembler, 'add', add)
            await caller.notify(InstallRequest(snapshot=bytes(SNAPSHOT_BYTES)))
            assert await caller.wait_until_bulk_is_sent(TIMEOUT_S)
        assert len(set(heard)) >= SNAPSHOT_BYTES / FRAGMENT_BYTES

    curio.run(run)


def test_no_more_of_a_transfer_is_on_its_way_than_the_window_allows():
    # Guards against transfers that fill the buffers of a slow link, in which heartbeats then wait.
    async def run():
        outbox = Outbox()
        await outbox.put(message_bytes(InstallRequest(snapshot=bytes(SNAPSHOT_BYTES))))
        sent = await outbox.take()
        assert sum(map(len, sent)) <= BULK_WINDOW_BYTES + FRAGMENT_BYTES
        taker = await curio.spawn(outbox.take)
        await curio.sleep(0)
        assert not taker.terminated
        await outbox.acknowledge(len(sent[0]))
        await outbox.acknowledge(len(sent[1]))
        assert await taker.join()

    curio.run(run)


def test_an_outbox_that_is_closed_wakes_all_that_wait():
    async def run():
        outbox = Outbox()
        taker = await curio.spawn(outbox.take)
        outbox.unacknowledged_bytes = 1
        waiter = await curio.spawn(outbox.wait_until_bulk_is_sent)
        await curio.sleep(0)
        await outbox.close()
        async with curio.timeout_after(TIMEOUT_S):
            assert await taker.join() == []
            await waiter.join()

    curio.run(run)


# No test of time: beside load, examples take longer than the usual deadline of Hypothesis.
@settings(deadline=None)
@given(st.lists(st.integers(0, 3 * FRAGMENT_BYTES), max_size=8), st.randoms())
def test_frames_of_all_priorities_arrive_whole_and_in_order(sizes, random):
    async def run():
        outbox = Outbox()
        assembler = FrameAssembler()
        sent, arrived = [], []

        async def pass_on():
            for data in await outbox.take():
                fragment = fragment_of(data)
                if fragment.priority is Priority.BULK:
                    await outbox.acknowledge(len(data))
                frame = assembler.add(fragment)
                arrived.extend([frame.message] if frame else [])

        for number, size in enumerate(sizes):
            body = bytes([number]) * size
            message = random.choice(
                [
                    HEARTBEAT,
                    PushChunk('m', number, body),
                    InstallRequest('c', number, snapshot=body),
                ]
            )
            sent.append(message)
            await outbox.put(message_bytes(message))
            if random.random() < 0.3:
                await pass_on()
        while outbox.qsize():
            await pass_on()
        for cls in (AppendRequest, PushChunk, InstallRequest):
            of_class = [message for message in sent if type(message) is cls]
            assert [message for message in arrived if type(message) is cls] == of_class

    curio.run(run)


def test_a_frame_over_the_limit_is_refused_also_in_fragments(monkeypatch):
    monkeypatch.setattr(codec, 'MAX_FRAME_BYTES', 10)
    assembler = FrameAssembler()
    assert assembler.add(Fragment(Priority.BULK, False, True, bytes(8))) is None
    with pytest.raises(BadFrame):
        assembler.add(Fragment(Priority.BULK, False, True, bytes(8)))


def test_small_messages_are_no_transfers_unless_they_would_overtake_one():
    async def run():
        outbox = Outbox()
        small = message_bytes(AppendRequest('c', 1, 'a', 0, 0, [Entry(1, 1, b'small')], 0))
        await outbox.put(small)
        assert not outbox.has_bulk
        await outbox.put(message_bytes(InstallRequest(snapshot=bytes(SNAPSHOT_BYTES))))
        await outbox.put(small)
        sent = await outbox.take()
        assert fragment_of(sent[0]).priority is Priority.NORMAL
        assert {fragment_of(data).priority for data in sent[1:]} == {Priority.BULK}

    curio.run(run)


def test_a_reader_whose_outbox_is_full_goes_on(monkeypatch):
    # Guards against two processes that each wait for the other to read.
    arrived = []

    async def record(connection, message):
        arrived.append(type(message))
        return

    async def run():
        caller, peer = await pair_of_connections(record)
        monkeypatch.setattr(outbox_module, 'MAX_QUEUED_FRAGMENTS', 1)
        await peer.writer.cancel()
        await peer.outbox.put(message_bytes(Ping()))
        assert peer.outbox.full()
        await caller.notify(InstallRequest(snapshot=bytes(FRAGMENT_BYTES)))
        await caller.notify(Ping())
        async with curio.timeout_after(TIMEOUT_S):
            while InstallRequest not in arrived:
                await curio.sleep(0.01)

    curio.run(run)


def test_the_kernel_takes_little_of_a_connection_before_it_can_be_sent():
    # Guards against the buffer of a socket that a large frame fills, in which a heartbeat waits.
    async def run():
        caller, _ = await pair_of_connections(None)
        sock = caller.transport.sock
        limit = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT)
        assert limit == MAX_UNSENT_BYTES

    curio.run(run)
