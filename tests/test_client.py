"""
The HTTP client of the daemons' own calls.

"""

import curio

from millfork_web.client import Client

FIRST = b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst'
SECOND = b'HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond'
EXCESS = b'HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nexcess'
READ_BYTES = 4096


async def serve(answers, sock, address):
    """
    Answer each request with the next of `answers`.

    """
    while await sock.recv(READ_BYTES):
        await sock.sendall(next(answers))


def fetch_bodies(*answers):
    """
    The bodies that a client reads in consecutive calls to a server that sends `answers`.

    """

    async def run():
        listener = curio.tcp_server_socket('127.0.0.1', 0)
        remaining = iter(answers)
        server = await curio.spawn(
            curio.network.run_server,
            listener,
            lambda sock, address: serve(remaining, sock, address),
        )
        client = Client('127.0.0.1', listener.getsockname()[1])
        bodies = [(await client.fetch('GET', '/', [])).body for _ in answers]
        await client.close()
        await server.cancel()
        return bodies

    return curio.run(run)


def test_data_after_an_answer_is_not_read_as_the_next_answer():
    # Guards against taking an order that the engine refused or never saw for an accepted one.
    assert fetch_bodies(FIRST + EXCESS, SECOND) == [b'first', b'second']
