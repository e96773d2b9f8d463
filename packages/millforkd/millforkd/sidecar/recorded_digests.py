"""
Keeps the digests of pieces in the replicated state.

After a restart of all processes, a daemon can tell only by digests whether the layers that its
engine holds were loaded from good pieces, and the origin may be away then. A digest is recorded
once a piece has matched it, so a corrupt list of the origin is not recorded.

"""

from typing import Final

import curio
import msgspec

from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_state.commands import Raise, RaiseResult, decode_versioned
from millfork_state.keys import digests_key
from millfork_state.view import View
from millforkd.digest_keys import KEPT_VERSIONS, digest_keys_by_model
from millforkd.proposer import Proposer
from millforkd.sidecar.pieces import (
    PieceSet,
    PieceStore,
    WeightsId,
    decode_digests,
    encode_digests,
)

# The mean time between two checks for digests to record. It varies, so that of the daemons that
# receive the last pieces of a version at the same time the first one records the digests for all.
CHECK_PERIOD_S: Final = 1.0

log = logger(Component.WEIGHTS)


class RecordedDigests:
    """
    The digests in the replicated state, as this process knows it.

    """

    def __init__(self, view: View) -> None:
        self.view = view

    def find(self, weights: WeightsId) -> tuple[str, ...]:
        """
        The digests of all pieces of a version, in hex; an empty text stands for each one that is
        not recorded. Empty if none is.

        """
        stored = self.view.items.get(digests_key(str(weights)))
        if stored is None:
            return ()
        try:
            return decode_digests(decode_versioned(stored.value).body)
        except msgspec.DecodeError as error:
            log.error('The recorded digests of {} cannot be read: {}.', weights, error)
            return ()

    def find_all(self, weights: WeightsId) -> tuple[str, ...]:
        """
        The digests of all pieces of a version, in hex; empty unless all are recorded.

        """
        digests = self.find(weights)
        return digests if all(digests) else ()

    def versions(self, model: str) -> list[int]:
        """
        The versions of a model of which digests are recorded, oldest first.

        """
        return sorted(digest_keys_by_model(self.view).get(model, ()))


class DigestRecorder:
    """
    Records the digests that the pieces of an endpoint daemon match.

    """

    def __init__(
        self, env: Environment, recorded: RecordedDigests, store: PieceStore, proposer: Proposer
    ) -> None:
        self.env = env
        self.recorded = recorded
        self.store = store
        self.proposer = proposer
        # The number of pieces of each version at the last check.
        self.counts: dict[WeightsId, int] = {}

    async def run(self) -> None:
        """
        Task that records digests which the replicated state lacks.

        """
        while True:
            await curio.sleep(CHECK_PERIOD_S * (0.5 + self.env.random.random()))
            earlier = self.counts
            self.counts = {held.weights: len(held.pieces) for held in self.store.sets.values()}
            for held in list(self.store.sets.values()):
                # While pieces arrive, each of them would cost a command.
                if held.whole or len(held.pieces) == earlier.get(held.weights, 0):
                    await self.record(held)

    async def record(self, held: PieceSet) -> None:
        """
        Add the digests of the held pieces to those that are recorded. Recorded ones are kept. Two
        daemons that add different digests at the same time may have to do so again.

        """
        recorded = self.recorded.find(held.weights)
        known = held.proven_digests()
        if recorded and len(recorded) != len(known):
            return
        merged = tuple(
            old or new for old, new in zip(recorded or ('',) * len(known), known, strict=True)
        )
        if not any(merged) or merged == recorded or self._is_old(held.weights):
            return
        count = sum(map(bool, merged))
        # Only a greater number of digests replaces the recorded ones.
        command = Raise(digests_key(str(held.weights)), count, encode_digests(merged))
        result = await self.proposer.propose(command)
        if result is not None and msgspec.msgpack.decode(result, type=RaiseResult).raised:
            log.info(
                'Digests recorded. weights={} digests={} of={}', held.weights, count, len(merged)
            )

    def _is_old(self, weights: WeightsId) -> bool:
        """
        Whether the replicated state keeps the digests of newer versions only.

        """
        newer = [
            version
            for version in self.recorded.versions(weights.model)
            if version > weights.version
        ]
        return len(newer) >= KEPT_VERSIONS
