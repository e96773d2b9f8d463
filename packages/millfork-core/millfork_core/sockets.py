"""
TCP connections to numeric addresses.

"""

import socket as socket_
import struct
from typing import Any, Final

import curio
from curio import socket

# SO_LINGER on with a timeout of 0 s: closing discards unsent data and resets the connection.
RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)
# The time between two attempts to open one connection, much longer than a round trip between
# regions (some ms), and the number of attempts.
ATTEMPT_INTERVAL_S: Final = 0.2
MAX_ATTEMPTS: Final = 5
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


async def connect_repeatedly(host: str, port: int, source: str = '') -> Any:
    """
    Connect as `connect` does, but start another attempt each `ATTEMPT_INTERVAL_S` while no answer
    arrives. The first attempt that ends decides. A machine that is still starting answers nothing,
    and the kernel sends the opening packet again only after a second.

    :raises OSError: if the first attempt that ends fails.

    """
    async with curio.TaskGroup(wait=any) as group:
        for number in range(MAX_ATTEMPTS):
            await group.spawn(_connect_later, number * ATTEMPT_INTERVAL_S, host, port, source)
    for task in group.tasks:
        # An attempt may have succeeded in the same cycle of the event loop as the first one.
        if task is not group.completed and not task.exception:
            await task.result.close()
    return group.result


async def _connect_later(delay_s: float, host: str, port: int, source: str) -> Any:
    if delay_s:
        await curio.sleep(delay_s)
    return await connect(host, port, source)


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
