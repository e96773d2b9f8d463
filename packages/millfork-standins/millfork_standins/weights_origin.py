"""
A stand-in for the origin of weights: it sends the digests and the pieces of any version.

"""

import hashlib
import threading
from collections.abc import Callable
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Final

from millfork_platform.engine_requests import DigestsQuery, digests_body, read_origin_request
from millfork_routing.documents import OriginSpec

MAX_CONNECTIONS: Final = 64


@dataclass(frozen=True, slots=True)
class SimulatedWeights:
    """
    The weights of a model of `layers` layers, which are divided into `pieces` pieces.

    """

    model: str
    layers: int
    pieces: int
    piece_bytes: int = 64

    def piece(self, version: int, index: int) -> bytes:
        text = b'%d-%d ' % (version, index)
        return (text * (self.piece_bytes // len(text) + 1))[: self.piece_bytes]

    def digests(self, version: int) -> list[str]:
        return [
            hashlib.sha256(self.piece(version, index)).hexdigest() for index in range(self.pieces)
        ]

    def version_of(self, index: int, data: bytes) -> int | None:
        """
        The version to which the piece `data` with this index belongs; None if it is bad.

        """
        prefix = data.partition(b'-')[0]
        if not prefix.isdigit() or data != self.piece(int(prefix), index):
            return None
        return int(prefix)

    def pieces_of_layer(self, number: int) -> range:
        first = number * self.pieces // self.layers
        return range(first, -(-(number + 1) * self.pieces // self.layers))


class _Handler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    # An answer has two parts, of which the second would wait for an acknowledgement.
    disable_nagle_algorithm = True
    server: 'WeightsOrigin'

    def do_GET(self) -> None:
        weights = self.server.weights
        query = read_origin_request(self.path)
        if isinstance(query, DigestsQuery):
            digests = self.server.digest_lists(query.version)
            body = digests_body(weights.model, query.version, digests)
        else:
            self.server.sent_pieces += 1
            body = self.server.read_piece(query.version, query.index)
        self.send_response(200)
        self.send_header('content-length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *arguments: object) -> None:
        return None


class WeightsOrigin(ThreadingHTTPServer):
    """
    An origin that has all versions of one model.

    """

    daemon_threads = True
    request_queue_size = 256

    def __init__(self, host: str, weights: SimulatedWeights) -> None:
        super().__init__((host, 0), _Handler)
        self.weights = weights
        self.sent_pieces = 0
        # What is sent; tests replace these to send corrupt lists and pieces.
        self.digest_lists: Callable[[int], list[str]] = weights.digests
        self.read_piece: Callable[[int, int], bytes] = weights.piece
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def spec(self, zone: str) -> OriginSpec:
        """
        The origin as a document names it.

        """
        host, port = str(self.server_address[0]), int(self.server_address[1])
        return OriginSpec(host, port, MAX_CONNECTIONS, zone)

    def handle_error(self, request: object, client_address: object) -> None:
        """
        Ignore errors, as daemons close the connections of calls that they give up.

        """

    def end(self) -> None:
        self.shutdown()
        self.server_close()
