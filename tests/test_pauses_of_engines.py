"""
Engines that fall silent for up to two seconds and go on, as the daemon beside them sees them.

"""

import threading
import time
from dataclasses import replace
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import curio
import pytest

from millfork_platform.adapter import PlatformAdapter
from millfork_web.client import Client
from millforkd.sidecar.engine import LocalEngine, OrderOutcome
from millforkd.sidecar.pieces import WeightsId
from millforkd.sidecar.rollout import DRAIN_S, SILENT_ENGINE_S
from millforkd.version_switching import LAST_SEND_BEFORE_END_S
from tests.test_rollouts import LAYERS, FakeEngine, FakeGatherer, RolloutUnderTest

PAUSE_S = 1.9
PIECE = b'piece'
WEIGHTS = WeightsId('m', 2)


class PausingEngine(ThreadingHTTPServer):
    """
    An engine that does what it is asked, and answers each call `PAUSE_S` later.

    """

    daemon_threads = True

    def __init__(self):
        super().__init__(('127.0.0.1', 0), _Handler)
        self.calls = []
        threading.Thread(target=self.serve_forever, daemon=True).start()


class _Handler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'

    def answer(self):
        self.rfile.read(int(self.headers.get('content-length', 0)))
        self.server.calls.append(self.path)
        time.sleep(PAUSE_S)
        body = PIECE if 'stage' in self.path else b'{"running":1,"queued":0}'
        self.send_response(200)
        self.send_header('content-length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    do_GET = do_POST = do_PUT = answer

    def log_message(self, format, *arguments):
        return None


@pytest.fixture
def engine():
    engine = PausingEngine()
    yield engine
    engine.shutdown()
    engine.server_close()


def test_calls_that_a_pausing_engine_answers_late_succeed(engine):
    async def run():
        # Each call on a connection of its own, so that all wait for the same pause.
        engines = [LocalEngine(PlatformAdapter(), Client(*engine.server_address)) for _ in range(4)]
        tasks = [
            await curio.spawn(engines[0].report),
            await curio.spawn(engines[1].stage, 'm', 0, PIECE),
            await curio.spawn(engines[2].read_staged, 'm', 0),
            await curio.spawn(engines[3].load_layers, 'm', 2, 0, 4, True),
        ]
        return [await task.join() for task in tasks]

    report, staged, read, ordered = curio.run(run)
    assert report is not None
    assert (staged, read, ordered) == (True, PIECE, OrderOutcome.ACCEPTED)
    assert len(engine.calls) == 4


def test_an_order_reaches_an_engine_that_has_not_answered_its_last_call(engine):
    async def run():
        local_engine = LocalEngine(PlatformAdapter(), Client(*engine.server_address))
        report = await curio.spawn(local_engine.report)
        async with curio.timeout_after(PAUSE_S / 2):
            while not engine.calls:
                await curio.sleep(0.01)
            order = await curio.spawn(local_engine.load_layers, 'm', 2, 0, 4, True)
            while len(engine.calls) < 2:
                await curio.sleep(0.01)
        return await report.join(), await order.join()

    report, ordered = curio.run(run)
    assert report is not None
    assert ordered is OrderOutcome.ACCEPTED


def test_a_silent_engine_is_not_taken_for_an_empty_one():
    async def run():
        under_test = RolloutUnderTest(turn=2, engine=FakeEngine(running=3))
        target_requests = 0

        def get_target():
            nonlocal target_requests
            target_requests += 1
            return under_test.target

        under_test.rollout.get_target = get_target
        task = await under_test.run()
        await under_test.until(lambda: under_test.rollout.store.get_or_create(WEIGHTS).whole)
        under_test.rollout.record_report(None)
        passed_over = target_requests + 3
        await under_test.until(lambda: target_requests > passed_over or under_test.engine.orders)
        assert (under_test.engine.orders, under_test.announced_versions) == ([], [])
        under_test.rollout.record_report(await under_test.engine.report())
        await under_test.until(lambda: under_test.engine.orders)
        assert under_test.env.monotonic() >= under_test.target.due
        assert under_test.engine.orders == [(2, 0, LAYERS, True, 3)]
        await task.cancel()

    curio.run(run)


def test_an_engine_that_falls_silent_before_the_pieces_are_requested_changes_whole():
    class SlowDigests(FakeGatherer):
        async def obtain_digests(self, held):
            under_test.rollout.record_report(None)
            return await super().obtain_digests(held)

    async def run():
        task = await under_test.run()
        await under_test.until(lambda: under_test.rollout.staged_checked)
        under_test.rollout.record_report(await under_test.engine.report())
        await under_test.until(lambda: under_test.engine.orders)
        assert under_test.engine.orders == [(2, 0, LAYERS, True, 0)]
        await task.cancel()

    under_test = RolloutUnderTest(turn=0, gatherer=SlowDigests())
    curio.run(run)


@pytest.mark.parametrize(('ended_s', 'interrupts', 'running'), [(0.0, True, 0), (5.0, False, 3)])
def test_a_pause_in_the_drain_interrupts_no_request_before_the_version_ends(
    ended_s, interrupts, running
):
    class PausesInDrain(FakeEngine):
        async def report(self):
            if under_test.announced_versions and self.running and not self.paused:
                self.paused = True
                await curio.sleep(DRAIN_S + 0.1)
                await curio.spawn(self.finish_requests, daemon=True)
            return await super().report()

        async def finish_requests(self):
            await curio.sleep(DRAIN_S / 4)
            self.running = 0

    async def run():
        under_test.target = replace(under_test.target, due=under_test.target.due - ended_s)
        task = await under_test.run()
        await under_test.until(lambda: under_test.engine.orders)
        assert under_test.engine.orders == [(2, 0, LAYERS, interrupts, running)]
        await task.cancel()

    engine = PausesInDrain(running=3)
    engine.paused = False
    under_test = RolloutUnderTest(turn=0, engine=engine)
    curio.run(run)


@pytest.mark.parametrize('pause_s', [SILENT_ENGINE_S / 3, 2 * SILENT_ENGINE_S])
def test_requests_that_arrived_in_a_pause_before_the_drain_finish(pause_s):
    class PausesBeforeRequestsBegin(FakeEngine):
        async def report(self):
            report = await super().report()
            if under_test.announced_versions and not self.paused:
                self.paused = True
                await curio.sleep(pause_s)
                self.running = 3
                await curio.spawn(self.finish_requests, daemon=True)
            return report

        async def finish_requests(self):
            await curio.sleep(DRAIN_S / 2)
            self.running = 0

    async def run():
        task = await under_test.run()
        await under_test.until(lambda: under_test.engine.orders)
        assert under_test.engine.paused
        assert under_test.engine.orders == [(2, 0, LAYERS, True, 0)]
        await task.cancel()

    engine = PausesBeforeRequestsBegin()
    engine.paused = False
    under_test = RolloutUnderTest(turn=0, engine=engine)
    curio.run(run)


def test_an_engine_that_answers_slowly_all_the_time_is_ordered_to_change():
    class AnswersSlowly(FakeEngine):
        async def report(self):
            if under_test.announced_versions and self.running:
                await curio.sleep(2 * SILENT_ENGINE_S)
            return await super().report()

    async def run():
        task = await under_test.run()
        await under_test.until(lambda: under_test.engine.orders)
        # Whether requests are interrupted depends on whether a report is just awaited.
        version, first, end, _, running = under_test.engine.orders[0]
        assert (version, first, end, running) == (2, 0, LAYERS, 3)
        ends_at = under_test.target.due + LAST_SEND_BEFORE_END_S
        assert under_test.env.monotonic() < ends_at + 2 * SILENT_ENGINE_S
        await task.cancel()

    under_test = RolloutUnderTest(turn=0, engine=AnswersSlowly(running=3))
    curio.run(run)


def test_an_engine_that_stays_silent_in_the_drain_is_ordered_to_change():
    class StaysSilent(FakeEngine):
        async def report(self):
            if under_test.announced_versions and self.running:
                await curio.sleep(DRAIN_S / 2)
                return None
            return await super().report()

    async def run():
        started_at = under_test.env.monotonic()
        task = await under_test.run()
        await under_test.until(lambda: under_test.engine.orders)
        assert under_test.engine.orders == [(2, 0, LAYERS, True, 3)]
        assert under_test.env.monotonic() - started_at < 2 * DRAIN_S
        await task.cancel()

    under_test = RolloutUnderTest(turn=0, engine=StaysSilent(running=3))
    curio.run(run)


def test_a_due_time_that_is_corrected_to_later_applies_to_the_change_in_progress():
    class CorrectedMeanwhile(FakeGatherer):
        async def gather(self, held, wanted):
            under_test.target = replace(under_test.target, due=due)
            await super().gather(held, wanted)

    async def run():
        task = await under_test.run()
        await under_test.until(lambda: under_test.engine.orders)
        assert under_test.env.monotonic() >= due
        await task.cancel()

    under_test = RolloutUnderTest(turn=2, gatherer=CorrectedMeanwhile())
    due = under_test.target.due
    under_test.target = replace(under_test.target, due=under_test.env.monotonic())
    curio.run(run)
