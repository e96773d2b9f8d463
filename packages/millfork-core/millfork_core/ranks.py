"""
Stable pseudo-random ranks (rendezvous hashing), the same on every instance.

"""

import xxhash


def rank(seed: str, name: str) -> int:
    """
    Return the rank of `name` under `seed`: an unsigned 64-bit integer.

    """
    return xxhash.xxh3_64_intdigest(f'{seed}/{name}'.encode())
