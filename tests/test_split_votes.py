"""
Two replicas that ask for votes at the same time, while their disks store votes slowly.

"""

import curio

from millfork_state.election import campaign
from millfork_wire.codec import PreVote
from millfork_wire.messages import VoteReply
from tests.test_replication import CLUSTER, SETTINGS, form, new_replica

SILENT_S = 10 * SETTINGS.election_ms / 1000


class GrantingPeers:
    """
    Other replicas that grant each request for votes.

    """

    async def call(self, address, message, timeout):
        term = message.term - isinstance(message, PreVote)
        return VoteReply(term, True, f'disk-{address.instance}')


def test_a_candidate_whose_own_vote_is_being_stored_grants_no_pre_vote(tmp_path, monkeypatch):
    # Guards against two voters that each vote for themselves, again and again, on slow disks.
    async def run():
        replica = new_replica(tmp_path, GrantingPeers())
        await form(replica, [])
        replica.leader_contact_at -= SILENT_S
        save_vote = replica.storage.save_vote
        begun, ended = curio.Event(), curio.Event()

        async def save_slowly(*arguments, **options):
            await begun.set()
            await ended.wait()
            await save_vote(*arguments, **options)

        monkeypatch.setattr(replica.storage, 'save_vote', save_slowly)
        candidate = await curio.spawn(campaign, replica)
        await begun.wait()
        request = PreVote(CLUSTER, 2, 'b', 1, 1)
        assert not (await replica.on_pre_vote(request)).granted
        await ended.set()
        assert await candidate.join()

    curio.run(run)
