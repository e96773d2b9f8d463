"""
Elections: a replica that has lost contact with the leader requests votes.

"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import curio

from millfork_core.logs import Component, logger
from millfork_state.replica import ELECTION_SPREAD_FRACTION, Replica, ReplicaState
from millfork_wire.codec import PreVote
from millfork_wire.connection import PeerError
from millfork_wire.messages import VoteReply, VoteRequest
from millfork_wire.peers import PeerAddress

# Timeout of a vote request, as a fraction of the election timeout.
VOTE_TIMEOUT_FRACTION: Final = 0.5

log = logger(Component.STATE)


@dataclass(slots=True)
class _LostVotes:
    """
    The replicas that did not grant a request for votes: those that refused it, those whose disk is
    not the one in the membership, and those that did not answer in time.

    """

    refused: set[str] = field(default_factory=set)
    other_disk: set[str] = field(default_factory=set)
    unanswered: set[str] = field(default_factory=set)


async def wait_for_election_timeout(replica: Replica) -> None:
    """
    Return once a randomised election timeout has passed since `leader_contact_at` (the latest of
    this replica's start, its last contact with a leader and its last vote) and since
    `campaign_delay_from`. The latter is set to half of `election_s` ago when this replica gets no
    majority of pre-votes, so that it waits before it requests them again. Replicas that aren't
    voters, or whose disk failed recently, keep waiting.

    """
    spread_factor = 1 + replica.env.random.random() * ELECTION_SPREAD_FRACTION
    timeout = replica.election_s * spread_factor
    while True:
        silent_s = replica.env.monotonic() - max(
            replica.leader_contact_at, replica.campaign_delay_from
        )
        if silent_s >= timeout and replica.is_voter and replica.disk_works:
            return
        await curio.sleep(max(timeout - silent_s, replica.heartbeat_s / 4))


async def campaign(replica: Replica) -> bool:
    """
    Request pre-votes and, if a majority grants them, votes. True if this replica is now the leader.

    :raises OSError: if the disk fails.

    """
    if not await _gather_votes(replica, _pre_vote_request(replica)):
        replica.env.metrics.count(replica.env.metrics.state, event='pre_votes_lost')
        replica.campaign_delay_from = replica.env.monotonic() - replica.election_s / 2
        return False
    async with replica.lock:
        if replica.env.monotonic() - replica.leader_contact_at < replica.election_s:
            return False
        term = replica.term + 1
        # Before the write, as a replica that grants pre-votes meanwhile makes the votes split.
        replica.leader_contact_at = replica.env.monotonic()
        await replica.enter_term(term, voted_for=replica.env.instance)
        replica.state = ReplicaState.CANDIDATE
        replica.leader_contact_at = replica.env.monotonic()
    log.info('Requesting votes for term {}.', term)
    replica.env.metrics.count(replica.env.metrics.state, event='election')
    won = await _gather_votes(replica, _vote_request(replica, term))
    async with replica.lock:
        if not won or replica.term != term or replica.state is not ReplicaState.CANDIDATE:
            return False
        replica.state = ReplicaState.LEADER
        replica.leader = replica.env.instance
        replica.env.metrics.leader.set({}, 1)
        replica.stepped_down.clear()
    log.notice('Leader of term {}.', term)
    return True


def _vote_request(replica: Replica, term: int) -> VoteRequest:
    storage = replica.storage
    return VoteRequest(
        replica.cluster, term, replica.env.instance, storage.last_index, storage.last_term
    )


def _pre_vote_request(replica: Replica) -> PreVote:
    storage = replica.storage
    return PreVote(
        replica.cluster,
        replica.term + 1,
        replica.env.instance,
        storage.last_index,
        storage.last_term,
    )


async def _gather_votes(replica: Replica, request: VoteRequest) -> bool:
    """
    Whether a majority of the voters grants the request. A vote counts only if the replying
    replica's disk id is the one in the membership. A reply with a higher term makes this replica
    enter that term.

    """
    granted = {(replica.env.instance, replica.storage.disk)} & set(replica.members)
    timeout = replica.election_s * VOTE_TIMEOUT_FRACTION
    has_majority: Callable[[], bool] = lambda: len(granted) >= replica.majority  # noqa: E731
    lost = _LostVotes()
    async with curio.TaskGroup() as group:
        for address in replica.others:
            await group.spawn(_request_vote, replica, address, request, timeout)
        async for task in group:
            if task.exception:
                continue
            voter, reply = task.result
            if reply is None:
                lost.unanswered.add(voter)
                continue
            if reply.term > replica.term:
                await _adopt_term(replica, reply.term)
            if reply.granted and (voter, reply.disk) in replica.members:
                granted.add((voter, reply.disk))
            elif (voter, reply.disk) in replica.members:
                lost.refused.add(voter)
            else:
                lost.other_disk.add(voter)
            if has_majority():
                await group.cancel_remaining()
    if not has_majority():
        _log_lost_votes(replica, request, len(granted), lost)
    return has_majority()


def _log_lost_votes(replica: Replica, request: VoteRequest, granted: int, lost: _LostVotes) -> None:
    """
    Log that a request got no majority, at most once a second, as a replica without a majority
    requests pre-votes twice a second.

    """
    kind = 'pre_vote' if isinstance(request, PreVote) else 'vote'
    requests = replica.lost_vote_lines.count(kind, replica.env.monotonic())
    if not requests:
        return
    voters = {instance for instance, _ in replica.members}
    log.info(
        'Too few votes. kind={} term={} granted={} needed={} voters={} refused={} other_disk={} '
        'unanswered={} requests={}',
        kind,
        request.term,
        granted,
        replica.majority,
        ','.join(sorted(voters)),
        ','.join(sorted(lost.refused & voters)),
        ','.join(sorted(lost.other_disk & voters)),
        ','.join(sorted(lost.unanswered & voters)),
        requests,
    )


async def _adopt_term(replica: Replica, term: int) -> None:
    async with replica.lock:
        if term > replica.term:
            await replica.enter_term(term)


async def _request_vote(
    replica: Replica,
    address: PeerAddress,
    request: VoteRequest,
    timeout: float,
) -> tuple[str, VoteReply | None]:
    try:
        reply = await replica.peers.call(address, request, timeout)
    except PeerError:
        return address.instance, None
    return address.instance, reply if isinstance(reply, VoteReply) else None
