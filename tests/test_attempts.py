"""
Attempts: an incomplete or late answer is never delivered, and verdicts are correct.

"""

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, RequestId, ZoneId
from millfork_core.verdicts import Reason, Refusal, Verdict
from millfork_routing.balance import Backend
from millfork_settings.models import RoutingSettings
from millfork_wire.connection import PeerLost, PeerTimedOut
from millfork_wire.messages import Cancel, Cancelled, End, Head, Part, Reserve, Reserved, Start
from millforkd.entry.attempts import MAX_BUFFERED_BYTES, Attempt, Call, ConnectionLost
from millforkd.entry.dispatcher import Dispatcher


class FakeConnection:
    """
    Answers calls from a table and records notifications.

    """

    def __init__(self, answers):
        self.answers = answers
        self.sent = []

    async def call(self, message, timeout):
        answer = self.answers[type(message)]
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def notify(self, message):
        self.sent.append(message)


def environment():
    return Environment(InstanceId('entry'), ZoneId('zone'))


def attempt(answers=None):
    env = environment()
    connection = FakeConnection(answers or {})
    return Attempt(env, RequestId('r'), Backend(InstanceId('e'), ZoneId('zone')), connection)


def call(env):
    return Call('org', 'svc', 'POST', '/', [], b'', False, '', '', '', 0, env.monotonic() + 5)


async def collect(attempt_under_test, messages):
    """
    Enqueue messages and read the answer. Returns the parts of the body that were read, and the
    refusal or None.

    """
    for message in messages:
        await attempt_under_test.enqueue(message)
    deadline = attempt_under_test.env.monotonic() + 5
    head = await attempt_under_test.receive_head(deadline)
    if isinstance(head, Refusal):
        return [], head
    parts = []
    while True:
        part = await attempt_under_test.receive_part(deadline)
        if not isinstance(part, bytes):
            return parts, part
        parts.append(part)


def test_a_complete_answer_is_delivered():
    messages = [Head('r', 200), Part('r', 0, b'a'), Part('r', 1, b'bc'), End('r', 2, 3)]
    assert curio.run(collect, attempt(), messages) == ([b'a', b'bc'], None)


@pytest.mark.parametrize(
    ('messages', 'reason'),
    [
        ([Head('r', 200), Part('r', 1, b'b'), End('r', 1, 1)], Reason.TRUNCATED),
        ([Head('r', 200), Part('r', 0, b'a'), End('r', 2, 2)], Reason.TRUNCATED),
        ([Head('r', 200), Part('r', 0, b'a'), End('r', 1, 9)], Reason.TRUNCATED),
        ([Head('r', 200), Part('r', 0, b'a'), ConnectionLost()], Reason.CONNECTION_LOST),
        ([Part('r', 0, b'a')], Reason.BACKEND_FAILED),
        ([Head('r', 200), Head('r', 200)], Reason.BACKEND_FAILED),
    ],
)
def test_truncated_reordered_or_lost_answers_are_refused(messages, reason):
    _, refusal = curio.run(collect, attempt(), messages)
    assert (refusal.reason, refusal.verdict) == (reason, Verdict.MAY_HAVE_RUN)


def test_the_endpoints_own_verdict_is_passed_on():
    end = End('r', 0, 0, Reason.EXPIRED.value, Verdict.NOT_RUN.value)
    _, refusal = curio.run(collect, attempt(), [end])
    assert (refusal.reason, refusal.verdict) == (Reason.EXPIRED, Verdict.NOT_RUN)


def test_a_reservation_that_times_out_is_cancelled_and_did_not_run():
    attempt_under_test = attempt({Reserve: PeerTimedOut('frozen')})
    refusal = curio.run(attempt_under_test.reserve, call(attempt_under_test.env), 0.1)
    assert refusal.verdict is Verdict.NOT_RUN
    assert attempt_under_test.connection.sent == [Cancel('r')]
    assert not attempt_under_test.started


def test_a_lost_cancel_after_the_start_may_have_run():
    attempt_under_test = attempt({Reserve: Reserved(True), Cancel: PeerLost('gone')})
    assert curio.run(attempt_under_test.reserve, call(attempt_under_test.env), 0.1) is None
    assert curio.run(attempt_under_test.start) is None
    assert attempt_under_test.connection.sent == [Start('r')]
    assert curio.run(attempt_under_test.cancel) is Verdict.MAY_HAVE_RUN


def test_a_confirmed_cancel_gives_the_endpoints_verdict():
    attempt_under_test = attempt({Cancel: Cancelled('r', Verdict.NOT_RUN.value)})
    assert curio.run(attempt_under_test.cancel) is Verdict.NOT_RUN


@pytest.mark.parametrize('other', ['request', 'connection'])
def test_a_late_answer_is_dropped(other):
    async def send_late_answer():
        dispatcher = Dispatcher(environment(), RoutingSettings(), None)
        attempt_under_test = attempt()
        dispatcher.attempts['r'] = attempt_under_test
        connection = attempt_under_test.connection if other == 'request' else FakeConnection({})
        await dispatcher.on_event(connection, Head('old' if other == 'request' else 'r', 200))
        return attempt_under_test.events.empty()

    assert curio.run(send_late_answer)


def test_an_attempt_keeps_a_bounded_number_of_bytes_for_a_slow_caller():
    async def run():
        slow = attempt()
        for sequence in range(40):
            await slow.enqueue(Part('r', sequence, bytes(1024 * 1024)))
        assert slow.events.qsize() <= MAX_BUFFERED_BYTES // (1024 * 1024) + 1
        refusal = await slow.receive_part(slow.env.monotonic() + 1)
        assert refusal.reason is Reason.TOO_LARGE

    curio.run(run)


def test_an_answer_of_which_a_part_was_dropped_is_refused_as_too_large():
    async def run():
        slow = attempt()
        reading = await curio.spawn(slow.receive_part, slow.env.monotonic() + 1)
        await curio.sleep(0)
        for sequence in range(18):
            await slow.enqueue(Part('r', sequence, bytes(1024 * 1024)))
        assert isinstance(await reading.join(), bytes)
        refusal = await slow.receive_part(slow.env.monotonic() + 1)
        assert refusal.reason is Reason.TOO_LARGE

    curio.run(run)
