"""
Answers `GET /route` at the admin port of an entry: where a given request would go now, and why.

The query names the request: `host` and `path`, optionally `key` (API key), `model`, `prompt_tokens`
and, once for each part of the prompt in order, `part` (its id). No request is sent, and nothing
of the entry is changed, but a replica is asked whether the document is the newest one if that isn't
known.

"""

from dataclasses import dataclass
from typing import Any, Final
from urllib.parse import parse_qs, urlsplit

from millfork_adapter.exchange import CallerRequest
from millfork_core.environment import Environment
from millfork_core.ids import ServiceName
from millfork_core.verdicts import Reason, Refusal, Refused
from millfork_registry.feed_client import FeedClient
from millfork_registry.registry import Registry
from millfork_routing.documents import Organisation, Route
from millfork_routing.regions import regions_of_request
from millfork_routing.routes import RouteTable, pick_service
from millfork_scheduling.placement import Requirements
from millfork_scheduling.retry_after import refusal_wait_ms
from millfork_scheduling.route_explanation import (
    ExplainedServer,
    Explanation,
    explain_route,
)
from millfork_scheduling.server_table import ServerTable
from millfork_scheduling.table_copy import copy_random
from millfork_web.models import Request, Response, json_response
from millforkd.proxy.admission import Admission
from millforkd.proxy.fingerprints import MAX_PARTS
from millforkd.proxy.part_quarantine import PartQuarantine

PARAMETERS: Final = frozenset({'host', 'path', 'key', 'model', 'prompt_tokens', 'part'})
MAX_PROMPT_TOKENS: Final = 100_000_000
MAX_FIELDS: Final = len(PARAMETERS) + MAX_PARTS


def parse_query(target: str) -> CallerRequest:
    """
    The request that the target of `GET /route` names.

    :raises Refused: if a parameter is missing, unknown, repeated or malformed.

    """
    try:
        query = urlsplit(target).query
        values = parse_qs(
            query, keep_blank_values=True, strict_parsing=bool(query), errors='strict',
            max_num_fields=MAX_FIELDS,
        )  # fmt: skip
    except ValueError as error:
        raise _bad(f'the query cannot be read: {error}') from error
    for name, given in values.items():
        if name not in PARAMETERS:
            raise _bad(f'unknown parameter {name!r}; known: {", ".join(sorted(PARAMETERS))}')
        if name != 'part' and len(given) > 1:
            raise _bad(f'{name} is given {len(given)} times')
    single = {name: given[0] for name, given in values.items()}
    if not single.get('host'):
        raise _bad('host is missing')
    if not single.get('path', '').startswith('/'):
        raise _bad('path is missing or does not begin with "/"')
    parts = values.get('part', [])
    if '' in parts:
        raise _bad('part is empty')
    return CallerRequest(
        request_id='',
        host=single['host'],
        path=single['path'],
        key=single.get('key', ''),
        model=single.get('model', ''),
        prompt_tokens=_parse_tokens(single.get('prompt_tokens', '0')),
        prefix_parts=tuple((part, 0) for part in parts),
    )


def _parse_tokens(text: str) -> int:
    # `isdecimal` alone accepts digits of other scripts.
    if not (text.isascii() and text.isdecimal() and len(text) <= len(str(MAX_PROMPT_TOKENS))):
        raise _bad(f'prompt_tokens: a number up to {MAX_PROMPT_TOKENS} expected, not {text!r}')
    return min(int(text), MAX_PROMPT_TOKENS)


def _bad(detail: str) -> Refused:
    return Refused(Refusal(Reason.BAD_REQUEST, detail=detail))


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """
    What the document says about a request. Unknown are None: the route if none matches, the
    organisation if keys aren't checked or the key is unknown.

    """

    caller: CallerRequest
    route: Route | None = None
    organisation: Organisation | None = None
    requirements: Requirements | None = None


class RouteQueries:
    """
    Explains where requests would go, from what an entry knows now.

    """

    def __init__(
        self,
        env: Environment,
        admission: Admission,
        server_table: ServerTable,
        registry: Registry,
        feed_client: FeedClient,
        part_quarantine: PartQuarantine,
    ) -> None:
        self.env = env
        self.admission = admission
        self.server_table = server_table
        self.registry = registry
        self.feed_client = feed_client
        self.part_quarantine = part_quarantine

    async def answer(self, request: Request) -> Response:
        """
        Answer `GET /route`. A request that would be refused is a valid question.

        :raises Refused: if the query is malformed.

        """
        caller = parse_query(request.path)
        if self.admission.document_age is not None:
            await self.admission.document_age.confirm(self.env.monotonic())
        return json_response(self.explain(caller))

    def explain(self, caller: CallerRequest) -> dict[str, Any]:
        """
        The body of the answer.

        """
        table = self.admission.table
        if table is None:
            refusal = Refusal(Reason.NOT_READY, detail='no document in force yet')
            return self._body(RoutedRequest(caller), Explanation([], refusal=refusal))
        route = table.find(caller.host, caller.path)
        if route is None:
            refusal = self._qualified(Reason.NOT_FOUND, 'no route')
            return self._body(RoutedRequest(caller), Explanation([], refusal=refusal))
        organisation = table.organisation_of_key(caller.key) if table.needs_keys else None
        if table.needs_keys and organisation is None and not route.public:
            refusal = self._qualified(Reason.UNAUTHENTICATED, 'unknown key')
            return self._body(RoutedRequest(caller, route), Explanation([], refusal=refusal))
        # The entry draws the service and the back end of a request from one generator.
        random = copy_random(self.env.random)
        requirements = self._requirements(
            table, caller, route, organisation, pick_service(route, random.random())
        )
        explanation = explain_route(
            self.server_table,
            self.registry.leases.values(),
            requirements,
            route.target_ms,
            random,
        )
        blocked = self.part_quarantine.blocked_shared_parts(requirements.service, caller)
        if blocked:
            reason = Reason.QUARANTINED_PART
            detail = f'back ends ended while running prompts with these parts: {", ".join(blocked)}'
            refusal = Refusal(reason, detail=detail, retry_after_ms=refusal_wait_ms(reason))
            explanation = Explanation(explanation.servers, refusal=refusal)
        return self._body(RoutedRequest(caller, route, organisation, requirements), explanation)

    def _qualified(self, reason: Reason, detail: str) -> Refusal:
        return self.admission.qualify(Refusal(reason, detail=detail), self.env.monotonic())

    def _requirements(
        self,
        table: RouteTable,
        caller: CallerRequest,
        route: Route,
        organisation: Organisation | None,
        service: ServiceName,
    ) -> Requirements:
        requirements = Requirements(
            service,
            table.services[service].engine,
            prompt_tokens=caller.prompt_tokens,
            regions=regions_of_request(route, organisation),
        )
        return self.admission.with_current_versions(requirements, route.max_attempts <= 1)

    def _body(self, routed: RoutedRequest, explanation: Explanation) -> dict[str, Any]:
        table = self.admission.table
        route, organisation, requirements = routed.route, routed.organisation, routed.requirements
        regions = requirements.regions if requirements is not None else None
        body: dict[str, Any] = {
            'age_ms': self.feed_client.knowledge_age_ms(),
            'document': table.version if table is not None else None,
            'host': routed.caller.host,
            'path': routed.caller.path,
            'route': route.name if route is not None else None,
            'shares': {share.service: share.weight for share in route.shares} if route else {},
            'service': requirements.service if requirements is not None else None,
            'organisation': organisation.name if organisation is not None else None,
            'regions': sorted(regions) if regions is not None else None,
            'evacuated_zones': sorted(self.server_table.evacuated_zones),
            'servers': [self._server_row(server) for server in explanation.servers],
            'choice': None,
            'refusal': None,
        }
        choice = explanation.choice
        if choice is not None and requirements is not None:
            body['choice'] = {
                'servers': [server.instance for server in choice.servers],
                'expected_wait_ms': (
                    round(choice.first_token_ms) if requirements.engine is not None else None
                ),
            }
        if explanation.refusal is not None:
            body['refusal'] = {
                'reason': explanation.refusal.reason.value,
                'detail': explanation.refusal.detail,
                'retry_after_ms': explanation.refusal.wait_ms,
            }
        return body

    def _server_row(self, server: ExplainedServer) -> dict[str, Any]:
        opens_in_s, expected_ms = server.opens_in_s, server.expected_ms
        return {
            'instance': server.instance,
            'zone': server.zone,
            'region': self.server_table.regions_by_zone.get(server.zone),
            'passed_over': server.reason.value if server.reason is not None else None,
            'opens_in_ms': round(opens_in_s * 1000) if opens_in_s is not None else None,
            'occupied': server.occupied,
            'slots': server.slots,
            'version': server.version,
            'expected_ms': round(expected_ms) if expected_ms is not None else None,
        }
