"""
The commands that an operator runs against the admin ports of a seeded fleet.

"""

import json
from dataclasses import replace
from types import SimpleNamespace
from urllib.parse import urlencode

import pytest

from millfork.core import run
from millfork.models import Arguments, Environment
from millfork_core.status import ExitStatus
from millfork_core.verdicts import Reason, Refused
from millfork_registry.suspicion_store import SuspicionStore
from millfork_routing.documents import Service
from millfork_routing.routes import RouteTable
from millfork_standins.seeded import SeededFleet
from millfork_state.view import View
from millforkd.proxy.fingerprints import Fingerprints
from millforkd.proxy.part_quarantine import PartQuarantine
from millforkd.proxy.route_queries import RouteQueries, parse_query
from millforkd.quarantine import QuarantineListing
from tests.test_admission import new_admission
from tests.test_route_explanation import make_table
from tests.test_seeded_fleet import document, request
from tests.test_servers import ENGINE, SERVICE, Clock
from tests.utils.fleets import wait_until

ZONE = 'zone'
ADMIN_PORT = 9400
FINGERPRINTS = Fingerprints(b'key', lambda: 'cluster')
UNUSED = ('127.9.9.9', 9)


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    new_fleet = SeededFleet(tmp_path_factory.mktemp('route'))
    try:
        new_fleet.start()
        new_fleet.back_end = new_fleet.add_back_end('plain', 'i-1')
        assert new_fleet.put_document(document(1, '/safe/')).status == 200
        wait_until(lambda: new_fleet.send_request(request('/safe/x')).status == 200)
        yield new_fleet
    finally:
        new_fleet.close()


def command(hosts, *words, **fields):
    """
    Run a command; return its status, and what it wrote to both streams.

    """
    env = Environment([], [])
    addresses = [UNUSED, *((host, ADMIN_PORT) for host in hosts)]
    arguments = Arguments(words[0], list(words[1:]), [], '', admin=addresses, **fields)
    status = run(arguments, env)
    return status, '\n'.join(env.stdout), '\n'.join(env.stderr)


def ask(fleet, path='/safe/x', **fields):
    fields = {'api_key': 'key', 'json': True, **fields}
    status, out, _ = command(fleet.entry_hosts[:1], 'route', 'h.example', path, **fields)
    assert status == ExitStatus.SUCCESS
    return json.loads(out)


def test_a_request_is_explained_and_nothing_is_sent(fleet):
    before = len(fleet.back_end.executed)
    answer = ask(fleet)
    assert answer['choice'] == {'servers': ['i-1'], 'expected_wait_ms': None}
    assert (answer['route'], answer['organisation']) == ('/safe/', 'org')
    assert (answer['service'], answer['regions'], answer['refusal']) == ('plain', None, None)
    assert 0 <= answer['age_ms'] < 60_000
    [server] = answer['servers']
    assert (server['instance'], server['passed_over']) == ('i-1', None)
    assert ask(fleet, '/nowhere')['refusal']['reason'] == 'not_found'
    assert ask(fleet, api_key='unknown')['refusal']['reason'] == 'unauthenticated'
    _, text, _ = command(fleet.entry_hosts[:1], 'route', 'h.example', '/safe/x', api_key='key')
    assert text.splitlines()[-1] == 'choice: i-1'
    assert len(fleet.back_end.executed) == before


def test_an_evacuation_is_ordered_listed_explained_and_taken_back(fleet):
    entry, replica = fleet.entry_hosts[:1], fleet.replica_hosts[:1]
    assert command(replica, 'evacuate', ZONE)[0] == ExitStatus.SUCCESS
    wait_until(lambda: ask(fleet)['evacuated_zones'] == [ZONE])
    answer = ask(fleet)
    assert (answer['choice'], answer['refusal']['reason']) == (None, 'evacuated')
    assert [server['passed_over'] for server in answer['servers']] == ['evacuated']
    assert ZONE in command(entry, 'evacuations')[1].splitlines()[-1]
    listed = json.loads(command(replica, 'evacuations', json=True)[1])
    assert [row['zone'] for row in listed['evacuations']] == [ZONE]
    assert command(replica, 'evacuate', ZONE, undo=True)[0] == ExitStatus.SUCCESS
    wait_until(lambda: ask(fleet)['choice'] is not None)
    assert 'no zone is evacuated' in command(entry, 'evacuations')[1]


def test_errors_are_printed_with_their_exit_status(fleet):
    """
    Guards against an order to an unknown zone, or to an entry, that seems to be carried out.

    """
    entry, replica = fleet.entry_hosts[:1], fleet.replica_hosts[:1]
    for zone in ('nowhere', 'no/where'):
        status, _, error = command(replica, 'evacuate', zone)
        assert status == ExitStatus.REFUSED
        assert f'not_found: no zone {zone!r}; zones: zone' in error
    assert command(replica, 'evacuate', '')[0] == ExitStatus.USAGE
    status, _, error = command(entry, 'evacuate', ZONE)
    assert (status, 'does not answer POST' in error) == (ExitStatus.REFUSED, True)
    status, _, error = command(entry, 'route', 'h.example', '/safe/x', prompt_tokens='-1')
    assert (status, 'prompt_tokens' in error) == (ExitStatus.USAGE, True)
    assert command([], 'evacuations')[0] == ExitStatus.UNREACHABLE
    assert command(entry, 'route', 'h.example')[0] == ExitStatus.USAGE


def test_a_quarantined_part_is_named_and_an_engines_wait_is_expected():
    """
    Guards against an answer that names an engine for a prompt that entries refuse.

    """
    admission = new_admission()
    queries = RouteQueries(
        admission.env,
        admission,
        make_table(['free'], Clock()),
        SimpleNamespace(leases={}),
        SimpleNamespace(knowledge_age_ms=lambda: 7),
        PartQuarantine(SuspicionStore(Clock()), QuarantineListing(View()), FINGERPRINTS, None),
    )
    caller = parse_query('/route?host=h.example&path=/safe/x&model=m&key=key&part=p&part=own')
    assert queries.explain(caller)['refusal']['reason'] == 'not_ready'
    services = (Service(SERVICE, 64, ENGINE),)
    admission.table = RouteTable(replace(document(1, '/safe/', service=SERVICE), services=services))
    answer = queries.explain(caller)
    assert answer['choice']['servers'] == ['i-1']
    assert answer['choice']['expected_wait_ms'] == answer['servers'][0]['expected_ms'] > 0
    blocked = FINGERPRINTS.for_part(SERVICE, 'm', 'p')
    queries.part_quarantine.listing.epochs[blocked] = 0
    answer = queries.explain(caller)
    assert (answer['choice'], answer['refusal']['reason']) == (None, 'quarantined_part')
    assert blocked in answer['refusal']['detail']


@pytest.mark.parametrize(
    ('query', 'detail'),
    [
        ('', 'host is missing'),
        ('?host=h', 'path is missing'),
        ('?host=h&path=x', 'path is missing'),
        ('?host=h&path=/x&host=i', 'host is given 2 times'),
        ('?host=h&path=/x&pathe=1', "unknown parameter 'pathe'"),
        ('?host=h&path=/x&prompt_tokens=1e9', 'prompt_tokens'),
        ('?host=h&path=/x&prompt_tokens=%D9%A3', 'prompt_tokens'),
        ('?host=h&path=/x&part=', 'part is empty'),
        ('?host=%FF&path=/x', 'cannot be read'),
        ('?host', 'cannot be read'),
        ('?host=h&path=/x' + '&part=p' * 100, 'cannot be read'),
    ],
)
def test_a_malformed_query_is_refused(query, detail):
    with pytest.raises(Refused) as refused:
        parse_query('/route' + query)
    assert refused.value.refusal.reason is Reason.BAD_REQUEST
    assert detail in refused.value.refusal.detail


def test_a_query_is_read():
    query = urlencode(
        [('host', 'h'), ('path', '/ü?a=b&c'), ('part', 'p1'), ('part', 'p2'), ('key', 'k')]
    )
    caller = parse_query(f'/route?{query}')
    assert (caller.host, caller.path, caller.key) == ('h', '/ü?a=b&c', 'k')
    assert caller.prefix_parts == (('p1', 0), ('p2', 0))
