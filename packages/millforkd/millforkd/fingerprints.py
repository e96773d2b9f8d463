"""
What a request says, told from others without its text.

Callers that try again come with a new request id and to any entry; path, caller and body
stay. They are hashed with the fleet's key, as bodies are private: neither state nor logs
hold them, and who reads either can't try out guesses without the key.

"""

import hashlib
from collections.abc import Iterable
from typing import Final

from millfork_core.ids import Fingerprint

DIGEST_BYTES: Final = 16


def fingerprint_of(key: bytes, cluster: str, parts: Iterable[str], body: bytes) -> Fingerprint:
    """
    The keyed hash of what a request consists of; all entries of a cluster make the same.

    """
    hash_key = hashlib.sha256(key + cluster.encode()).digest()
    made = hashlib.blake2b(digest_size=DIGEST_BYTES, key=hash_key)
    for part in parts:
        # Lengths keep what ends one part from beginning the next.
        made.update(len(part.encode()).to_bytes(4, 'big'))
        made.update(part.encode())
    made.update(body)
    return Fingerprint(made.hexdigest())
