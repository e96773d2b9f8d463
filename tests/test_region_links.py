"""
The stand-in for links between regions goes on when a daemon ends while it connects.

"""

import socket
import threading

from millfork_standins.region_links import RegionLinks

HOST = '127.0.0.1'
MBPS = 20.0
TIMEOUT_S = 5.0


def test_a_client_that_ends_before_its_request_does_not_stop_the_links():
    # Guards against links that pass nothing and cannot be closed after a daemon was killed.
    links = RegionLinks(HOST, lambda host: 'region', MBPS)
    with socket.create_connection(links.address, TIMEOUT_S) as client:
        client.sendall(b'CONNECT ')
    with socket.create_server((HOST, 0)) as server:
        port = server.getsockname()[1]
        with socket.create_connection(links.address, TIMEOUT_S) as client:
            client.sendall(f'CONNECT {HOST}:{port} HTTP/1.1\r\n\r\n'.encode())
            assert client.recv(4096).startswith(b'HTTP/1.1 200')
    closer = threading.Thread(target=links.close, daemon=True)
    closer.start()
    closer.join(TIMEOUT_S)
    assert not closer.is_alive()
