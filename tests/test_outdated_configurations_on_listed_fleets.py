"""
On fleets with a list of instances, an entry with a stale configuration refuses calls for what the
configuration lacks as not run, with a time to come back.

"""

import json
from types import SimpleNamespace

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_settings.models import RoutingSettings
from millfork_standins.deployments import LANTING
from millfork_standins.fleet import Fleet
from millfork_standins.layout import FleetOptions
from millfork_state.subscription import STALE_AGE_MS
from millfork_state.view import View
from millfork_web.models import Request
from millforkd.entry.access_control import AccessControl
from millforkd.entry.caller_requests import CallerRequests
from tests.test_unanswered_calls import OpenAccess
from tests.utils.fleets import complete, wait_until


class NoAccess(OpenAccess):
    """
    Lets every caller in, but use no service.

    """

    def may_use(self, organisation, service):
        return False


def refused(age_ms, access, path, headers=()):
    """
    Return the status, reason and Retry-After of the refusal by an entry whose configuration has
    the given age and lacks everything.

    """
    env = Environment(InstanceId('a:1'), ZoneId('zone'))
    requests = CallerRequests(
        env, RoutingSettings(), View(), access, None, None, lambda: age_ms
    )  # fmt: skip
    responses = []

    async def respond(response):
        responses.append(response)

    body = json.dumps({'model': 'main'}).encode()
    request = Request('POST', path, list(headers), body)
    curio.run(requests.handle, SimpleNamespace(request=request, respond=respond))
    fields = dict(responses[0].headers)
    return responses[0].status, fields['millfork-reason'], 'retry-after' in fields


@pytest.mark.parametrize(
    ('access', 'path', 'headers', 'status', 'reason'),
    [
        (NoAccess(), '/v1/completions', (), 404, 'not_found'),
        (NoAccess(), '/services/s/x', (), 404, 'not_found'),
        (
            AccessControl(View(), None),
            '/services/s/x',
            (('authorization', 'Bearer t'),),
            401,
            'unauthenticated',
        ),
    ],
)
def test_a_lack_is_final_only_by_a_configuration_that_is_not_stale(
    access, path, headers, status, reason
):
    # Guards against 404 and 401 for what was added while the entry was cut off.
    assert refused(STALE_AGE_MS, access, path, headers) == (status, reason, False)
    assert refused(STALE_AGE_MS + 1, access, path, headers) == (503, 'outdated', True)


@pytest.mark.parametrize(
    ('access', 'path', 'status'),
    [(NoAccess(), '/elsewhere', 404), (AccessControl(View(), None), '/services/s/x', 401)],
)
def test_what_no_configuration_allows_is_refused_for_good(access, path, status):
    assert refused(STALE_AGE_MS + 1, access, path)[0] == status


def test_an_entry_without_replicas_does_not_answer_that_a_deployment_does_not_exist(tmp_path):
    fleet = Fleet(LANTING, tmp_path, FleetOptions())
    try:
        fleet.start(backends=False)
        fleet.apply(fleet.organisations_declaration())
        entries = [entry.name for entry in fleet.entries]
        number = next(
            number for number, entry in enumerate(fleet.entries) if entry not in fleet.replicas
        )
        token = fleet.caller_tokens[fleet.shape.organisations[0]]
        wait_until(lambda: complete(fleet, token, entry=number).status == 404)
        for name in entries:
            if name != entries[number]:
                fleet.kill(name)
        wait_until(lambda: complete(fleet, token, entry=number).status == 503)
        answer = complete(fleet, token, entry=number)
        assert answer.headers['millfork-reason'] == 'outdated'
        assert int(answer.headers['retry-after']) > 0
        assert ' revision=' in fleet.read_log_tail(entries[number])
    finally:
        fleet.close()
