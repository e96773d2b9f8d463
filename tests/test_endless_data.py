"""
Endless data from engines, the origin of weights and other daemons.

"""

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_platform.adapter import PlatformAdapter
from millfork_routing.documents import OriginSpec
from millfork_web.client import READ_BYTES, Client, InvalidAnswer
from millfork_wire import peers as peers_module
from millfork_wire.peers import PeerAddress, Peers, PeerUnreachable
from millforkd.sidecar.engine import MAX_REPORT_BYTES, LocalEngine
from millforkd.sidecar.origin import ANSWER_MARGIN_BYTES, Origin
from millforkd.sidecar.pieces import PieceSet, WeightsId
from tests.test_servers import ENGINE

FILL = b'x' * 16_384
HEAD = b'HTTP/1.1 200 OK\r\n'
ANSWERS = {
    'a body': (HEAD + b'transfer-encoding: chunked\r\n\r\n', b'4000\r\n' + FILL + b'\r\n'),
    'a body without framing': (HEAD + b'\r\n', FILL),
    'a head': (HEAD, b'x: y\r\n' * 1000),
    'informational answers': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n' * 100),
    'no answer': (b'', FILL),
}
TIMEOUT_S = 20.0
BOTH = pytest.mark.parametrize('name', ANSWERS)


class EndlessServer:
    """
    Sends `head` on each connection, then `fill` again and again until the peer closes it.

    """

    def __init__(self, head, fill):
        self.head = head
        self.fill = fill
        self.accepted = 0
        self.open = 0

    async def start(self):
        listener = curio.tcp_server_socket('127.0.0.1', 0)
        self.port = listener.getsockname()[1]
        self.task = await curio.spawn(curio.network.run_server, listener, self._send)

    async def _send(self, sock, address):
        self.accepted += 1
        self.open += 1
        try:
            await sock.sendall(self.head)
            while True:
                await sock.sendall(self.fill)
        except OSError:
            self.open -= 1

    async def wait_until_closed(self):
        while self.open:
            await curio.sleep(0.01)
        await self.task.cancel()


def run(task, *arguments):
    async def limited():
        async with curio.timeout_after(TIMEOUT_S):
            return await task(*arguments)

    return curio.run(limited)


def env(name='a'):
    return Environment(InstanceId(name), ZoneId('zone'))


@BOTH
def test_an_endless_report_of_an_engine_is_not_read_to_its_end(name):
    """
    Guards against a daemon that is filled, or kept busy, by the report address of an engine.

    """

    async def scenario():
        server = EndlessServer(*ANSWERS[name])
        await server.start()
        client = Client('127.0.0.1', server.port)
        engine = LocalEngine(PlatformAdapter(), client)
        assert [await engine.report() for _ in range(3)] == [None] * 3
        await server.wait_until_closed()
        assert server.accepted == 1
        assert client.bytes_transferred < MAX_REPORT_BYTES + 2 * READ_BYTES

    run(scenario)


@BOTH
def test_an_endless_answer_of_the_origin_is_not_read_to_its_end(name):
    """
    Guards against caches that are filled by the origin, and against the use of its link by the
    same request again and again.

    """

    async def scenario():
        server = EndlessServer(*ANSWERS[name])
        await server.start()
        spec = OriginSpec('127.0.0.1', server.port, 1)
        origin = Origin(env(), PlatformAdapter(), '', lambda: spec, lambda: ENGINE)
        held = PieceSet(WeightsId('m', 1))
        assert [await origin.fetch_piece(held, 0) for _ in range(3)] == [None] * 3
        assert not await origin.fetch_digests(held)
        await server.wait_until_closed()
        assert server.accepted == 1
        limit = ENGINE.piece_bytes + ANSWER_MARGIN_BYTES
        assert origin.client.bytes_transferred < limit + 2 * READ_BYTES

    run(scenario)


def test_a_dialled_port_that_sends_endless_data_is_left_alone():
    """
    Guards against endless data at the address of another daemon.

    """

    async def scenario():
        server = EndlessServer(b'', FILL)
        await server.start()
        peers = Peers(env(), 'entry', '127.0.0.1', 0, b'key', None)
        address = PeerAddress(InstanceId('b'), '127.0.0.1', server.port)
        for _ in range(3):
            with pytest.raises(PeerUnreachable):
                await peers.connect(address)
        await server.wait_until_closed()
        assert server.accepted == 1

    run(scenario)


@pytest.mark.parametrize(('fill', 'pause_s'), [(FILL, 0.0), (b'\0', 0.05)])
def test_a_dialling_peer_that_sends_endless_data_is_cut_off(monkeypatch, fill, pause_s):
    """
    Guards against connections to a daemon's port that never become those of a peer.

    """
    monkeypatch.setattr(peers_module, 'HANDSHAKE_TIMEOUT_S', 0.2)

    async def scenario():
        peers = Peers(env(), 'entry', '127.0.0.1', 0, b'key', None)
        listener = curio.tcp_server_socket('127.0.0.1', 0)
        accepting = await curio.spawn(curio.network.run_server, listener, peers._accept)
        sock = await curio.open_connection(*listener.getsockname())
        with pytest.raises(OSError):
            while True:
                await sock.sendall(fill)
                await curio.sleep(pause_s)
        assert not peers.connections
        await accepting.cancel()

    run(scenario)


@pytest.mark.parametrize(
    'head',
    [
        b'HTTP/1.1 000 Text\r\n\r\n',
        b'HTTP/1.1 600 Text\r\n\r\n',
        b'HTTP/1.1 100 Continue\r\ncontent-length: 9\r\n\r\nnot found',
    ],
    ids=['000', '600', 'a body behind 100'],
)
def test_a_status_that_is_none_is_no_answer_to_a_call_of_a_daemon(head):
    """
    Guards against calls that take such an answer for one, or wait for another until they time out.

    """

    async def answer(sock, address):
        await sock.sendall(head)
        while await sock.recv(1000):
            continue

    async def scenario():
        listener = curio.tcp_server_socket('127.0.0.1', 0)
        port = listener.getsockname()[1]
        server = await curio.spawn(curio.network.run_server, listener, answer)
        with pytest.raises(InvalidAnswer):
            await Client('127.0.0.1', port).fetch('GET', '/', [], timeout=TIMEOUT_S / 4)
        await server.cancel()

    run(scenario)
