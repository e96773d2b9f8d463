"""
Callers and an operator that record the responses they get.

"""

import itertools
import threading
from dataclasses import dataclass
from http.client import HTTPConnection, HTTPException
from random import Random
from typing import Final

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
from millfork_standins.seeded import CALLERS_PORT, CONTROL_PORT, SeededFleet, call

SERVICE: Final = ServiceName('plain')
DEADLINE_MS: Final = 3000
CALL_TIMEOUT_S: Final = 5.0
REQUEST_INTERVAL_S: Final = 0.02
CHANGE_INTERVAL_S: Final = 0.8
ROUTE_HOST: Final = 'h.example'
API_KEY: Final = 'key'


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


class Caller:
    """
    Sends one request after another over one connection. When the connection breaks, the caller
    connects to a random entry.

    """

    def __init__(self, number: int, fleet: SeededFleet, stop: threading.Event) -> None:
        self.number = number
        self.fleet = fleet
        self.stop = stop
        self.random = Random(number)
        self.answers: list[Answer] = []
        self.ids = itertools.count()
        self.connection: HTTPConnection | None = None
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        while not self.stop.wait(REQUEST_INTERVAL_S):
            self.answers.append(self._send_request())

    def _send_request(self) -> Answer:
        request_id = f'{self.number}-{next(self.ids)}'
        repeatable = self.random.random() < 0.5
        headers = {
            'host': ROUTE_HOST,
            'authorization': f'Bearer {API_KEY}',
            client_requests.REQUEST_ID: request_id,
            client_requests.DEADLINE_MS: str(DEADLINE_MS),
        }
        method, path = ('GET', '/safe/x') if repeatable else ('POST', '/unsafe/x')
        if self.connection is None:
            host = self.random.choice(self.fleet.entry_hosts)
            self.connection = HTTPConnection(host, CALLERS_PORT, timeout=CALL_TIMEOUT_S)
        try:
            self.connection.request(method, path, None if repeatable else b'body', headers)
            response = self.connection.getresponse()
            body = response.read()
        except (OSError, HTTPException):
            self.connection.close()
            self.connection = None
            return Answer(request_id, repeatable, 0)
        return Answer(
            request_id,
            repeatable,
            response.status,
            response.headers.get(client_requests.REQUEST_ID, ''),
            response.headers.get(client_requests.SIGNATURE, ''),
            body,
        )


class Operator:
    """
    Replaces the configuration document repeatedly, and reads the document after each change.

    """

    def __init__(self, fleet: SeededFleet, stop: threading.Event) -> None:
        self.fleet = fleet
        self.stop = stop
        self.version = 1
        self.acknowledged_version = 0
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
        if self.fleet.put_document(document(self.version)).status != 200:
            return False
        self.acknowledged_version = self.version
        return True

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

    def _run(self) -> None:
        while not self.stop.wait(CHANGE_INTERVAL_S):
            self.put_next()
            acknowledged_before = self.acknowledged_version
            read_version = self.read()
            if read_version is None:
                continue
            self.reads += 1
            if read_version < acknowledged_before:
                self.stale_reads.append(
                    f'read version {read_version} after {acknowledged_before} was acknowledged'
                )


def document(version: int) -> Document:
    """
    Return a document with two routes that all versions have, and one that only this version has.

    """
    kinds = {
        '/safe/': RouteKind.SAFE,
        '/unsafe/': RouteKind.UNSAFE,
        f'/v{version}/': RouteKind.SAFE,
    }
    shares = (Share(SERVICE, 1),)
    routes = tuple(
        Route(prefix, ROUTE_HOST, prefix, kind, 4000, 300, 1, shares, 2, False, False, 0)
        for prefix, kind in kinds.items()
    )
    organisation = Organisation(OrganisationId('org'), (API_KEY,))
    return Document(version, routes, (Service(SERVICE, 64),), (organisation,))
