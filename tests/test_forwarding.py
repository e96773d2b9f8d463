"""
Requests that are not sent although a connection was opened, or are given up while they wait for an
answer.

"""

from random import Random
from types import SimpleNamespace

import curio
import pytest

from millfork_adapter.exchange import Backpressure, CallerRequest
from millfork_core.environment import Environment
from millfork_core.ids import Fingerprint, InstanceId, ServiceName, ZoneId
from millfork_core.verdicts import Reason, Verdict
from millfork_registry.records import ServedVersion
from millfork_registry.suspicion_store import SuspicionStore
from millfork_registry.suspicions import Suspicion
from millfork_routing.shared_budget import SharedBudget
from millfork_scheduling.placement import Choice, Requirements
from millfork_scheduling.server import Server
from millfork_scheduling.server_table import ServerTable
from millfork_scheduling.slow_answers import SlowAnswers
from millfork_state.view import View
from millforkd.proxy.attempts import AnswerRace, Attempt, FailedAttempt
from millforkd.proxy.connections import SendFailed
from millforkd.proxy.fingerprints import Fingerprints
from millforkd.proxy.forwarding import Forwarding
from millforkd.proxy.job import Job
from millforkd.proxy.part_quarantine import PartQuarantine
from millforkd.proxy.response_monitor import REORDER_THRESHOLD_S, SILENT_SERVER_S, ResponseMonitor
from millforkd.quarantine import Quarantine
from tests.test_servers import ENGINE, Clock

TOO_LONG_S = SILENT_SERVER_S + 0.1

# Second attempts beside slow ones are off.
NO_SECOND_ATTEMPTS = SlowAnswers(0.0, 0.0, Clock())


class WaitingRequest:
    """
    A request that an entry has sent to a back end and that waits for the answer.

    """

    def __init__(self, urgency=5):
        self.clock = Clock()
        env = Environment(InstanceId('a:1'), ZoneId('z1'), monotonic=self.clock)
        self.monitor = ResponseMonitor(env, None, None, None, NO_SECOND_ATTEMPTS, None)
        self.server = Server(InstanceId('i-1'), ServiceName('s'), '10.0.0.1', 80, ZoneId('z1'), 16)
        self.job = SimpleNamespace(urgency=urgency)
        suspicion = Suspicion(Fingerprint('ab'))
        self.attempt = Attempt(Choice(self.server), self.clock.now, suspicion)

    @property
    def is_silent(self):
        return self.monitor.is_silent(self.job, self.attempt)

    def answer_other(self, sent_later_s, urgency=5):
        """
        Let the back end answer another request, sent `sent_later_s` after the waiting one.

        """
        self.server.last_received_at = self.clock.now
        self.server.record_answered(urgency, self.attempt.started_at + sent_later_s)


def test_a_request_waits_while_its_back_end_answers_earlier_ones():
    waiting = WaitingRequest()
    waiting.clock.now += TOO_LONG_S
    waiting.answer_other(-0.5)
    waiting.answer_other(REORDER_THRESHOLD_S / 2)
    assert not waiting.is_silent


def test_a_back_end_that_sends_nothing_is_silent():
    waiting = WaitingRequest()
    assert not waiting.is_silent
    waiting.clock.now += TOO_LONG_S
    assert waiting.is_silent


def test_a_silent_connection_to_a_working_back_end_is_noticed():
    waiting = WaitingRequest()
    waiting.clock.now += TOO_LONG_S
    waiting.answer_other(REORDER_THRESHOLD_S * 2)
    assert waiting.is_silent


def test_answers_to_requests_of_another_urgency_do_not_end_the_wait():
    waiting = WaitingRequest()
    waiting.clock.now += TOO_LONG_S
    waiting.answer_other(REORDER_THRESHOLD_S * 2, urgency=1)
    assert not waiting.is_silent


@pytest.mark.parametrize(('body_s', 'handled'), [(0.0, False), (TOO_LONG_S, True)])
def test_only_a_body_that_takes_long_counts_as_silence(body_s, handled):
    """
    Guards against requests that are sent again although their answer is arriving: the time until
    the head counted as silence, so each answer after more than 1.2 s was asked for twice.

    """
    waiting = WaitingRequest()
    silent = []

    async def on_silence(job, attempt):
        silent.append(attempt)

    async def read():
        return b'answer'

    waiting.monitor.on_silence = on_silence
    waiting.job.route = SimpleNamespace(repeatable=True)
    waiting.job.race = AnswerRace()
    waiting.clock.now += TOO_LONG_S
    began_at = waiting.clock.now
    waiting.clock.now += body_s
    connection = SimpleNamespace(read=read)
    args = (waiting.job, waiting.attempt, connection, began_at)
    assert curio.run(waiting.monitor.read_body, *args) == b'answer'
    assert bool(silent) is handled


class EndingVersion:
    """
    An entry that connects so slowly that version 1 has ended for new requests once the
    connection is open. There is one engine for each version in `served`. The engines are chosen
    in order; an engine that receives a request closes the connection.

    """

    def __init__(self, *served):
        self.clock = Clock()
        self.oldest_version = 0
        self.sent = []
        self.released = []
        self.servers = []
        for number, version in enumerate(served):
            server = Server(InstanceId(f'i-{number}'), ServiceName('s'), 'h', 80, ZoneId('z1'), 16)
            server.served = (ServedVersion(ENGINE.model, version),)
            self.servers.append(server)
        self.budget = SharedBudget(0.0, 20, 10.0, lambda: 1, self.clock, lambda: True)
        self.budget.count_entries()
        self.clock.now += 11.0
        env = Environment(InstanceId('a:1'), ZoneId('z1'), monotonic=self.clock)
        versions = SimpleNamespace(
            oldest_usable=lambda model: self.oldest_version, ends_at=lambda *args: None
        )
        admission = SimpleNamespace(
            versions=versions,
            table=None,
            with_current_versions=lambda requirements, last_send: requirements,
            retry_after_ms=lambda job, choice: 0,
            depends_on_first_try=lambda job, choice: False,
        )
        adapter = SimpleNamespace(back_end_headers=lambda request, options: [])
        server_table = ServerTable(ZoneId('z1'), Random(1), self.clock)
        server_table.choose = self.choose
        load_queries = SimpleNamespace(refresh=self.refresh)
        pools = SimpleNamespace(pool_of=self.pool_of)
        fingerprints = Fingerprints(b'key', lambda: 'cluster')
        suspicion_store = SuspicionStore(self.clock)
        quarantine = Quarantine(suspicion_store, View(), fingerprints)
        part_quarantine = PartQuarantine(suspicion_store, quarantine.listing, fingerprints, None)
        self.forwarding = Forwarding(
            env,
            adapter,
            admission,
            server_table,
            pools,
            self.budget,
            quarantine,
            part_quarantine,
            None,
            load_queries,
            NO_SECOND_ATTEMPTS,
        )
        route = SimpleNamespace(repeatable=False, max_attempts=2)
        exchange = SimpleNamespace(
            request=SimpleNamespace(method='POST', path='/', headers=[], body=b'')
        )
        caller = CallerRequest('id', 'h.example', '/')
        now = self.clock.now
        self.job = Job(
            exchange,
            caller,
            route,
            None,
            Requirements(ServiceName('s'), ENGINE),
            1,
            now,
            now + 6.0,
            1,
        )

    async def refresh(self, servers):
        pass

    def choose(self, requirements, tried, candidates):
        return Choice(self.servers.pop(0)) if self.servers else None

    def pool_of(self, server):
        async def acquire(recently_used):
            self.oldest_version = 2
            self.on_connect(server)
            return SimpleNamespace(send=send, read_head=read_head, lost=False)

        async def send(*args):
            self.sent.append(server.instance)

        async def read_head():
            raise SendFailed(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, 'closed')

        async def release(connection, keep_alive_s):
            self.released.append(server.instance)

        return SimpleNamespace(acquire=acquire, release=release)

    def on_connect(self, server):
        pass

    def run(self):
        return curio.run(self.forwarding._send_until_answered, self.job)

    @property
    def spent(self):
        return self.budget.current_share(ServiceName('s')).spent


def test_nothing_is_sent_to_a_version_that_ends_while_connecting():
    """
    Guards against sending a request in the last 0.9 s of a version, which are reserved for requests
    already on their way: opening a connection takes up to 0.4 s, so a version that was usable when
    the engine was chosen may no longer be. As nothing was sent to the first engine, sending to the
    next engine doesn't count as a retry.

    """
    scenario = EndingVersion(1, 2)
    refusal = scenario.run()
    assert scenario.sent == ['i-1']
    assert scenario.job.tried == ['i-1']
    assert scenario.spent == 0
    assert scenario.released == ['i-0', 'i-1']
    assert refusal.reason is Reason.CONNECTION_LOST
    assert [failed.reason for failed in scenario.job.failures][0] is Reason.VERSION_MISMATCH


def test_nothing_is_sent_to_an_engine_without_a_complete_version():
    scenario = EndingVersion(2, 2)

    def empty_first(server):
        if server.instance == 'i-0':
            server.served = (ServedVersion(ENGINE.model, 1, 0, 1),)

    scenario.on_connect = empty_first
    scenario.run()
    assert scenario.sent == ['i-1']


def test_a_repeat_that_was_not_sent_spends_the_budget_once():
    scenario = EndingVersion(1, 1, 2)
    scenario.job.tried.append(InstanceId('i-9'))
    scenario.job.failures.append(FailedAttempt(Reason.BUSY, Verdict.NOT_RUN, 'full'))
    scenario.oldest_version = 0
    scenario.run()
    assert scenario.sent == ['i-2']
    assert scenario.job.tried == ['i-9', 'i-2']
    assert scenario.spent == 1


def test_a_request_that_was_sent_to_no_engine_is_refused_as_no_endpoint():
    scenario = EndingVersion(1)
    refusal = scenario.run()
    assert scenario.sent == []
    assert (refusal.reason, refusal.verdict) == (Reason.NO_ENDPOINT, Verdict.NOT_RUN)


def test_nothing_is_sent_to_a_back_end_that_names_a_limit_while_connecting():
    scenario = EndingVersion(2, 2)

    def signal_limit(server):
        if server.instance == 'i-0':
            now = scenario.clock.now
            server.availability.apply_answer(Backpressure(0.1), now, now)

    scenario.on_connect = signal_limit
    scenario.run()
    assert scenario.sent == ['i-1']
    assert [failed.reason for failed in scenario.job.failures][0] is Reason.LIMITED
