"""
The requests that run on simulated engines, with the layers that each of them uses.

"""

import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING

from millfork_standins.staged_pieces import TakenLayer

if TYPE_CHECKING:
    from millfork_standins.staging_engine import StagingEngine


@dataclass(frozen=True, slots=True)
class Violation:
    """
    A stream that had an event made, at `at` (monotonic seconds), with layers that it may not use.

    """

    instance: str
    request_id: str
    reason: str
    layers: tuple[TakenLayer, ...]
    at: float


@dataclass(eq=False, slots=True)
class RunningRequest:
    """
    A request that runs on `engines`, of which the first one has the connection `sock`, through
    `layers` in this order.

    """

    sock: socket.socket
    request_id: str
    engines: list['StagingEngine']
    layers: list[TakenLayer]
    made_event: bool = False

    def cut(self) -> None:
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The entry has closed the connection.
            return

    def violation_reason(self, layer_count: int) -> str:
        """
        Why the request may not run through its layers; empty if it may.

        """
        if any(layer.is_bad for layer in self.layers):
            return 'a layer was taken from pieces that had been bad for too long'
        if len({layer.version for layer in self.layers}) > 1:
            return 'the path has two versions'
        if [layer.number for layer in self.layers] != list(range(layer_count)):
            return 'the path does not run each layer once and in order'
        return ''
