"""
Starts a daemon that reaches its peers through the proxy (`region_links`) whose address is in the
environment variable `MILLFORK_REGION_PROXY`.

"""

import os
import runpy
import sys
from pathlib import Path
from typing import Final
from unittest.mock import patch

ROOT: Final = Path(__file__).resolve().parents[3]
# Replaces this folder, whose modules would hide others of the same name.
sys.path[:1] = [str(path) for path in (*(ROOT / 'packages').iterdir(), ROOT / 'platform')]

from millfork_wire.transport import Transport, dial  # noqa: E402

PROXY_VARIABLE: Final = 'MILLFORK_REGION_PROXY'


async def dial_through_proxy(
    host: str, port: int, source: str, via: tuple[str, int] | None
) -> Transport:
    proxy_host, _, proxy_port = os.environ[PROXY_VARIABLE].rpartition(':')
    return await dial(host, port, source, (proxy_host, int(proxy_port)))


if __name__ == '__main__':
    patch('millfork_wire.peers.dial', dial_through_proxy).start()
    runpy.run_path(str(ROOT / 'deploy' / 'millforkd.py'), run_name='__main__')
