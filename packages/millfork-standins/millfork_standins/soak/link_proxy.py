"""
A TCP proxy in front of a back end; the proxy can delay or hold back bytes and reset connections.

"""

import socket
import struct
import threading
import time
from typing import Final

from millfork_standins.back_end import LISTEN_BACKLOG
from millfork_standins.soak.fault_plan import Fault, FaultKind

READ_BYTES: Final = 64 * 1024
POLL_INTERVAL_S: Final = 0.02
DELAY_S: Final = 0.3
# Value of `SO_LINGER` with which a close sends a reset: on, with a timeout of 0 s.
RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)


class LinkProxy:
    """
    Listens on one address and forwards its connections to `target`.

    """

    def __init__(self, host: str, target: tuple[str, int]) -> None:
        self.target = target
        self.listener = socket.create_server((host, 0), backlog=LISTEN_BACKLOG)
        self.address: tuple[str, int] = self.listener.getsockname()
        self.delay_s = 0.0
        # Whether bytes to the back end (`holds_requests`) or from the back end (`holds_answers`)
        # are held back.
        self.holds_requests = False
        self.holds_answers = False
        self.open_sockets: set[socket.socket] = set()
        # The reset sockets whose threads have not ended yet.
        self.aborted: set[socket.socket] = set()
        self.is_closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def reset(self) -> None:
        """
        Reset all open connections.

        """
        for sock in list(self.open_sockets):
            self._abort(sock)

    def close(self) -> None:
        """
        Close the address and reset all connections; does nothing if the link is closed.

        """
        if self.is_closed:
            return
        self.is_closed = True
        # Wakes the thread that accepts connections; until it returns, the address stays open.
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.reset()

    def _accept(self) -> None:
        while not self.is_closed:
            try:
                sock, _ = self.listener.accept()
                peer = socket.create_connection(self.target)
            except OSError:
                continue
            self.open_sockets |= {sock, peer}
            for source, sink, is_request in ((sock, peer, True), (peer, sock, False)):
                threading.Thread(
                    target=self._forward, args=(source, sink, is_request), daemon=True
                ).start()

    def _forward(self, source: socket.socket, sink: socket.socket, is_request: bool) -> None:
        try:
            while data := source.recv(READ_BYTES):
                time.sleep(self.delay_s)
                while self.holds_requests if is_request else self.holds_answers:
                    time.sleep(POLL_INTERVAL_S)
                sink.sendall(data)
            if source in self.aborted:
                self._abort(sink)
                return
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            self._abort(sink)
        finally:
            self.aborted.discard(source)
            if not is_request:
                self.open_sockets -= {source, sink}

    def _abort(self, sock: socket.socket) -> None:
        self.aborted.add(sock)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            # Wakes the thread that reads the socket. Shutting both directions down would end the
            # connection in order, and the reset would come after the end of an answer.
            sock.shutdown(socket.SHUT_RD)
        except OSError:
            # The connection is closed already.
            pass
        sock.close()
        self.open_sockets.discard(sock)


def inject_link_fault(link: LinkProxy, fault: Fault) -> None:
    """
    Apply a fault to a link; returns when the fault has ended.

    """
    if fault.kind is FaultKind.RESET:
        link.reset()
        return
    link.delay_s = DELAY_S if fault.kind is FaultKind.DELAY else 0.0
    link.holds_requests = fault.kind is FaultKind.SILENCE
    link.holds_answers = fault.kind in (FaultKind.SILENCE, FaultKind.ONE_WAY)
    time.sleep(fault.duration_s)
    link.delay_s = 0.0
    link.holds_requests = link.holds_answers = False
