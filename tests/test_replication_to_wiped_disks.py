"""
A leader whose requests to another replica are answered from two disks: that before and that after
a loss.

"""

import curio

from millfork_wire.messages import AppendReply, AppendRequest, Entry
from tests.test_replication import CLUSTER, SlowPeers, form, lead, new_replica


def test_a_confirmation_does_not_count_for_another_disk(tmp_path):
    # Guards against changes that are acknowledged, and then lost, as a disk that was lost had them.
    async def run():
        replica = new_replica(tmp_path, SlowPeers())
        await form(replica, [])
        leadership = await lead(replica)
        progress = leadership.progress[0]
        progress.disk, progress.caught_up = 'disk-b', True
        replication = leadership._replication_to(progress)
        request = AppendRequest(CLUSTER, 2, 'a', 1, 1, [Entry(2, 9, b'')], 1)
        async with leadership.acked:
            confirmation = await curio.spawn(
                replication._handle_reply, request, AppendReply(2, True, 9, 'disk-b'), 0.0
            )
            await curio.sleep(0)
            heartbeat = await curio.spawn(
                replication._record_answer, AppendReply(2, True, 0, 'disk-new'), 0.0
            )
            await curio.sleep(0)
        await confirmation.join()
        await heartbeat.join()
        assert progress.disk == 'disk-new'
        assert progress.match_index == 0
        assert not progress.caught_up

    curio.run(run)
