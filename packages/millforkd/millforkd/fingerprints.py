"""
Fingerprints identify requests by their content, without storing the content.

A caller that retries uses a new request id and any entry, but the same path and body. These are
hashed with the fleet's key, as bodies are private: state and logs hold only the hash, and
a guess can't be checked against the hash without the key.

"""

import hashlib
from collections.abc import Iterable
from typing import Final

from millfork_core.ids import Fingerprint

DIGEST_BYTES: Final = 16


def fingerprint_of(key: bytes, cluster: str, parts: Iterable[str], body: bytes) -> Fingerprint:
    """
    The keyed hash of the parts and the body of a request; all entries of a cluster compute the
    same one.

    """
    hash_key = hashlib.sha256(key + cluster.encode()).digest()
    keyed_hash = hashlib.blake2b(digest_size=DIGEST_BYTES, key=hash_key)
    for part in parts:
        # The lengths distinguish different splits of one text into parts.
        keyed_hash.update(len(part.encode()).to_bytes(4, 'big'))
        keyed_hash.update(part.encode())
    keyed_hash.update(body)
    return Fingerprint(keyed_hash.hexdigest())
