"""
Engines that fall silent for two seconds while their version changes, which must cost no caller an
answer.

Real daemons, one beside each engine, with simulated engines and a simulated origin.

"""

import pytest

from millfork_platform import client_requests
from millfork_standins.staging_fleet import StagingFleet
from millfork_standins.weights_origin import SimulatedWeights
from tests.utils.fleets import wait_until
from tests.utils.staging import stream_request
from tests.utils.streams import WHOLE_STREAM

WEIGHTS = SimulatedWeights('m', layers=4, pieces=8)
VERSION_MS = 5000
PAUSE_S = 1.9
EVENT_S = 0.05
CALLS_PER_S = 10


@pytest.fixture
def fleet(tmp_path):
    fleet = StagingFleet(tmp_path, WEIGHTS, version_ms=VERSION_MS)
    try:
        fleet.start()
        for engine in fleet.engines:
            engine.event_interval_s = EVENT_S
        yield fleet
    finally:
        fleet.close()


@pytest.mark.parametrize('pauses_at', ['staging', 'order'])
def test_a_pause_during_a_change_costs_no_caller_an_answer(fleet, pauses_at):
    assert fleet.put_document(fleet.document(max_attempts=1)).status == 200
    wait_until(lambda: fleet.send_request(stream_request()).body == WHOLE_STREAM)
    for engine in fleet.engines:
        if pauses_at == 'staging':
            engine.pause_at_write_s = PAUSE_S
        else:
            engine.pause_at_order_s = PAUSE_S
    assert fleet.control(client_requests.set_version_request(WEIGHTS.model, 2)).status == 200
    replies = fleet.send_load(stream_request, CALLS_PER_S, VERSION_MS / 1000 + 2)
    wait_until(lambda: all(engine.serves_whole(2) for engine in fleet.engines))
    # All engines have paused.
    assert not any(engine.pause_at_write_s or engine.pause_at_order_s for engine in fleet.engines)
    for reply in replies:
        if reply.status == 200:
            assert reply.body == WHOLE_STREAM
        else:
            assert reply.status == 503
            assert float(reply.headers[client_requests.RETRY_AFTER]) > 0
