"""
Stable pseudo-random ranks (rendezvous hashing), the same on every instance.

"""

import xxhash


def rank(seed: str, name: str) -> int:
    """
    The rank of `name` under `seed`.

    """
    return xxhash.xxh3_64_intdigest(f'{seed}/{name}'.encode())
