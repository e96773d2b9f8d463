"""
Handles callers' requests: completions by models, and calls to plain services.

"""

import json
import uuid
from collections.abc import Callable
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
from millfork_state.subscription import STALE_AGE_MS
from millfork_state.view import View
from millfork_web.exchange import CallerGone, Exchange
from millfork_web.models import Request, Response
from millfork_web.problem import problem
from millforkd.entry.access_control import AccessControl
from millforkd.entry.attempts import Call
from millforkd.entry.delivery import Delivery
from millforkd.entry.dispatcher import Dispatcher
from millforkd.entry.key_claims import KeyClaims

COMPLETION_PATHS: Final = frozenset({'/v1/completions', '/v1/chat/completions'})
SERVICES_PATH: Final = '/services/'
REPEATABLE_METHODS: Final = frozenset({'GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS', 'TRACE'})
KEY_HEADER: Final = 'idempotency-key'
REPEATABLE_HEADER: Final = 'millfork-repeatable'
TIMEOUT_HEADER: Final = 'millfork-timeout-ms'
PRIORITY_HEADER: Final = 'millfork-priority'
MAX_KEY_CHARS: Final = 255
# How long after its deadline a call may wait for the release of its idempotency key.
RELEASE_WAIT_S: Final = 0.5
MAX_PRIORITY: Final = 9
MAX_AFFINITY_CHARS: Final = 256
UNFORWARDED_HEADERS: Final = frozenset(
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
METRICS_PART: Final = 'entry'

log = logger(Component.ENTRY)


class CallerRequests:
    """
    Authenticates callers, parses their requests and answers them.

    """

    def __init__(
        self,
        env: Environment,
        settings: RoutingSettings,
        view: View,
        access: AccessControl,
        dispatcher: Dispatcher,
        claims: KeyClaims,
        configuration_age_ms: Callable[[], int] = lambda: 0,
    ) -> None:
        self.env = env
        self.settings = settings
        self.view = view
        self.access_control = access
        self.dispatcher = dispatcher
        self.claims = claims
        # Returns the milliseconds since the configuration was last known to be the newest.
        self.configuration_age_ms = configuration_age_ms
        self.in_flight = InFlightCounter(settings.organisation_slots)

    async def handle(self, exchange: Exchange) -> None:
        """
        Answer one request. An invalid or unauthenticated request is refused at once, and so is
        any request of an organisation that has too many requests in progress.

        """
        try:
            organisation = self._authenticate(exchange.request)
            call = self._parse_call(exchange.request, organisation)
            if not self.in_flight.try_acquire(organisation):
                detail = 'too many requests of this organisation are in progress'
                raise Refused(Refusal(Reason.OVER_SHARE, detail=detail))
        except Refused as error:
            await self._refuse(exchange, error.refusal)
            return
        try:
            await self._answer_until_caller_leaves(exchange, call)
        finally:
            self.in_flight.release(organisation)

    async def _answer_until_caller_leaves(self, exchange: Exchange, call: Call) -> None:
        """
        Run the call until it is answered or refused. If the caller disconnects, the call is
        cancelled. Only a call with an idempotency key continues, so that its outcome is recorded.

        """
        answering = await self.env.spawn(self._answer_call, exchange, call)
        watching = await self.env.spawn(self._watch_caller, exchange, call, answering)
        try:
            await answering.join()
        except curio.TaskError as error:
            if isinstance(error.__cause__, curio.TaskCancelled):
                raise CallerGone('the call was cancelled') from None
            if isinstance(error.__cause__, CallerGone):
                raise CallerGone(str(error.__cause__)) from error
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
                refusal = await self.dispatcher.run(call, delivery)
        except Refused as error:
            refusal = error.refusal
        except CallerGone:
            raise
        except (Exception, curio.TaskTimeout):
            log.exception('A call of {} failed.', call.service)
            refusal = Refusal(Reason.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, 'the entry failed')
            if exchange.started:
                await exchange.abort()
        if refusal is not None:
            await self._refuse(exchange, refusal, exchange.started)
            return
        self.env.metrics.count(self.env.metrics.requests, outcome='answered')
        if delivery.response is not None:
            await exchange.respond(delivery.response)

    async def _run_claimed(self, call: Call, delivery: Delivery) -> Refusal | None:
        """
        Claim the idempotency key of a call and run the call. Store the answer under the key, or
        release the key if the request did not run. If an earlier request with the key has a stored
        answer, deliver that answer instead. Return None if the call is answered, else the refusal.

        """
        call = replace(call, claim=uuid.uuid4().hex)
        stored_response = await self.claims.claim(call)
        if stored_response is not None:
            self.env.metrics.count(self.env.metrics.requests, outcome='answered_again')
            delivery.response = stored_response
            return None
        refusal = await self.dispatcher.run(call, delivery)
        verdict = refusal.verdict if refusal else Verdict.RAN
        response = delivery.response
        if refusal is None and response is None:
            # The answer was streamed and is not stored; status 0 records only that the request ran.
            response = Response(0)
        settling = await self.env.spawn(self.claims.settle, call, response, verdict)
        if verdict is Verdict.NOT_RUN:
            await self._wait_for_release(settling, call)
        return refusal

    async def _wait_for_release(self, settling: curio.Task, call: Call) -> None:
        """
        Wait until the key of a call that did not run is released, so that the caller may repeat the
        call at once. The refusal waits no longer than RELEASE_WAIT_S after the call's deadline.

        """
        wait_s = max(call.deadline - self.env.monotonic(), RELEASE_WAIT_S)
        try:
            async with curio.timeout_after(wait_s):
                await settling.wait()
        except curio.TaskTimeout:
            log.info('An idempotency key is not released yet. service={}', call.service)

    async def _refuse(self, exchange: Exchange, refusal: Refusal, started: bool = False) -> None:
        self.env.metrics.refused(refusal.reason, METRICS_PART)
        self.env.metrics.count(self.env.metrics.requests, outcome='refused')
        log.info(
            'Refused. reason={} verdict={} answer_started={} detail={} revision={} age_ms={}',
            refusal.reason.value,
            refusal.verdict.value,
            started,
            refusal.detail,
            self.view.revision,
            self.configuration_age_ms(),
        )
        if not started:
            await exchange.respond(problem(refusal))

    # Parsing a request.

    def _authenticate(self, request: Request) -> OrganisationId:
        try:
            return self.access_control.authenticate_caller(request)
        except Refused as error:
            if not request.header('authorization'):
                raise
            raise self._unknown(error.refusal) from None

    def _unknown(self, refusal: Refusal) -> Refused:
        """
        The refusal of a request for something that the configuration lacks; with the reason
        `OUTDATED` if the configuration is stale, as a newer one may have it.

        """
        if self.configuration_age_ms() <= STALE_AGE_MS:
            return Refused(refusal)
        detail = f'{refusal.detail}, by a configuration that may lack changes'
        return Refused(Refusal(Reason.OUTDATED, detail=detail))

    def _parse_call(self, request: Request, organisation: OrganisationId) -> Call:
        path = request.path.split('?', 1)[0]
        key = request.header(KEY_HEADER)
        if len(key) > MAX_KEY_CHARS:
            raise _bad_request(f'{KEY_HEADER} is longer than {MAX_KEY_CHARS} characters')
        affinity = ''
        if path in COMPLETION_PATHS:
            service, affinity = self._parse_deployment(request, organisation)
            target = request.path
        elif path.startswith(SERVICES_PATH):
            service, target = self._parse_plain_service(request, organisation)
        else:
            raise Refused(Refusal(Reason.NOT_FOUND, detail='no such path'))
        repeatable = _is_repeatable(request)
        headers = [(n, v) for n, v in request.headers if n not in UNFORWARDED_HEADERS]
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
            _parse_number(request, PRIORITY_HEADER, 0, 0, MAX_PRIORITY),
            self.env.monotonic() + self._timeout_ms(request) / 1000,
        )

    def _timeout_ms(self, request: Request) -> int:
        maximum = self.settings.request_timeout_ms
        return _parse_number(request, TIMEOUT_HEADER, maximum, 1, maximum)

    def _parse_deployment(self, request: Request, organisation: OrganisationId) -> tuple[str, str]:
        if request.method != 'POST':
            raise _bad_request('completions require the method POST')
        body = _json_object(request)
        name = body.get('model')
        if not isinstance(name, str):
            raise _bad_request('model: a deployment name expected')
        service = f'{organisation}/{name}'
        if f'{DEPLOYMENTS}{service}' not in self.view.items:
            raise self._unknown(Refusal(Reason.NOT_FOUND, detail='no such deployment'))
        prompt = body.get('prompt') or body.get('messages') or ''
        return service, f'{service}/{_affinity_text(prompt)}'

    def _parse_plain_service(
        self, request: Request, organisation: OrganisationId
    ) -> tuple[str, str]:
        rest = request.path.removeprefix(SERVICES_PATH)
        service, _, target = rest.partition('/')
        if not self.access_control.may_use(organisation, service):
            raise self._unknown(Refusal(Reason.NOT_FOUND, detail='no such service'))
        return service, '/' + target


def _bad_request(detail: str) -> Refused:
    return Refused(Refusal(Reason.BAD_REQUEST, detail=detail))


def _affinity_text(prompt: Any) -> str:
    try:
        text = prompt if isinstance(prompt, str) else json.dumps(prompt)
    except RecursionError:
        raise _bad_request('the prompt is nested too deeply') from None
    # JSON strings may contain lone surrogates, which can't be encoded.
    return text[:MAX_AFFINITY_CHARS].encode(errors='replace').decode()


def _json_object(request: Request) -> dict[str, Any]:
    try:
        body = request.json()
    except ValueError:
        raise _bad_request('the body is not JSON') from None
    except RecursionError:
        raise _bad_request('the body is nested too deeply') from None
    if not isinstance(body, dict):
        raise _bad_request('the body is not a JSON object')
    return body


def _is_repeatable(request: Request) -> bool:
    """
    Return whether the request may be sent more than once: the value of REPEATABLE_HEADER or,
    without that header, whether the method is idempotent (RFC 9110, section 9.2.2).

    :raises Refused: if the header is neither `yes` nor `no`.

    """
    value = request.header(REPEATABLE_HEADER)
    if value not in ('', 'yes', 'no'):
        raise _bad_request(f'{REPEATABLE_HEADER}: yes or no expected')
    if value:
        return value == 'yes'
    return request.method in REPEATABLE_METHODS


def _parse_number(request: Request, name: str, default: int, minimum: int, maximum: int) -> int:
    text = request.header(name)
    if not text:
        return default
    try:
        number = int(text) if text.isdecimal() else None
    except ValueError:
        # Python limits the digits of a number.
        number = None
    if number is None or number < minimum:
        raise _bad_request(f'{name}: a number from {minimum} expected')
    return min(number, maximum)
