"""
Callers and an operator that record the responses they get.

"""

import itertools
import threading
import time
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from http.client import HTTPConnection, HTTPException
from random import Random
from typing import ClassVar, Final

from millfork_core.ids import OrganisationId, ServiceName
from millfork_platform import client_requests
from millfork_routing.documents import (
    Document,
    Organisation,
    Route,
    RouteKind,
    Service,
    Share,
)
from millfork_standins.back_end import STREAM_EVENTS, STREAM_PATH, stream_event
from millfork_standins.http_calls import call
from millfork_standins.seeded import SeededFleet
from millfork_standins.seeded_ports import CALLERS_PORT, CONTROL_PORT

SERVICE: Final = ServiceName('plain')
MAX_CONNECTIONS: Final = 64
PLAIN_SERVICE: Final = Service(SERVICE, MAX_CONNECTIONS)
DEADLINE_MS: Final = 3000
CALL_TIMEOUT_S: Final = 5.0
REQUEST_INTERVAL_S: Final = 0.02
# Now and then, a caller leaves its connection idle for up to this time. As it is shorter than
# `contact_ms`, a connection that broke in a fault is noticed while the fault excuses the request.
MAX_IDLE_S: Final = 2.9
IDLE_SHARE: Final = 0.05
CHANGE_INTERVAL_S: Final = 0.8
# Some changes follow each other at this interval.
SERIES_INTERVAL_S: Final = 0.05
SERIES_SHARE: Final = 0.4
ROUTE_HOST: Final = 'h.example'
API_KEY: Final = 'key'
ORGANISATION: Final = OrganisationId('org')


WHOLE_BODY: Final = b'answer'
WHOLE_STREAM: Final = b''.join(stream_event(number) for number in range(1, STREAM_EVENTS + 1))


class RequestKind(Enum):
    """
    A kind of request of the callers; the value is the prefix of its path.

    """

    SAFE = '/safe/'
    UNSAFE = '/unsafe/'
    STREAM = STREAM_PATH


@dataclass(slots=True)
class Timeline:
    """
    When a request was sent, on which connection, and when its answer was complete or its
    connection broke. Times are monotonic seconds.

    """

    entry: str
    connected_at: float
    started_at: float
    # None if the request could not be sent completely.
    sent_at: float | None = None
    # Whether the head of an answer arrived.
    has_head: bool = False
    ended_at: float = 0.0


@dataclass(frozen=True, slots=True)
class Answer:
    """
    The response to one request; `status` is 0 if no complete response arrived. `echoed_id` and
    `back_end` are the request ID and the name of the back end in the response's headers.

    """

    request_id: str
    repeatable: bool
    status: int
    echoed_id: str = ''
    back_end: str = ''
    body: bytes = b''
    expected_body: bytes = WHOLE_BODY
    timeline: Timeline | None = None


@dataclass(frozen=True, slots=True)
class DrawnRequest:
    """
    A request that a caller is about to send. `headers` are besides the id, host, key and deadline.

    """

    method: str
    path: str
    body: bytes | None
    repeatable: bool
    expected_body: bytes
    host: str = ROUTE_HOST
    deadline_ms: int = DEADLINE_MS
    headers: Mapping[str, str] = field(default_factory=dict)


class Caller:
    """
    Sends one request after another over one connection. When the connection breaks, the caller
    connects to a random entry.

    """

    # The start of the ids of all requests.
    id_prefix: ClassVar[str] = ''

    def __init__(self, number: int, fleet: SeededFleet, stop: threading.Event) -> None:
        self.number = number
        self.fleet = fleet
        self.stop = stop
        self.random = Random(number)
        self.answers: list[Answer] = []
        self.ids = itertools.count()
        self.connection: HTTPConnection | None = None
        self.connected_at = 0.0
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        while not self.stop.wait(self._interval_s()):
            self.answers.append(self._send_request())

    def _interval_s(self) -> float:
        if self.random.random() < IDLE_SHARE:
            return self.random.uniform(0.0, MAX_IDLE_S)
        return REQUEST_INTERVAL_S

    def _choose_entry(self) -> str:
        return self.random.choice(self.fleet.entry_hosts)

    def _draw_request(self, request_id: str) -> DrawnRequest:
        kind = self.random.choice(list(RequestKind))
        method, body = ('GET', None) if kind is RequestKind.SAFE else ('POST', b'body')
        if kind is RequestKind.STREAM:
            # Streams that break off often must not make each other suspected.
            body = request_id.encode()
        expected_body = WHOLE_STREAM if kind is RequestKind.STREAM else WHOLE_BODY
        repeatable = kind is not RequestKind.UNSAFE
        return DrawnRequest(method, f'{kind.value}x', body, repeatable, expected_body)

    def _send_request(self) -> Answer:
        request_id = f'{self.id_prefix}{self.number}-{next(self.ids)}'
        drawn = self._draw_request(request_id)
        headers = {
            'host': drawn.host,
            'authorization': f'Bearer {API_KEY}',
            client_requests.REQUEST_ID: request_id,
            client_requests.DEADLINE_MS: str(drawn.deadline_ms),
            **drawn.headers,
        }
        if self.connection is None:
            self.connection = HTTPConnection(
                self._choose_entry(), CALLERS_PORT, timeout=CALL_TIMEOUT_S
            )
        if self.connection.sock is None:
            self.connected_at = time.monotonic()
        timeline = Timeline(self.connection.host, self.connected_at, time.monotonic())
        try:
            self.connection.request(drawn.method, drawn.path, drawn.body, headers)
            timeline.sent_at = time.monotonic()
            response = self.connection.getresponse()
            timeline.has_head = True
            received = response.read()
        except (OSError, HTTPException):
            self.connection.close()
            self.connection = None
            return Answer(request_id, drawn.repeatable, 0, timeline=timeline)
        finally:
            timeline.ended_at = time.monotonic()
        return Answer(
            request_id,
            drawn.repeatable,
            response.status,
            response.headers.get(client_requests.REQUEST_ID, ''),
            response.headers.get(client_requests.SIGNATURE, ''),
            received,
            drawn.expected_body,
            timeline,
        )


class Operator:
    """
    Replaces the configuration document repeatedly, and reads the document after each change.

    """

    def __init__(self, fleet: SeededFleet, stop: threading.Event) -> None:
        self.fleet = fleet
        self.stop = stop
        self.random = Random(0)
        # The service of all documents, and other services and routes that all documents have.
        self.service = PLAIN_SERVICE
        self.other_services: tuple[Service, ...] = ()
        self.other_routes: tuple[Route, ...] = ()
        self.version = 1
        self.acknowledged_version = 0
        # When each version was acknowledged (monotonic seconds).
        self.acknowledged_at: dict[int, float] = {}
        # Descriptions of the reads that returned an older version than the last version that was
        # acknowledged before the read.
        self.stale_reads: list[str] = []
        self.reads = 0
        self.thread = threading.Thread(target=self._run, daemon=True)

    def put_next(self) -> bool:
        """
        Send the next version of the document; return True if a replica acknowledged it.

        """
        self.version += 1
        if self.fleet.put_document(self.next_document()).status != 200:
            return False
        self.acknowledged_at[self.version] = time.monotonic()
        self.acknowledged_version = self.version
        return True

    def next_document(self) -> Document:
        next_document = document(self.version, self.service)
        return replace(
            next_document,
            services=next_document.services + self.other_services,
            routes=next_document.routes + self.other_routes,
        )

    def read(self) -> int | None:
        """
        Read the document from the first replica that answers with status 200, and return the
        document's version, or None if no replica answers so.

        """
        for host in self.fleet.replica_hosts:
            reply = call(host, CONTROL_PORT, client_requests.read_document_request())
            if reply.status == 200:
                return client_requests.document_version(reply.body)
        return None

    def _interval_s(self) -> float:
        return SERIES_INTERVAL_S if self.random.random() < SERIES_SHARE else CHANGE_INTERVAL_S

    def _reads_back(self) -> bool:
        return True

    def _run(self) -> None:
        while not self.stop.wait(self._interval_s()):
            self.put_next()
            if not self._reads_back():
                continue
            acknowledged_before = self.acknowledged_version
            read_version = self.read()
            if read_version is None:
                continue
            self.reads += 1
            if read_version < acknowledged_before:
                self.stale_reads.append(
                    f'read version {read_version} after {acknowledged_before} was acknowledged'
                )


def version_prefix(version: int) -> str:
    """
    Return the prefix of the route that each version adds.

    """
    return f'/v{version}/'


def route(version: int, prefix: str, kind: RouteKind, service: Service) -> Route:
    shares = (Share(service.name, 1),)
    max_attempts = 1 + version % 2
    return Route(
        prefix, ROUTE_HOST, prefix, kind, 4000, 300, 1, shares, max_attempts, False, True, 0
    )


def document(version: int, service: Service = PLAIN_SERVICE) -> Document:
    """
    Return a document with three routes that all versions have, and one that only this version has.
    Versions with an even number allow each request one attempt, the others two.

    """
    kinds = {
        RequestKind.SAFE.value: RouteKind.SAFE,
        RequestKind.UNSAFE.value: RouteKind.UNSAFE,
        RequestKind.STREAM.value: RouteKind.STREAMING,
        version_prefix(version): RouteKind.SAFE,
    }
    routes = tuple(route(version, prefix, kind, service) for prefix, kind in kinds.items())
    organisation = Organisation(ORGANISATION, (API_KEY,))
    return Document(version, routes, (service,), (organisation,))
