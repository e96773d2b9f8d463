"""
The platform's instance list; it lags.

"""

import time
from typing import Any

from millfork_standins.settings import PlatformSettings
from millfork_web.models import json_response
from millfork_web.server import Exchange, Server


class Platform:
    """
    One list process. `PUT /instances` sets an instance, `DELETE` removes
    one; what readers see is `lag_ms` old. `POST /deaf` with a `host` lets
    that reader see no change from now on.

    """

    def __init__(self, settings: PlatformSettings) -> None:
        self.settings = settings
        self.version = 0
        self.instances: dict[str, dict[str, Any]] = {}
        self.changed: dict[str, tuple[int, float]] = {}
        self.deaf: dict[str, int] = {}
        self.server = Server(*settings.listen.pair, self.answer)

    async def run(self) -> None:
        await self.server.run()

    async def answer(self, exchange: Exchange) -> None:
        request = exchange.request
        if request.method == 'PUT':
            self._set(request.json())
        if request.method == 'DELETE':
            self._remove(request.path.rsplit('/', 1)[1])
        if request.method == 'POST':
            self.deaf[request.json()['host']] = self.version
        if request.method != 'GET':
            await exchange.respond(json_response({'version': self.version}))
            return
        since = int(request.path.partition('since=')[2] or -1)
        host = exchange.sock.getpeername()[0]
        newest = self.deaf.get(host, self.version)
        await exchange.respond(json_response(self._delta(since, newest)))

    def _set(self, facts: dict[str, Any]) -> None:
        self.version += 1
        self.instances[facts['instance']] = facts
        self.changed[facts['instance']] = (self.version, time.monotonic())

    def _remove(self, name: str) -> None:
        self.version += 1
        self.instances.pop(name, None)
        self.changed[name] = (self.version, time.monotonic())

    def _delta(self, since: int, newest: int) -> dict[str, Any]:
        """
        Changes after version `since`, up to `newest` and as far as the lag
        lets them be seen.

        """
        seen_until = time.monotonic() - self.settings.lag_ms / 1000
        hidden = [version for version, at in self.changed.values() if at > seen_until]
        visible = min(min(hidden, default=self.version + 1) - 1, newest)
        full = since < 0 or since > visible
        names = [
            name
            for name, (version, _) in self.changed.items()
            if version <= visible and (full or version > since)
        ]
        return {
            'version': visible,
            'full': full,
            'changed': [self.instances[name] for name in names if name in self.instances],
            'removed': [name for name in names if name not in self.instances],
        }
