"""
When a request is not sent after all, and when one that waits for its answer is taken back.

"""

from random import Random
from types import SimpleNamespace

import curio
import pytest

from millfork_adapter.exchange import Backpressure, CallerRequest
from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ServiceName, ZoneId
from millfork_core.verdicts import Reason, Verdict
from millfork_registry.records import ServedVersion
from millfork_registry.suspicion_store import SuspicionStore
from millfork_routing.budget import SharedBudget
from millfork_scheduling.book import ServerBook
from millfork_scheduling.placement import Choice, Wanted
from millfork_scheduling.server import Server
from millfork_state.view import View
from millforkd.proxy.connections import SendFailed
from millforkd.proxy.fingerprints import Fingerprints
from millforkd.proxy.forwarding import Forwarding
from millforkd.proxy.job import Attempt, Failed, Job
from millforkd.proxy.waiting import OVERTAKEN_S, SILENT_SERVER_S
from millforkd.proxy.waiting import Waiting as ProxyWaiting
from millforkd.quarantine import Quarantine
from tests.test_servers import ENGINE, Clock

LONG_S = SILENT_SERVER_S + 0.1


class Waiting:
    """
    A request that waits at a back end, seen from the entry that sent it.

    """

    def __init__(self, urgency=5):
        self.clock = Clock()
        env = Environment(InstanceId('a:1'), ZoneId('z1'), monotonic=self.clock)
        self.waiting = ProxyWaiting(env, None)
        self.server = Server(InstanceId('i-1'), ServiceName('s'), '10.0.0.1', 80, ZoneId('z1'), 16)
        self.job = SimpleNamespace(urgency=urgency)
        self.attempt = Attempt(Choice(self.server), self.clock.now)
        self.connection = SimpleNamespace(lost=False)

    def check(self):
        self.waiting.check_silence(self.job, self.attempt, self.connection)

    def answers(self, sent_later_s, urgency=5):
        """
        The back end answers another request, sent so much later.

        """
        self.server.heard_at = self.clock.now
        self.server.note_answered(urgency, self.attempt.began + sent_later_s)


def test_a_request_waits_while_its_back_end_answers_earlier_ones():
    waiting = Waiting()
    waiting.clock.now += LONG_S
    waiting.answers(-0.5)
    waiting.answers(OVERTAKEN_S / 2)
    waiting.check()
    assert not waiting.connection.lost


def test_a_silent_back_end_is_left():
    waiting = Waiting()
    waiting.check()
    waiting.clock.now += LONG_S
    with pytest.raises(SendFailed) as failed:
        waiting.check()
    assert (failed.value.reason, failed.value.verdict) == (
        Reason.CONNECTION_LOST,
        Verdict.MAY_HAVE_RUN,
    )
    assert waiting.connection.lost


def test_a_connection_that_went_silent_beside_others_that_work_is_left():
    waiting = Waiting()
    waiting.clock.now += LONG_S
    waiting.answers(OVERTAKEN_S * 2)
    with pytest.raises(SendFailed):
        waiting.check()
    assert waiting.connection.lost


def test_requests_of_another_rank_may_go_first():
    waiting = Waiting()
    waiting.clock.now += LONG_S
    waiting.answers(OVERTAKEN_S * 2, urgency=1)
    waiting.check()
    assert not waiting.connection.lost


class Ending:
    """
    An entry whose connections take so long that version 1 may no longer be sent to when
    one is there. Its engines are chosen in turn; who gets a request ends the connection.

    """

    def __init__(self, *served):
        self.clock = Clock()
        self.least = 0
        self.sent = []
        self.dropped = []
        self.servers = []
        for number, version in enumerate(served):
            server = Server(InstanceId(f'i-{number}'), ServiceName('s'), 'h', 80, ZoneId('z1'), 16)
            server.served = (ServedVersion(ENGINE.model, version),)
            self.servers.append(server)
        self.budget = SharedBudget(0.0, 20, 10.0, lambda: 1, self.clock, lambda: True)
        self.budget.count_entries()
        self.clock.now += 11.0
        env = Environment(InstanceId('a:1'), ZoneId('z1'), monotonic=self.clock)
        versions = SimpleNamespace(least=lambda model: self.least, ends_at=lambda *args: None)
        admission = SimpleNamespace(
            versions=versions,
            table=None,
            as_of_now=lambda wanted, last_send: wanted,
            wait_ms=lambda job, choice: 0,
            hinges_on_first_try=lambda job, choice: False,
        )
        adapter = SimpleNamespace(forward=lambda request, orders: [])
        book = ServerBook(ZoneId('z1'), Random(1), self.clock)
        book.choose = self.choose
        loads = SimpleNamespace(refresh=self.refresh)
        pools = SimpleNamespace(of=self.pool_of)
        fingerprints = Fingerprints(b'key', lambda: 'cluster')
        quarantine = Quarantine(SuspicionStore(self.clock), View(), fingerprints)
        self.forwarding = Forwarding(
            env, adapter, admission, book, pools, self.budget, quarantine, None, loads
        )
        route = SimpleNamespace(repeatable=False, max_attempts=2)
        exchange = SimpleNamespace(
            request=SimpleNamespace(method='POST', path='/', headers=[], body=b'')
        )
        caller = CallerRequest('id', 'h.example', '/')
        now = self.clock.now
        self.job = Job(
            exchange, caller, route, None, Wanted(ServiceName('s'), ENGINE), 1, now, now + 6.0, 1
        )

    async def refresh(self, servers):
        pass

    def choose(self, wanted, tried, compared):
        return Choice(self.servers.pop(0)) if self.servers else None

    def pool_of(self, server):
        async def take(fresh):
            self.least = 2
            self.ended(server)
            return SimpleNamespace(send=send, read_head=read_head, lost=False)

        async def send(*args):
            self.sent.append(server.instance)

        async def read_head():
            raise SendFailed(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, 'closed')

        async def give_back(connection, keep_s):
            self.dropped.append(server.instance)

        return SimpleNamespace(take=take, give_back=give_back)

    def ended(self, server):
        pass

    def run(self):
        return curio.run(self.forwarding._attempt, self.job)

    @property
    def spent(self):
        return self.budget.part(ServiceName('s')).spent


def test_nothing_is_sent_to_a_version_that_ends_while_a_connection_comes_up():
    """
    An engine is chosen, then a connection is taken to it, for up to 0.4 s. What was then
    sent on the version chosen came into the last 0.9 s of that version, which are kept for
    what is already on its way. Nothing was sent, so the engine that gets the request is
    the first and not a repeat.

    """
    ending = Ending(1, 2)
    refusal = ending.run()
    assert ending.sent == ['i-1']
    assert ending.job.tried == ['i-1']
    assert ending.spent == 0
    assert ending.dropped == ['i-0', 'i-1']
    assert refusal.reason is Reason.CONNECTION_LOST
    assert [failed.reason for failed in ending.job.failures][0] is Reason.VERSION_MISMATCH


def test_nothing_is_sent_to_an_engine_that_has_no_whole_version_by_then():
    ending = Ending(2, 2)

    def empty_first(server):
        if server.instance == 'i-0':
            server.served = (ServedVersion(ENGINE.model, 1, 0, 1),)

    ending.ended = empty_first
    ending.run()
    assert ending.sent == ['i-1']


def test_a_repeat_that_was_not_sent_is_paid_for_once():
    ending = Ending(1, 1, 2)
    ending.job.tried.append(InstanceId('i-9'))
    ending.job.failures.append(Failed(Reason.BUSY, Verdict.NOT_RUN, 'full'))
    ending.least = 0
    ending.run()
    assert ending.sent == ['i-2']
    assert ending.job.tried == ['i-9', 'i-2']
    assert ending.spent == 1


def test_what_was_sent_to_no_engine_is_refused_as_if_there_were_none():
    ending = Ending(1)
    refusal = ending.run()
    assert ending.sent == []
    assert (refusal.reason, refusal.verdict) == (Reason.NO_ENDPOINT, Verdict.NOT_RUN)


def test_nothing_is_sent_to_a_back_end_that_names_a_limit_while_a_connection_comes_up():
    ending = Ending(2, 2)

    def name_limit(server):
        if server.instance == 'i-0':
            now = ending.clock.now
            server.availability.take_answer(Backpressure(0.1), now, now)

    ending.ended = name_limit
    ending.run()
    assert ending.sent == ['i-1']
    assert [failed.reason for failed in ending.job.failures][0] is Reason.LIMITED
