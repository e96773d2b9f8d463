"""
The origin of weights: rate-limited, and able to go wrong on request.

"""

import random
import re
import time
from typing import Any, Final

import curio

from millfork_standins.settings import OriginSettings, VersionSettings
from millfork_standins.weights import make_weights
from millfork_web.models import Response, json_response
from millfork_web.server import Exchange, Server
from millfork_weights.links import RateLimiter
from millfork_weights.manifest import build_manifest, encode_manifest

RANGE: Final = re.compile(r'bytes=(\d+)-(\d+)')


class Origin:
    """
    One origin process. `POST /control` sets `corrupt_share`, `stalled`,
    `bytes_per_s`, or replaces a version (`replace`: a version's settings).

    """

    def __init__(self, settings: OriginSettings) -> None:
        self.settings = settings
        self.pace = RateLimiter(settings.bytes_per_s, time.monotonic)
        self.random = random.Random(0)
        self.corrupt_share = 0.0
        self.stalled = False
        self.bytes_sent = 0
        self.draws: dict[str, int] = {}
        self.weights: dict[tuple[str, str], bytes] = {}
        self.manifests: dict[tuple[str, str], bytes] = {}
        for spec in settings.versions:
            self._make(spec)
        self.server = Server(*settings.listen.pair, self.answer)

    def _make(self, spec: VersionSettings) -> None:
        base = self.weights.get((spec.name, spec.base), b'')
        data = make_weights(spec, base, self.settings.chunk_bytes)
        manifest = build_manifest(spec.name, spec.version, data, self.settings.chunk_bytes)
        self.weights[(spec.name, spec.version)] = data
        self.manifests[(spec.name, spec.version)] = encode_manifest(manifest)

    async def run(self) -> None:
        await self.server.run()

    async def answer(self, exchange: Exchange) -> None:
        path = exchange.request.path
        if path == '/stats':
            await exchange.respond(json_response({'bytes': self.bytes_sent, 'draws': self.draws}))
            return
        if path == '/control':
            self._control(exchange.request.json())
            await exchange.respond(json_response({'ok': True}))
            return
        await self._answer_model(exchange, path.split('/'))

    def _control(self, wish: dict[str, Any]) -> None:
        self.corrupt_share = wish.get('corrupt_share', self.corrupt_share)
        self.stalled = wish.get('stalled', self.stalled)
        if 'replace' in wish:
            self._make(VersionSettings(**wish['replace']))

    async def _answer_model(self, exchange: Exchange, steps: list[str]) -> None:
        key = (steps[2], steps[3]) if len(steps) == 5 else ('', '')
        if key not in self.weights:
            await exchange.respond(json_response({'error': 'no such version'}, 404))
            return
        while self.stalled:
            await curio.sleep(0.05)
        if steps[4] == 'manifest':
            await exchange.respond(Response(200, [], self.manifests[key]))
            return
        found = RANGE.fullmatch(exchange.request.header('range'))
        if found is None:
            await exchange.respond(json_response({'error': 'a range is needed'}, 416))
            return
        await self._send_range(exchange, key, int(found[1]), int(found[2]) + 1)

    async def _send_range(
        self, exchange: Exchange, key: tuple[str, str], start: int, stop: int
    ) -> None:
        data = self.weights[key][start:stop]
        await self.pace.acquire(len(data))
        self.bytes_sent += len(data)
        name = '/'.join(key)
        self.draws[name] = self.draws.get(name, 0) + len(data)
        if self.random.random() < self.corrupt_share:
            data = bytes([data[0] ^ 0xFF]) + data[1:]
        await exchange.respond(Response(206, [], data))
