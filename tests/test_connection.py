"""
Connections that are closed during a write, and requests that arrive while the process ends.

"""

import socket

import curio
from curio.io import Socket

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_web.server import Server
from millfork_wire import codec
from millfork_wire.codec import Frame, FrameKind
from millfork_wire.connection import Connection
from millfork_wire.messages import GetManifest, Hello, Ping, PushChunk
from millfork_wire.transport import Transport

FRAME_BYTES = 512 * 1024


class TransportWithoutWake(Transport):
    """
    A transport whose shutdown does not wake a task that waits to write. A simulated
    network behaved in this way.

    """

    async def shutdown(self):
        pass


def tcp_pair():
    with socket.create_server(('127.0.0.1', 0)) as server:
        near = socket.create_connection(server.getsockname())
        far, _ = server.accept()
    return near, far


async def exchange_over_new_sockets(pair_count):
    """
    Send bytes over new sockets, which reuse the file descriptors of closed sockets.

    """
    pairs = [socket.socketpair() for _ in range(pair_count)]
    for pair in pairs:
        one, other = (Socket(end) for end in pair)
        for reader, writer in ((one, other), (other, one)):
            task = await curio.spawn(reader.recv, 1)
            await curio.sleep(0)
            await writer.sendall(b'x')
            assert await task.join() == b'x'
        await one.close()
        await other.close()


def test_a_connection_that_ends_while_writing_leaves_no_socket_in_the_event_loop():
    async def ignore(*arguments):
        return None

    async def run():
        near, far = tcp_pair()
        env = Environment(InstanceId('a:1'), ZoneId('zone'))
        transport = TransportWithoutWake(Socket(near))
        connection = Connection(env, transport, Hello(instance='b:1'), ignore, ignore, True)
        connection.writer = await env.spawn(connection.write_frames)
        reader = await env.spawn(connection.read_frames)
        for index in range(20):
            await connection.notify(PushChunk('m@1', index, b'\0' * FRAME_BYTES))
        async with curio.timeout_after(5):
            while not connection.writer.state.startswith('WRITE'):
                await curio.sleep(0.01)
        far.shutdown(socket.SHUT_WR)
        async with curio.timeout_after(5):
            await reader.wait()
        await exchange_over_new_sockets(3)
        far.close()

    curio.run(run)


def test_a_request_that_arrives_while_the_process_ends_is_not_handled():
    answered = []

    async def answer(connection, message):
        answered.append(message)

    async def ignore(connection):
        return None

    async def run():
        near, far = tcp_pair()
        env = Environment(InstanceId('a:1'), ZoneId('zone'))
        transport = Transport(Socket(near))
        connection = Connection(env, transport, Hello(instance='b:1'), answer, ignore, True)
        reader = await env.spawn(connection.read_frames)
        env.ended = True
        far.sendall(codec.encode(Frame(1, FrameKind.REQUEST, Ping())))
        far.sendall(codec.encode(Frame(2, FrameKind.REQUEST, GetManifest('m@1'))))
        far.shutdown(socket.SHUT_WR)
        async with curio.timeout_after(5):
            await reader.wait()
        assert not connection.tasks
        far.close()

    curio.run(run)
    assert answered == []


def test_a_caller_that_connects_while_the_process_ends_is_not_served():
    served = []

    async def serve(exchange):
        served.append(exchange)

    async def run():
        env = Environment(InstanceId('a:1'), ZoneId('zone'))
        with socket.create_server(('127.0.0.1', 0)) as probe:
            port = probe.getsockname()[1]
        server = Server('127.0.0.1', port, serve, spawn=env.spawn)
        running = await env.spawn(server.run)
        async with curio.timeout_after(5):
            while server.acceptor is None:
                await curio.sleep(0.01)
        env.ended = True
        caller = await curio.open_connection('127.0.0.1', port)
        await caller.sendall(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
        async with curio.timeout_after(5):
            await running.wait()
        await caller.close()

    curio.run(run)
    assert served == []
