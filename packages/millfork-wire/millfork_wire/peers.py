"""
The connections of a process to its peers: one for each peer, dialled when needed.

"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final

import curio

from millfork_core.environment import Environment
from millfork_core.ids import NO_INSTANCE, InstanceId
from millfork_core.line_limiter import LineLimiter
from millfork_core.logs import Component, logger
from millfork_wire.codec import BadFrame
from millfork_wire.connection import (
    Connection,
    Handler,
    PeerLost,
    PeerTimedOut,
    PeerUnreachable,
)
from millfork_wire.handshake import HandshakeFailed, perform_handshake
from millfork_wire.messages import Message, Ping
from millfork_wire.transport import Transport, dial

DIAL_TIMEOUT_S: Final = 1.0
HANDSHAKE_TIMEOUT_S: Final = 2.0
PING_AFTER_IDLE_S: Final = 10.0
PING_TIMEOUT_S: Final = 3.0
REDIAL_DELAY_S: Final = 0.3

log = logger(Component.WIRE)


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """
    An instance, and the host and port that it listens on.

    """

    instance: InstanceId
    host: str
    port: int


class Peers:
    """
    Accepts and dials the connections of this process, one for each peer. After a connection is
    closed, each function in `closed_hooks` is called with the connection. `via` is the host and
    port of an HTTP proxy through which peers are dialled, or None.

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
        closes_unresponsive: bool = False,
    ) -> None:
        self.env = env
        self.role = role
        self.host = host
        self.port = port
        self.fleet_key = fleet_key
        self.handler = handler
        self.via = via
        # Whether to close a connection when a call times out and no frame was received on the
        # connection during the call. The next call then dials the peer, which may have restarted.
        self.closes_unresponsive = closes_unresponsive
        self.connections: dict[InstanceId, Connection] = {}
        self.locks: dict[InstanceId, curio.Lock] = {}
        self.unreachable_until: dict[InstanceId, float] = {}
        # Log lines about closed silent connections, by peer.
        self.silent_peer_lines = LineLimiter()
        self.closed_hooks: list[Callable[[Connection], Awaitable[None]]] = []

    def update_metrics(self) -> None:
        """
        Set the gauges of transfers and queued bytes.

        """
        connections = self.connections.values()
        self.env.metrics.transfers.set({}, sum(1 for item in connections if item.has_bulk))
        queued_bytes = sum(item.outbox.queued_bytes() for item in connections)
        self.env.metrics.queued_bytes.set({}, queued_bytes)

    async def listen(self) -> None:
        """
        Accept connections until cancelled. Binding the address also prevents a second process
        from running at this address.

        """
        await curio.tcp_server(self.host, self.port, self._accept, reuse_address=True)

    async def _accept(self, sock: Any, address: Any) -> None:
        transport = Transport(sock)
        connection = await self._establish_connection(transport, NO_INSTANCE)
        if connection is None:
            await transport.close()
            return
        await connection.read_frames()

    async def _establish_connection(
        self, transport: Transport, target: InstanceId
    ) -> Connection | None:
        try:
            async with curio.timeout_after(HANDSHAKE_TIMEOUT_S):
                hello = await perform_handshake(
                    transport, self.env, self.role, self.fleet_key, target
                )
        except (HandshakeFailed, BadFrame) as error:
            self.env.metrics.count(self.env.metrics.wire, event='handshake_failed')
            log.warning('Handshake failed: {}.', error)
            return None
        except (OSError, EOFError, curio.TaskTimeout):
            self.env.metrics.count(self.env.metrics.wire, event='handshake_cut')
            return None
        dialled = target != NO_INSTANCE
        connection = Connection(
            self.env, transport, hello, self.handler, self._remove_connection, dialled
        )
        self.connections[connection.peer] = connection
        connection.writer = await self.env.spawn(connection.write_frames)
        return connection

    async def _remove_connection(self, connection: Connection) -> None:
        if self.connections.get(connection.peer) is connection:
            del self.connections[connection.peer]
        for hook in self.closed_hooks:
            await hook(connection)

    async def connect(self, address: PeerAddress) -> Connection:
        """
        Return the open connection to a peer; dial the peer if there is none.

        :raises PeerUnreachable: if dialling fails, or failed less than `REDIAL_DELAY_S` ago.

        """
        lock = self.locks.setdefault(address.instance, curio.Lock())
        async with lock:
            connection = self.connections.get(address.instance)
            if connection is not None and not connection.closed:
                return connection
            return await self._dial(address)

    async def _dial(self, address: PeerAddress) -> Connection:
        now = self.env.monotonic()
        if self.unreachable_until.get(address.instance, 0.0) > now:
            raise PeerUnreachable(f'{address.instance} was unreachable a moment ago')
        connection = None
        try:
            async with curio.timeout_after(DIAL_TIMEOUT_S):
                transport = await dial(address.host, address.port, self.host, self.via)
            connection = await self._establish_connection(transport, address.instance)
            if connection is None:
                await transport.close()
        except (OSError, curio.TaskTimeout):
            pass
        if connection is None:
            self.unreachable_until[address.instance] = self.env.monotonic() + REDIAL_DELAY_S
            raise PeerUnreachable(f'{address.instance} at {address.host} is unreachable')
        await self.env.spawn(connection.read_frames)
        return connection

    async def call(self, address: PeerAddress, message: Message, timeout: float) -> Message:
        """
        Send a request to a peer and return the reply; dial the peer if needed.

        :raises PeerError: if no connection can be opened, no reply arrives in time, or the reply
            is a `Failure`. The subclass says whether the peer may have acted on the request.

        """
        connection = await self.connect(address)
        started_at = self.env.monotonic()
        try:
            return await connection.call(message, timeout)
        except PeerTimedOut:
            if self.closes_unresponsive and connection.last_received_at < started_at:
                self.env.metrics.count(self.env.metrics.wire, event='silent_peer')
                self._log_silent_peer(connection, message, started_at)
                await connection.close()
            raise

    def _log_silent_peer(self, connection: Connection, message: Message, started_at: float) -> None:
        now = self.env.monotonic()
        closed = self.silent_peer_lines.count(connection.peer, now)
        if closed:
            log.info(
                'Closed the connection to {}: no frame during a call. call={} ms={} silent_ms={} '
                'queued_frames={} connections={}',
                connection.peer,
                type(message).__name__,
                int((now - started_at) * 1000),
                int((now - connection.last_received_at) * 1000),
                connection.outbox.qsize(),
                closed,
            )

    async def ping_idle_connections(self) -> None:
        """
        Ping the peers of idle connections, and close connections whose peer does not answer. Only
        the dialling side pings, as one ping for each pair of peers is enough.

        """
        while True:
            await curio.sleep(PING_AFTER_IDLE_S / 2)
            now = self.env.monotonic()
            for connection in list(self.connections.values()):
                if not connection.dialled or now - connection.last_received_at < PING_AFTER_IDLE_S:
                    continue
                await self.env.spawn(self._close_if_unresponsive, connection)

    async def _close_if_unresponsive(self, connection: Connection) -> None:
        try:
            await connection.call(Ping(), PING_TIMEOUT_S)
        except PeerLost:
            return
        except Exception:
            self.env.metrics.count(self.env.metrics.wire, event='silent_peer')
            await connection.close()
