"""
Changes that each add a route and a key of their own to a large document, the callers that use
these routes, and a reader that asks all replicas for the document.

"""

import threading
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from random import Random
from typing import Final

from millfork_platform import client_requests
from millfork_routing.documents import Document, Organisation, RouteKind
from millfork_standins.http_calls import call
from millfork_standins.large_documents import filler_prefixes
from millfork_standins.seeded import SeededFleet
from millfork_standins.seeded_ports import CONTROL_PORT
from millfork_standins.soak.callers import (
    API_KEY,
    ORGANISATION,
    WHOLE_BODY,
    Answer,
    Caller,
    DrawnRequest,
    Operator,
    route,
    version_prefix,
)
from millfork_standins.soak.clock import clock_time
from millfork_standins.soak.contact import CALM_S, Disturbances

# Bytes of a document in the replicated log, at the end of a day with many changes on the sites.
DOCUMENT_SIZES: Final = (12_000, 43_000)
# Documents have the routes of this many versions. Callers use those of fewer, so that none of
# their requests meets a document without its route because the route is too old.
KEPT_VERSIONS: Final = 200
CALLED_VERSIONS: Final = 40
# The ranges of the duration of storms of changes and of the time between them.
STORM_S: Final = (4.0, 12.0)
STORM_GAP_S: Final = (1.0, 5.0)
STORM_INTERVAL_S: Final = 0.02
READ_INTERVAL_S: Final = 0.3
# An acknowledged change is in force at all machines in touch after this time (`config_apply_ms` of
# a deployment).
APPLIED_AFTER_S: Final = 2.0
DENIAL_STATUSES: Final = frozenset({401, 403, 404})
ROUTE_CALL_PREFIX: Final = 'route-'


def key_of(version: int) -> str:
    return f'{API_KEY}-{version}'


class RouteOperator(Operator):
    """
    Sends large documents, at times in storms. Each one has the routes and keys of those before it.

    """

    def __init__(self, fleet: SeededFleet, stop: threading.Event, seed: int) -> None:
        super().__init__(fleet, stop)
        random = Random(f'documents {seed}')
        self.document_bytes = random.choice(DOCUMENT_SIZES)
        self.storm_random = random
        # Whether changes come in a storm, whatever was drawn.
        self.has_storm = False
        self.storm_until = 0.0
        self.next_storm_at = 0.0

    def next_document(self) -> Document:
        next_document = super().next_document()
        kept = range(max(self.version - KEPT_VERSIONS, 1), self.version)
        prefixes = [
            *map(version_prefix, kept),
            *filler_prefixes(self.version, self.document_bytes),
        ]
        added = [route(self.version, prefix, RouteKind.SAFE, self.service) for prefix in prefixes]
        organisation = Organisation(
            ORGANISATION, (API_KEY, *map(key_of, kept), key_of(self.version))
        )
        return replace(
            next_document,
            routes=(*next_document.routes, *added),
            organisations=(organisation,),
        )

    def callable_versions(self) -> list[int]:
        """
        Return the newest acknowledged versions.

        """
        return list(self.acknowledged_at)[-CALLED_VERSIONS:]

    def _interval_s(self) -> float:
        now = time.monotonic()
        if now >= self.next_storm_at:
            self.storm_until = now + self.storm_random.uniform(*STORM_S)
            self.next_storm_at = self.storm_until + self.storm_random.uniform(*STORM_GAP_S)
        return STORM_INTERVAL_S if self._is_storm() else super()._interval_s()

    def _is_storm(self) -> bool:
        return self.has_storm or time.monotonic() < self.storm_until

    def _reads_back(self) -> bool:
        # A read in between would halve the rate of a storm; `DocumentReader` reads meanwhile.
        return not self._is_storm()


class RouteCaller(Caller):
    """
    Calls routes that were added in the run, with their keys, at one entry.

    """

    id_prefix = ROUTE_CALL_PREFIX

    def __init__(self, number: int, operator: RouteOperator, stop: threading.Event) -> None:
        self.operator = operator
        # The version that added the route of each request, by the request's id.
        self.versions: dict[str, int] = {}
        super().__init__(number, operator.fleet, stop)

    def _choose_entry(self) -> str:
        return self.fleet.entry_hosts[self.number % len(self.fleet.entry_hosts)]

    def _draw_request(self, request_id: str) -> DrawnRequest:
        version = self.random.choice(self.operator.callable_versions())
        self.versions[request_id] = version
        headers = {'authorization': f'Bearer {key_of(version)}'}
        path = f'{version_prefix(version)}x'
        return DrawnRequest('GET', path, None, True, WHOLE_BODY, headers=headers)


@dataclass(frozen=True, slots=True)
class ReadReply:
    """
    What one replica answered when it was asked for the document; `version` is 0 if it refused.

    """

    host: str
    sent_at: float
    ended_at: float
    status: int
    version: int


class DocumentReader:
    """
    Asks each replica for the document, again and again.

    """

    def __init__(self, fleet: SeededFleet, stop: threading.Event) -> None:
        self.fleet = fleet
        self.stop = stop
        # The replies of all replicas to one question each.
        self.rounds: list[list[ReadReply]] = []
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _run(self) -> None:
        while not self.stop.wait(READ_INTERVAL_S):
            self.rounds.append([self._read(host) for host in self.fleet.replica_hosts])

    def _read(self, host: str) -> ReadReply:
        sent_at = time.monotonic()
        reply = call(host, CONTROL_PORT, client_requests.read_document_request())
        version = client_requests.document_version(reply.body) if reply.status == 200 else 0
        return ReadReply(host, sent_at, time.monotonic(), reply.status, version)


def must_be_applied(acknowledged_at: dict[int, float], version: int, at: float) -> bool:
    return version in acknowledged_at and at >= acknowledged_at[version] + APPLIED_AFTER_S


def find_denied_routes(
    answers: Iterable[Answer],
    versions: dict[str, int],
    acknowledged_at: dict[int, float],
    disturbances: Disturbances,
) -> list[str]:
    """
    Describe each request that an entry in touch refused as if its route or its key did not exist,
    although both had been acknowledged for `APPLIED_AFTER_S` when it was sent.

    """
    violations = []
    for answer in answers:
        timeline = answer.timeline
        if answer.status not in DENIAL_STATUSES or timeline is None:
            continue
        version = versions[answer.request_id]
        if not must_be_applied(acknowledged_at, version, timeline.started_at):
            continue
        if not disturbances.is_in_touch(timeline.entry, timeline.started_at, timeline.ended_at):
            continue
        age_s = timeline.started_at - acknowledged_at[version]
        violations.append(
            f'{answer.request_id} was denied with {answer.status} by {timeline.entry} '
            f'at {clock_time(timeline.started_at)}, '
            f'{age_s:.3f} s after version {version} was acknowledged'
        )
    return violations


def find_refused_reads(
    rounds: Iterable[Sequence[ReadReply]], disturbances: Disturbances
) -> list[str]:
    """
    Describe each time that all replicas refused a read although nothing had happened to any of
    them for `CALM_S`.

    """
    violations = []
    for replies in rounds:
        if any(reply.status == 200 for reply in replies):
            continue
        began_at, ended_at = replies[0].sent_at, replies[-1].ended_at
        if not disturbances.is_core_stable(began_at, ended_at, CALM_S):
            continue
        statuses = ' '.join(f'{reply.host}:{reply.status}' for reply in replies)
        violations.append(f'all replicas refused a read at {clock_time(began_at)}: {statuses}')
    return violations


def find_old_reads(
    rounds: Iterable[Sequence[ReadReply]], acknowledged_at: dict[int, float]
) -> list[str]:
    """
    Describe each read that returned an older version than one that had been acknowledged for
    `APPLIED_AFTER_S` when it was sent, by a replica in touch or not.

    """
    violations = []
    for reply in (reply for replies in rounds for reply in replies if reply.status == 200):
        newest = max(
            (
                version
                for version, at in acknowledged_at.items()
                if at + APPLIED_AFTER_S <= reply.sent_at
            ),
            default=0,
        )
        if reply.version < newest:
            violations.append(
                f'{reply.host} returned version {reply.version} at {clock_time(reply.sent_at)}, '
                f'{reply.sent_at - acknowledged_at[newest]:.3f} s after version {newest} '
                f'was acknowledged'
            )
    return violations
