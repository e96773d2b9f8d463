"""
Calls of back ends and operators, one at a time, written straight down.

"""

import zlib
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
from millfork_core.logs import Part, logger
from millfork_core.verdicts import Reason, Refusal, Refused
from millfork_registry.followers import Followers
from millfork_registry.records import LeaseState
from millfork_registry.registry import Change, Registry
from millfork_routing.documents import problems_of
from millfork_state.commands import Raise, RaiseResult, decode_versioned
from millfork_state.keys import DOCUMENT_KEY, version_key
from millfork_state.proposals import Proposals
from millfork_state.view import View
from millfork_web.models import Response
from millfork_web.problem import problem
from millfork_web.server import Exchange
from millforkd.replica.mesh import Mesh

# The operator asks another replica after a second.
PATIENCE_S: Final = 0.9
# Documents are text; this halves the log's bytes for a millisecond.
COMPRESSION_LEVEL: Final = 1

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
        proposals: Proposals,
    ) -> None:
        self.env = env
        self.adapter = adapter
        self.view = view
        self.registry = registry
        self.followers = followers
        self.mesh = mesh
        self.proposals = proposals
        # Back ends whose last word a majority of the replicas has.
        self.spread: set[str] = set()

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
        log.warning('Refused a call. reason={} detail={}', refusal.reason.value, refusal.detail)
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

    @on.register
    async def _(self, call: Heartbeat) -> Response:
        lease = call.lease
        change = self.registry.take_heartbeat(lease)
        if change is Change.CHANGED:
            await self.followers.wake()
        if lease.state is LeaseState.DRAINING:
            await self._spread_last_word(lease.instance)
        return self.adapter.accepted()

    @on.register
    async def _(self, call: Goodbye) -> Response:
        if self.registry.take_goodbye(call.instance) is Change.CHANGED:
            await self.followers.wake()
        await self._spread_last_word(call.instance)
        return self.adapter.accepted()

    async def _spread_last_word(self, instance: str) -> None:
        """
        A back end that leaves is told so only once a majority of the
        replicas knows: from then on its callers may count on it.

        """
        lease = self.registry.leases.get(instance)
        key = f'{instance}/{lease.state.value}' if lease is not None else instance
        if lease is None or key in self.spread:
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
