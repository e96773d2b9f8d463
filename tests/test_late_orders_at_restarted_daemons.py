"""
An endpoint daemon ends after it sent a load order that its engine takes late, when a piece has been
bad for over 3 s. The engine must not serve that layer, whether the daemon restarts or not.

"""

import time

import pytest

from millfork_platform import client_requests, names
from millfork_standins.staging_fleet import StagingFleet
from millfork_standins.weights_origin import SimulatedWeights
from millfork_web.models import Request
from tests.test_seeded_fleet import request
from tests.utils.fleets import wait_until

WEIGHTS = SimulatedWeights('m', layers=8, pieces=48)
ORDER_DELAY_S = 5.0
# Streams are sent for this long after the engine has loaded the layers.
CHECKED_S = 6.0


def stream_request():
    call = request('/stream/', 'POST', body=b'prompt')
    headers = [item for item in call.headers if item[0] != client_requests.DEADLINE_MS]
    headers += [(client_requests.DEADLINE_MS, '6000'), (names.MODEL, WEIGHTS.model)]
    headers += [(names.TOKEN_COUNT, '100,40')]
    return Request(call.method, call.path, headers, call.body)


@pytest.fixture
def fleet(tmp_path):
    fleet = StagingFleet(tmp_path, WEIGHTS, engines=1, version_ms=3000)
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.close()


@pytest.mark.parametrize('restarts', [True, False])
def test_a_late_order_of_an_ended_daemon_puts_no_bad_layer_in_service(fleet, restarts):
    """
    A daemon that restarts counts the layers in the first report of its engine as proven, also those
    of an order of its predecessor. One that doesn't has told the entries that its engine changes,
    but they send again to an engine without a daemon, by the layers in its heartbeats.

    """
    assert fleet.put_document(fleet.document()).status == 200
    wait_until(lambda: fleet.send_request(stream_request()).status == 200)
    engine, host = fleet.engines[0], fleet.endpoint_hosts[0]
    engine.order_delays_s = [ORDER_DELAY_S]
    assert fleet.control(client_requests.set_version_request(WEIGHTS.model, 2)).status == 200
    wait_until(lambda: not engine.order_delays_s)
    engine.spoil(3)
    fleet.kill(host)
    wait_until(lambda: engine.taken and engine.order is None)
    assert engine.worst_bad_s > 3.0
    if restarts:
        fleet.start_process(host)
    checked_until = time.monotonic() + CHECKED_S
    while time.monotonic() < checked_until:
        fleet.send_request(stream_request())
    assert engine.violations == []
