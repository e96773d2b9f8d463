"""
Transfers that share a connection or a sender with much else: each of them proceeds.

"""

import curio

from millfork_wire.fragments import FRAGMENT_BYTES
from millfork_wire.messages import InstallRequest, PushChunk
from millfork_wire.outbox import Outbox
from millfork_wire.priorities import Priority
from tests.test_transfers import fragment_of, message_bytes

CHUNK_BYTES = 4 * FRAGMENT_BYTES


def test_a_transfer_proceeds_beside_weights_that_never_pause():
    # Guards against a configuration that waits until a process has got all its weights.
    async def run():
        outbox = Outbox()
        await outbox.put(message_bytes(InstallRequest(snapshot=bytes(CHUNK_BYTES))))
        transferred = 0
        for number in range(20):
            await outbox.put(message_bytes(PushChunk('m', number, bytes(CHUNK_BYTES))))
            for data in await outbox.take():
                if fragment_of(data).priority is Priority.BULK:
                    transferred += len(data)
                    await outbox.acknowledge(len(data))
        assert transferred >= CHUNK_BYTES

    curio.run(run)
