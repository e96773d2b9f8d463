"""
The log of an endpoint daemon tells why its engine holds a layer that may have been loaded from a
bad piece. Each of these lines leads to another cause in docs/OPERATIONS.md.

"""

import re

import curio
import logbook
import pytest

from millforkd.sidecar.loaded_layers import PROOF_VALID_S
from tests.test_stale_pieces import LATE_ORDER_S, LAYERS, StagingEngine, change_version
from tests.test_stale_pieces_after_daemon_restarts import RestartedDaemon

NEW_LAYERS = re.compile(
    r'The engine holds new layers\. weights=m@2 layers=0-(\d+) '
    r'proven=(\d+) unproven=(\d+) suspect=0 oldest_proof_s=(\S+)'
)


def new_layers(engine):
    """
    Change the version; return what the log tells of the first layers of version 2: the end of
    their numbers, how many are proven and unproven, and the age of the oldest proof.

    """
    with logbook.TestHandler() as records:
        change_version(engine, spoiled=())
    found = next(match for match in map(NEW_LAYERS.search, records.formatted_records) if match)
    end, proven, unproven, oldest_proof_s = found.groups()
    return int(end), int(proven), int(unproven), float(oldest_proof_s)


def test_layers_that_were_loaded_in_time_are_logged_with_the_age_of_their_proof():
    end, proven, unproven, oldest_proof_s = new_layers(StagingEngine())
    assert (end, proven, unproven) == (LAYERS, LAYERS, 0)
    assert oldest_proof_s < PROOF_VALID_S


@pytest.mark.parametrize('late', ['order_delays', 'load_delays'])
def test_layers_that_were_loaded_late_are_logged_with_the_age_of_their_proof(late):
    _, proven, unproven, oldest_proof_s = new_layers(StagingEngine(**{late: [LATE_ORDER_S]}))
    assert (proven, unproven) == (0, LAYERS)
    assert oldest_proof_s > PROOF_VALID_S


def test_a_write_that_stored_nothing_is_logged_as_just_written():
    with logbook.TestHandler() as records:
        change_version(StagingEngine(ignored={0}), spoiled=())
    text = '\n'.join(records.formatted_records)
    found = re.search(r'Staged piece 0 of m@2 is corrupt\. written=m@2 written_s=(\S+)', text)
    assert found is not None
    assert float(found[1]) < 1.0


def test_layers_that_no_order_of_this_process_explains_are_logged():
    engine = StagingEngine()
    # An earlier process of the daemon ordered what the engine serves.
    engine.orders.append(engine.served)

    async def run():
        daemon = RestartedDaemon(engine)
        await daemon.start()
        await daemon.end()

    with logbook.TestHandler() as records:
        curio.run(run)
    line = f'weights=m@1 layers=0-{LAYERS} proven=0 unproven={LAYERS} suspect=0 oldest_proof_s=inf'
    assert any(line in record for record in records.formatted_records)
