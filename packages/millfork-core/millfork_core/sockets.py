"""
TCP connections to numeric addresses.

"""

import socket as socket_
import struct
from typing import Any, Final

from curio import socket

# SO_LINGER on with a timeout of 0 s: closing discards unsent data and resets the connection.
RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)
# SO_LINGER off: closing sends unsent data first.
FLUSH_ON_CLOSE: Final = struct.pack('ii', 0, 0)


async def connect(host: str, port: int, source: str = '') -> Any:
    """
    Connect to an IPv4 address, from the local address `source` if one is given. Unlike curio's
    own function, this one doesn't start a thread to look up a name.

    :raises OSError: if the connection fails.

    """
    sock = socket.socket(socket_.AF_INET, socket_.SOCK_STREAM)
    try:
        if source:
            sock.bind((source, 0))
        await sock.connect((host, port))
    except BaseException:
        await sock.close()
        raise
    sock.setsockopt(socket_.IPPROTO_TCP, socket_.TCP_NODELAY, 1)
    return sock


def is_quiet(sock: Any) -> bool:
    """
    Whether an idle connection can be used for a request: it is open and has no unread bytes,
    which would be taken for the answer to that request.

    """
    try:
        with sock.blocking() as raw:
            raw.setblocking(False)
            raw.recv(1, socket_.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
