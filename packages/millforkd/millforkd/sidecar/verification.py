"""
Verifies received pieces by their digests before they are stored, and reads lists of digests.

"""

from collections.abc import Awaitable, Callable

import msgspec

from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_wire.messages import Manifest, Message
from millforkd.sidecar.digest_checks import PieceSource
from millforkd.sidecar.pieces import PieceSet, WeightsId, decode_digests

# Requests the list of digests from the sender of a piece; returns an empty list if none arrived.
RequestDigests = Callable[[], Awaitable[tuple[str, ...]]]

log = logger(Component.WEIGHTS)


def read_digests(reply: Message | None, weights: WeightsId, sender: str) -> tuple[str, ...]:
    """
    The digests in the answer of a cache or peer; empty if there are none in it.

    """
    if not isinstance(reply, Manifest) or not reply.found:
        return ()
    try:
        return decode_digests(reply.body)
    except msgspec.DecodeError as error:
        log.warning('The digests of {} from {} could not be parsed: {}.', weights, sender, error)
        return ()


async def store_if_valid(
    env: Environment,
    held: PieceSet,
    index: int,
    data: bytes,
    source: PieceSource,
    sender: str,
    request_digests: RequestDigests,
) -> bool:
    """
    Store a received piece in `held` if it matches its digest, and count the piece in the metrics;
    False if the piece is corrupt. If the digest may be the one that is wrong, the list of digests
    is requested again first. `sender` is the name of the sender, for the log.

    """
    is_valid = await held.put(index, data)
    if not is_valid and await _correct_digest(env, held, index, source, sender, request_digests):
        is_valid = await held.put(index, data)
    if not is_valid:
        log.warning(
            'Piece {} of {} from {} does not match its digest.', index, held.weights, sender
        )
        env.metrics.count(env.metrics.chunks, source=source.value, outcome='corrupt')
        return False
    env.metrics.count(env.metrics.chunks, source=source.value, outcome='good')
    env.metrics.count(env.metrics.chunk_bytes, len(data), source=source.value)
    return True


async def _correct_digest(
    env: Environment,
    held: PieceSet,
    index: int,
    source: PieceSource,
    sender: str,
    request_digests: RequestDigests,
) -> bool:
    checks = held.digest_checks
    if not checks.is_doubtful(index, source) or not checks.may_ask(env.monotonic()):
        return False
    # Other pieces that arrive meanwhile don't cause further requests.
    checks.ask_again_at = float('inf')
    digests: tuple[str, ...] = ()
    try:
        digests = await request_digests()
    finally:
        corrected = held.correct_digests(digests)
        checks.record_list(bool(corrected), env.monotonic())
    log.warning(
        'Digests of {} requested again from {}, as piece {} does not match. listed={} corrected={}',
        held.weights,
        sender,
        index,
        len(digests),
        ','.join(map(str, corrected)) or 'none',
    )
    return index in corrected
