"""
An entry whose document may lack acknowledged changes refuses requests for routes and keys that it
doesn't know as not run, with a time to come back; one whose document is recent refuses them for
good, and at once.

"""

import signal
import time

import curio
import pytest

from millfork_adapter.exchange import CallerRequest
from millfork_core.environment import Environment
from millfork_core.ids import ClusterId, InstanceId, Revision, ZoneId
from millfork_core.verdicts import Reason, Refused, Verdict
from millfork_registry.discovery import Discovery
from millfork_registry.feed_client import FeedClient
from millfork_registry.registry import Registry
from millfork_routing.routes import RouteTable
from millfork_standins.http_calls import call
from millfork_standins.seeded import SeededFleet
from millfork_standins.seeded_ports import CALLERS_PORT
from millfork_state.view import View
from millfork_wire.connection import PeerUnreachable
from millfork_wire.messages import FindReplicas, Replicas
from millforkd.proxy import document_age as document_age_module
from millforkd.proxy.admission import Admission
from millforkd.proxy.document_age import QUESTION_INTERVAL_S, DocumentAge
from millforkd.proxy.outcomes import status_of
from millforkd.versions import VersionTracker
from tests.test_route_command import ask
from tests.test_seeded_fleet import document, request
from tests.test_servers import Clock
from tests.utils.fleets import wait_until

REPLICA = InstanceId('10.0.0.1:7')
CLUSTER = ClusterId('c')
MAX_AGE_MS = 2000
MAX_AGE_S = MAX_AGE_MS / 1000
# A refusal at once takes no longer than this on a busy machine.
AT_ONCE_S = 0.5


class FakeReplica:
    """
    Answers questions by its revision and age after `delay_s`; not at all if it is unreachable.

    """

    def __init__(self):
        self.revision = 1
        self.age_ms = 0
        self.reachable = True
        self.delay_s = 0.0
        self.questions = 0
        self.connections = {}

    async def call(self, address, message, timeout):
        assert isinstance(message, FindReplicas)
        self.questions += 1
        await curio.sleep(self.delay_s)
        if not self.reachable:
            raise PeerUnreachable(str(address.instance))
        return Replicas('c', '', [str(REPLICA)], self.age_ms, zone='z1', revision=self.revision)


class Entry:
    """
    The admission of an entry that follows a replica and serves by a document of revision 1.

    """

    def __init__(self):
        self.clock = Clock()
        self.replica = FakeReplica()
        env = Environment(InstanceId('a:1'), ZoneId('z1'), monotonic=self.clock)
        discovery = Discovery(env, self.replica, [str(REPLICA)])
        self.client = FeedClient(env, 'entry', View(), Registry(env, 1.0), self.replica, discovery)
        self.client.source = REPLICA
        self.age = DocumentAge(env, self.client, MAX_AGE_MS)
        self.age.position = (CLUSTER, Revision(1))
        versions = VersionTracker(env, View(), 8000)
        self.admission = Admission(env, versions, document_age=self.age)
        self.admission.table = RouteTable(document(1, '/safe/'))
        self.client.revision_times.record_answer(self.clock(), Replicas('c', '', [], 0, revision=1))

    def pass_time(self, seconds):
        self.clock.now += seconds
        # Messages of the feed arrive, whatever became of the questions.
        self.client.source_contact_at = self.clock()
        self.client.current_at = self.clock()

    async def refusal(self, path='/nowhere', key='key'):
        caller = CallerRequest('id', 'h.example', path, key=key, deadline_ms=4000)
        with pytest.raises(Refused) as refused:
            await self.admission.admit_by_recent_document(None, caller, self.clock())
        return refused.value.refusal


@pytest.mark.parametrize(
    ('path', 'key', 'reason'),
    [
        ('/nowhere', 'key', Reason.NOT_FOUND),
        ('/safe/x', 'unknown', Reason.UNAUTHENTICATED),
    ],
)
def test_a_lack_is_final_only_by_a_recent_document(path, key, reason):
    # Guards against 404 and 401 for a route or key that was acknowledged long ago.
    async def run():
        entry = Entry()
        entry.replica.reachable = False
        entry.pass_time(MAX_AGE_S - 0.1)
        assert (await entry.refusal(path, key)).reason is reason
        assert entry.replica.questions == 0
        entry.pass_time(0.2)
        refusal = await entry.refusal(path, key)
        assert (refusal.reason, refusal.verdict) == (Reason.OUTDATED, Verdict.NOT_RUN)
        assert status_of(refusal) == 503
        assert refusal.wait_ms > 0

    curio.run(run)


def test_a_request_that_the_document_allows_needs_no_recent_document():
    async def run():
        entry = Entry()
        entry.pass_time(100 * MAX_AGE_S)
        caller = CallerRequest('id', 'h.example', '/safe/x', key='key', deadline_ms=4000)
        job = await entry.admission.admit_by_recent_document(None, caller, entry.clock())
        assert job.route.name == '/safe/'
        assert entry.replica.questions == 0

    curio.run(run)


def test_a_replica_is_asked_before_a_request_is_refused_as_outdated():
    # Guards against 503 in calm times, as the periodic questions may be as far apart as the bound.
    async def run():
        entry = Entry()
        for _ in range(5):
            entry.pass_time(MAX_AGE_S + 0.1)
            assert (await entry.refusal()).reason is Reason.NOT_FOUND
        assert entry.replica.questions == 5

    curio.run(run)


def test_the_answer_of_a_replica_without_contact_to_its_leader_does_not_count():
    async def run():
        entry = Entry()
        entry.replica.age_ms = 60_000
        entry.pass_time(MAX_AGE_S + 0.1)
        assert (await entry.refusal()).reason is Reason.OUTDATED

    curio.run(run)


def test_many_refused_requests_ask_few_questions():
    # Guards against callers with unknown paths that make an entry ask without limit.
    async def run():
        entry = Entry()
        entry.replica.delay_s = 0.02
        entry.pass_time(MAX_AGE_S + 0.1)
        async with curio.TaskGroup() as group:
            for _ in range(50):
                await group.spawn(entry.refusal)
        assert entry.replica.questions == 1
        entry.replica.reachable = False
        for _ in range(50):
            entry.pass_time(MAX_AGE_S)
            questions = entry.replica.questions
            entry.pass_time(QUESTION_INTERVAL_S)
            for _ in range(5):
                assert (await entry.refusal()).reason is Reason.OUTDATED
            assert entry.replica.questions == questions + 1

    curio.run(run)


def test_a_request_does_not_wait_for_a_silent_replica():
    async def run():
        entry = Entry()
        entry.replica.delay_s = 60.0
        entry.pass_time(MAX_AGE_S + 0.1)
        started_at = time.monotonic()
        assert (await entry.refusal()).reason is Reason.OUTDATED
        assert time.monotonic() - started_at < document_age_module.CONFIRM_TIMEOUT_S + AT_ONCE_S
        # A replica that the feed has shown to be silent is not asked.
        entry.clock.now += MAX_AGE_S
        assert (await entry.refusal()).reason is Reason.OUTDATED
        assert entry.replica.questions == 1

    curio.run(run)


def test_a_change_that_is_on_its_way_is_waited_for():
    # Guards against a refusal by a document which the replica's answer shows to be outdated.
    async def run():
        entry = Entry()
        entry.replica.revision = 2
        entry.pass_time(MAX_AGE_S + 0.1)
        caller = CallerRequest('id', 'h.example', '/added/x', key='key', deadline_ms=4000)
        admitting = await curio.spawn(
            entry.admission.admit_by_recent_document, None, caller, entry.clock()
        )
        await curio.sleep(0.05)
        entry.admission.table = RouteTable(document(2, '/safe/', '/added/'))
        await entry.age.set_position((CLUSTER, Revision(2)))
        job = await admitting.join()
        assert job.route.name == '/added/'

    curio.run(run)


def test_the_age_counts_from_the_question_and_not_from_messages_read_late():
    # Guards against a process that continues after a stop and takes what was sent before for new.
    entry = Entry()
    entry.pass_time(10.0)
    assert entry.client.knowledge_age_ms() == 0
    assert entry.admission.document_age_ms() == 10_000
    entry.age.position = (ClusterId('other'), Revision(1))
    assert not entry.age.is_recent(entry.clock())


@pytest.fixture
def fleet(tmp_path):
    new_fleet = SeededFleet(tmp_path)
    try:
        new_fleet.start()
        new_fleet.add_back_end('plain', 'i-1')
        assert new_fleet.put_document(document(1, '/safe/')).status == 200
        wait_until(lambda: new_fleet.send_request(request('/safe/x')).status == 200)
        yield new_fleet
    finally:
        new_fleet.close()


def timed_reply(fleet, path, key='key'):
    started_at = time.monotonic()
    reply = fleet.send_request(request(path, key=key))
    return reply, time.monotonic() - started_at


def followed_replica(fleet):
    lines = fleet.log(fleet.entry_hosts[0]).splitlines()
    last = [line for line in lines if 'Following replica' in line][-1]
    return last.split('Following replica ')[1].split(':')[0]


def test_a_route_added_while_an_entry_heard_nothing_is_not_answered_with_404(fleet):
    # Guards against 404 for an acknowledged route by an entry that reaches no replica.
    entry = fleet.entry_hosts[0]
    fleet.signal(entry, signal.SIGSTOP)
    followed = followed_replica(fleet)
    fleet.kill(followed)
    assert fleet.put_document(document(2, '/safe/', '/added/', keys=('key', 'new'))).status == 200
    time.sleep(MAX_AGE_S)
    others = [host for host in fleet.replica_hosts if host != followed]
    for host in others:
        fleet.kill(host)
    fleet.signal(entry, signal.SIGCONT)
    for path, key in (('/added/x', 'key'), ('/safe/x', 'new'), ('/nowhere', 'key')):
        reply, took_s = timed_reply(fleet, path, key)
        assert reply.status == 503
        assert float(reply.headers['retry-after']) > 0
        assert took_s < document_age_module.CONFIRM_TIMEOUT_S + AT_ONCE_S
    assert 'reason=outdated detail=no route in a document' in fleet.log(entry)
    assert ' document=1 age_ms=' in fleet.log(entry)
    assert ask(fleet, '/added/x')['refusal']['reason'] == 'outdated'
    # Requests that its document allows are still served.
    assert timed_reply(fleet, '/safe/x')[0].status == 200
    for host in fleet.replica_hosts:
        fleet.start_process(host)
    wait_until(lambda: timed_reply(fleet, '/added/x')[0].status == 200)
    # A leader has to confirm the replicas' state first.
    wait_until(lambda: timed_reply(fleet, '/nowhere')[0].status == 404)


def test_an_unknown_route_is_answered_with_404_at_once_in_calm_times(fleet):
    # Guards against 503 or a wait between two periodic questions to the replica.
    ends_at = time.monotonic() + 3 * MAX_AGE_S
    while time.monotonic() < ends_at:
        for path, key, status in (('/nowhere', 'key', 404), ('/safe/x', 'unknown', 401)):
            reply, took_s = timed_reply(fleet, path, key)
            assert reply.status == status
            assert took_s < AT_ONCE_S
        time.sleep(0.05)
    assert ask(fleet, '/nowhere')['refusal']['reason'] == 'not_found'


def test_unknown_routes_are_outdated_while_no_leader_confirms_the_state(fleet):
    # Guards against 404 by an entry whose replica answers but has no leader.
    for host in fleet.replica_hosts[1:]:
        fleet.kill(host)
    time.sleep(2 * MAX_AGE_S)
    reply = call(fleet.entry_hosts[0], CALLERS_PORT, request('/nowhere'))
    assert reply.status == 503
    assert float(reply.headers['retry-after']) > 0
