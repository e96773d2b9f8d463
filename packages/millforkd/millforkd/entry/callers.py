"""
What callers ask: completions of models, and calls of plain services.

"""

import json
import uuid
from dataclasses import replace
from typing import Any, Final

import curio

from millfork_core.environment import Environment
from millfork_core.ids import OrganisationId
from millfork_core.logs import Component, logger
from millfork_core.verdicts import Reason, Refusal, Refused, Verdict
from millfork_routing.limits import InFlightCounter
from millfork_settings.models import RoutingSettings
from millfork_state.config import DEPLOYMENTS
from millfork_state.view import View
from millfork_web.models import Request, Response
from millfork_web.problem import problem
from millfork_web.server import Exchange
from millforkd.entry.access import Access
from millforkd.entry.attempts import Call
from millforkd.entry.claims import Claims
from millforkd.entry.delivery import Delivery
from millforkd.entry.dispatch import Dispatch

COMPLETION_PATHS: Final = frozenset({'/v1/completions', '/v1/chat/completions'})
SERVICES_PATH: Final = '/services/'
REPEATABLE_METHODS: Final = frozenset({'GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS', 'TRACE'})
KEY_HEADER: Final = 'idempotency-key'
REPEATABLE_HEADER: Final = 'millfork-repeatable'
TIMEOUT_HEADER: Final = 'millfork-timeout-ms'
PRIORITY_HEADER: Final = 'millfork-priority'
MAX_KEY_CHARS: Final = 255
MAX_PRIORITY: Final = 9
AFFINITY_CHARS: Final = 256
NOT_SENT_ON: Final = frozenset(
    {
        'authorization',
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'transfer-encoding',
        'upgrade',
    }
)
PART: Final = 'entry'

log = logger(Component.ENTRY)


class Callers:
    """
    Answers callers.

    """

    def __init__(
        self,
        env: Environment,
        settings: RoutingSettings,
        view: View,
        access: Access,
        dispatch: Dispatch,
        claims: Claims,
    ) -> None:
        self.env = env
        self.settings = settings
        self.view = view
        self.access = access
        self.dispatch = dispatch
        self.claims = claims
        self.in_flight = InFlightCounter(settings.organisation_slots)

    async def answer(self, exchange: Exchange) -> None:
        """
        Answer one request: with a response, or a refusal at once.

        """
        try:
            organisation = self.access.caller(exchange.request)
            call = self._understand(exchange.request, organisation)
            if not self.in_flight.begin(organisation):
                detail = 'too many requests of this organisation are in progress'
                raise Refused(Refusal(Reason.OVER_SHARE, detail=detail))
        except Refused as error:
            await self._refuse(exchange, error.refusal)
            return
        try:
            await self._answer_while_wanted(exchange, call)
        finally:
            self.in_flight.end(organisation)

    async def _answer_while_wanted(self, exchange: Exchange, call: Call) -> None:
        """
        Run the call until it is answered or the caller is gone. A call that
        is not repeatable goes on, so that its key learns the outcome.

        """
        answering = await self.env.spawn(self._answer_call, exchange, call)
        watching = await self.env.spawn(self._watch_caller, exchange, call, answering)
        try:
            await answering.join()
        except curio.TaskError as error:
            if not isinstance(error.__cause__, curio.TaskCancelled):
                raise
        finally:
            await watching.cancel()

    async def _watch_caller(self, exchange: Exchange, call: Call, answering: curio.Task) -> None:
        await exchange.wait_for_disconnect()
        self.env.metrics.count(self.env.metrics.requests, outcome='caller_gone')
        if not call.key:
            await answering.cancel()

    async def _answer_call(self, exchange: Exchange, call: Call) -> None:
        delivery = Delivery(exchange)
        try:
            if call.key:
                refusal = await self._run_claimed(call, delivery)
            else:
                refusal = await self.dispatch.run(call, delivery)
        except Refused as error:
            refusal = error.refusal
        if refusal is not None:
            await self._refuse(exchange, refusal, delivery.begun)
            return
        self.env.metrics.count(self.env.metrics.requests, outcome='answered')
        if delivery.response is not None:
            await exchange.respond(delivery.response)

    async def _run_claimed(self, call: Call, delivery: Delivery) -> Refusal | None:
        """
        Run a call whose key must be claimed first.

        """
        call = replace(call, claim=uuid.uuid4().hex)
        earlier = await self.claims.claim(call)
        if earlier is not None:
            self.env.metrics.count(self.env.metrics.requests, outcome='answered_again')
            delivery.response = earlier
            return None
        refusal = await self.dispatch.run(call, delivery)
        verdict = refusal.verdict if refusal else Verdict.RAN
        response = delivery.response
        if refusal is None and response is None:
            response = Response(0)
        settling = await self.env.spawn(self.claims.settle, call, response, verdict)
        if verdict is Verdict.NOT_RUN:
            await settling.wait()
        return refusal

    async def _refuse(self, exchange: Exchange, refusal: Refusal, begun: bool = False) -> None:
        self.env.metrics.refused(refusal.reason, PART)
        self.env.metrics.count(self.env.metrics.requests, outcome='refused')
        if not begun:
            await exchange.respond(problem(refusal))

    # Understanding a request.

    def _understand(self, request: Request, organisation: OrganisationId) -> Call:
        path = request.path.split('?', 1)[0]
        key = request.header(KEY_HEADER)
        if len(key) > MAX_KEY_CHARS:
            raise _bad(f'{KEY_HEADER} is longer than {MAX_KEY_CHARS} characters')
        affinity = ''
        if path in COMPLETION_PATHS:
            service, affinity = self._deployment(request, organisation)
            target = request.path
        elif path.startswith(SERVICES_PATH):
            service, target = self._plain_service(request, organisation)
        else:
            raise Refused(Refusal(Reason.NOT_FOUND, detail='no such path'))
        repeatable = _is_repeatable(request)
        headers = [(n, v) for n, v in request.headers if n not in NOT_SENT_ON]
        return Call(
            organisation,
            service,
            request.method,
            target,
            headers,
            request.body,
            repeatable,
            '' if repeatable else key,
            '',
            affinity,
            _number(request, PRIORITY_HEADER, 0, 0, MAX_PRIORITY),
            self.env.monotonic() + self._timeout_ms(request) / 1000,
        )

    def _timeout_ms(self, request: Request) -> int:
        most = self.settings.request_timeout_ms
        return _number(request, TIMEOUT_HEADER, most, 1, most)

    def _deployment(self, request: Request, organisation: OrganisationId) -> tuple[str, str]:
        if request.method != 'POST':
            raise _bad('a completion is asked for by POST')
        body = _json_object(request)
        name = body.get('model')
        if not isinstance(name, str):
            raise _bad('model: a deployment name expected')
        service = f'{organisation}/{name}'
        if f'{DEPLOYMENTS}{service}' not in self.view.items:
            raise Refused(Refusal(Reason.NOT_FOUND, detail='no such deployment'))
        prompt = body.get('prompt') or body.get('messages') or ''
        text = prompt if isinstance(prompt, str) else json.dumps(prompt)
        return service, f'{service}/{text[:AFFINITY_CHARS]}'

    def _plain_service(self, request: Request, organisation: OrganisationId) -> tuple[str, str]:
        rest = request.path.removeprefix(SERVICES_PATH)
        service, _, target = rest.partition('/')
        if not self.access.may_use(organisation, service):
            raise Refused(Refusal(Reason.NOT_FOUND, detail='no such service'))
        return service, '/' + target


def _bad(detail: str) -> Refused:
    return Refused(Refusal(Reason.BAD_REQUEST, detail=detail))


def _json_object(request: Request) -> dict[str, Any]:
    try:
        body = request.json()
    except ValueError:
        raise _bad('the body is no JSON') from None
    if not isinstance(body, dict):
        raise _bad('the body is no JSON object')
    return body


def _is_repeatable(request: Request) -> bool:
    """
    By the caller's mark, else by the method's semantics (RFC 9110, 9.2.2).

    """
    mark = request.header(REPEATABLE_HEADER)
    if mark not in ('', 'yes', 'no'):
        raise _bad(f'{REPEATABLE_HEADER}: yes or no expected')
    if mark:
        return mark == 'yes'
    return request.method in REPEATABLE_METHODS


def _number(request: Request, name: str, default: int, least: int, most: int) -> int:
    text = request.header(name)
    if not text:
        return default
    if not text.isdecimal() or not least <= int(text):
        raise _bad(f'{name}: a number from {least} expected')
    return min(int(text), most)
