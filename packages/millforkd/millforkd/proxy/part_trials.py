"""
Trials of quarantined parts of prompts.

A part may be quarantined although it crashes nothing: it only ran beside a crashing one while many
back ends ended. Only a complete answer can clear the part, so a prompt with the part is sent now
and then. All entries (front proxies) together make one trial at a time and only a few at all: each
trial is claimed in the replicated state, where it outlives the entries and replicas.

"""

from typing import Final

import msgspec

from millfork_core.environment import Environment
from millfork_core.ids import ClusterId, Fingerprint, RequestId, Revision
from millfork_core.logs import Component, logger
from millfork_registry.discovery import Discovery
from millfork_state.commands import Raise, RaiseResult, decode_versioned
from millfork_state.keys import trial_key
from millfork_wire.peers import Peers
from millforkd.proposer import Proposer
from millforkd.quarantine import QuarantineListing

# How long a part is quarantined before its first trial, and from each trial to the next. There are
# no further ones until the part leaves the quarantine because of its age.
TRIAL_WAITS_S: Final = (10.0, 300.0)
# Timeout of one call to claim a trial. The request waits for the claim, of at most two calls.
CLAIM_TIMEOUT_S: Final = 0.3
# The wait after a claim that failed.
CLAIM_RETRY_S: Final = 2.0

log = logger(Component.PROXY)


class PartTrials:
    """
    Decides when this entry sends a prompt with quarantined parts as a trial.

    """

    def __init__(
        self, env: Environment, listing: QuarantineListing, peers: Peers, discovery: Discovery
    ) -> None:
        self.env = env
        self.listing = listing
        self.view = listing.view
        self.proposer = Proposer(peers, discovery, CLAIM_TIMEOUT_S)
        # By quarantined part: the number of trials made, and since when this entry knows that
        # number (monotonic seconds).
        self.made: dict[Fingerprint, tuple[int, float]] = {}
        self.claim_again_at = 0.0
        # The position of the view from which `made` was read.
        self.position: tuple[ClusterId, Revision] | None = None

    def refresh(self) -> None:
        """
        Read from the replicated state which parts are quarantined, and how many trials were made.

        """
        if self.view.position == self.position:
            return
        self.position = self.view.position
        now = self.env.monotonic()
        earlier = self.made
        self.made = {}
        self.listing.refresh()
        for fingerprint in self.listing.epochs:
            number = self._count_made(fingerprint)
            known = earlier.get(fingerprint)
            if known is not None and known[0] == number:
                self.made[fingerprint] = known
                continue
            self.made[fingerprint] = (number, now)

    def _count_made(self, fingerprint: Fingerprint) -> int:
        stored = self.view.items.get(trial_key(fingerprint))
        return decode_versioned(stored.value).version if stored is not None else 0

    def is_due(self, parts: tuple[Fingerprint, ...]) -> bool:
        """
        Whether a prompt with these quarantined parts may be tried. The more there are, the longer
        the wait: a prompt with only one of them tells more.

        """
        self.refresh()
        now = self.env.monotonic()
        if now < self.claim_again_at:
            return False
        for part in parts:
            number, since = self.made.get(part, (len(TRIAL_WAITS_S), now))
            if number >= len(TRIAL_WAITS_S) or now - since < TRIAL_WAITS_S[number] * len(parts):
                return False
        return True

    async def claim(self, parts: tuple[Fingerprint, ...], request_id: RequestId) -> bool:
        """
        Claim a trial of these quarantined parts for one request. Returns whether the request may be
        sent, once.

        """
        if not self.is_due(parts):
            return False
        # Other requests at this entry don't wait for the outcome.
        self.claim_again_at = self.env.monotonic() + CLAIM_RETRY_S
        # `made` may change while the leader is called.
        numbers = {part: self.made[part][0] + 1 for part in parts}
        for part, number in numbers.items():
            if not await self._claim_one(part, number):
                return False
        self.claim_again_at = 0.0
        log.notice('Prompt sent on trial. id={} parts={}', request_id, ','.join(parts))
        return True

    async def _claim_one(self, part: Fingerprint, number: int) -> bool:
        result = await self.proposer.propose(Raise(trial_key(part), number, b''))
        return result is not None and msgspec.msgpack.decode(result, type=RaiseResult).raised
