"""
Calls of back ends and operators, one at a time, written straight down.

"""

import zlib
from collections import Counter
from functools import singledispatchmethod
from typing import Final

import msgspec

from millfork_adapter.adapter import Adapter
from millfork_adapter.calls import (
    BadCall,
    Call,
    Goodbye,
    Heartbeat,
    NameVersion,
    PutDocument,
    ReadDocument,
    UnknownCall,
)
from millfork_core.environment import Environment
from millfork_core.ids import Incarnation, ServiceName
from millfork_core.logs import Part, logger
from millfork_core.verdicts import Reason, Refusal, Refused
from millfork_registry.followers import Followers
from millfork_registry.records import LeaseState
from millfork_registry.registry import Change, Registry
from millfork_routing.documents import problems_of
from millfork_state.commands import Raise, RaiseResult, decode_versioned
from millfork_state.keys import DOCUMENT_KEY, version_key
from millfork_state.leader_client import LeaderClient
from millfork_state.view import View
from millfork_web.models import Response
from millfork_web.problem import problem
from millfork_web.server import Exchange
from millforkd.document import document_in
from millforkd.replica.mesh import Mesh

# The operator asks another replica after a second.
PATIENCE_S: Final = 0.9
# Documents are text; this halves the log's bytes for a millisecond.
COMPRESSION_LEVEL: Final = 1
# Another writer may call at any rate: a line for each reason at most so often.
LOG_EVERY_S: Final = 1.0
MOST_LOGGED_CHARS: Final = 100

log = logger(Part.CONTROL)


class Control:
    """
    The replica's side of the calls.

    """

    def __init__(
        self,
        env: Environment,
        adapter: Adapter,
        view: View,
        registry: Registry,
        followers: Followers,
        mesh: Mesh,
        proposals: LeaderClient,
    ) -> None:
        self.env = env
        self.adapter = adapter
        self.view = view
        self.registry = registry
        self.followers = followers
        self.mesh = mesh
        self.proposals = proposals
        # The services declared; None: nothing is yet.
        self.services: frozenset[ServiceName] | None = None
        self.services_revision = 0
        # By reason: when a refusal was last logged, and how many there were since.
        self.refused_logged: dict[Reason, float] = {}
        self.refused_unlogged: Counter[Reason] = Counter()
        # Back ends whose last word a majority of the replicas has.
        self.spread: set[tuple[str, Incarnation, LeaseState]] = set()

    async def answer(self, exchange: Exchange) -> None:
        """
        Answer one call.

        """
        try:
            call = self.adapter.read_call(exchange.request)
            response = await self.on(call)
        except BadCall as error:
            response = self._refuse(Refusal(Reason.BAD_REQUEST, detail=str(error)))
        except Refused as error:
            response = self._refuse(error.refusal)
        await exchange.respond(response)

    def _refuse(self, refusal: Refusal) -> Response:
        self.env.metrics.refused(refusal.reason, 'control')
        self.refused_unlogged[refusal.reason] += 1
        now = self.env.monotonic()
        if now - self.refused_logged.get(refusal.reason, float('-inf')) >= LOG_EVERY_S:
            log.warning(
                'Refused a call. reason={} detail={} calls={}',
                refusal.reason.value,
                refusal.detail,
                self.refused_unlogged.pop(refusal.reason),
            )
            self.refused_logged[refusal.reason] = now
        return problem(refusal)

    @singledispatchmethod
    async def on(self, call: Call) -> Response:
        """
        Carry out one call.

        :raises Refused: if it can't be done.

        """
        raise Refused(Refusal(Reason.NOT_FOUND))

    @on.register
    async def _(self, call: UnknownCall) -> Response:
        raise Refused(Refusal(Reason.NOT_FOUND))

    def _check_service(self, service: str) -> None:
        """
        A heartbeat of a service that isn't declared is of another system: taken, it would
        end the lease of a back end whose id or address it names.

        :raises Refused: if the service is in no document.

        """
        found = document_in(self.view, self.adapter, self.services_revision)
        if found is not None:
            document, self.services_revision = found
            self.services = frozenset(item.name for item in document.services)
        if self.services is not None and service not in self.services:
            detail = f'service {service[:MOST_LOGGED_CHARS]!r} is not declared'
            raise Refused(Refusal(Reason.INVALID, detail=detail))

    @on.register
    async def _(self, call: Heartbeat) -> Response:
        lease = call.lease
        self._check_service(lease.service)
        change = self.registry.take_heartbeat(lease)
        if change is Change.CHANGED:
            await self.followers.wake()
        if lease.state is LeaseState.DRAINING:
            await self._spread_last_word(lease.instance)
        return self.adapter.accepted()

    @on.register
    async def _(self, call: Goodbye) -> Response:
        if self._may_be_of_another_incarnation(call):
            raise Refused(Refusal(Reason.NOT_READY, detail='the back end is not known here yet'))
        if self.registry.take_goodbye(call.instance, call.incarnation) is Change.CHANGED:
            await self.followers.wake()
        await self._spread_last_word(call.instance)
        return self.adapter.accepted()

    def _may_be_of_another_incarnation(self, call: Goodbye) -> bool:
        """
        Whether others may know an incarnation that this word, taken here as of none,
        would not end: callers would be sent to it after its acknowledgement.

        """
        known = self.registry.leases.get(call.instance) is not None
        return call.incarnation is None and not known and not self.registry.settled

    async def _spread_last_word(self, instance: str) -> None:
        """
        A back end that leaves is told so only once a majority of the
        replicas knows: from then on its callers may count on it.

        """
        lease = self.registry.leases.get(instance)
        if lease is None or lease.state is LeaseState.READY:
            return
        key = (instance, lease.incarnation, lease.state)
        if key in self.spread:
            return
        if not await self.mesh.spread(lease):
            raise Refused(Refusal(Reason.NO_QUORUM, detail='too few replicas know of it'))
        self.spread.add(key)

    @on.register
    async def _(self, call: PutDocument) -> Response:
        version = call.document.version
        problems = problems_of(call.document)
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
        return self.adapter.accepted()

    @on.register
    async def _(self, call: NameVersion) -> Response:
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
        return self.adapter.accepted()

    @on.register
    async def _(self, call: ReadDocument) -> Response:
        state = await self.proposals.read_state(PATIENCE_S)
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
                # What is applied here is committed, and versions never fall.
                return RaiseResult(False, version)
        data = await self.proposals.propose(command, PATIENCE_S)
        return msgspec.msgpack.decode(data, type=RaiseResult)
