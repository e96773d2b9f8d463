"""
Two attempts of one request at a time, of which one answers the caller, and what an entry concludes
from a silent back end.

"""

from random import Random
from types import SimpleNamespace

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import Fingerprint, InstanceId, ServiceName, ZoneId
from millfork_registry.suspicion_store import SuspicionStore
from millfork_registry.suspicions import Suspicion
from millfork_scheduling.placement import Choice
from millfork_scheduling.server import Server
from millfork_scheduling.server_table import ServerTable
from millfork_web.event_stream import EventSplitter
from millforkd.proxy import end_detection
from millforkd.proxy.attempt_runner import AttemptRunner
from millforkd.proxy.attempts import AnswerRace, Attempt, Superseded
from millforkd.proxy.end_detection import EndDetector, ProbeResult
from millforkd.proxy.response_monitor import SILENT_SERVER_S, ResponseMonitor
from tests.test_servers import Clock, chosen, lease

FINGERPRINT = Fingerprint('ab')


class Race:
    """
    Two attempts in progress, each with a connection that counts how often it was interrupted.

    """

    def __init__(self):
        self.race = AnswerRace()
        self.interrupted = []
        self.first = self.begin('i-1')
        self.second = self.begin('i-2')

    def begin(self, name):
        server = Server(InstanceId(name), ServiceName('s'), '127.0.0.1', 1, ZoneId('z1'), 16)
        attempt = Attempt(Choice(server), 0.0, Suspicion(FINGERPRINT))

        async def interrupt():
            self.interrupted.append(name)

        attempt.connection = SimpleNamespace(interrupt=interrupt)
        self.race.begin(attempt)
        return attempt

    def claim(self, attempt):
        curio.run(self.race.claim, attempt)


@pytest.mark.parametrize('winner, loser', [('first', 'second'), ('second', 'first')])
def test_the_attempt_that_claims_the_answer_ends_the_other(winner, loser):
    scenario = Race()
    scenario.claim(getattr(scenario, winner))
    scenario.claim(getattr(scenario, winner))
    assert scenario.interrupted == [getattr(scenario, loser).server.instance]
    with pytest.raises(Superseded):
        scenario.claim(getattr(scenario, loser))


def test_an_attempt_that_answered_competes_again_once_another_begins():
    scenario = Race()
    scenario.claim(scenario.first)
    scenario.race.running.remove(scenario.second)
    third = scenario.begin('i-3')
    scenario.claim(third)
    assert scenario.interrupted == ['i-2', 'i-1']
    with pytest.raises(Superseded):
        scenario.claim(scenario.first)


def test_a_silent_back_end_is_avoided_until_it_sends_something():
    clock = Clock()
    table = ServerTable(ZoneId('z1'), Random(1), clock)
    table.apply_leases([lease(1), lease(2)])
    silent = table.servers[InstanceId('i-1')]
    silent.record_silence(clock.now)
    assert {chosen(table) for _ in range(20)} == {'i-2'}
    assert chosen(table, tried=['i-2']) == 'i-1'
    silent.record_received(clock.now)
    assert {chosen(table) for _ in range(20)} == {'i-1', 'i-2'}
    assert (silent.failures, silent.failure_rate) == (0, 0.0)


def runner_whose_attempt_is_cancelled(callers_left):
    """
    An `AttemptRunner` whose attempts are cancelled while they wait for their back ends. The back
    ends at which callers left are added to `callers_left`.

    """

    async def send(job, attempt):
        raise curio.TaskCancelled

    async def record_caller_left(servers, before, parts):
        callers_left.append([server.instance for server in servers])

    runner = object.__new__(AttemptRunner)
    runner.env = SimpleNamespace(monotonic=lambda: 0.0)
    runner.request_sender = SimpleNamespace(send=send)
    runner.end_detector = SimpleNamespace(record_caller_left=record_caller_left)
    return runner


def cancel(scenario, attempts):
    callers_left = []
    runner = runner_whose_attempt_is_cancelled(callers_left)
    job = SimpleNamespace(race=scenario.race, left_recorded=False)
    for attempt in attempts:
        attempt.pending_servers = (attempt.server,)
    for attempt in attempts:
        with pytest.raises(curio.TaskCancelled):
            curio.run(runner.run, job, attempt)
    return callers_left


def test_an_attempt_that_another_one_superseded_is_no_caller_that_left():
    scenario = Race()
    scenario.claim(scenario.first)
    assert cancel(scenario, [scenario.second]) == []


def test_a_caller_that_leaves_two_attempts_counts_once():
    scenario = Race()
    (servers,) = cancel(scenario, [scenario.first, scenario.second])
    assert sorted(servers) == ['i-1', 'i-2']


def test_the_back_ends_of_one_caller_that_left_are_not_watched():
    async def run():
        env = Environment(InstanceId('a:1'), ZoneId('z1'))
        detector = EndDetector(env, SuspicionStore(env.monotonic))
        scenario = Race()
        servers = [scenario.first.server, scenario.second.server]
        await detector.record_caller_left(servers, Suspicion(FINGERPRINT))
        assert not detector.watches

    curio.run(run)


def suspicion_after_silence(monkeypatch, probe_result, then=None):
    """
    The suspicion of a request whose back end was silent, and what `then` saw meanwhile: `then` is
    called after the first probe.

    """
    monkeypatch.setattr(end_detection, 'MAX_PROBE_INTERVAL_S', 0.001)
    monkeypatch.setattr(end_detection, 'MAX_WATCH_S', 0.2)

    async def run():
        env = Environment(InstanceId('a:1'), ZoneId('z1'))
        store = SuspicionStore(env.monotonic)
        detector = EndDetector(env, store)
        server = Server(InstanceId('i-1'), ServiceName('s'), '127.0.0.1', 1, ZoneId('z1'), 16)

        async def probe(server):
            if then is not None:
                then(server)
            return probe_result

        detector.probe = probe
        await detector.record_silence(server, Suspicion(FINGERPRINT))
        assert store.get(FINGERPRINT).is_clear
        async with curio.timeout_after(5.0):
            while detector.watches:
                await curio.sleep(0.001)
        return store.get(FINGERPRINT)

    return curio.run(run)


@pytest.mark.parametrize('probe_result', [ProbeResult.ANSWERS, ProbeResult.SILENT])
def test_a_request_at_a_silent_back_end_is_not_suspected(monkeypatch, probe_result):
    assert suspicion_after_silence(monkeypatch, probe_result).is_clear


def test_a_silent_back_end_that_ended_counts_as_an_end(monkeypatch):
    assert suspicion_after_silence(monkeypatch, ProbeResult.REFUSES).ends == 1


def test_a_silent_back_end_that_is_replaced_counts_as_an_end(monkeypatch):
    def replace(server):
        server.replaced = True

    assert suspicion_after_silence(monkeypatch, ProbeResult.SILENT, replace).ends == 1


@pytest.mark.parametrize('reads_body', [True, False], ids=['body', 'stream'])
def test_a_back_end_whose_data_completes_nothing_is_avoided(reads_body):
    """
    Guards against requests that are sent, one after the other, to a back end that sends a byte now
    and then, or only comments.

    """
    clock = Clock()
    table = ServerTable(ZoneId('z1'), Random(1), clock)
    table.apply_leases([lease(1), lease(2)])
    server = table.servers[InstanceId('i-1')]
    asked = []

    async def ask_another(job, attempt):
        asked.append(attempt)

    async def read():
        return b'x'

    env = SimpleNamespace(monotonic=clock)
    monitor = ResponseMonitor(env, None, ask_another, None, None, None)
    job = SimpleNamespace(
        race=SimpleNamespace(check=asked.append),
        route=SimpleNamespace(repeatable=True),
        may_be_repeated=True,
    )
    attempt = SimpleNamespace(started_at=clock.now, server=server)
    connection = SimpleNamespace(read=read)
    began_at = clock.now

    async def receive():
        if reads_body:
            await monitor.read_body(job, attempt, connection, began_at)
            return
        await monitor.check_first_event(job, attempt, EventSplitter(), began_at)

    curio.run(receive)
    assert not asked
    clock.now += SILENT_SERVER_S + 0.1
    server.record_received(clock.now)
    curio.run(receive)
    assert asked == [attempt, attempt]
    assert {chosen(table) for _ in range(20)} == {'i-2'}
