"""
TCP connections to numeric addresses.

"""

import socket as socket_
import struct
from typing import Any, Final

import curio
from curio.io import Socket

# SO_LINGER on with a timeout of 0 s: closing discards unsent data and resets the connection.
RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)
# SO_LINGER off: closing sends unsent data first.
FLUSH_ON_CLOSE: Final = struct.pack('ii', 0, 0)
# The time between two attempts to open one connection, much longer than a round trip between
# regions (some ms), and the number of attempts.
ATTEMPT_INTERVAL_S: Final = 0.2
MAX_ATTEMPTS: Final = 5


async def connect(host: str, port: int, source: str = '') -> Any:
    """
    Connect to an IPv4 address, from the local address `source` if one is given. Unlike curio's
    own function, this one doesn't start a thread to look up a name.

    :raises OSError: if the connection fails.

    """
    sock = _new_socket(source)
    try:
        await sock.connect((host, port))
    except BaseException:
        await sock.close()
        raise
    sock.setsockopt(socket_.IPPROTO_TCP, socket_.TCP_NODELAY, 1)
    return sock


async def connect_repeatedly(host: str, port: int, source: str = '') -> Any:
    """
    Connect as `connect` does, but start another attempt each `ATTEMPT_INTERVAL_S` while no answer
    arrives. The first attempt that is answered decides. A machine that is still starting answers
    nothing, and the kernel sends the opening packet again only after a second.

    No task is started for an attempt, as a process that stops may start none.

    :raises OSError: if an attempt fails, or `MAX_ATTEMPTS` have no answer.

    """
    pending: list[Any] = []
    connected = None
    try:
        while connected is None and len(pending) < MAX_ATTEMPTS:
            sock = _new_socket(source)
            pending.append(sock)
            try:
                async with curio.timeout_after(ATTEMPT_INTERVAL_S):
                    await sock.connect((host, port))
                connected = sock
            except curio.TaskTimeout:
                connected = next(filter(_is_connected, pending), None)
    finally:
        for sock in pending:
            if sock is not connected:
                await sock.close()
    if connected is None:
        raise TimeoutError(f'{host}:{port} does not answer')
    connected.setsockopt(socket_.IPPROTO_TCP, socket_.TCP_NODELAY, 1)
    return connected


def _new_socket(source: str) -> Any:
    sock = socket_.socket(socket_.AF_INET, socket_.SOCK_STREAM)
    try:
        if source:
            sock.bind((source, 0))
    except BaseException:
        sock.close()
        raise
    return Socket(sock)


def _is_connected(sock: Any) -> bool:
    """
    Whether an attempt to connect that was not waited for any longer has succeeded meanwhile.

    """
    try:
        with sock.blocking() as raw:
            raw.getpeername()
    except OSError:
        return False
    return True


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
