"""
How endpoints find out whether a back end ended after an interrupted answer, and how entries use
the reports of the endpoints.

"""

from types import SimpleNamespace

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import IncarnationKey, InstanceId, RequestId, ZoneId
from millfork_core.verdicts import Reason, Refusal, Verdict
from millfork_routing.balance import Backend
from millfork_scheduling.incarnation_status import IncarnationStatus
from millfork_scheduling.quarantine import MIN_ENDS_AT_FAULT
from millfork_settings.models import RoutingSettings
from millfork_state.view import View
from millfork_wire.connection import PeerLost
from millfork_wire.messages import BackEndFate, Cancelled, End, Reserve, Reserved
from millforkd.end_watch import ProbeResult
from millforkd.endpoint import incarnation_tracking as incarnation_tracking_module
from millforkd.endpoint.incarnation_tracking import IncarnationTracker
from millforkd.entry import crash_tracking as crash_tracking_module
from millforkd.entry.attempts import Attempt, Call, ConnectionLost, InterruptedAttempt
from millforkd.entry.crash_tracking import CrashTracker
from millforkd.entry.delivery import Delivery
from millforkd.entry.dispatcher import Dispatcher

ADDRESS = ('127.0.0.1', 1)


class FakeEntryConnection:
    """
    The connection to an entry; records notifications.

    """

    def __init__(self):
        self.sent = []
        self.is_lost = False

    async def notify(self, message):
        if self.is_lost:
            raise PeerLost('gone')
        self.sent.append(message)


class FakeBackEnd:
    """
    A back end whose reported incarnation and probe result are set by the test.

    """

    def __init__(self, monkeypatch, reported_incarnation='a'):
        self.reported_incarnation = reported_incarnation
        self.probe_result = ProbeResult.ANSWERS

        async def probe_address(host, port):
            return self.probe_result

        monkeypatch.setattr(incarnation_tracking_module, 'probe_address', probe_address)

    def tracker(self, knows_incarnation=True):
        env = Environment(InstanceId('e-1'), ZoneId('z'))
        new_tracker = IncarnationTracker(
            env, lambda: ADDRESS, self.query_incarnation if knows_incarnation else None
        )
        new_tracker.record_incarnation('a', env.monotonic())
        return new_tracker

    async def query_incarnation(self):
        return self.reported_incarnation


async def wait_until(condition):
    async with curio.timeout_after(5):
        while not condition():
            await curio.sleep(0.005)


@pytest.mark.parametrize(
    ('reported_incarnation', 'probe_result', 'status'),
    [
        ('a', ProbeResult.ANSWERS, IncarnationStatus.LIVES),
        ('b', ProbeResult.ANSWERS, IncarnationStatus.ENDED),
        ('', ProbeResult.REFUSES, IncarnationStatus.ENDED),
        ('', ProbeResult.ANSWERS, IncarnationStatus.UNKNOWN),
        ('', ProbeResult.SILENT, IncarnationStatus.UNKNOWN),
    ],
)
def test_status_follows_from_reported_incarnation_and_probe(
    monkeypatch, reported_incarnation, probe_result, status
):
    async def run():
        back_end = FakeBackEnd(monkeypatch, reported_incarnation)
        back_end.probe_result = probe_result
        tracker = back_end.tracker()
        assert (
            await tracker.record_interruption(
                RequestId('r'), FakeEntryConnection(), tracker.current_number
            )
            is status
        )

    curio.run(run)


@pytest.mark.parametrize('ended', [True, False])
def test_a_late_status_is_reported_to_the_entry(monkeypatch, ended):
    async def run():
        back_end = FakeBackEnd(monkeypatch, reported_incarnation='')
        tracker, entry, lost_entry = (
            back_end.tracker(),
            FakeEntryConnection(),
            FakeEntryConnection(),
        )
        lost_entry.is_lost = True
        await tracker.record_interruption(RequestId('r'), entry, tracker.current_number)
        await tracker.record_interruption(RequestId('s'), lost_entry, tracker.current_number)
        back_end.reported_incarnation = 'b' if ended else 'a'
        await wait_until(lambda: entry.sent)
        assert entry.sent == [BackEndFate('r', ended)]
        await wait_until(lambda: not tracker.is_watching)

    curio.run(run)


def test_interruptions_after_an_end_belong_to_the_next_incarnation(monkeypatch):
    async def run():
        back_end = FakeBackEnd(monkeypatch, reported_incarnation='')
        back_end.probe_result = ProbeResult.REFUSES
        tracker = back_end.tracker()
        first = tracker.incarnation_key(tracker.current_number)
        assert (
            await tracker.record_interruption(
                RequestId('r'), FakeEntryConnection(), tracker.current_number
            )
            is IncarnationStatus.ENDED
        )
        tracker.record_incarnation('b', tracker.env.monotonic())
        back_end.reported_incarnation = 'b'
        assert tracker.incarnation_key(tracker.current_number) != first
        assert (
            await tracker.record_interruption(
                RequestId('s'), FakeEntryConnection(), tracker.current_number
            )
            is IncarnationStatus.LIVES
        )

    curio.run(run)


def test_a_plain_service_lives_if_it_answers_a_later_request(monkeypatch):
    async def run():
        tracker = FakeBackEnd(monkeypatch).tracker(knows_incarnation=False)
        entry = FakeEntryConnection()
        assert (
            await tracker.record_interruption(RequestId('r'), entry, tracker.current_number)
            is IncarnationStatus.UNKNOWN
        )
        tracker.record_answer(tracker.env.monotonic())
        await wait_until(lambda: entry.sent == [BackEndFate('r', False)])

    curio.run(run)


class InterruptedCall:
    """
    A call whose attempts are interrupted at one endpoint after another, and the crash tracker of
    its entry.

    """

    def __init__(self):
        self.env = Environment(InstanceId('entry'), ZoneId('z'))
        self.crashes = CrashTracker(self.env, b'key', View(), lambda: 1)
        deadline = self.env.monotonic() + 5
        self.call = Call('o', 's', 'POST', '/', [], b'body', True, '', '', '', 0, deadline)

    async def interrupt_attempt(self, number, reason=Reason.TRUNCATED):
        suspicion = self.crashes.suspicion_of(self.call)
        outcome = InterruptedAttempt(
            reason,
            Verdict.MAY_HAVE_RUN,
            request_id=RequestId(f'r-{number}'),
            incarnation=IncarnationKey(f'e-{number}/1.0'),
        )
        await self.crashes.record_outcome(self.call, suspicion, outcome)

    async def report_status(self, number, ended):
        await self.crashes.apply_back_end_status(BackEndFate(f'r-{number}', ended))

    @property
    def block_reason(self):
        refusal = self.crashes.block_refusal(self.call)
        return None if refusal is None else refusal.reason


def test_a_call_is_suspected_until_the_status_of_its_back_ends_is_reported():
    async def run():
        interrupted_call = InterruptedCall()
        for number in range(MIN_ENDS_AT_FAULT):
            assert interrupted_call.block_reason is None
            await interrupted_call.interrupt_attempt(number)
        assert interrupted_call.block_reason is Reason.SUSPECTED
        for number in range(MIN_ENDS_AT_FAULT):
            await interrupted_call.report_status(number, ended=True)
        assert interrupted_call.block_reason is Reason.QUARANTINED

    curio.run(run)


def test_a_report_that_arrives_before_the_end_of_its_attempt_counts():
    async def run():
        interrupted_call = InterruptedCall()
        for number in range(MIN_ENDS_AT_FAULT):
            await interrupted_call.report_status(number, ended=number > 0)
            await interrupted_call.interrupt_attempt(number)
        assert (
            interrupted_call.crashes.suspicion_of(interrupted_call.call).ends
            == MIN_ENDS_AT_FAULT - 1
        )
        assert not interrupted_call.crashes.early_statuses and not interrupted_call.crashes.pending

    curio.run(run)


def test_concurrent_ends_count_once_and_make_the_call_suspected():
    async def run():
        interrupted_call = InterruptedCall()
        suspicion = interrupted_call.crashes.suspicion_of(interrupted_call.call)
        for number in range(MIN_ENDS_AT_FAULT):
            outcome = InterruptedAttempt(
                Reason.BACKEND_FAILED,
                Verdict.MAY_HAVE_RUN,
                request_id=RequestId(f'r-{number}'),
                incarnation=IncarnationKey(f'e-{number}/1.0'),
            )
            await interrupted_call.crashes.record_outcome(interrupted_call.call, suspicion, outcome)
        assert interrupted_call.crashes.suspicion_of(interrupted_call.call).ends == 1
        assert interrupted_call.block_reason is Reason.SUSPECTED

    curio.run(run)


@pytest.mark.parametrize('ended', [True, False])
def test_a_lost_endpoint_has_ended_if_its_process_was_replaced(ended):
    async def run():
        interrupted_call = InterruptedCall()
        endpoints = [
            Backend(InstanceId(f'e-{n}'), ZoneId('z'), start=1) for n in range(MIN_ENDS_AT_FAULT)
        ]
        for endpoint in endpoints:
            attempt = Attempt(
                interrupted_call.env, RequestId(f'r-{endpoint.instance}'), endpoint, None
            )
            await attempt.enqueue(ConnectionLost())
            suspicion = interrupted_call.crashes.suspicion_of(interrupted_call.call)
            outcome = await attempt.receive_head(interrupted_call.env.monotonic() + 1)
            assert outcome.reason is Reason.CONNECTION_LOST
            await interrupted_call.crashes.record_outcome(interrupted_call.call, suspicion, outcome)
        assert interrupted_call.block_reason is Reason.SUSPECTED
        for endpoint in endpoints:
            await interrupted_call.crashes.apply_endpoint_start(
                endpoint.instance, 2 if ended else 1
            )
        assert interrupted_call.block_reason is (Reason.QUARANTINED if ended else None)

    curio.run(run)


def test_suspicion_expires_if_an_endpoint_is_gone(monkeypatch):
    monkeypatch.setattr(crash_tracking_module, 'PENDING_RETENTION_S', 0.0)

    async def run():
        interrupted_call = InterruptedCall()
        for number in range(MIN_ENDS_AT_FAULT):
            await interrupted_call.interrupt_attempt(number)
        await curio.sleep(0.001)
        await interrupted_call.crashes.expire()
        assert interrupted_call.block_reason is None

    curio.run(run)


def test_an_end_message_names_the_interrupted_incarnation():
    async def run():
        env = Environment(InstanceId('entry'), ZoneId('z'))
        attempt = Attempt(env, RequestId('r'), None, None)
        refused = ('r', 0, 0, Reason.TRUNCATED.value, Verdict.MAY_HAVE_RUN.value, 'why')
        await attempt.enqueue(End(*refused, 'e-1/1.0'))
        await attempt.enqueue(End(*refused))
        first = await attempt.receive_head(env.monotonic() + 1)
        second = await attempt.receive_head(env.monotonic() + 1)
        assert (first.request_id, first.incarnation) == ('r', 'e-1/1.0')
        assert second == Refusal(Reason.TRUNCATED, Verdict.MAY_HAVE_RUN, 'why')

    curio.run(run)


@pytest.mark.parametrize('ended', [True, False])
def test_a_timed_out_call_counts_if_its_back_end_ends(ended):
    async def run():
        interrupted_call = InterruptedCall()
        for number in range(MIN_ENDS_AT_FAULT):
            request_id = RequestId(f'r-{number}')
            incarnation = IncarnationKey(f'e-{number}/1.0')
            await interrupted_call.crashes.record_cancellation(
                interrupted_call.call, request_id, incarnation
            )
            assert interrupted_call.block_reason is None
            await interrupted_call.report_status(number, ended)
        assert interrupted_call.block_reason is (Reason.QUARANTINED if ended else None)

    curio.run(run)


def test_a_report_that_arrives_before_the_cancellation_of_its_attempt_counts():
    async def run():
        interrupted_call = InterruptedCall()
        crashes = interrupted_call.crashes
        for number in range(MIN_ENDS_AT_FAULT):
            await interrupted_call.report_status(number, ended=True)
            await crashes.record_cancellation(
                interrupted_call.call, RequestId(f'r-{number}'), IncarnationKey(f'e-{number}/1.0')
            )
        assert interrupted_call.block_reason is Reason.QUARANTINED
        assert not crashes.early_statuses and not crashes.pending

    curio.run(run)


class FakeTimedOutConnection:
    """
    The connection to an endpoint that replies to `Reserve` and `Cancel` but never sends an answer
    of its back end.

    """

    def __init__(self, incarnation):
        self.incarnation = incarnation

    async def call(self, message, timeout):
        if isinstance(message, Reserve):
            return Reserved(True)
        return Cancelled(message.request_id, Verdict.MAY_HAVE_RUN.value, self.incarnation)

    async def notify(self, message):
        return


@pytest.mark.parametrize('incarnation', ['e-1/1.0', ''])
def test_a_timed_out_attempt_is_pending_if_its_back_end_was_running_it(incarnation):
    async def run():
        backend = Backend(InstanceId('e-1'), ZoneId('z'), start=1)
        backend.served = {'s': 'v'}
        endpoints = SimpleNamespace(
            backends_serving=lambda service: [backend],
            connections={backend.instance: FakeTimedOutConnection(incarnation)},
        )
        dispatcher = Dispatcher(
            Environment(InstanceId('a'), ZoneId('z')), RoutingSettings(), endpoints
        )
        deadline = dispatcher.env.monotonic() + 0.05
        call = Call('o', 's', 'GET', '/', [], b'', False, '', '', '', 0, deadline)
        refusal = await dispatcher.run(call, Delivery(None))
        assert refusal.reason is Reason.TIMED_OUT
        assert [item.incarnation for item in dispatcher.crashes.pending.values()] == (
            [incarnation] if incarnation else []
        )

    curio.run(run)
