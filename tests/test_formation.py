"""
Formation of the replicated state.

"""

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_settings.common import StateSettings
from millfork_state.formation import Seeds, accept_genesis, form_or_join
from millfork_state.replica import Replica
from millfork_state.storage import Storage
from millfork_state.view import View

TIMEOUT_S = 2.0


class Killed(Exception):
    """
    The process was killed here.

    """


def replica_on(folder):
    env = Environment(InstanceId('a'), ZoneId('zone'))
    replica = Replica(env, StateSettings(), Storage(folder), View(), None, [])
    curio.run(replica.recover)
    return replica


def test_a_formation_that_a_kill_cut_short_is_finished_at_the_next_start(tmp_path, monkeypatch):
    # The replica counted as neither empty nor formed, and no other may form the state.
    replica = replica_on(tmp_path)
    members = [('a', str(replica.storage.disk)), ('b', 'disk-b'), ('c', 'disk-c')]

    async def killed(*arguments):
        raise Killed

    monkeypatch.setattr(replica.storage, 'save_vote', killed)
    with pytest.raises(Killed):
        curio.run(accept_genesis, replica, 'cluster', members)
    restarted = replica_on(tmp_path)

    async def form():
        async with curio.timeout_after(TIMEOUT_S):
            await form_or_join(restarted, Seeds([], may_form=False))

    curio.run(form)
    assert restarted.cluster == 'cluster'
    assert restarted.is_voter
