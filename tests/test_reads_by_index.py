"""
Reads of the configuration at a replica that answers from what it has applied.

"""

import curio

from millfork_state.node import ReadTarget
from tests.test_replication import TIMEOUT_S, apply_documents, read_nodes


def test_a_replica_of_another_cluster_does_not_answer_from_its_own_state(tmp_path):
    # Guards against the configuration of an earlier fleet that a machine brings back on its disk.
    async def run():
        leader, foreign, peers, client = read_nodes(tmp_path)
        await apply_documents(leader, 2)
        await apply_documents(foreign, 3)
        await foreign.replica.enter_term(1, cluster='earlier')
        foreign.replica.view.cluster = 'earlier'
        body = await client.read_state(TIMEOUT_S)
        assert (body.cluster, body.revision) == ('cluster', 2)
        assert peers.targets == [ReadTarget.INDEX, ReadTarget.STATE]

    curio.run(run)
