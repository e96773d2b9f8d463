"""
Verifies received pieces by their digests before they are stored.

"""

from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millforkd.sidecar.pieces import PieceSet

log = logger(Component.WEIGHTS)


async def store_if_valid(
    env: Environment, held: PieceSet, index: int, data: bytes, source: str, sender: str
) -> bool:
    """
    Store a received piece in `held` if it matches its digest, and count the piece in the metrics;
    False if the piece is corrupt. `source` is the kind of sender, a label of the metrics;
    `sender` is the name of the sender, for the log.

    """
    if not await held.put(index, data):
        log.warning(
            'Piece {} of {} from {} does not match its digest.', index, held.weights, sender
        )
        env.metrics.count(env.metrics.chunks, source=source, outcome='corrupt')
        return False
    env.metrics.count(env.metrics.chunks, source=source, outcome='good')
    env.metrics.count(env.metrics.chunk_bytes, len(data), source=source)
    return True
