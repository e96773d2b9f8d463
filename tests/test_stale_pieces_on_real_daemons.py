"""
Pieces that turn bad in the staging areas of engines before the engines load them, with real daemons
beside simulated engines, and callers throughout. No stream may run with a layer that was taken from
pieces that had been bad for over 3 s.

"""

import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

import pytest

from millfork_platform import client_requests
from millfork_standins.staged_pieces import MAX_BAD_S
from millfork_standins.staging_fleet import StagingFleet
from millfork_standins.weights_origin import SimulatedWeights
from tests.utils.fleets import wait_until
from tests.utils.staging import stream_request
from tests.utils.streams import WHOLE_STREAM

WEIGHTS = SimulatedWeights('m', layers=16, pieces=96)
VERSION_MS = 5000
# Seconds from the start of staging until a staged piece turns bad.
TURNS_BAD_AFTER_S = 0.1
# A daemon that stages or reads back pieces is under way after this many.
STARTED_PIECES = WEIGHTS.pieces // 4
STOP_S = 5.0
LATE_ORDER_S = 4.0
RESTART_S = 4.0
# Enough streams at a time that all engines get some.
CALLERS = 9
CALL_INTERVAL_S = 0.1
EVENT_S = 0.04
# Longer than any of these changes takes.
CHANGE_TIMEOUT_S = 20.0


@contextmanager
def running_fleet(tmp_path, empty=False, call_s=0.0, version_ms=VERSION_MS):
    """
    A fleet that has its document, with callers that ask for streams until the context ends, when
    no stream may have run with a layer that it may not use.

    """
    fleet = StagingFleet(tmp_path, WEIGHTS, version_ms=version_ms, empty=empty)
    stopped = threading.Event()
    fleet.replies = []

    def send_streams():
        while not stopped.wait(CALL_INTERVAL_S):
            fleet.replies.append(fleet.send_request(stream_request()))

    try:
        fleet.start()
        for engine in fleet.engines:
            engine.event_interval_s = EVENT_S
            engine.call_s = call_s
        assert fleet.put_document(fleet.document(max_attempts=2)).status == 200
        with ThreadPoolExecutor(CALLERS) as pool:
            try:
                for _ in range(CALLERS):
                    pool.submit(send_streams)
                yield fleet
            finally:
                stopped.set()
        assert [item for engine in fleet.engines for item in engine.violations] == []
        assert any(reply.body == WHOLE_STREAM for reply in fleet.replies)
    finally:
        print_figures(fleet)
        fleet.close()


def print_figures(fleet):
    for engine in fleet.engines:
        bad = {
            layer.number: round(layer.bad_s, 2) for layer in list(engine.taken) if layer.bad_s > 0
        }
        print(
            f'{engine.instance}: worst_bad_s={engine.worst_bad_s:.2f} taken={len(engine.taken)} '
            f'orders={len(engine.orders)} streams={engine.stream_count} '
            f'violations={len(engine.violations)} bad_s_by_layer={bad}'
        )
    statuses = [reply.status for reply in fleet.replies]
    print('replies:', {status: statuses.count(status) for status in set(statuses)})


def change_version(fleet, version=2):
    """
    Set the version, and wait until all engines serve all layers of it.

    """
    assert fleet.control(client_requests.set_version_request(WEIGHTS.model, version)).status == 200
    wait_until_served(fleet, version)


def wait_until_served(fleet, version):
    began_at = time.monotonic()
    wait_until(
        lambda: all(engine.serves_whole(version) for engine in fleet.engines), CHANGE_TIMEOUT_S
    )
    print(f'change_s={time.monotonic() - began_at:.2f}')
    held = [layer for engine in fleet.engines for layer in engine.held]
    assert max(layer.bad_s for layer in held) <= MAX_BAD_S
    # Streams run on the new version as well.
    count = sum(engine.stream_count for engine in fleet.engines)
    wait_until(lambda: sum(engine.stream_count for engine in fleet.engines) > count + CALLERS)


def wait_until_streaming(fleet):
    wait_until(lambda: all(engine.stream_count for engine in fleet.engines))


def run_for_each(engines, run):
    """
    Run a function for each engine, each in a thread of its own; return a function that waits for
    all of them and raises their errors.

    """
    pool = ThreadPoolExecutor(len(engines))
    futures = [pool.submit(run, engine) for engine in engines]
    pool.shutdown(wait=False)
    return lambda: [future.result(CHANGE_TIMEOUT_S) for future in futures]


def wait_soon(condition):
    """
    Wait until a condition holds, polling more often than a call of 20 ms takes.

    """
    deadline = time.monotonic() + CHANGE_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, 'the condition does not hold in time'
        time.sleep(0.005)


def written(engine, version=2):
    return [write for write in list(engine.staged.writes) if write.version == version]


def spoil_while_staging(engine, version=2):
    """
    Have the first piece that is staged turn bad shortly after staging began.

    """
    wait_soon(lambda: written(engine, version))
    first = written(engine, version)[0].index
    time.sleep(TURNS_BAD_AFTER_S)
    engine.spoil(first)


@pytest.mark.parametrize('call_s', [0.02, 0.04])
def test_a_piece_turns_bad_while_slow_calls_stage_the_others(tmp_path, call_s):
    with running_fleet(tmp_path) as fleet:
        wait_until_streaming(fleet)
        for engine in fleet.engines:
            engine.call_s = call_s
        join = run_for_each(fleet.engines, spoil_while_staging)
        change_version(fleet)
        join()
        assert max(engine.worst_bad_s for engine in fleet.engines) <= MAX_BAD_S


@pytest.mark.parametrize('stopped_while', ['staging', 'reading_back'])
def test_a_piece_turns_bad_while_its_daemon_is_stopped(tmp_path, stopped_while):
    with running_fleet(tmp_path) as fleet:
        wait_until_streaming(fleet)
        stopped = fleet.engines[0]
        stopped.call_s = 0.01

        def stop(engine):
            if stopped_while == 'staging':
                wait_soon(lambda: len(written(engine)) >= STARTED_PIECES)
            else:
                wait_soon(lambda: len(written(engine)) >= WEIGHTS.pieces)
                count = engine.staged.read_count
                wait_soon(lambda: engine.staged.read_count >= count + STARTED_PIECES)
            fleet.signal(fleet.endpoint_hosts[0], signal.SIGSTOP)
            try:
                engine.spoil(written(engine)[0].index)
                time.sleep(STOP_S)
            finally:
                fleet.signal(fleet.endpoint_hosts[0], signal.SIGCONT)

        join = run_for_each([stopped], stop)
        change_version(fleet)
        join()


def test_a_write_that_was_accepted_stores_nothing(tmp_path):
    with running_fleet(tmp_path) as fleet:
        wait_until_streaming(fleet)
        for engine in fleet.engines:
            engine.staged.ignored_writes = 1
        change_version(fleet)
        assert all(not engine.staged.ignored_writes for engine in fleet.engines)
        assert max(engine.worst_bad_s for engine in fleet.engines) <= MAX_BAD_S


def test_an_engine_takes_an_order_seconds_after_it_was_sent(tmp_path):
    """
    No check before the order finds the piece, which turns bad once the order was sent, and the
    engine is silent until it takes the order.

    """

    def spoil_after_order(engine):
        wait_soon(lambda: engine.arrived_orders)
        assert engine.arrived_orders[0].version == 3
        engine.spoil(written(engine, 3)[0].index)
        engine.silent_until = time.monotonic() + LATE_ORDER_S

    # The old version ends so late that the delayed order is none that empties the engine.
    with running_fleet(tmp_path, version_ms=4 * VERSION_MS) as fleet:
        wait_until_streaming(fleet)
        # Daemons that have just started may not know when a version ends.
        change_version(fleet)
        late = fleet.engines[0]
        late.arrived_orders.clear()
        late.order_delays_s = [LATE_ORDER_S]
        join = run_for_each([late], spoil_after_order)
        change_version(fleet, 3)
        join()
        # The layers of this piece were taken, and taken again once the piece was replaced.
        assert late.worst_bad_s > MAX_BAD_S


def test_pieces_turn_bad_while_empty_engines_load_their_first_half(tmp_path):
    def spoil(engine):
        spoil_while_staging(engine, version=1)

    with running_fleet(tmp_path, empty=True, call_s=0.04) as fleet:
        join = run_for_each(fleet.engines, spoil)
        wait_until_served(fleet, version=1)
        join()
        assert max(engine.worst_bad_s for engine in fleet.engines) <= MAX_BAD_S
        half = WEIGHTS.layers // 2
        firsts = [order for engine in fleet.engines for order in engine.orders[:1]]
        assert any(order.end - order.first <= half for order in firsts)


def test_an_engine_restarts_between_staging_and_order(tmp_path):
    """
    The order may reach the new process, which takes it once it answers again. Then it has to take
    the layers of the bad piece again.

    """
    with running_fleet(tmp_path) as fleet:
        wait_until_streaming(fleet)
        restarted = fleet.engines[0]
        restarted.call_s = 0.01

        def restart(engine):
            wait_soon(lambda: len(written(engine)) >= WEIGHTS.pieces)
            engine.spoil(written(engine)[0].index)
            engine.restart(RESTART_S)

        join = run_for_each([restarted], restart)
        change_version(fleet)
        join()
