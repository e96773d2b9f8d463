"""
A stand-in for a model engine: continuous batching, a prefix cache, priorities and load orders.

The tokens are computed from the weights that the engine loaded, so that a caller notices an
answer from partial or mixed weights.

"""

import json
import os
import socket
import time
import uuid
from collections import OrderedDict
from pathlib import Path
from typing import Any, Final

import blake3
import curio

from millfork_core.sockets import RESET_ON_CLOSE
from millfork_standins.execution_log import ExecutionLog
from millfork_standins.settings import EngineSettings
from millfork_standins.weights import token, weights_key
from millfork_web.exchange import Exchange
from millfork_web.models import Headers, json_response
from millfork_web.server import Server

PREFIX_CHARS: Final = 64
DEFAULT_MAX_TOKENS: Final = 8
READ_CHUNK_BYTES: Final = 1024 * 1024
# A request with this prompt crashes the engine that runs it.
CRASHING_PROMPT: Final = 'this ends the engine that runs it'
CRASHED: Final = 'crash'


class Engine:
    """
    One engine process. `handle` answers requests for completions, orders of the endpoint daemon
    (load or unload a version, set the role), and requests for status, load, cache events and
    transfers of cached prefixes.

    """

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.log = ExecutionLog(settings.log)
        self.incarnation = uuid.uuid4().hex
        self.fencing_number = 0
        self.role = 'mixed'
        self.loaded: dict[str, str] = {}
        self.running_requests = 0
        self.waiting: list[tuple[int, int, curio.Event]] = []
        self.arrivals = 0
        self.prefix_times: OrderedDict[str, float] = OrderedDict()
        self.events: list[dict[str, Any]] = []
        self.reported_load = {'running': 0, 'waiting': 0}
        self.is_crashing = False
        self.exchanges: set[Exchange] = set()
        self.server = Server(*settings.listen.pair, self.handle)

    async def run(self) -> None:
        await curio.spawn(self._publish_load, daemon=True)
        await self.server.run()

    async def _publish_load(self) -> None:
        while True:
            self.reported_load = {'running': self.running_requests, 'waiting': len(self.waiting)}
            await curio.sleep(self.settings.load_lag_ms / 1000)

    async def handle(self, exchange: Exchange) -> None:
        if self.is_crashing:
            await exchange.abort()
            return
        self.exchanges.add(exchange)
        try:
            await self._handle(exchange)
        finally:
            self.exchanges.discard(exchange)

    async def _handle(self, exchange: Exchange) -> None:
        path = exchange.request.path
        if path in ('/v1/completions', '/v1/chat/completions'):
            await self._complete(exchange)
            return
        if path == '/orders':
            await self._execute_order(exchange)
            return
        answers: dict[str, Any] = {
            '/status': {
                'incarnation': self.incarnation,
                'fencing_number': self.fencing_number,
                'loaded': list(self.loaded),
            },
            '/load': self.reported_load,
            '/events': [event for event in self.events if self._is_published(event)],
        }
        if path in answers:
            await exchange.respond(json_response(answers[path]))
            return
        if path.startswith('/kv/'):
            await self._transfer_cache(exchange, path.removeprefix('/kv/'))
            return
        await exchange.respond(json_response({'error': 'no such path'}, 404))

    def _is_published(self, event: dict[str, Any]) -> bool:
        lag_s = self.settings.event_lag_ms / 1000
        number = int(event['number'])
        # Multiples of the golden ratio spread the unpublished events evenly over all events.
        is_in_gap = (number * 0.618) % 1 < self.settings.event_gap_share
        return not is_in_gap and _now() - float(event['at']) > lag_s

    # Orders of the endpoint daemon.

    async def _execute_order(self, exchange: Exchange) -> None:
        order = exchange.request.json()
        is_outdated = order['number'] < self.fencing_number
        if is_outdated and self.settings.refuses_old_orders:
            await exchange.respond(json_response({'error': 'old fencing number'}, 409))
            return
        self.fencing_number = max(self.fencing_number, order['number'])
        self.log.write(kind='order', order=order['action'], number=order['number'], old=is_outdated)
        if order['action'] == 'load':
            await self._load(order['version'], order['parts'])
        if order['action'] == 'unload':
            self.loaded.pop(order['version'], None)
        if order['action'] == 'role':
            self.role = order['role']
        await exchange.respond(json_response({'loaded': list(self.loaded)}))

    async def _load(self, version: str, parts: list[dict[str, str]]) -> None:
        await curio.sleep(self.settings.load_s)
        digests = [await curio.run_in_thread(_digest_file, Path(part['path'])) for part in parts]
        self.loaded[version] = weights_key(digests)

    # Completions.

    async def _complete(self, exchange: Exchange) -> None:
        request = exchange.request
        body = request.json()
        key = self.loaded.get(body['model'])
        if key is None:
            await exchange.respond(json_response({'error': 'model not loaded'}, 404))
            return
        request_id = request.header('x-request-id')
        headers: Headers = [('millfork-version', body['model']), ('x-request-id', request_id)]
        prompt = body['prompt']
        self.log.write(kind='begin', id=request_id, nonce=body.get('nonce'), model=body['model'])
        if 'raw' in body:
            await self._send_raw(exchange, request_id, body)
            return
        await self._acquire_slot(int(request.header('x-priority') or 0))
        try:
            if prompt == CRASHING_PROMPT:
                await self._crash(exchange, headers, bool(body.get('stream')))
            await self._generate(exchange, headers, key, prompt, body)
        finally:
            await self._release_slot()
        self.log.write(kind='end', id=request_id, nonce=body.get('nonce'), model=body['model'])

    async def _generate(
        self,
        exchange: Exchange,
        headers: Headers,
        key: str,
        prompt: str,
        body: dict[str, Any],
    ) -> None:
        await curio.sleep(self._first_token_s(key, prompt))
        positions = range(body.get('resume_from', 0), body.get('max_tokens', DEFAULT_MAX_TOKENS))
        if not body.get('stream'):
            await curio.sleep(len(positions) * self.settings.token_ms / 1000)
            text = ' '.join(token(key, prompt, position) for position in positions)
            answer = {'choices': [{'text': text}], 'nonce': body.get('nonce')}
            response = json_response(answer)
            response.headers += headers
            if not body.get('unframed'):
                await exchange.respond(response)
                return
            await self._send_unframed(
                exchange, response.headers, [response.body[: body.get('cut')]]
            )
            return
        data = []
        for position in positions:
            event = {'text': token(key, prompt, position), 'nonce': body.get('nonce')}
            data.append(f'data: {json.dumps(event)}\n\n'.encode())
        data.append(b'data: [DONE]\n\n')
        if 'cut' in body:
            data = _cut(data, body['cut'])
        headers = [('content-type', 'text/event-stream'), *headers]
        if body.get('unframed'):
            await self._send_unframed(exchange, headers, data)
            return
        await exchange.start(200, headers)
        for part in data:
            await curio.sleep(self.settings.token_ms / 1000)
            await exchange.write(part)
        await exchange.finish()

    async def _send_unframed(self, exchange: Exchange, headers: Headers, data: list[bytes]) -> None:
        """
        Send an answer with neither a length nor chunks, and end its connection.

        """
        lines = ''.join(f'{name}: {value}\r\n' for name, value in headers)
        await exchange.sock.sendall(f'HTTP/1.1 200 OK\r\n{lines}\r\n'.encode())
        for part in data:
            await curio.sleep(self.settings.token_ms / 1000)
            await exchange.sock.sendall(part)
        await exchange.abort()

    async def _send_raw(self, exchange: Exchange, request_id: str, body: dict[str, Any]) -> None:
        """
        Send the text `raw` and, after `pause_s`, the text `rest`; in both, @id stands for the id of
        the request and @version for its version. Then close the connection, after the peer if
        `holds`, or reset it if `resets`.

        """
        for field, pause_s in (('raw', 0.0), ('rest', body.get('pause_s', 0.0))):
            await curio.sleep(pause_s)
            text = body.get(field, '').replace('@id', request_id).replace('@version', body['model'])
            await exchange.sock.sendall(text.encode())
        if body.get('holds'):
            await exchange.sock.recv(1)
        if body.get('resets'):
            exchange.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            await exchange.sock.close()
            return
        await exchange.abort()

    async def _crash(self, exchange: Exchange, headers: Headers, is_stream: bool) -> None:
        """
        Send the first event if the answer is a stream, wait for `crash_after_ms` and end the
        process. If `closes_after_ms` is positive, the engine closes its connections before the
        process ends, and the process ends `closes_after_ms` later; until then, the engine accepts
        new connections and closes them without an answer.

        """
        if is_stream:
            await exchange.start(200, [('content-type', 'text/event-stream'), *headers])
            await exchange.write(b'data: {}\n\n')
        await curio.sleep(self.settings.crash_after_ms / 1000)
        if not self.is_crashing:
            self.log.write(kind=CRASHED)
        self.is_crashing = True
        if self.settings.closes_after_ms:
            for sock in [*self.server.idle_sockets, *(other.sock for other in self.exchanges)]:
                await sock.shutdown(socket.SHUT_RDWR)
            await curio.sleep(self.settings.closes_after_ms / 1000)
        os._exit(1)

    async def _acquire_slot(self, priority: int) -> None:
        if self.running_requests < self.settings.slots:
            self.running_requests += 1
            return
        self.arrivals += 1
        slot_granted = curio.Event()
        self.waiting.append((-priority, self.arrivals, slot_granted))
        self.waiting.sort(key=lambda waiter: waiter[:2])
        try:
            await slot_granted.wait()
        except curio.CancelledError:
            if slot_granted.is_set():
                await self._release_slot()
            self.waiting = [waiter for waiter in self.waiting if waiter[2] is not slot_granted]
            raise

    async def _release_slot(self) -> None:
        if self.waiting:
            await self.waiting.pop(0)[2].set()
            return
        self.running_requests -= 1

    # Prefix cache.

    def _first_token_s(self, key: str, prompt: str) -> float:
        """
        Return the seconds until the first token, and cache the prefix of the prompt.

        """
        prefix = f'{key}/{prompt[:PREFIX_CHARS]}'
        hit = prefix in self.prefix_times
        self._cache_prefix(prefix)
        wait_ms = self.settings.cached_first_token_ms if hit else self.settings.first_token_ms
        return wait_ms / 1000

    def _cache_prefix(self, prefix: str) -> None:
        if prefix not in self.prefix_times:
            self._add_cache_event('stored', prefix)
        self.prefix_times[prefix] = _now()
        self.prefix_times.move_to_end(prefix)
        if len(self.prefix_times) > self.settings.cached_prefixes:
            evicted, _ = self.prefix_times.popitem(last=False)
            self._add_cache_event('removed', evicted)

    def _add_cache_event(self, kind: str, prefix: str) -> None:
        number = len(self.events) + 1
        self.events.append({'number': number, 'kind': kind, 'prefix': prefix, 'at': _now()})

    async def _transfer_cache(self, exchange: Exchange, prefix: str) -> None:
        if exchange.request.method == 'PUT':
            self._cache_prefix(prefix)
            await exchange.respond(json_response({'imported': prefix}))
            return
        is_cached = prefix in self.prefix_times
        await exchange.respond(json_response({'prefix': prefix}, 200 if is_cached else 404))


def _cut(data: list[bytes], byte_count: int) -> list[bytes]:
    """
    The first `byte_count` bytes of `data`.

    """
    kept = []
    for part in data:
        kept.append(part[:byte_count])
        byte_count -= len(kept[-1])
    return [part for part in kept if part]


def _now() -> float:
    return time.monotonic()


def _digest_file(path: Path) -> str:
    hasher = blake3.blake3()
    with path.open('rb') as file:
        while data := file.read(READ_CHUNK_BYTES):
            hasher.update(data)
    return hasher.hexdigest()
