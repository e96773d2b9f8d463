"""
A stand-in for the platform's instance list that shows changes with a delay.

"""

import time
from typing import Any

from millfork_standins.settings import PlatformSettings
from millfork_web.exchange import Exchange
from millfork_web.models import json_response
from millfork_web.server import Server


class Platform:
    """
    One platform process. `PUT /instances` sets an instance, `DELETE /instances/NAME` removes one;
    readers see changes `lag_ms` late. After `POST /deaf` with a `host`, the reader at this
    address sees no further changes.

    """

    def __init__(self, settings: PlatformSettings) -> None:
        self.settings = settings
        self.version = 0
        self.instances: dict[str, dict[str, Any]] = {}
        # Version of the list after each instance's last change, and the time of that change
        # (monotonic seconds).
        self.last_changes: dict[str, tuple[int, float]] = {}
        # Newest version of the list that a reader sees after `POST /deaf`, by the reader's host.
        self.frozen_versions: dict[str, int] = {}
        self.server = Server(*settings.listen.pair, self.handle)

    async def run(self) -> None:
        await self.server.run()

    async def handle(self, exchange: Exchange) -> None:
        request = exchange.request
        if request.method == 'PUT':
            self._set_instance(request.json())
        if request.method == 'DELETE':
            self._remove_instance(request.path.rsplit('/', 1)[1])
        if request.method == 'POST':
            self.frozen_versions[request.json()['host']] = self.version
        if request.method != 'GET':
            await exchange.respond(json_response({'version': self.version}))
            return
        since = int(request.path.partition('since=')[2] or -1)
        host = exchange.sock.getpeername()[0]
        newest = self.frozen_versions.get(host, self.version)
        await exchange.respond(json_response(self._list_changes(since, newest)))

    def _set_instance(self, listing: dict[str, Any]) -> None:
        self.version += 1
        self.instances[listing['instance']] = listing
        self.last_changes[listing['instance']] = (self.version, time.monotonic())

    def _remove_instance(self, name: str) -> None:
        self.version += 1
        self.instances.pop(name, None)
        self.last_changes[name] = (self.version, time.monotonic())

    def _list_changes(self, since: int, newest: int) -> dict[str, Any]:
        """
        Return the visible changes after version `since`, or the full visible list if `since` is
        negative or newer than the newest visible version. A version is visible if it is at most
        `newest` and older than the first change that was made less than `lag_ms` ago.

        """
        visible_until = time.monotonic() - self.settings.lag_ms / 1000
        hidden = [version for version, at in self.last_changes.values() if at > visible_until]
        visible = min(min(hidden, default=self.version + 1) - 1, newest)
        full = since < 0 or since > visible
        names = [
            name
            for name, (version, _) in self.last_changes.items()
            if version <= visible and (full or version > since)
        ]
        return {
            'version': visible,
            'full': full,
            'changed': [self.instances[name] for name in names if name in self.instances],
            'removed': [name for name in names if name not in self.instances],
        }
