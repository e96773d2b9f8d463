"""
What a request says, told from others without its text.

Callers that try again come with a new request id and to any entry; path, caller and body
stay. They are hashed with the fleet's key, as bodies are private: neither state nor logs
hold them, and who reads either can't try out guesses without the key.

"""

import hashlib
from collections.abc import Callable
from typing import Final

from millfork_core.ids import Fingerprint
from millfork_web.models import Request
from millforkd.proxy.job import Job

DIGEST_BYTES: Final = 16


class Fingerprints:
    """
    The fingerprints of one fleet; all entries of a cluster make the same.

    """

    def __init__(self, key: bytes, cluster: Callable[[], str]) -> None:
        self.key = key
        self.cluster = cluster

    def of(self, job: Job) -> Fingerprint:
        """
        The fingerprint of a job's request; made once, as a body may be long.

        """
        if job.fingerprint is None:
            caller = job.organisation.name if job.organisation is not None else job.caller.key
            job.fingerprint = self.of_request(job.exchange.request, caller)
        return job.fingerprint

    def of_request(self, request: Request, caller: str) -> Fingerprint:
        """
        The fingerprint of a request of one caller.

        """
        key = hashlib.sha256(self.key + self.cluster().encode()).digest()
        made = hashlib.blake2b(digest_size=DIGEST_BYTES, key=key)
        for part in (caller.encode(), request.method.encode(), request.path.encode()):
            # Lengths keep what ends one part from beginning the next.
            made.update(len(part).to_bytes(4, 'big'))
            made.update(part)
        made.update(request.body)
        return Fingerprint(made.hexdigest())
