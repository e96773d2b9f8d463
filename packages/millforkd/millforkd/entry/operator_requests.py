"""
Handles operators' requests: apply a declaration, read the state, read the rollout status.

"""

import uuid
from collections.abc import Mapping
from typing import Any, Final

import msgspec
from pydantic import ValidationError

from millfork_core.environment import Environment
from millfork_core.verdicts import Reason, Refusal, Refused
from millfork_settings.declarations import Declaration, DeploymentSpec
from millfork_settings.errors import find_problems
from millfork_state.commands import Apply, Change
from millfork_state.config import (
    DEPLOYMENTS,
    DRAINS,
    LABELS,
    ORGANISATIONS,
    Deployment,
    Organisation,
    WeightPart,
    encode,
)
from millfork_state.leader_client import LeaderClient
from millfork_state.node import decode_apply_result
from millfork_state.reports import Reports
from millfork_state.roster import Roster
from millfork_state.selection import deployments, select_endpoints
from millfork_state.view import View
from millfork_web.exchange import Exchange
from millfork_web.models import Response, json_response
from millfork_web.problem import problem
from millfork_weights.manifest import BadManifest, decode_manifest, digest_of
from millfork_weights.origin import Origin, OriginFailed
from millfork_wire.messages import Report
from millforkd.entry.access_control import AccessControl, Operator
from millforkd.report import EndpointReport

CONTROL_PREFIX: Final = '/control/v1/'
METRICS_PART: Final = 'control'


class ApplyRequest(msgspec.Struct, forbid_unknown_fields=True):
    """
    The body of an apply request: a declaration, the names of the deployments to remove, and the id
    of the replicated command, which is generated if empty. With a revision in `expect`, the request
    is refused if a key that it would set or remove was set or removed after that revision.

    """

    declaration: dict[str, Any]
    command_id: str = ''
    expect: int | None = None
    remove: list[str] = []


class OperatorRequests:
    """
    Answers operators. An organisation's operators see and change only the state of their own
    organisation.

    """

    def __init__(
        self,
        env: Environment,
        view: View,
        roster: Roster,
        reports: Reports,
        access: AccessControl,
        leader_client: LeaderClient,
        origin: Origin | None,
    ) -> None:
        self.env = env
        self.view = view
        self.roster = roster
        self.reports = reports
        self.access_control = access
        self.leader_client = leader_client
        self.origin = origin

    async def handle(self, exchange: Exchange) -> None:
        """
        Answer one control request.

        """
        try:
            operator = self.access_control.authenticate_operator(exchange.request)
            response = await self._route(exchange, operator)
        except Refused as error:
            self.env.metrics.refused(error.refusal.reason, METRICS_PART)
            response = problem(error.refusal)
        await exchange.respond(response)

    async def _route(self, exchange: Exchange, operator: Operator) -> Response:
        request = exchange.request
        action = (request.method, request.path.removeprefix(CONTROL_PREFIX).split('?', 1)[0])
        if action == ('POST', 'apply'):
            return await self._apply(request.body, operator)
        if action == ('GET', 'state'):
            return await self._state(operator)
        if action == ('GET', 'status'):
            return await self._status(operator)
        raise Refused(Refusal(Reason.NOT_FOUND, detail='no such control path'))

    # Apply.

    async def _apply(self, body: bytes, operator: Operator) -> Response:
        try:
            request = msgspec.json.decode(body, type=ApplyRequest)
            declaration = Declaration.model_validate(request.declaration)
        except msgspec.DecodeError as error:
            raise Refused(Refusal(Reason.INVALID, detail=str(error))) from error
        except ValidationError as error:
            found = [f'{problem.key}: {problem.expected}' for problem in find_problems(error)]
            raise Refused(Refusal(Reason.INVALID, detail='; '.join(found))) from error
        changes = await self._build_changes(declaration, operator, request)
        command = Apply(request.command_id or uuid.uuid4().hex, changes)
        result = decode_apply_result(await self.leader_client.propose(command))
        if not result.ok:
            detail = 'changed since the expected revision: ' + ', '.join(result.conflicts)
            raise Refused(Refusal(Reason.CONFLICT, detail=detail))
        return json_response({'revision': result.revision, 'command_id': command.command_id})

    async def _build_changes(
        self, declaration: Declaration, operator: Operator, request: ApplyRequest
    ) -> list[Change]:
        if not operator.is_admin and (declaration.organisations or declaration.drains):
            detail = 'only the administrator may change organisations and drains'
            raise Refused(Refusal(Reason.FORBIDDEN, detail=detail))
        organisation = declaration.organisation or operator.organisation
        if not operator.is_admin and organisation != operator.organisation:
            raise Refused(
                Refusal(Reason.FORBIDDEN, detail='the declaration is for another organisation')
            )
        needs_organisation = declaration.labels or declaration.deployments or request.remove
        if needs_organisation and not organisation:
            raise Refused(Refusal(Reason.INVALID, detail='organisation: a name expected'))
        values: dict[str, bytes | None] = {}
        for name, spec in declaration.organisations.items():
            values[ORGANISATIONS + name] = encode(Organisation(**spec.model_dump()))
        for instance, labels in declaration.labels.items():
            values[f'{LABELS}{organisation}/{instance}'] = encode(labels)
        for name, deployment in declaration.deployments.items():
            value = encode(await self._pin_deployment(deployment))
            values[f'{DEPLOYMENTS}{organisation}/{name}'] = value
        for instance, draining in declaration.drains.items():
            values[DRAINS + instance] = encode(True) if draining else None
        for name in request.remove:
            values[f'{DEPLOYMENTS}{organisation}/{name}'] = None
        return [Change(key, value, request.expect) for key, value in values.items()]

    async def _pin_deployment(self, spec: DeploymentSpec) -> Deployment:
        """
        Return the deployment with the digests of the manifests that the origin (the weight store)
        has now, so that instances accept exactly these weights.

        """
        weights = [(spec.model, spec.version)]
        weights += [(adapter.name, adapter.version) for adapter in spec.adapters]
        parts = []
        for name, version in weights:
            parts.append(await self._pin_weights(name, version))
        return Deployment(parts, dict(spec.selector))

    async def _pin_weights(self, name: str, version: str) -> WeightPart:
        if self.origin is None:
            detail = 'no origin is configured on this entry (weights.origin)'
            raise Refused(Refusal(Reason.NOT_READY, detail=detail))
        try:
            body = await self.origin.manifest(name, version)
            decode_manifest(body)
        except (OriginFailed, BadManifest) as error:
            detail = f'no usable manifest of {name} {version} at the origin: {error}'
            raise Refused(Refusal(Reason.INVALID, detail=detail)) from error
        return WeightPart(name, version, digest_of(body))

    # State and status.

    async def _state(self, operator: Operator) -> Response:
        body = await self.leader_client.read_state()
        items = {}
        for key, (value, revision) in body.items.items():
            if self._may_see(operator, key):
                items[key] = {'value': msgspec.json.decode(value), 'revision': revision}
        return json_response({'revision': body.revision, 'items': items})

    def _may_see(self, operator: Operator, key: str) -> bool:
        if operator.is_admin:
            return True
        own = operator.organisation
        if key.startswith((f'{LABELS}{own}/', f'{DEPLOYMENTS}{own}/')):
            return True
        return key == f'{ORGANISATIONS}{own}'

    async def _status(self, operator: Operator) -> Response:
        try:
            reports = {r.instance: r for r in await self.leader_client.read_reports()}
            partial = False
        except Refused:
            reports = {str(name): known.report for name, known in self.reports.by_instance.items()}
            partial = True
        rows = []
        for name, deployment in deployments(self.view).items():
            if self._may_see(operator, DEPLOYMENTS + name):
                rows.append(self._rollout_status(name, deployment, reports))
        return json_response(
            {'revision': self.view.revision, 'partial': partial, 'deployments': rows}
        )

    def _rollout_status(
        self, name: str, deployment: Deployment, reports: Mapping[str, Report]
    ) -> dict[str, Any]:
        """
        Return the progress of one deployment's rollout, by the latest report of each selected
        endpoint that isn't leaving.

        """
        selected = [
            f for f in select_endpoints(self.view, self.roster, name, deployment) if not f.leaving
        ]
        instances = []
        for facts in selected:
            report = EndpointReport.from_report(reports.get(facts.instance))
            instances.append(
                {
                    'instance': facts.instance,
                    'zone': facts.zone,
                    'share': report.shares.get(deployment.version, 0.0),
                    'serving': report.served.get(name, '') == deployment.version,
                }
            )
        return {
            'deployment': name,
            'version': deployment.version,
            'model': deployment.parts[0].name,
            'model_version': deployment.parts[0].version,
            'selected': len(selected),
            'serving': sum(row['serving'] for row in instances),
            'instances': instances,
        }
