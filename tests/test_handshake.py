"""
Peers prove who they are before anything else is read.

"""

import curio
import pytest
from curio import socket

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_wire import codec
from millfork_wire.codec import BadFrame, Frame, FrameKind
from millfork_wire.handshake import HandshakeFailed, perform_handshake
from millfork_wire.messages import Hello, Ping
from millfork_wire.transport import Transport

KEY = b'key of the fleet'


def env(name):
    return Environment(InstanceId(name), ZoneId('zone'))


async def transports():
    server = socket.socket()
    server.bind(('127.0.0.1', 0))
    server.listen(1)
    client = socket.socket()
    await client.connect(server.getsockname())
    accepted, _ = await server.accept()
    await server.close()
    return Transport(client), Transport(accepted)


async def meet(dialler_key=KEY, target='b'):
    one, two = await transports()
    dialled = await curio.spawn(perform_handshake, one, env('a'), 'entry', dialler_key, target)
    accepted = await curio.spawn(perform_handshake, two, env('b'), 'entry', KEY, '')
    results = []
    for task in (dialled, accepted):
        try:
            results.append((await task.join()).instance)
        except curio.TaskError as error:
            results.append(type(error.__cause__))
            await one.shutdown()
            await two.shutdown()
    return results


def test_both_sides_learn_who_the_other_is():
    assert curio.run(meet) == ['b', 'a']


def test_a_wrong_key_proves_nothing():
    assert HandshakeFailed in curio.run(meet, b'another key')


def test_another_instance_than_the_one_dialled_is_refused():
    assert HandshakeFailed in curio.run(meet, KEY, 'c')


async def mirror(transport):
    while True:
        await transport.send(await transport.receive())


async def reflect():
    """
    Send everything back that the accepting side says.

    """
    one, two = await transports()
    reflecting = await curio.spawn(mirror, one, daemon=True)
    accepting = await curio.spawn(perform_handshake, two, env('b'), 'entry', KEY, '')
    try:
        await accepting.join()
    except curio.TaskError as error:
        return type(error.__cause__)
    finally:
        await reflecting.cancel()
    return None


def test_a_mirror_is_no_peer():
    assert curio.run(reflect) is HandshakeFailed


@pytest.mark.parametrize(
    ('data', 'error'),
    [
        (codec.encode(Frame(0, FrameKind.EVENT, Ping())), HandshakeFailed),
        (codec.encode(Frame(0, FrameKind.EVENT, Hello(99, 'a'))), HandshakeFailed),
        (codec.encode(Frame(0, FrameKind.EVENT, Hello(1, 'a' * 5000))), BadFrame),
        (b'GET / HTTP/1.1\r\n\r\n', BadFrame),
    ],
)
def test_what_comes_first_must_be_a_small_hello(data, error):
    async def run():
        one, two = await transports()
        accepting = await curio.spawn(perform_handshake, two, env('b'), 'entry', KEY, '')
        await one.send_bytes(data)
        try:
            await accepting.join()
        except curio.TaskError as failed:
            return type(failed.__cause__)
        return None

    assert curio.run(run) is error
