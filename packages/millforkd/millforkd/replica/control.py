"""
Handlers for the calls of back ends and operators to a replica.

"""

import zlib
from functools import singledispatchmethod
from typing import Final

import msgspec

from millfork_adapter.adapter import Adapter
from millfork_adapter.calls import (
    Call,
    Heartbeat,
    InvalidMessage,
    LeaveNotice,
    PutDocument,
    ReadDocument,
    SetEvacuation,
    SetModelVersion,
    UnknownCall,
)
from millfork_core.environment import Environment
from millfork_core.ids import Incarnation, ServiceName
from millfork_core.line_limiter import LineLimiter
from millfork_core.logs import Component, logger
from millfork_core.verdicts import Reason, Refusal, Refused
from millfork_registry.followers import Followers
from millfork_registry.records import LeaseState
from millfork_registry.registry import RecordChange, Registry
from millfork_routing.documents import find_problems
from millfork_state.commands import Raise, RaiseResult, decode_versioned
from millfork_state.keys import DOCUMENT_KEY, version_key
from millfork_state.leader_client import LeaderClient
from millfork_state.view import View
from millfork_web.exchange import Exchange
from millfork_web.models import Response
from millfork_web.problem import problem
from millforkd.document import find_new_document
from millforkd.replica.departures import Departures
from millforkd.replica.evacuations import Evacuations
from millforkd.replica.replica_links import ReplicaLinks

# Timeout of a call to the leader: after one second, an operator's client tries another replica.
PROPOSAL_TIMEOUT_S: Final = 0.9
# zlib level for documents, which are text: compression at this level takes 1 ms, and halves the
# size of a document in the replicated log.
COMPRESSION_LEVEL: Final = 1
# The name of an undeclared service is cut to this many characters in the refusal.
MAX_LOGGED_CHARS: Final = 100

log = logger(Component.CONTROL)


class Control:
    """
    Answers the calls that back ends and operators send to this replica.

    """

    def __init__(
        self,
        env: Environment,
        adapter: Adapter,
        view: View,
        registry: Registry,
        followers: Followers,
        replica_links: ReplicaLinks,
        leader_client: LeaderClient,
        evacuations: Evacuations,
        departures: Departures,
    ) -> None:
        self.env = env
        self.adapter = adapter
        self.view = view
        self.registry = registry
        self.followers = followers
        self.replica_links = replica_links
        self.leader_client = leader_client
        self.evacuations = evacuations
        self.departures = departures
        # The services that the operator's document declares; None while there is no document.
        self.services: frozenset[ServiceName] | None = None
        self.services_revision = 0
        # By reason, because a client of another system may call at any rate.
        self.refusal_lines = LineLimiter()
        # Drains and leave notices that a majority of the replicas has already received.
        self.departures_at_majority: set[tuple[str, Incarnation, LeaseState]] = set()

    async def answer(self, exchange: Exchange) -> None:
        """
        Read one call, carry it out and send the response.

        """
        try:
            call = self.adapter.read_call(exchange.request)
            response = await self.on(call)
        except InvalidMessage as error:
            response = self._refuse(Refusal(Reason.BAD_REQUEST, detail=str(error)))
        except Refused as error:
            response = self._refuse(error.refusal, error.log_context)
        await exchange.respond(response)

    def _refuse(self, refusal: Refusal, log_context: str = '') -> Response:
        self.env.metrics.refused(refusal.reason, 'control')
        calls = self.refusal_lines.count(refusal.reason, self.env.monotonic())
        if calls:
            log.warning(
                'Refused a call. reason={} detail={} calls={}{}',
                refusal.reason.value,
                refusal.detail,
                calls,
                f' {log_context}' if log_context else '',
            )
        return problem(refusal)

    @singledispatchmethod
    async def on(self, call: Call) -> Response:
        """
        Carry out one call.

        :raises Refused: if the call can't be carried out.

        """
        raise Refused(Refusal(Reason.NOT_FOUND))

    @on.register
    async def _(self, call: UnknownCall) -> Response:
        raise Refused(Refusal(Reason.NOT_FOUND))

    def _check_service(self, service: str) -> None:
        """
        Check that the operator's document, if there is one, declares the service of a heartbeat.
        A heartbeat for any other service comes from another system and, if accepted, could end
        the lease of a back end with the same id or address.

        :raises Refused: if the document doesn't declare the service.

        """
        found = find_new_document(self.view, self.adapter, self.services_revision)
        if found is not None:
            document, self.services_revision = found
            self.services = frozenset(item.name for item in document.services)
        if self.services is not None and service not in self.services:
            detail = f'service {service[:MAX_LOGGED_CHARS]!r} is not declared'
            raise Refused(Refusal(Reason.INVALID, detail=detail))

    @on.register
    async def _(self, call: Heartbeat) -> Response:
        lease = call.lease
        self._check_service(lease.service)
        change = self.registry.record_heartbeat(lease)
        if change is RecordChange.CHANGED:
            await self.followers.wake()
        if lease.state is LeaseState.READY:
            # A later drain must reach a majority again.
            self.departures_at_majority.discard(
                (lease.instance, lease.incarnation, LeaseState.DRAINING)
            )
        if lease.state is LeaseState.DRAINING:
            await self._send_departure_to_majority(lease.instance)
        return self.adapter.accepted_response()

    @on.register
    async def _(self, call: LeaveNotice) -> Response:
        if self._may_be_of_another_incarnation(call):
            raise Refused(Refusal(Reason.NOT_READY, detail='the back end is not known here yet'))
        if self.registry.record_leave(call.instance, call.incarnation) is RecordChange.CHANGED:
            await self.followers.wake()
        await self._send_departure_to_majority(call.instance)
        lease = self.registry.leases.get(call.instance)
        if lease is not None and lease.state is LeaseState.GONE:
            await self.departures.record(lease.instance, lease.incarnation)
        return self.adapter.accepted_response()

    def _may_be_of_another_incarnation(self, call: LeaveNotice) -> bool:
        """
        Whether a leave notice may be meant for an incarnation that only other replicas know: the
        notice gives no incarnation, this replica knows no lease of the back end, and its registry
        isn't complete yet. If the notice were acknowledged, requests would still reach that
        incarnation.

        """
        known = self.registry.leases.get(call.instance) is not None
        return call.incarnation is None and not known and not self.registry.is_complete

    async def _send_departure_to_majority(self, instance: str) -> None:
        """
        Send the draining or gone lease of a back end to a majority of the replicas, unless that
        was done already. The back end's notice is acknowledged only after this method returns,
        because the back end relies on the acknowledgement.

        :raises Refused: if too few replicas acknowledged the lease in time.

        """
        lease = self.registry.leases.get(instance)
        if lease is None or lease.state is LeaseState.READY:
            return
        key = (instance, lease.incarnation, lease.state)
        if key in self.departures_at_majority:
            return
        if not await self.replica_links.send_to_majority(lease):
            raise Refused(
                Refusal(Reason.NO_QUORUM, detail='too few replicas acknowledged the notice')
            )
        self.departures_at_majority.add(key)

    @on.register
    async def _(self, call: PutDocument) -> Response:
        version = call.document.version
        problems = find_problems(call.document)
        if problems:
            raise Refused(Refusal(Reason.INVALID, detail='; '.join(problems[:5])))
        body = zlib.compress(call.body, COMPRESSION_LEVEL)
        result = await self._raise(Raise(DOCUMENT_KEY, version, body))
        log.notice(
            'Document {}. version={} held={} bytes={} routes={}',
            'accepted' if result.raised else 'already held',
            version,
            result.version,
            len(call.body),
            len(call.document.routes),
        )
        return self.adapter.accepted_response()

    @on.register
    async def _(self, call: SetModelVersion) -> Response:
        if call.version <= 0:
            raise Refused(Refusal(Reason.INVALID, detail='versions start at 1'))
        result = await self._raise(Raise(version_key(call.model), call.version, b''))
        log.notice(
            'Version {}. model={} version={} held={}',
            'named' if result.raised else 'already held',
            call.model,
            call.version,
            result.version,
        )
        return self.adapter.accepted_response()

    @on.register
    async def _(self, call: SetEvacuation) -> Response:
        await self.evacuations.set(call.zone, call.evacuated)
        return self.adapter.accepted_response()

    @on.register
    async def _(self, call: ReadDocument) -> Response:
        state = await self.leader_client.read_state(PROPOSAL_TIMEOUT_S)
        item = state.items.get(DOCUMENT_KEY)
        if item is None:
            raise Refused(Refusal(Reason.NOT_READY, detail='no document yet'))
        versioned = decode_versioned(item[0])
        log.info('Document read. version={}', versioned.version)
        return self.adapter.document_response(zlib.decompress(versioned.body))

    async def _raise(self, command: Raise) -> RaiseResult:
        held = self.view.items.get(command.key)
        if held is not None:
            version = decode_versioned(held.value).version
            if command.version <= version:
                # The version applied here is committed and versions never decrease, so the leader
                # wouldn't raise the version either.
                return RaiseResult(False, version)
        data = await self.leader_client.propose(command, PROPOSAL_TIMEOUT_S)
        return msgspec.msgpack.decode(data, type=RaiseResult)
