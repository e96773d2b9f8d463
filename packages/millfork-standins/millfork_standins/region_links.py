"""
An HTTP proxy (CONNECT method) through which the daemons of a fleet reach each other, and which
limits the bytes between regions: all connections from one region to another share one limit.

The source region of a connection is that of the address that it comes from.

"""

import threading
from collections.abc import Callable
from typing import Any, Final

import curio
from curio import socket

# The link takes turns between its connections in portions of this size.
PORTION_BYTES: Final = 4096
# Small socket buffers, so that what a daemon has sent waits at the daemon, as at a slow link.
SOCKET_BUFFER_BYTES: Final = 32 * 1024
MAX_HEAD_BYTES: Final = 4096
BITS_PER_BYTE: Final = 8
POLL_INTERVAL_S: Final = 0.1

# A source region and a target region.
RegionPair = tuple[str, str]


class _Link:
    """
    The bytes from one region to another, sent at `bytes_per_s` in the order of their arrival.

    """

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.free_at = 0.0
        self.sent_bytes = 0

    async def pass_on(self, size: int) -> None:
        """
        Return once the link has sent `size` bytes after all that came before.

        """
        now = await curio.clock()
        self.free_at = max(self.free_at, now) + size / self.bytes_per_s
        self.sent_bytes += size
        await curio.sleep(max(self.free_at - now, 0.0))


class RegionLinks:
    """
    The proxy, which runs in a thread of its own. `region_of` returns the region of a host. Between
    two regions, `mbps` Mbit/s pass in each direction.

    """

    def __init__(self, host: str, region_of: Callable[[str], str], mbps: float) -> None:
        self.region_of = region_of
        self.links: dict[RegionPair, _Link] = {}
        self.set_mbps(mbps)
        self.closing = threading.Event()
        self.listener = curio.tcp_server_socket(host, 0)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self.listener.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
        self.address: tuple[str, int] = self.listener.getsockname()
        self.thread = threading.Thread(target=curio.run, args=(self._run,), daemon=True)
        self.thread.start()

    def close(self) -> None:
        """
        Close the proxy and all connections through it.

        """
        self.closing.set()
        self.thread.join()

    def set_mbps(self, mbps: float) -> None:
        """
        From now on let `mbps` Mbit/s pass between two regions in each direction.

        """
        self.bytes_per_s = mbps * 1_000_000 / BITS_PER_BYTE
        for link in list(self.links.values()):
            link.bytes_per_s = self.bytes_per_s

    def sent_bytes(self) -> dict[RegionPair, int]:
        """
        Return the bytes that each link has sent.

        """
        return {regions: link.sent_bytes for regions, link in list(self.links.items())}

    async def _run(self) -> None:
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(curio.network.run_server, self.listener, self._serve)
            await group.spawn(self._wait_for_close)

    async def _wait_for_close(self) -> None:
        while not self.closing.is_set():
            await curio.sleep(POLL_INTERVAL_S)

    async def _serve(self, client: Any, address: tuple[str, int]) -> None:
        target = await self._read_target(client)
        if target is None:
            return
        peer = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            peer.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
        async with peer:
            try:
                await peer.connect(target)
                await client.sendall(b'HTTP/1.1 200 Connected\r\n\r\n')
            except OSError:
                # The client then finds its connection closed, as at a closed port.
                return
            for sock in (client, peer):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            regions = (self.region_of(address[0]), self.region_of(target[0]))
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self._forward, client, peer, regions)
                await group.spawn(self._forward, peer, client, regions[::-1])

    async def _read_target(self, client: Any) -> tuple[str, int] | None:
        """
        Return the host and port that a client names, or None if it is gone before.

        """
        head = b''
        while b'\r\n\r\n' not in head:
            try:
                received = await client.recv(1)
            except OSError:
                return None
            # At the end of a connection, `recv` returns at once, again and again.
            if not received or len(head) >= MAX_HEAD_BYTES:
                return None
            head += received
        host, _, port = head.split(b' ')[1].decode().rpartition(':')
        return host, int(port)

    async def _forward(self, source: Any, target: Any, regions: RegionPair) -> None:
        try:
            while data := await source.recv(PORTION_BYTES):
                if regions[0] != regions[1]:
                    link = self.links.setdefault(regions, _Link(self.bytes_per_s))
                    await link.pass_on(len(data))
                await target.sendall(data)
        except OSError:
            # One side has reset its connection; the group closes both.
            return
