"""
The proxy that limits what daemons of different regions send each other.

"""

import socket
import threading

import pytest

from millfork_standins.region_links import RegionLinks

TIMEOUT_S = 5.0
MBPS = 20.0


@pytest.fixture
def links():
    links = RegionLinks('127.0.0.1', lambda host: 'region', MBPS)
    yield links
    # A proxy that hangs would keep `close` from returning.
    links.closing.set()
    links.thread.join(TIMEOUT_S)


@pytest.mark.parametrize('sent', [b'', b'CONNECT 127.0'])
def test_a_client_that_is_gone_before_it_names_a_target_blocks_no_other(links, sent):
    # Guards against a proxy that stops all links once a daemon is killed while it connects.
    with socket.create_connection(links.address, TIMEOUT_S) as gone:
        gone.sendall(sent)
    with socket.create_server(('127.0.0.1', 0)) as server:
        host, port = server.getsockname()
        with socket.create_connection(links.address, TIMEOUT_S) as client:
            client.sendall(f'CONNECT {host}:{port} HTTP/1.1\r\n\r\n'.encode())
            assert client.recv(100).startswith(b'HTTP/1.1 200')


def test_a_client_that_ends_before_its_request_does_not_stop_the_links():
    # Guards against links that pass nothing and cannot be closed after a daemon was killed.
    links = RegionLinks('127.0.0.1', lambda host: 'region', MBPS)
    with socket.create_connection(links.address, TIMEOUT_S) as client:
        client.sendall(b'CONNECT ')
    with socket.create_server(('127.0.0.1', 0)) as server:
        port = server.getsockname()[1]
        with socket.create_connection(links.address, TIMEOUT_S) as client:
            client.sendall(f'CONNECT 127.0.0.1:{port} HTTP/1.1\r\n\r\n'.encode())
            assert client.recv(4096).startswith(b'HTTP/1.1 200')
    closer = threading.Thread(target=links.close, daemon=True)
    closer.start()
    closer.join(TIMEOUT_S)
    assert not closer.is_alive()
