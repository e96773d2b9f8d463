"""
A stripe that no instance fetches from the origin, because each considers another one the root,
must arrive within `MAX_STALLS` stall times.

The root of a stripe fetches the stripe from the origin, and the other instances get the chunks
through a tree. Each instance computes the trees from the instances that it knows of. While the
last of six endpoints started, they knew of different instances, so that none considered itself
the root of one stripe: 96 of 128 chunks arrived within a second, the others not within 30 s. An
instance that was not a root used the origin only after ten rounds of requests, with three waits
for every peer in each round: in all five minutes at the usual stall time of 2 s.

"""

import curio
import logbook

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

# The stall time: how long a peer may wait for a chunk before it answers, in seconds.
STALL_S = 0.05
# The data must arrive within this many stall times: 30 s at the usual stall time of 2 s.
MAX_STALLS = 15
STRIPES = 2
RECEIVERS = [Receiver(InstanceId(f'i-{number}'), ZoneId('zone')) for number in range(6)]
# Seconds by which a test may exceed its limit, for work other than waiting.
SLACK_S = 2.0


class WaitingPeers:
    """
    Peers that have no chunk, because they wait for a root to send them the stripe.

    """

    async def call(self, address, message, timeout):
        if not isinstance(message, GetChunk):
            return Manifest()
        await curio.sleep(message.wait_ms / 1000)
        return Chunk(reason=NOT_YET)


def instance_that_is_no_root():
    """
    An instance that is not the root of any stripe in its own view.

    """
    trees = plan_trees(digest_of(BODY), RECEIVERS, STRIPES, 1)
    return next(
        receiver
        for receiver in RECEIVERS
        if not any(tree.is_root(receiver.instance) for tree in trees)
    )  # fmt: skip


def rootless_transfer(folder, origin, peers):
    """
    The transfer of an instance that is not the root of any stripe in its own view.

    """
    own_receiver = instance_that_is_no_root()
    env = Environment(own_receiver.instance, own_receiver.zone)
    return Transfer(
        env,
        TransferSettings(stripes=STRIPES, window=20, stall_s=STALL_S, origin_copies=1),
        WeightStore(folder),
        Link(10**9, 1.0, False, env.monotonic),
        origin,
        peers,
        lambda name: PeerAddress(name, '10.0.0.1', 1),
    )


def transferred_data(transfer):
    """
    Run a transfer, which must end within `MAX_STALLS` stall times, and return the stored data.

    """

    async def run():
        # A manifest that an earlier run left on disk is not used.
        transfer.store.manifest_on_disk = lambda digest: None
        async with curio.timeout_after(MAX_STALLS * STALL_S + SLACK_S):
            return await transfer.run('model', 'v1', digest_of(BODY), RECEIVERS)

    return curio.run(run).path.read_bytes()


def test_a_stripe_without_a_root_arrives_within_half_a_minute(tmp_path):
    transfer = rootless_transfer(tmp_path, FakeOrigin(), WaitingPeers())
    assert transferred_data(transfer) == DATA


class CompletePeers(WaitingPeers):
    """
    Peers that have every chunk from the moment when the instance has asked the origin for one.

    """

    def __init__(self, origin):
        self.origin = origin

    async def call(self, address, message, timeout):
        if isinstance(message, GetChunk) and self.origin.was_asked:
            offset = message.index * CHUNK
            return Chunk(True, DATA[offset : offset + CHUNK])
        return await super().call(address, message, timeout)


class FailingOrigin(FakeOrigin):
    """
    An origin that has the manifest, but fails for every chunk.

    """

    was_asked = False

    async def chunk(self, *args):
        self.was_asked = True
        raise OriginFailed('gone')


def test_an_instance_that_became_a_root_still_asks_its_peers(tmp_path):
    origin = FailingOrigin()
    transfer = rootless_transfer(tmp_path, origin, CompletePeers(origin))
    assert transferred_data(transfer) == DATA
    assert transfer.origin_fallback_stripes


class SilentOrigin(FakeOrigin):
    """
    An origin that answers no request for a chunk until it is released.

    """

    def __init__(self):
        super().__init__()
        self.released = curio.Event()

    async def chunk(self, *args):
        await self.released.wait()
        return await super().chunk(*args)


def test_the_log_names_what_a_stalled_stripe_waits_for(tmp_path):
    origin = SilentOrigin()
    transfer = rootless_transfer(tmp_path, origin, WaitingPeers())

    def waits_for_origin(record):
        return 'Stripe stalled. stripe=1 ' in record.message and "1: 'origin'" in record.message

    async def run():
        task = await curio.spawn(transfer.run, 'model', 'v1', digest_of(BODY), RECEIVERS)
        while not any(waits_for_origin(record) for record in records.records):
            await curio.sleep(STALL_S / 5)
        await origin.released.set()
        await task.join()

    with logbook.TestHandler() as records:
        curio.run(run)
    assert not transfer.waits
