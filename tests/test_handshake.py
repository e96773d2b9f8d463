"""
Peers authenticate each other before they read any other message.

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


async def handshake_results(dialler_key=KEY, target='b'):
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


def test_both_sides_get_the_name_of_the_other():
    assert curio.run(handshake_results) == ['b', 'a']


def test_a_proof_with_a_wrong_key_is_refused():
    assert HandshakeFailed in curio.run(handshake_results, b'another key')


def test_an_instance_other_than_the_dialled_one_is_refused():
    assert HandshakeFailed in curio.run(handshake_results, KEY, 'c')


async def send_back(transport):
    while True:
        await transport.send(await transport.receive())


async def error_with_reflecting_peer():
    """
    Return the type of the error of an accepting side whose peer sends every message back; None if
    the handshake succeeds.

    """
    one, two = await transports()
    reflecting = await curio.spawn(send_back, one, daemon=True)
    accepting = await curio.spawn(perform_handshake, two, env('b'), 'entry', KEY, '')
    try:
        await accepting.join()
    except curio.TaskError as error:
        return type(error.__cause__)
    finally:
        await reflecting.cancel()
    return None


def test_a_peer_that_reflects_messages_is_refused():
    assert curio.run(error_with_reflecting_peer) is HandshakeFailed


@pytest.mark.parametrize(
    ('data', 'error'),
    [
        (codec.encode(Frame(0, FrameKind.EVENT, Ping())), HandshakeFailed),
        (codec.encode(Frame(0, FrameKind.EVENT, Hello(99, 'a'))), HandshakeFailed),
        (codec.encode(Frame(0, FrameKind.EVENT, Hello(1, 'a' * 5000))), BadFrame),
        (b'GET / HTTP/1.1\r\n\r\n', BadFrame),
    ],
)
def test_the_first_message_must_be_a_small_hello(data, error):
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
