"""
All of a process's connections: one for each peer, dialled when needed.

"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final

import curio

from millfork_core.environment import Environment
from millfork_core.ids import NO_INSTANCE, InstanceId
from millfork_core.logs import Component, logger
from millfork_wire.codec import BadFrame
from millfork_wire.connection import (
    Connection,
    Handler,
    PeerLost,
    PeerTimedOut,
    PeerUnreachable,
)
from millfork_wire.handshake import HandshakeFailed, shake_hands
from millfork_wire.messages import Message, Ping
from millfork_wire.transport import Transport, dial

DIAL_TIMEOUT_S: Final = 1.0
HANDSHAKE_TIMEOUT_S: Final = 2.0
PING_AFTER_S: Final = 10.0
PING_TIMEOUT_S: Final = 3.0
REFUSE_AGAIN_S: Final = 0.3

log = logger(Component.WIRE)


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """
    Where a peer listens.

    """

    instance: InstanceId
    host: str
    port: int


class Peers:
    """
    The connections of this process, by peer.

    """

    def __init__(
        self,
        env: Environment,
        role: str,
        host: str,
        port: int,
        fleet_key: bytes,
        handler: Handler,
        via: tuple[str, int] | None = None,
        closes_silent: bool = False,
    ) -> None:
        self.env = env
        self.role = role
        self.host = host
        self.port = port
        self.fleet_key = fleet_key
        self.handler = handler
        self.via = via
        # Whether a call without any answer in time ends the connection, so
        # that the next call dials a peer that may have come back.
        self.closes_silent = closes_silent
        self.connections: dict[InstanceId, Connection] = {}
        self.locks: dict[InstanceId, curio.Lock] = {}
        self.refused_until: dict[InstanceId, float] = {}
        self.closed_hooks: list[Callable[[Connection], Awaitable[None]]] = []

    async def listen(self) -> None:
        """
        Accept peers until cancelled. Binding the address also makes this
        process the only one in its slot.

        """
        await curio.tcp_server(self.host, self.port, self._accept, reuse_address=True)

    async def _accept(self, sock: Any, address: Any) -> None:
        transport = Transport(sock)
        connection = await self._prove(transport, NO_INSTANCE)
        if connection is None:
            await transport.close()
            return
        await connection.read_frames()

    async def _prove(self, transport: Transport, target: InstanceId) -> Connection | None:
        try:
            async with curio.timeout_after(HANDSHAKE_TIMEOUT_S):
                hello = await shake_hands(transport, self.env, self.role, self.fleet_key, target)
        except (HandshakeFailed, BadFrame) as error:
            self.env.metrics.count(self.env.metrics.wire, event='handshake_failed')
            log.warning('Handshake failed: {}.', error)
            return None
        except (OSError, EOFError, curio.TaskTimeout):
            self.env.metrics.count(self.env.metrics.wire, event='handshake_cut')
            return None
        dialled = target != NO_INSTANCE
        connection = Connection(self.env, transport, hello, self.handler, self._forget, dialled)
        self.connections[connection.peer] = connection
        connection.writer = await self.env.spawn(connection.write_frames)
        return connection

    async def _forget(self, connection: Connection) -> None:
        if self.connections.get(connection.peer) is connection:
            del self.connections[connection.peer]
        for hook in self.closed_hooks:
            await hook(connection)

    async def connect(self, address: PeerAddress) -> Connection:
        """
        The open connection to a peer, dialled if there is none.

        :raises PeerUnreachable: if none can be had.

        """
        lock = self.locks.setdefault(address.instance, curio.Lock())
        async with lock:
            connection = self.connections.get(address.instance)
            if connection is not None and not connection.closed:
                return connection
            return await self._dial(address)

    async def _dial(self, address: PeerAddress) -> Connection:
        now = self.env.monotonic()
        if self.refused_until.get(address.instance, 0.0) > now:
            raise PeerUnreachable(f'{address.instance} was unreachable a moment ago')
        connection = None
        try:
            async with curio.timeout_after(DIAL_TIMEOUT_S):
                transport = await dial(address.host, address.port, self.host, self.via)
            connection = await self._prove(transport, address.instance)
            if connection is None:
                await transport.close()
        except (OSError, curio.TaskTimeout):
            pass
        if connection is None:
            self.refused_until[address.instance] = self.env.monotonic() + REFUSE_AGAIN_S
            raise PeerUnreachable(f'{address.instance} at {address.host} is unreachable')
        await self.env.spawn(connection.read_frames)
        return connection

    async def call(self, address: PeerAddress, message: Message, timeout: float) -> Message:
        """
        Dial if needed, then call.

        :raises PeerError: of the kind that tells what the peer may have seen.

        """
        connection = await self.connect(address)
        began = self.env.monotonic()
        try:
            return await connection.call(message, timeout)
        except PeerTimedOut:
            if self.closes_silent and connection.last_heard < began:
                self.env.metrics.count(self.env.metrics.wire, event='silent_peer')
                await connection.close()
            raise

    async def probe_idle(self) -> None:
        """
        The task that closes connections whose peer no longer answers. The
        side that dialled asks; one question for each pair is enough.

        """
        while True:
            await curio.sleep(PING_AFTER_S / 2)
            now = self.env.monotonic()
            for connection in list(self.connections.values()):
                if not connection.dialled or now - connection.last_heard < PING_AFTER_S:
                    continue
                await self.env.spawn(self._probe, connection)

    async def _probe(self, connection: Connection) -> None:
        try:
            await connection.call(Ping(), PING_TIMEOUT_S)
        except PeerLost:
            return
        except Exception:
            self.env.metrics.count(self.env.metrics.wire, event='silent_peer')
            await connection.close()
