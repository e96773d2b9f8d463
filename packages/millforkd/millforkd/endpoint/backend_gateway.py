"""
Admits requests to the back end, sends them, and relays the answers to the entries.

"""

from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.ids import OrganisationId, RequestId
from millfork_core.logs import Component, logger
from millfork_core.verdicts import Reason, Refusal, Verdict
from millfork_routing.limits import FairQueue
from millfork_scheduling.incarnation_status import IncarnationStatus
from millfork_settings.models import BackendKind, BackendSettings
from millfork_state.leader_client import LeaderClient
from millfork_web.client import Client, ExchangeFailed, Reply
from millfork_web.models import Response
from millfork_wire.connection import Connection, PeerLost
from millfork_wire.messages import (
    Cancel,
    Cancelled,
    End,
    Head,
    Header,
    Load,
    Part,
    Reserve,
    Reserved,
    ServedVersion,
    Start,
)
from millforkd.endpoint.answer_parts import answer_parts
from millforkd.endpoint.backend_requests import REQUEST_ID_HEADER, build_backend_request
from millforkd.endpoint.incarnation_tracking import IncarnationTracker
from millforkd.endpoint.reservations import Reservation, Stage
from millforkd.endpoint.rest_tracking import RestTracker
from millforkd.settling import settle_claim

# A reservation expires if the entry does not send `Start` within this time. A sound entry may pause
# for two seconds.
START_TIMEOUT_S: Final = 3.0
# Cancelled requests that were not reserved yet, of which this many are remembered.
MAX_EARLY_CANCELS: Final = 4096
LOAD_HEARTBEAT_INTERVAL_S: Final = 8.0
MIN_LOAD_REPORT_INTERVAL_S: Final = 0.1
# How long a load report waits for room in the queue to one entry.
LOAD_REPORT_TIMEOUT_S: Final = 0.05
DRAIN_POLL_INTERVAL_S: Final = 0.05
VERSION_HEADER: Final = 'millfork-version'
# Statuses with which an engine reports that the requested version is not loaded.
NOT_LOADED_STATUSES: Final = frozenset({404, 409})
PLAIN_SERVICE_VERSION: Final = ''

log = logger(Component.ENDPOINT)


class BackendGateway:
    """
    Handles all requests to the back end of one endpoint.

    """

    def __init__(
        self,
        env: Environment,
        settings: BackendSettings,
        source: str,
        leader_client: LeaderClient,
    ) -> None:
        self.env = env
        self.leader_client = leader_client
        self.settings = settings
        self.is_engine = settings.kind is BackendKind.ENGINE
        self.client = Client(*settings.address.pair, source=source)
        self.queue = FairQueue(settings.slots, settings.queue, self.share, env.monotonic)
        self.shares: dict[OrganisationId, int] = {}
        self.reservations: dict[str, Reservation] = {}
        # Ids of cancelled requests that had no reservation, the oldest first.
        self.early_cancels: dict[str, None] = {}
        self.served: dict[str, str] = {}
        self.leaving = False
        self.rest_tracker = RestTracker(env)
        self.incarnations = IncarnationTracker(env, lambda: self.settings.address.pair)
        # Connections of the entries that get load reports, by entry.
        self.load_subscribers: dict[str, Connection] = {}
        self.load_changed = curio.Event()
        if not self.is_engine:
            self.served = {settings.service: PLAIN_SERVICE_VERSION}

    def share(self, organisation: OrganisationId) -> int:
        return self.shares.get(organisation, 1)

    @property
    def in_progress(self) -> int:
        return len(self.reservations)

    def is_version_in_use(self, version: str) -> bool:
        """
        Return whether a request in progress was admitted to this version.

        """
        return any(admitted.version == version for admitted in self.reservations.values())

    async def set_served(self, served: dict[str, str]) -> None:
        """
        Set the versions that requests are admitted to, by service, and report a change to the
        entries.

        """
        if served != self.served:
            self.served = served
            await self.load_changed.set()

    async def set_leaving(self, leaving: bool) -> None:
        if leaving != self.leaving:
            log.info('Leaving: {}.', 'new requests are refused' if leaving else 'cancelled')
            self.leaving = leaving
            await self.load_changed.set()

    # Messages from entries.

    async def on_reserve(self, connection: Connection, request: Reserve) -> Reserved:
        """
        Reserve a slot for a request, queue the request for a slot, or refuse the request at once. A
        refusal as BUSY or RESTING says when to retry.

        """
        organisation = OrganisationId(request.organisation)
        if connection.closed or request.request_id in self.early_cancels:
            self.early_cancels.pop(request.request_id, None)
            return Reserved(False, Reason.EXPIRED.value, 'the entry gave up the request')
        refusal = self._refusal(organisation, request)
        if refusal is not None:
            self.env.metrics.refused(refusal.reason, 'endpoint')
            return Reserved(False, refusal.reason.value, refusal.detail, refusal.wait_ms)
        deadline = self.env.monotonic() + request.deadline_ms / 1000
        version = self.served[request.service]
        waiter = await self.queue.join(organisation, deadline)
        reservation = Reservation(request, connection, version, deadline, waiter)
        self.reservations[request.request_id] = reservation
        reservation.task = await self.env.spawn(self._serve, reservation)
        await self.load_changed.set()
        return Reserved(True, version=version)

    def _refusal(self, organisation: OrganisationId, request: Reserve) -> Refusal | None:
        if self.leaving:
            return Refusal(Reason.LEAVING, detail='this endpoint is leaving')
        if request.service not in self.served:
            return Refusal(Reason.NOT_SERVABLE, detail='the service is not servable here')
        resting = self.rest_tracker.current_refusal()
        if resting is not None:
            return resting
        wait_ms = self.queue.refusal_wait_ms(organisation, request.deadline_ms / 1000)
        if wait_ms:
            return Refusal(Reason.BUSY, detail='all slots are taken', retry_after_ms=wait_ms)
        return None

    async def on_start(self, connection: Connection, message: Start) -> None:
        """
        Let a reserved request run once it has a slot. A request that was not reserved over this
        connection is answered with an `End` that says EXPIRED and NOT_RUN.

        """
        reservation = self.reservations.get(message.request_id)
        if reservation is None or reservation.connection is not connection:
            refused = End(message.request_id, 0, 0, Reason.EXPIRED.value, Verdict.NOT_RUN.value)
            await connection.notify(refused)
            return
        reservation.stage = Stage.STARTED
        await reservation.started.set()

    async def on_cancel(self, connection: Connection, message: Cancel) -> Cancelled:
        """
        Cancel a request. After a reply with NOT_RUN, the request never runs here. A request that
        is not reserved over this connection gets MAY_HAVE_RUN. If the request was already sent to
        the back end, the reply contains the key of the incarnation that ran it, and the entry is
        later notified whether that incarnation ended.

        """
        reservation = self.reservations.get(message.request_id)
        if reservation is None or reservation.connection is not connection:
            self._record_early_cancel(message.request_id)
            return Cancelled(message.request_id, Verdict.MAY_HAVE_RUN.value)
        if reservation.task is not None:
            await reservation.task.cancel()
        cancelled = Cancelled(message.request_id, reservation.verdict.value)
        if reservation.stage is Stage.SENT:
            incarnation_number = reservation.incarnation_number
            request_id = RequestId(message.request_id)
            await self.incarnations.record_cancellation(request_id, connection, incarnation_number)
            cancelled.incarnation = self.incarnations.incarnation_key(incarnation_number)
        return cancelled

    def _record_early_cancel(self, request_id: str) -> None:
        """
        Record that a request without a reservation was cancelled. Its `Reserve` may be handled
        later, as another task handles it.

        """
        self.early_cancels[request_id] = None
        if len(self.early_cancels) > MAX_EARLY_CANCELS:
            del self.early_cancels[next(iter(self.early_cancels))]

    async def on_closed(self, connection: Connection) -> None:
        """
        Cancel the requests of an entry whose connection closed, as their answers can't be
        delivered. Requests that were already sent to a plain service continue.

        """
        if self.load_subscribers.get(connection.peer) is connection:
            del self.load_subscribers[connection.peer]
        for reservation in list(self.reservations.values()):
            if reservation.connection is not connection or reservation.task is None:
                continue
            if reservation.stage is not Stage.SENT or self.is_engine:
                await reservation.task.cancel(blocking=False)

    # Processing of one request.

    async def _serve(self, reservation: Reservation) -> None:
        try:
            refusal = await self._answer(reservation)
            await self._end(reservation, refusal)
        except PeerLost:
            self.env.metrics.count(self.env.metrics.requests, outcome='entry_gone')
        finally:
            del self.reservations[reservation.request.request_id]
            if reservation.connection.closed and reservation.request.attempt:
                await self.env.spawn(self._settle, reservation)
            await self.queue.leave(reservation.waiter)
            await self.load_changed.set()

    async def _answer(self, reservation: Reservation) -> Refusal | None:
        """
        Run a request once it has a slot, and relay its answer. An unexpected error becomes a
        refusal, as the entry waits for an `End` until the deadline of the request.

        """
        try:
            refusal = await self._wait_for_start_and_slot(reservation)
            if refusal is not None:
                return refusal
            service_started_at = self.env.monotonic()
            refusal = await self._run(reservation)
            self.queue.learn_service_time(self.env.monotonic() - service_started_at)
            return refusal
        except PeerLost:
            raise
        except (Exception, curio.TaskTimeout):
            log.exception('Request {} failed.', reservation.request.request_id)
            return Refusal(Reason.TRUNCATED, reservation.verdict, 'the endpoint failed')

    async def _settle(self, reservation: Reservation) -> None:
        """
        Store the answer, if it is complete, under the request's idempotency key, as the entry may
        be gone. An endpoint never releases a key: the entry may be alive and try another endpoint.

        """
        request = reservation.request
        if reservation.response is not None:
            await settle_claim(
                self.env, self.leader_client, request.key, request.attempt, reservation.response
            )

    async def _wait_for_start_and_slot(self, reservation: Reservation) -> Refusal | None:
        expired = Refusal(Reason.EXPIRED, detail='the request did not get a slot in time')
        try:
            async with curio.timeout_after(START_TIMEOUT_S):
                await reservation.started.wait()
            async with curio.timeout_after(max(reservation.deadline - self.env.monotonic(), 0.001)):
                await reservation.waiter.granted.wait()
        except curio.TaskTimeout:
            return expired
        return None

    async def _run(self, reservation: Reservation) -> Refusal | None:
        request = reservation.request
        if self.is_engine and reservation.version not in self.served.values():
            return Refusal(Reason.NOT_SERVABLE, detail='the version is no longer served here')
        resting = self.rest_tracker.current_refusal()
        if resting is not None:
            return resting
        headers, body = build_backend_request(reservation, self.is_engine)
        reservation.stage = Stage.SENT
        sent_at = self.env.monotonic()
        reservation.incarnation_number = self.incarnations.current_number
        self.rest_tracker.record_sent(sent_at)
        remaining_s = max(reservation.deadline - self.env.monotonic(), 0.001)
        try:
            async with curio.timeout_after(remaining_s):
                reply = await self.client.send(request.method, request.path, headers, body)
                self.rest_tracker.record_answer(reply, sent_at)
                self.incarnations.record_answer(sent_at)
                try:
                    return await self._relay_reply(reservation, reply)
                finally:
                    await reply.close()
        except curio.TaskTimeout:
            return Refusal(Reason.TIMED_OUT, Verdict.MAY_HAVE_RUN, 'the deadline passed')
        except ExchangeFailed as error:
            if error.verdict is Verdict.NOT_RUN:
                reservation.stage = Stage.STARTED
                return Refusal(Reason.UNREACHABLE, Verdict.NOT_RUN, 'the back end is unreachable')
            log.info(
                'Answer broke off. id={} sent_bytes={} detail={}',
                request.request_id,
                reservation.bytes,
                error,
            )
            return await self._interruption_refusal(reservation)

    async def _interruption_refusal(self, reservation: Reservation) -> Refusal:
        status = await self.incarnations.record_interruption(
            RequestId(reservation.request.request_id),
            reservation.connection,
            reservation.incarnation_number,
        )
        if status is not IncarnationStatus.LIVES:
            reservation.interrupted_incarnation = self.incarnations.incarnation_key(
                reservation.incarnation_number
            )
        if status is IncarnationStatus.ENDED:
            detail = 'the back end ended'
            return Refusal(Reason.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, detail)
        detail = 'the connection to the back end was lost'
        return Refusal(Reason.TRUNCATED, Verdict.MAY_HAVE_RUN, detail)

    async def _relay_reply(self, reservation: Reservation, reply: Reply) -> Refusal | None:
        refusal = self._check_head(reservation, reply)
        if refusal is not None:
            return refusal
        request_id = reservation.request.request_id
        headers = [Header(name, value) for name, value in reply.headers]
        if self.is_engine:
            headers = [header for header in headers if header.name != VERSION_HEADER]
            headers.append(Header(VERSION_HEADER, reservation.version))
        await self._send(reservation, Head(request_id, reply.status, headers))
        body = bytearray()
        coalesce_s = self.settings.coalesce_ms / 1000
        async for data in answer_parts(reply, self.is_engine, coalesce_s):
            await self._send(reservation, Part(request_id, reservation.parts, data))
            reservation.parts += 1
            reservation.bytes += len(data)
            if reservation.request.attempt:
                body += data
        if reservation.request.attempt:
            reservation.response = Response(reply.status, reply.headers, bytes(body))
        return None

    async def _send(self, reservation: Reservation, message: Head | Part) -> None:
        """
        Send a message to the entry. If the entry is gone, the answer to a request with an
        idempotency key is still read to its end, as the answer is stored under the key.

        :raises PeerLost: if the entry is gone and the request has no idempotency key.

        """
        try:
            await reservation.connection.notify(message)
        except PeerLost:
            if not reservation.request.attempt:
                raise

    def _check_head(self, reservation: Reservation, reply: Reply) -> Refusal | None:
        """
        Return a refusal if the answer belongs to another request, or if the engine did not answer
        with the version that the request was admitted to; else None. If the engine has not loaded
        that version, the request has not run, and its stage becomes STARTED again.

        """
        echoed = reply.header(REQUEST_ID_HEADER)
        if echoed and echoed != reservation.request.request_id:
            detail = 'the back end answered another request'
            return Refusal(Reason.TRUNCATED, Verdict.MAY_HAVE_RUN, detail)
        if not self.is_engine:
            return None
        if reply.status in NOT_LOADED_STATUSES:
            reservation.stage = Stage.STARTED
            return Refusal(
                Reason.ENGINE_EMPTY, Verdict.NOT_RUN, 'the version is not loaded in the engine'
            )
        version = reply.header(VERSION_HEADER)
        if version != reservation.version:
            detail = f'the engine answered with {version or "an unnamed version"}'
            return Refusal(Reason.VERSION_MISMATCH, Verdict.MAY_HAVE_RUN, detail)
        return None

    async def _end(self, reservation: Reservation, refusal: Refusal | None) -> None:
        end = End(reservation.request.request_id, reservation.parts, reservation.bytes)
        if refusal is not None:
            self.env.metrics.refused(refusal.reason, 'endpoint')
            end.reason = refusal.reason.value
            end.verdict = refusal.verdict.value
            end.detail = refusal.detail
            end.incarnation = reservation.interrupted_incarnation
        await reservation.connection.notify(end)

    # Load reports.

    def load(self) -> Load:
        served = [ServedVersion(name, version) for name, version in self.served.items()]
        return Load(
            self.queue.running,
            self.queue.waiting,
            self.queue.slots,
            self.leaving,
            served,
            self.incarnations.start,
        )

    async def subscribe_to_load(self, connection: Connection) -> Load:
        """
        Subscribe an entry to load reports and return the current load.

        """
        self.load_subscribers[connection.peer] = connection
        return self.load()

    async def report_load(self) -> None:
        """
        Send load reports to the subscribed entries: after each change of the load, but at most one
        per MIN_LOAD_REPORT_INTERVAL_S, and every LOAD_HEARTBEAT_INTERVAL_S without a change.

        """
        while True:
            try:
                async with curio.timeout_after(LOAD_HEARTBEAT_INTERVAL_S):
                    await self.load_changed.wait()
            except curio.TaskTimeout:
                pass
            self.load_changed.clear()
            load = self.load()
            for connection in list(self.load_subscribers.values()):
                try:
                    async with curio.timeout_after(LOAD_REPORT_TIMEOUT_S):
                        await connection.notify(load)
                except PeerLost:
                    continue
                except curio.TaskTimeout:
                    log.info('{} reads no load reports.', connection.peer)
            await curio.sleep(MIN_LOAD_REPORT_INTERVAL_S)

    async def wait_until_idle(self, timeout: float) -> bool:
        """
        Wait up to `timeout` seconds for the requests in progress to end; return whether all ended.

        """
        try:
            async with curio.timeout_after(timeout):
                while self.reservations:
                    await curio.sleep(DRAIN_POLL_INTERVAL_S)
        except curio.TaskTimeout:
            return False
        return True
