"""
Generates weights from a seed, and computes tokens from weights.

"""

import random

from millfork_standins.settings import VersionSettings
from millfork_weights.manifest import digest_of


def make_weights(spec: VersionSettings, base: bytes = b'', chunk_bytes: int = 1) -> bytes:
    """
    Generate the bytes of a version. If `base` is given, the result begins with the share
    `spec.kept` of `base`, rounded down to whole chunks.

    """
    generated = random.Random(f'{spec.name}/{spec.version}/{spec.seed}').randbytes(spec.size)
    if not base:
        return generated
    base_bytes = int(len(base) * spec.kept) // chunk_bytes * chunk_bytes
    return base[:base_bytes] + generated[base_bytes:]


def weights_key(part_digests: list[str]) -> str:
    """
    Derive the key of a set of weights from the digests of its parts.

    """
    return digest_of('+'.join(part_digests).encode())


def token(key: str, prompt: str, position: int) -> str:
    """
    Return the token that weights with this key generate for a prompt at a position.

    """
    return digest_of(f'{key}|{prompt}|{position}'.encode())[:8]


def answer_text(key: str, prompt: str, count: int) -> str:
    return ' '.join(token(key, prompt, position) for position in range(count))
