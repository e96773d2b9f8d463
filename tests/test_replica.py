"""
A replica's answers to leaders and candidates.

"""

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_settings.common import StateSettings
from millfork_state.commands import Apply, Change, SetMembers, encode_command
from millfork_state.election import campaign
from millfork_state.leadership import Leadership
from millfork_state.replica import Replica, ReplicaState
from millfork_state.storage import Storage
from millfork_state.view import View
from millfork_wire.codec import PreVote
from millfork_wire.messages import AppendRequest, Entry, InstallRequest, VoteRequest

CLUSTER = 'cluster'


class CountingStorage(Storage):
    """
    Storage that counts its syncs, and cancels the next sync if `cancel_next` is set.

    """

    syncs = 0
    cancel_next = False

    async def sync(self):
        if self.cancel_next:
            self.cancel_next = False
            raise curio.TaskCancelled()
        self.syncs += 1
        await super().sync()


@pytest.fixture
def replica(tmp_path):
    env = Environment(InstanceId('b'), ZoneId('zone'))
    storage = CountingStorage(tmp_path)
    replica = Replica(env, StateSettings(), storage, View(), None, [])
    curio.run(replica.recover)
    return replica


def entry(index, term=1, command=None):
    command = command or Apply(f'command-{index}', [Change(f'key-{index}', b'1')])
    return Entry(term, index, encode_command(command))


def genesis(replica):
    members = [('a', 'disk-a'), ('b', str(replica.storage.disk)), ('c', 'disk-c')]
    return entry(1, 1, SetMembers(CLUSTER, members))


def append(replica, entries, prev=(0, 0), commit=0, term=1):
    request = AppendRequest(CLUSTER, term, 'a', prev[0], prev[1], entries, commit)
    return curio.run(replica.on_append, request)


def test_entries_are_applied_once_they_are_committed(replica):
    assert append(replica, [genesis(replica), entry(2), entry(3)], commit=2).ok
    assert replica.view.revision == 1
    assert append(replica, [], prev=(3, 1), commit=3).ok
    assert replica.view.revision == 2


def test_an_append_is_answered_only_once_it_is_durable(replica):
    assert append(replica, [genesis(replica), entry(2)]).match == 2
    assert replica.storage.syncs == 1
    assert replica.storage.durable_index == 2


def test_entries_whose_sync_was_cut_short_are_synced_before_they_are_acknowledged(replica):
    append(replica, [genesis(replica)])
    replica.storage.cancel_next = True
    with pytest.raises(curio.TaskCancelled):
        append(replica, [entry(2)], prev=(1, 1))
    syncs_before = replica.storage.syncs
    assert append(replica, [entry(2)], prev=(1, 1)).ok
    assert replica.storage.syncs == syncs_before + 1


def test_a_heartbeat_does_not_acknowledge_entries_whose_sync_was_cut_short(replica):
    append(replica, [genesis(replica)])
    replica.storage.cancel_next = True
    with pytest.raises(curio.TaskCancelled):
        append(replica, [entry(2)], prev=(1, 1))
    assert append(replica, [], prev=(2, 1)).match == 2
    assert replica.storage.durable_index == 2


def test_an_append_after_a_gap_is_refused_with_the_last_index(replica):
    append(replica, [genesis(replica)])
    reply = append(replica, [entry(5)], prev=(4, 1))
    assert (reply.ok, reply.match) == (False, 1)


def test_a_later_leader_replaces_uncommitted_entries(replica):
    append(replica, [genesis(replica), entry(2), entry(3)], commit=1)
    other = Apply('other', [Change('key', b'2')])
    assert append(replica, [entry(2, 2, other)], prev=(1, 1), commit=2, term=2).ok
    assert replica.storage.last_index == 2
    assert list(replica.view.items) == ['key']


def test_a_leader_of_an_earlier_term_is_refused(replica):
    append(replica, [genesis(replica)], term=3)
    reply = append(replica, [entry(2)], prev=(1, 1), term=2)
    assert (reply.ok, reply.term) == (False, 3)


def test_a_leader_of_another_cluster_is_refused(replica):
    append(replica, [genesis(replica)])
    request = AppendRequest('another', 9, 'x', 0, 0, [], 0)
    assert not curio.run(replica.on_append, request).ok


def test_one_vote_per_term_and_none_for_an_outdated_log(replica):
    append(replica, [genesis(replica), entry(2)])

    def vote(candidate, term, last_index):
        request = VoteRequest(CLUSTER, term, candidate, last_index, 1)
        return curio.run(replica.on_vote, request).granted

    assert not vote('a', 2, 1)
    assert vote('a', 2, 2)
    assert vote('a', 2, 2)
    assert not vote('c', 2, 2)
    assert vote('c', 3, 5)


def test_a_replica_with_an_empty_disk_grants_no_vote(replica):
    request = VoteRequest(CLUSTER, 5, 'a', 9, 4)
    assert not curio.run(replica.on_vote, request).granted


def test_a_pre_vote_is_refused_during_contact_with_a_leader_and_changes_nothing(replica):
    append(replica, [genesis(replica)])
    request = PreVote(CLUSTER, 9, 'c', 5, 1)
    assert not curio.run(replica.on_pre_vote, request).granted
    replica.leader_contact_at -= 10
    assert curio.run(replica.on_pre_vote, request).granted
    assert replica.term == 1


def test_a_snapshot_replaces_a_log_that_is_far_behind(replica, tmp_path):
    append(replica, [genesis(replica), entry(2), entry(3)], commit=3)
    members = replica.members
    dump = replica.machine.dump(members)
    env = Environment(InstanceId('c'), ZoneId('zone'))
    behind = Replica(env, StateSettings(), Storage(tmp_path / 'other'), View(), None, [])
    request = InstallRequest(CLUSTER, 1, 'a', 3, 1, dump)
    assert curio.run(behind.on_install, request).match == 3
    assert behind.view.revision == replica.view.revision
    assert behind.members == members
    restarted = Replica(env, StateSettings(), Storage(tmp_path / 'other'), View(), None, [])
    curio.run(restarted.recover)
    assert restarted.view.revision == 2
    assert restarted.cluster == CLUSTER


def test_a_snapshot_that_the_disk_refuses_changes_nothing(replica, tmp_path, monkeypatch):
    # Otherwise later log entries are applied a second time, on top of the snapshot.
    append(replica, [genesis(replica), entry(2), entry(3)], commit=3)
    dump = replica.machine.dump(replica.members)
    env = Environment(InstanceId('c'), ZoneId('zone'))
    behind = Replica(env, StateSettings(), Storage(tmp_path / 'other'), View(), None, [])

    async def refuse(snapshot):
        raise OSError(28, 'no space left')

    monkeypatch.setattr(behind.storage, 'save_snapshot', refuse)
    with pytest.raises(OSError, match='no space'):
        curio.run(behind.on_install, InstallRequest(CLUSTER, 1, 'a', 3, 1, dump))
    assert (behind.applied, behind.view.revision, behind.view.items) == (0, 0, {})


def test_a_leader_whose_disk_fails_steps_down(replica):
    members = [('b', str(replica.storage.disk))]
    append(replica, [entry(1, 1, SetMembers(CLUSTER, members))])

    async def fail():
        raise OSError('disk full')

    async def lead():
        replica.state = ReplicaState.LEADER
        replica.stepped_down.clear()
        replica.storage.sync = fail
        async with curio.timeout_after(10):
            await Leadership(replica).run()

    with pytest.raises(OSError, match='disk full'):
        curio.run(lead)
    assert replica.state is ReplicaState.FOLLOWER


def test_a_candidate_that_failed_still_votes_for_others(replica):
    append(replica, [genesis(replica)])
    replica.leader_contact_at -= 10
    assert not curio.run(campaign, replica)
    assert curio.run(replica.on_pre_vote, PreVote(CLUSTER, 9, 'c', 5, 1)).granted
