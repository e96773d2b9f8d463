"""
Messages that all connections use: the handshake, pings, and the general replies `Done` and
`Failure`.

"""

from dataclasses import dataclass

from millfork_wire.messages.base import Message


@dataclass(slots=True)
class Hello(Message):
    version: int = 0
    instance: str = ''
    zone: str = ''
    role: str = ''
    nonce: bytes = b''
    target: str = ''


@dataclass(slots=True)
class Proof(Message):
    mac: bytes = b''


@dataclass(slots=True)
class Ping(Message):
    pass


@dataclass(slots=True)
class Received(Message):
    """
    Acknowledges a fragment of `size` bytes of a transfer, with its header.

    """

    size: int = 0


@dataclass(slots=True)
class Done(Message):
    ok: bool = False


@dataclass(slots=True)
class Failure(Message):
    reason: str = ''
    detail: str = ''
