"""
Made-up weights, the same for the same seed.

"""

import random

from millfork_standins.settings import VersionSettings
from millfork_weights.manifest import digest_of


def make_weights(spec: VersionSettings, base: bytes = b'', chunk_bytes: int = 1) -> bytes:
    """
    The bytes of a version; its first chunks are those of `base`.

    """
    fresh = random.Random(f'{spec.name}/{spec.version}/{spec.seed}').randbytes(spec.size)
    if not base:
        return fresh
    kept = int(len(base) * spec.kept) // chunk_bytes * chunk_bytes
    return base[:kept] + fresh[kept:]


def weights_key(wholes: list[str]) -> str:
    """
    One key for a set of weights, made of the digests of its parts.

    """
    return digest_of('+'.join(wholes).encode())


def token(key: str, prompt: str, position: int) -> str:
    """
    The token that weights with this key generate at a position.

    """
    return digest_of(f'{key}|{prompt}|{position}'.encode())[:8]


def answer_text(key: str, prompt: str, count: int) -> str:
    return ' '.join(token(key, prompt, position) for position in range(count))
