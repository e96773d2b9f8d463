"""
Loopback proxies in front of daemons: a machine that goes dark, and a partition between machines.

"""

import asyncio
import socket
from typing import Final

READ_BYTES: Final = 65536
POLL_S: Final = 0.01
# Connections that fill the queue of a machine without power, so that no other is answered.
FILLERS: Final = 8


class Proxy:
    """
    Forwards connections from `host` to the daemon at `target`. While the source of a connection is
    in `cut_from`, nothing passes in either direction, and it passes later, as packets that are sent
    again do.

    """

    def __init__(self, loop, host, target, port):
        self.loop = loop
        self.address = (host, port)
        self.target = (target, port)
        self.cut_from = set()
        self.is_dark = False
        self.fillers = []
        # Kept open, as a machine without power closes nothing.
        self.sockets = []
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(self.address)
        self.listener.listen(1)
        self.listener.setblocking(False)
        loop.call_soon_threadsafe(loop.add_reader, self.listener, self.accept)

    def accept(self):
        try:
            sock, address = self.listener.accept()
        except BlockingIOError:
            return
        sock.setblocking(False)
        self.sockets.append(sock)
        self.loop.create_task(self.forward(sock, address[0]))

    async def forward(self, sock, source):
        await self.wait_until_passing(source)
        out = socket.socket()
        out.setblocking(False)
        self.sockets.append(out)
        try:
            out.bind((source, 0))
            await self.loop.sock_connect(out, self.target)
        except OSError:
            sock.close()
            return
        await asyncio.gather(self.pump(sock, out, source), self.pump(out, sock, source))

    async def wait_until_passing(self, source):
        while self.is_dark or source in self.cut_from:
            await asyncio.sleep(POLL_S)

    async def pump(self, reader, writer, source):
        try:
            while data := await self.loop.sock_recv(reader, READ_BYTES):
                await self.wait_until_passing(source)
                await self.loop.sock_sendall(writer, data)
            await self.wait_until_passing(source)
            writer.shutdown(socket.SHUT_WR)
        except OSError:
            await self.wait_until_passing(source)
            for sock in (reader, writer):
                self.shut_down(sock)

    @staticmethod
    def shut_down(sock):
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def go_dark(self):
        """Answer nothing any more, like a machine without power, also no new connection."""
        self.is_dark = True
        self.loop.call_soon_threadsafe(self.loop.remove_reader, self.listener)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.fillers.append(filler)
