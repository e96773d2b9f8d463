"""
Fingerprints identify requests by their content, without storing the content.

A caller that retries uses a new request id, and maybe another entry (front proxy), but the same
path and body. The path and body are hashed with the fleet's key, as bodies are private: state and
logs hold only the hash, and without the key nobody can check a guessed body against the hash.

"""

import hashlib
from collections.abc import Iterable
from typing import Final

from millfork_core.ids import Fingerprint

DIGEST_BYTES: Final = 16


def fingerprint_of(key: bytes, cluster: str, parts: Iterable[str], body: bytes) -> Fingerprint:
    """
    Return the keyed hash, in hex, of the parts (such as the caller and the path) and the body of a
    request. All entries of a cluster (the processes that share one replicated state) compute the
    same hash.

    """
    hash_key = hashlib.sha256(key + cluster.encode()).digest()
    keyed_hash = hashlib.blake2b(digest_size=DIGEST_BYTES, key=hash_key)
    for part in parts:
        # The lengths make ('ab', 'c') and ('a', 'bc') hash differently.
        keyed_hash.update(len(part.encode()).to_bytes(4, 'big'))
        keyed_hash.update(part.encode())
    keyed_hash.update(body)
    return Fingerprint(keyed_hash.hexdigest())
