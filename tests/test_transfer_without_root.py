"""
Six endpoints of a fleet began a transfer and had three quarters of it within a second; the
last quarter had not come after 30 s (`Transfer of lecture-summariser v1 begins`, nothing
after it; `millfork_chunks_total{outcome="taken",source="peer"} 96` of 128, `not_yet` rising,
and no connection of the sixth to the origin). Each computes the trees from the instances that
it knows of; their views differed while the last ones started, so that for one stripe each of
them took another for the root. Whoever is no root draws only after ten rounds, each of which
waits for every peer three times: five minutes at the usual 2 s.

"""

import curio

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_weights.links import Link
from millfork_weights.manifest import digest_of
from millfork_weights.origin import OriginFailed
from millfork_weights.store import WeightStore
from millfork_weights.transfer import NOT_YET, Transfer, TransferSettings
from millfork_weights.trees import Receiver, plan_trees
from millfork_wire.messages import Chunk, GetChunk, Manifest
from millfork_wire.peers import PeerAddress
from tests.test_transfer import BODY, CHUNK, DATA, FakeOrigin

STALL_S = 0.05
# With the usual stall of 2 s these are 30 s.
MOST_STALLS = 15
STRIPES = 2
RECEIVERS = [Receiver(InstanceId(f'i-{number}'), ZoneId('zone')) for number in range(6)]
# For the rest of the test's own work.
SLACK_S = 2.0


class WaitingPeers:
    """
    Peers that wait for the same stripe, too.

    """

    async def call(self, address, message, timeout):
        if not isinstance(message, GetChunk):
            return Manifest()
        await curio.sleep(message.wait_ms / 1000)
        return Chunk(reason=NOT_YET)


def nobodys_root():
    """
    An instance that is root of no stripe by its own view.

    """
    trees = plan_trees(digest_of(BODY), RECEIVERS, STRIPES, 1)
    return next(
        receiver
        for receiver in RECEIVERS
        if not any(tree.is_root(receiver.instance) for tree in trees)
    )  # fmt: skip


def rootless_transfer(folder, origin, peers):
    """
    The transfer of an instance that is root of no stripe by its own view.

    """
    me = nobodys_root()
    env = Environment(me.instance, me.zone)
    return Transfer(
        env,
        TransferSettings(stripes=STRIPES, window=20, stall_s=STALL_S, origin_copies=1),
        WeightStore(folder),
        Link(10**9, 1.0, False, env.monotonic),
        origin,
        peers,
        lambda name: PeerAddress(name, '10.0.0.1', 1),
    )


def brought(made):
    """
    What a transfer brings within half a minute at the usual stall.

    """

    async def run():
        # The questions for the manifest come before.
        made.store.manifest_on_disk = lambda digest: None
        async with curio.timeout_after(MOST_STALLS * STALL_S + SLACK_S):
            return await made.run('model', 'v1', digest_of(BODY), RECEIVERS)

    return curio.run(run).path.read_bytes()


def test_a_stripe_that_nobody_draws_comes_within_half_a_minute(tmp_path):
    made = rootless_transfer(tmp_path, FakeOrigin(), WaitingPeers())
    assert brought(made) == DATA


class WholePeers(WaitingPeers):
    """
    Peers of which one has every chunk at last; the origin is dead by then.

    """

    def __init__(self, origin):
        self.origin = origin

    async def call(self, address, message, timeout):
        if isinstance(message, GetChunk) and self.origin.asked:
            offset = message.index * CHUNK
            return Chunk(True, DATA[offset : offset + CHUNK])
        return await super().call(address, message, timeout)


class DeadOrigin(FakeOrigin):
    asked = False

    async def chunk(self, *args):
        self.asked = True
        raise OriginFailed('gone')


def test_whoever_took_the_part_of_a_root_still_asks_its_peers(tmp_path):
    origin = DeadOrigin()
    made = rootless_transfer(tmp_path, origin, WholePeers(origin))
    assert brought(made) == DATA
    assert made.adopted_stripes
