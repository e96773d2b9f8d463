"""
When a request that waits for its answer is taken back.

"""

from types import SimpleNamespace

import pytest

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ServiceName, ZoneId
from millfork_core.verdicts import Reason, Verdict
from millfork_scheduling.placement import Choice
from millfork_scheduling.server import Server
from millforkd.proxy.connections import SendFailed
from millforkd.proxy.forwarding import OVERTAKEN_S, SILENT_SERVER_S, Forwarding
from millforkd.proxy.job import Attempt
from tests.test_servers import Clock

LONG_S = SILENT_SERVER_S + 0.1


class Waiting:
    """
    A request that waits at a back end, seen from the entry that sent it.

    """

    def __init__(self, urgency=5):
        self.clock = Clock()
        env = Environment(InstanceId('a:1'), ZoneId('z1'), monotonic=self.clock)
        self.forwarding = Forwarding(env, None, None, None, None, None)
        self.server = Server(InstanceId('i-1'), ServiceName('s'), '10.0.0.1', 80, ZoneId('z1'), 16)
        self.job = SimpleNamespace(urgency=urgency)
        self.attempt = Attempt(Choice(self.server), self.clock.now)
        self.connection = SimpleNamespace(lost=False)

    def check(self):
        self.forwarding._check_silence(self.job, self.attempt, self.connection)

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
