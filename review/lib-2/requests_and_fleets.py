"""
What the cases have in common: requests of callers, documents with one route, and waiting.

"""

import itertools
import os
import time
from collections.abc import Callable
from typing import Final

from millfork_core.ids import ServiceName
from millfork_platform import client_requests
from millfork_routing.documents import Document, Route, RouteKind, Service, Share
from millfork_web.models import Request

# Without the disruption, a case must pass.
TROUBLE: Final = os.environ.get('TROUBLE', '1') != '0'
# Bounds of the users' small sites: `contact_ms`, `config_apply_ms`, `drain_ms`, `version_ms`.
CONTACT_S: Final = 3.0
CONFIG_APPLY_S: Final = 2.0
DRAIN_S: Final = 2.0
VERSION_MS: Final = 8000
HOST: Final = 'h.example'
NUMBERS: Final = itertools.count(1)


def request(method: str, path: str, deadline_ms: int, *headers: tuple[str, str]) -> Request:
    """A request of a caller, with an id of its own."""
    number = next(NUMBERS)
    common = [
        ('host', HOST),
        ('authorization', 'Bearer key'),
        (client_requests.REQUEST_ID, f'q{number:06}'),
        (client_requests.DEADLINE_MS, str(deadline_ms)),
    ]
    body = f'body {number}'.encode() if method == 'POST' else b''
    return Request(method, path, [*common, *headers], body)


def id_of(sent: Request) -> str:
    return dict(sent.headers)[client_requests.REQUEST_ID]


def safe_route(prefix: str, service: str) -> Route:
    shares = (Share(ServiceName(service), 1),)
    return Route(prefix, HOST, prefix, RouteKind.SAFE, 1500, 300, 1, shares, 2, False, False, 0)


def plain_document(version: int, route: Route, *services: str) -> Document:
    return Document(version, (route,), tuple(Service(ServiceName(name), 264) for name in services))


def wait_until(condition: Callable[[], bool], seconds: float, what: str) -> None:
    """
    Wait until the condition holds.

    :raises RuntimeError: if it doesn't within `seconds`.

    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.05)
    raise RuntimeError(f'not reached: {what}')
