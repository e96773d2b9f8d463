"""
Digests of pieces in the replicated state. Guards against engines with whole weights that are not
used again after a restart of all processes, because the origin of the weights is gone.

"""

from types import SimpleNamespace

import curio
import msgspec

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_platform import client_requests
from millfork_standins.staging_fleet import StagingFleet
from millfork_standins.weights_origin import SimulatedWeights
from millfork_state.keys import digests_key
from millfork_state.state_machine import StateMachine
from millfork_state.view import View
from millfork_wire.messages import CacheAddress, GetManifest
from millforkd.digest_keys import KEPT_VERSIONS
from millforkd.replica.digest_retention import DigestRetention
from millforkd.sidecar.pieces import PieceSet, PieceStore, WeightsId, decode_digests
from millforkd.sidecar.recorded_digests import DigestRecorder, RecordedDigests
from tests.test_caches import DIGESTS, PIECES, FakeOrigin, FakePeers, cache_at
from tests.test_gathering import FakeCachePeers, gathering_with
from tests.utils.fleets import wait_until
from tests.utils.staging import stream_request
from tests.utils.streams import WHOLE_STREAM

WEIGHTS = WeightsId('m', 2)
SIMULATED = SimulatedWeights('m', layers=16, pieces=96)
VERSION_MS = 5000
# After a restart of all processes requests are served again within this time.
RECOVER_S = 12.0
CHANGE_TIMEOUT_S = 20.0


class Leader:
    """
    Applies proposed commands to a state.

    """

    def __init__(self):
        self.view = View()
        self.machine = StateMachine(self.view)
        self.commands = []

    async def propose(self, command, timeout_s=0.0):
        self.commands.append(command)
        return msgspec.msgpack.encode(self.machine.apply(command))


def recorder_of(leader, store):
    env = Environment(InstanceId('10.0.0.7:1'), ZoneId('z1'))
    return DigestRecorder(env, RecordedDigests(leader.view), store, leader)


async def set_with(*indexes, weights=WEIGHTS, digests=DIGESTS):
    held = PieceSet(weights)
    await held.set_digests(digests)
    for index in indexes:
        await held.put(index, PIECES[index])
    return held


def test_only_digests_that_a_piece_matches_are_recorded():
    """
    Guards against a corrupt list of digests that outlives all processes.

    """

    async def run():
        leader = Leader()
        recorder = recorder_of(leader, PieceStore())
        await recorder.record(
            await set_with(0, 1, 2, digests=(*DIGESTS[:2], 'ab' * 32, *DIGESTS[3:]))
        )
        assert recorder.recorded.find(WEIGHTS) == (*DIGESTS[:2], '', '', '', '')
        assert recorder.recorded.find_all(WEIGHTS) == ()
        await recorder.record(await set_with())
        assert len(leader.commands) == 1

    curio.run(run)


def test_the_digests_of_daemons_with_different_pieces_are_joined():
    async def run():
        leader = Leader()
        recorder = recorder_of(leader, PieceStore())
        for indexes in ((0, 1, 2), (3, 4, 5)):
            await recorder.record(await set_with(*indexes))
        assert recorder.recorded.find_all(WEIGHTS) == DIGESTS
        await recorder.record(await set_with(*range(6)))
        assert len(leader.commands) == 2

    curio.run(run)


def test_the_digests_of_old_versions_are_removed_and_not_recorded_again():
    async def run():
        leader = Leader()
        recorder = recorder_of(leader, PieceStore())
        versions = range(1, KEPT_VERSIONS + 3)
        for version in versions:
            await recorder.record(await set_with(0, weights=WeightsId('m', version)))
        retention = DigestRetention(recorder.env, leader.view, leader, lambda: True)
        await retention.remove_old()
        assert recorder.recorded.versions('m') == list(versions[-KEPT_VERSIONS:])
        count = len(leader.commands)
        await retention.remove_old()
        await recorder.record(await set_with(0, weights=WeightsId('m', 1)))
        assert len(leader.commands) == count

    curio.run(run)


def test_recorded_digests_are_used_without_the_origin():
    async def run():
        leader = Leader()
        await recorder_of(leader, PieceStore()).record(await set_with(*range(6)))
        origin = FakeOrigin()
        gatherer = gathering_with(FakeCachePeers(), [], origin, leader.view)
        assert await gatherer.obtain_digests(PieceSet(WEIGHTS))
        caches = [CacheAddress('10.0.0.1:1', 'z1')]
        cache = cache_at('10.0.0.1:1', 'z1', origin, FakePeers(), caches)
        cache.recorded = RecordedDigests(leader.view)
        reply = await cache.on_get_manifest(GetManifest(str(WEIGHTS)))
        assert decode_digests(reply.body) == DIGESTS
        assert origin.digest_fetches == 0

    curio.run(run)


def test_a_record_that_cannot_be_read_counts_as_none():
    view = View()
    view.items[digests_key(str(WEIGHTS))] = SimpleNamespace(value=b'\x92\x01\xa1?')
    assert RecordedDigests(view).find(WEIGHTS) == ()


def proven_layers(fleet, host):
    """
    The number of layers that a restarted daemon has proven by reading their pieces back.

    """
    return fleet.log(host).count(': proven.')


def is_served(fleet):
    return fleet.send_request(stream_request()).body == WHOLE_STREAM


def test_engines_are_used_again_after_two_restarts_of_all_processes_without_the_origin(tmp_path):
    fleet = StagingFleet(tmp_path, SIMULATED, version_ms=VERSION_MS)
    try:
        fleet.start()
        assert fleet.put_document(fleet.document(max_attempts=2)).status == 200
        assert fleet.control(client_requests.set_version_request('m', 2)).status == 200
        wait_until(
            lambda: all(engine.serves_whole(2) for engine in fleet.engines), CHANGE_TIMEOUT_S
        )
        wait_until(lambda: is_served(fleet), CHANGE_TIMEOUT_S)
        wait_until(
            lambda: any('Digests recorded' in fleet.log(host) for host in fleet.endpoint_hosts),
            CHANGE_TIMEOUT_S,
        )
        fleet.origin.end()
        fleet.restart_all()
        fleet.restart_all()
        wait_until(
            lambda: all(
                proven_layers(fleet, host) >= SIMULATED.layers for host in fleet.endpoint_hosts
            ),
            RECOVER_S,
        )
        wait_until(lambda: is_served(fleet), RECOVER_S)
        assert [item for engine in fleet.engines for item in engine.violations] == []
    finally:
        fleet.close()
