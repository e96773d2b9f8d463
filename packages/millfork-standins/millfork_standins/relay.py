"""
A CONNECT proxy between zones, with requests that cut, freeze and restore links between zones.

`POST /cut/1-2,1-3` closes the connections between these pairs of zones and refuses new ones.
`POST /freeze/1-2` stops the bytes but leaves the connections open. Each cut replaces the previous
cut, and each freeze the previous freeze.

"""

from typing import Any

import curio
from curio import socket

from millfork_standins.settings import RelaySettings

READ_CHUNK_BYTES = 256 * 1024


def zone_of(address: str) -> int:
    """
    Return the zone number of an address of the fleet, which is the third octet.

    """
    return int(address.split('.')[2])


class Relay:
    """
    One relay process. `cut` and `frozen` are the pairs of zones whose links are cut or frozen;
    `open_sockets` holds the open sockets by pair of zones.

    """

    def __init__(self, settings: RelaySettings) -> None:
        self.settings = settings
        self.cut: set[tuple[int, int]] = set()
        self.frozen: set[tuple[int, int]] = set()
        self.open_sockets: dict[tuple[int, int], set[Any]] = {}
        self.unfrozen = curio.Event()

    async def run(self) -> None:
        await curio.tcp_server(*self.settings.listen.pair, self._serve, backlog=1024)

    async def _serve(self, sock: Any, address: Any) -> None:
        request_head = b''
        while b'\r\n\r\n' not in request_head:
            data = await sock.recv(4096)
            if not data:
                return
            request_head += data
        request_line = request_head.split(b'\r\n', 1)[0].decode()
        method, target = request_line.split(' ')[:2]
        if method == 'CONNECT':
            await self._connect(sock, address[0], target)
            return
        await self._control(sock, target)

    async def _control(self, sock: Any, target: str) -> None:
        """
        Cut or freeze the links between the pairs of zones in `target`, and restore all other
        links that an earlier call of the same kind cut or froze.

        """
        kind, _, pairs_text = target.strip('/').partition('/')
        pairs = set()
        for text in filter(None, pairs_text.split(',')):
            first, _, second = text.partition('-')
            pairs |= {(int(first), int(second)), (int(second), int(first))}
        if kind == 'cut':
            self.cut = pairs
            await self._close_cut()
        if kind == 'freeze':
            self.frozen = pairs
            await self.unfrozen.set()
        await sock.sendall(b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')

    async def _close_cut(self) -> None:
        for pair in self.cut:
            for sock in list(self.open_sockets.get(pair, ())):
                try:
                    await sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    async def _connect(self, sock: Any, source: str, target: str) -> None:
        host, _, port = target.rpartition(':')
        pair = (zone_of(source), zone_of(host))
        if pair in self.cut:
            await sock.sendall(b'HTTP/1.1 503 Cut\r\n\r\n')
            return
        try:
            peer = await curio.open_connection(host, int(port), source_addr=(source, 0))
        except OSError:
            await sock.sendall(b'HTTP/1.1 502 Unreachable\r\n\r\n')
            return
        await sock.sendall(b'HTTP/1.1 200 OK\r\n\r\n')
        sockets = self.open_sockets.setdefault(pair, set())
        sockets |= {sock, peer}
        try:
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self._pump, sock, peer, pair)
                await group.spawn(self._pump, peer, sock, pair)
        finally:
            sockets -= {sock, peer}
            await peer.close()

    async def _pump(self, source: Any, target: Any, pair: tuple[int, int]) -> None:
        try:
            while data := await source.recv(READ_CHUNK_BYTES):
                while pair in self.frozen:
                    self.unfrozen.clear()
                    await self.unfrozen.wait()
                await target.sendall(data)
        except OSError:
            pass
