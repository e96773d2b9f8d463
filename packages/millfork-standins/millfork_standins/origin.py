"""
A stand-in for the origin (the weight store) with a limited rate and faults that tests turn on.

"""

import random
import re
import time
from typing import Any, Final

import curio

from millfork_standins.settings import OriginSettings, VersionSettings
from millfork_standins.weights import make_weights
from millfork_web.exchange import Exchange
from millfork_web.models import Response, json_response
from millfork_web.server import Server
from millfork_weights.links import RateLimiter
from millfork_weights.manifest import build_manifest, encode_manifest

RANGE_HEADER: Final = re.compile(r'bytes=(\d+)-(\d+)')


class Origin:
    """
    One origin process. `POST /control` takes any of three fields: `corrupt_share`, the share of
    the ranges that are sent with a wrong first byte; `stalled`, whether requests for manifests and
    weights wait; and `replace`, the settings of a version to replace or add.

    """

    def __init__(self, settings: OriginSettings) -> None:
        self.settings = settings
        self.rate_limiter = RateLimiter(settings.bytes_per_s, time.monotonic)
        self.random = random.Random(0)
        self.corrupt_share = 0.0
        self.stalled = False
        self.bytes_sent = 0
        self.bytes_by_version: dict[str, int] = {}
        self.weights: dict[tuple[str, str], bytes] = {}
        self.manifests: dict[tuple[str, str], bytes] = {}
        for spec in settings.versions:
            self._add_version(spec)
        self.server = Server(*settings.listen.pair, self.handle)

    def _add_version(self, spec: VersionSettings) -> None:
        base = self.weights.get((spec.name, spec.base), b'')
        data = make_weights(spec, base, self.settings.chunk_bytes)
        manifest = build_manifest(spec.name, spec.version, data, self.settings.chunk_bytes)
        self.weights[(spec.name, spec.version)] = data
        self.manifests[(spec.name, spec.version)] = encode_manifest(manifest)

    async def run(self) -> None:
        await self.server.run()

    async def handle(self, exchange: Exchange) -> None:
        path = exchange.request.path
        if path == '/stats':
            await exchange.respond(
                json_response({'bytes': self.bytes_sent, 'draws': self.bytes_by_version})
            )
            return
        if path == '/control':
            self._control(exchange.request.json())
            await exchange.respond(json_response({'ok': True}))
            return
        await self._handle_model_request(exchange, path.split('/'))

    def _control(self, changes: dict[str, Any]) -> None:
        self.corrupt_share = changes.get('corrupt_share', self.corrupt_share)
        self.stalled = changes.get('stalled', self.stalled)
        if 'replace' in changes:
            self._add_version(VersionSettings(**changes['replace']))

    async def _handle_model_request(self, exchange: Exchange, segments: list[str]) -> None:
        key = (segments[2], segments[3]) if len(segments) == 5 else ('', '')
        if key not in self.weights:
            await exchange.respond(json_response({'error': 'no such version'}, 404))
            return
        while self.stalled:
            await curio.sleep(0.05)
        if segments[4] == 'manifest':
            await exchange.respond(Response(200, [], self.manifests[key]))
            return
        range_match = RANGE_HEADER.fullmatch(exchange.request.header('range'))
        if range_match is None:
            await exchange.respond(
                json_response({'error': 'the request needs a Range header'}, 416)
            )
            return
        await self._send_range(exchange, key, int(range_match[1]), int(range_match[2]) + 1)

    async def _send_range(
        self, exchange: Exchange, key: tuple[str, str], start: int, stop: int
    ) -> None:
        data = self.weights[key][start:stop]
        await self.rate_limiter.acquire(len(data))
        self.bytes_sent += len(data)
        name = '/'.join(key)
        self.bytes_by_version[name] = self.bytes_by_version.get(name, 0) + len(data)
        if self.random.random() < self.corrupt_share:
            data = bytes([data[0] ^ 0xFF]) + data[1:]
        await exchange.respond(Response(206, [], data))
