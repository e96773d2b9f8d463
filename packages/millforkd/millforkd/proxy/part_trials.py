"""
Trials of quarantined parts of prompts.

A part may be quarantined although it crashes nothing: it only ran beside a crashing one while many
back ends ended. Only a complete answer can clear the part, so a prompt with the part is sent now
and then. All entries (front proxies) together make one trial at a time and only a few at all: each
trial is claimed in the replicated state, where it outlives the entries and replicas.

A trial of several quarantined parts that ends a back end doesn't tell which of them did. The state
therefore lists the parts that were tried together: a prompt with only some of them may be tried
soon, and one with all of them would tell nothing new.

"""

from dataclasses import dataclass
from typing import Final

import msgspec

from millfork_core.environment import Environment
from millfork_core.ids import ClusterId, Fingerprint, RequestId, Revision
from millfork_core.logs import Component, logger
from millfork_registry.discovery import Discovery
from millfork_state.commands import (
    Apply,
    ApplyResult,
    Change,
    Versioned,
    decode_versioned,
    encode_versioned,
    new_command_id,
)
from millfork_state.keys import trial_key
from millfork_wire.peers import Peers
from millforkd.proposer import Proposer
from millforkd.quarantine import QuarantineListing

# The most trials of a part until it leaves the quarantine because of its age.
MAX_TRIALS: Final = 2
# How long a part is quarantined before its first trial.
FIRST_TRIAL_WAIT_S: Final = 10.0
# The wait from a trial of several parts to one of only some of them.
NARROWER_TRIAL_WAIT_S: Final = 10.0
# The wait from a trial to one of the same parts: the first may have met an end of another cause.
REPEATED_TRIAL_WAIT_S: Final = 300.0
# Timeout of one call to claim a trial. The request waits for the claim, of at most two calls.
CLAIM_TIMEOUT_S: Final = 0.3
# The wait after a claim that failed.
CLAIM_RETRY_S: Final = 2.0

log = logger(Component.PROXY)


@dataclass(frozen=True, slots=True)
class TrialsOfPart:
    """
    The trials of one quarantined part: the number of them, and the parts that were tried together
    in each. Trials that an earlier version of the software claimed are only counted.

    """

    number: int
    tried: tuple[frozenset[Fingerprint], ...]
    # Since when this entry knows that number (monotonic seconds).
    since: float
    # The revision of the view from which the trials were read.
    revision: Revision

    def encode_next(self, parts: tuple[Fingerprint, ...]) -> bytes:
        """
        The value for the replicated state after one more trial, of these parts together.

        """
        tried = [*map(sorted, self.tried), sorted(parts)]
        return encode_versioned(Versioned(self.number + 1, msgspec.msgpack.encode(tried)))


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
        # By quarantined part: the trials made.
        self.made: dict[Fingerprint, TrialsOfPart] = {}
        self.claim_again_at = 0.0
        # The position of the view from which `made` was read.
        self.position: tuple[ClusterId, Revision] | None = None

    def refresh(self) -> None:
        """
        Read from the replicated state which parts are quarantined, and which trials were made.

        """
        if self.view.position == self.position:
            return
        self.position = self.view.position
        earlier = self.made
        self.made = {}
        self.listing.refresh()
        for fingerprint in self.listing.epochs:
            self.made[fingerprint] = self._read(fingerprint, earlier.get(fingerprint))

    def _read(self, fingerprint: Fingerprint, known: TrialsOfPart | None) -> TrialsOfPart:
        stored = self.view.items.get(trial_key(fingerprint))
        record = decode_versioned(stored.value) if stored is not None else Versioned(0, b'')
        now = self.env.monotonic()
        since = known.since if known is not None and known.number == record.version else now
        return TrialsOfPart(record.version, _decode_tried(record.body), since, self.view.revision)

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
            made = self.made.get(part)
            if made is None or made.number >= MAX_TRIALS:
                return False
            if now - made.since < _wait_s(made, frozenset(parts)):
                return False
        return True

    async def claim(self, parts: tuple[Fingerprint, ...], request_id: RequestId) -> bool:
        """
        Claim a trial of these quarantined parts together for one request: either of all of them or
        of none. Returns whether the request may be sent, once.

        """
        if not self.is_due(parts):
            return False
        # Other requests at this entry don't wait for the outcome.
        self.claim_again_at = self.env.monotonic() + CLAIM_RETRY_S
        changes = []
        for part in parts:
            made = self.made[part]
            # A later claim of another entry is a conflict.
            changes.append(Change(trial_key(part), made.encode_next(parts), made.revision))
        command_id = new_command_id(self.env.random)
        result = await self.proposer.propose(Apply(command_id, changes))
        if result is None or not msgspec.msgpack.decode(result, type=ApplyResult).ok:
            return False
        self.claim_again_at = 0.0
        log.notice('Prompt sent on trial. id={} parts={}', request_id, ','.join(parts))
        return True


def _wait_s(made: TrialsOfPart, parts: frozenset[Fingerprint]) -> float:
    """
    The wait of one part, since its last trial or since it was quarantined, before a trial of these
    parts together. It is long if a trial of some or all of them has ended a back end already, and
    short if one of these and further parts has.

    """
    has_unknown = made.number > len(made.tried)
    if has_unknown or any(tried <= parts for tried in made.tried):
        return REPEATED_TRIAL_WAIT_S * len(parts)
    if any(parts < tried for tried in made.tried):
        return NARROWER_TRIAL_WAIT_S
    return FIRST_TRIAL_WAIT_S * len(parts)


def _decode_tried(body: bytes) -> tuple[frozenset[Fingerprint], ...]:
    if not body:
        return ()
    try:
        tried = msgspec.msgpack.decode(body, type=list[list[str]])
    except msgspec.DecodeError as error:
        log.error('The trials of a part cannot be read: {}.', error)
        return ()
    return tuple(frozenset(map(Fingerprint, parts)) for parts in tried)
