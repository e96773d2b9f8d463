"""
Requests that wait at an engine which is about to change its weights: they are withdrawn only if
another engine can be asked.

"""

import time
from dataclasses import replace
from types import SimpleNamespace

import curio
import pytest

from millfork_core.verdicts import Reason, Verdict
from millfork_routing.shared_budget import SharedBudget
from millfork_scheduling.placement import Choice
from millforkd.proxy import response_monitor
from millforkd.proxy.attempts import AnswerRace
from millforkd.proxy.connections import SendFailed
from tests.test_forwarding import EndingVersion

POLL_S = 0.01
ANSWERS_AFTER_S = 0.1


class ChangingEngine(EndingVersion):
    """
    The first engine announces a change of its weights as soon as it has `requests` requests. Each
    engine turns a request away after `ANSWERS_AFTER_S`.

    """

    def __init__(self, engines, max_attempts=2, retries=5, requests=1):
        super().__init__(*[2] * engines)
        self.requests = requests
        self.first = self.servers[0]
        self.forwarding.attempt_runner.budget = SharedBudget(
            0.0, retries / 0.7, 10.0, lambda: 1, self.clock, lambda: True
        )
        self.forwarding.attempt_runner.budget.count_entries()
        self.clock.now += 11.0
        self.job.deadline = self.clock.now + 6.0
        self.job.route = SimpleNamespace(name='r', repeatable=True, max_attempts=max_attempts)

    def choose(self, requirements, tried, candidates=None):
        untried = [
            server
            for server in self.servers
            if server.instance not in tried and not server.changes_version
        ]
        return Choice(untried[0]) if untried else None

    def pool_of(self, server):
        answers_at = []

        async def acquire(recently_used):
            return SimpleNamespace(send=send, read_head=read_head, lost=False)

        async def send(*args):
            self.sent.append(server.instance)
            self.first.changes_version = len(self.sent) >= self.requests
            answers_at.append(time.monotonic() + ANSWERS_AFTER_S)

        async def read_head():
            await curio.sleep(max(answers_at[0] - time.monotonic(), 0))
            raise SendFailed(Reason.BUSY, Verdict.NOT_RUN, 'turned away')

        async def release(connection, keep_alive_s):
            pass

        return SimpleNamespace(acquire=acquire, release=release)


@pytest.fixture(autouse=True)
def short_polls(monkeypatch):
    monkeypatch.setattr(response_monitor, 'HEAD_POLL_S', POLL_S)


@pytest.mark.parametrize(
    'engine',
    [{'engines': 1}, {'engines': 2, 'max_attempts': 1}, {'engines': 2, 'retries': 0}],
    ids=['no-other-engine', 'one-attempt', 'no-budget'],
)
def test_a_request_that_can_go_nowhere_else_is_not_withdrawn(engine):
    changing = ChangingEngine(**engine)
    refusal = changing.run()
    assert changing.sent == ['i-0']
    assert [failed.reason for failed in changing.job.failures] == [Reason.BUSY]
    assert refusal.verdict is Verdict.NOT_RUN


def test_a_request_is_withdrawn_if_another_engine_can_be_asked():
    changing = ChangingEngine(engines=2)
    refusal = changing.run()
    assert changing.sent == ['i-0', 'i-1']
    assert changing.job.failures[0].reason is Reason.NOT_SERVABLE
    assert (
        changing.forwarding.attempt_runner.budget.current_share(
            changing.job.requirements.service
        ).spent
        == 1
    )
    assert refusal.verdict is Verdict.MAY_HAVE_RUN


def test_of_two_waiting_requests_one_is_withdrawn_if_the_budget_has_one_retry():
    changing = ChangingEngine(engines=2, retries=1, requests=2)
    jobs = [changing.job, replace(changing.job, tried=[], failures=[], race=AnswerRace())]

    async def run():
        tasks = [await curio.spawn(changing.forwarding._send_until_answered, job) for job in jobs]
        for task in tasks:
            await task.join()

    curio.run(run)
    reasons = sorted([failed.reason.value for failed in job.failures] for job in jobs)
    assert reasons == [['busy'], ['not_servable', 'busy']]


def test_a_request_is_withdrawn_before_its_version_ends_though_no_other_engine_can_be_asked():
    changing = ChangingEngine(engines=1)
    changing.forwarding.admission.versions.ends_at = lambda *args: changing.clock.now
    refusal = changing.run()
    assert refusal.reason is Reason.VERSION_MISMATCH
