"""
Writes pieces to the engine's staging area and reads them back.

The engine stores whatever it is given, may answer a write that stored nothing, and may carry out an
unanswered write later. A staged piece may also turn bad at any time. So only a piece that was read
back intact is known to be staged, and only as of the moment at which the read began.

"""

from typing import Final

from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millforkd.sidecar.engine import LocalEngine
from millforkd.sidecar.layer_assignment import layers_with_piece
from millforkd.sidecar.loaded_layers import LoadedLayers
from millforkd.sidecar.pieces import PieceSet, WeightsId
from millforkd.sidecar.target import Target

# A piece is written at most this many times in a row if it can't be read back intact.
MAX_WRITES: Final = 2
# A write that was not accepted is carried out within this many seconds, or never. Sound engines
# pause for up to two seconds.
MAX_WRITE_DELAY_S: Final = 10.0

log = logger(Component.WEIGHTS)


class StagingArea:
    """
    The staging area of one engine, which has one piece for each index.

    """

    def __init__(self, env: Environment, engine: LocalEngine, loaded: LoadedLayers) -> None:
        self.env = env
        self.engine = engine
        self.loaded = loaded
        # By index: the version of the piece that was written last, or found to be staged.
        self.written: dict[int, WeightsId] = {}
        # When these pieces were written or found, in monotonic seconds.
        self.written_at: dict[int, float] = {}
        # By index: when a write of the piece was last not accepted, in monotonic seconds.
        self.failed_at: dict[int, float] = {}

    def reset(self) -> None:
        """
        Forget which pieces are staged, as the engine has restarted.

        """
        self.written.clear()
        self.written_at.clear()
        self.failed_at.clear()

    async def prove_layer(self, target: Target, held: PieceSet, number: int) -> float | None:
        """
        Stage the pieces of one layer of the target and read them back. Returns the last time
        (monotonic seconds) at which all of them are known to have been staged; None if one of them
        can't be staged.

        """
        oldest = float('inf')
        for index in target.pieces_of(number):
            read_at = await self._prove_piece(target, held, index)
            if read_at is None:
                return None
            oldest = min(oldest, read_at)
        return oldest

    async def _prove_piece(self, target: Target, held: PieceSet, index: int) -> float | None:
        for _ in range(MAX_WRITES):
            if not await self.write(target, held, index):
                return None
            read_at = self.env.monotonic()
            if await self.is_intact(held, index):
                return read_at
            self.written.pop(index, None)
        return None

    async def write(self, target: Target, held: PieceSet, index: int) -> bool:
        """
        Stage a piece of the target, unless it was written already; False if it is not held, or the
        engine did not accept it.

        """
        if self.written.get(index) == target.weights:
            return True
        if index not in held.pieces:
            log.warning('Piece {} of {} is to be staged, but not held.', index, held.weights)
            return False
        self.loaded.record_write(layers_with_piece(index, target.layers, target.pieces))
        if not await self.engine.stage(held.weights.model, index, held.pieces[index]):
            self.failed_at[index] = self.env.monotonic()
            return False
        self.record_staged(held.weights, index)
        return True

    def record_staged(self, weights: WeightsId, index: int) -> None:
        """
        Record that a piece was written, or found to be staged.

        """
        self.written[index] = weights
        self.written_at[index] = self.env.monotonic()

    def is_settled(self, index: int) -> bool:
        """
        Whether no write of this piece that was not accepted may be carried out yet, or may just
        have been.

        """
        failed_at = self.failed_at.get(index, float('-inf'))
        return self.env.monotonic() - failed_at > MAX_WRITE_DELAY_S

    def holds_other(self, weights: WeightsId) -> bool:
        """
        Whether pieces of another version than this one have been written.

        """
        return any(written != weights for written in self.written.values())

    async def is_intact(self, held: PieceSet, index: int) -> bool:
        """
        Whether a piece can be read back as it was written.

        """
        data = await self.engine.read_staged(held.weights.model, index)
        intact = data is not None and held.is_piece(index, data)
        outcome = 'intact' if intact else 'missing' if data is None else 'corrupt'
        self.env.metrics.count(self.env.metrics.staged_pieces, outcome=outcome)
        if not intact:
            written_at = self.written_at.get(index, float('-inf'))
            log.warning(
                'Staged piece {} of {} is {}. written={} written_s={:.2f}',
                index,
                held.weights,
                outcome,
                self.written.get(index, ''),
                self.env.monotonic() - written_at,
            )
        return intact
