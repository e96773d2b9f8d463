"""
Computes the fingerprints of requests in seeded fleets: keyed hashes of the caller and the content.

"""

from collections.abc import Callable

from millfork_core.ids import Fingerprint
from millfork_web.models import Request
from millforkd.fingerprints import fingerprint_of
from millforkd.proxy.job import Job


class Fingerprints:
    """
    Computes fingerprints with the key of a fleet. All entries of a cluster compute the same
    fingerprint for a request.

    """

    def __init__(self, key: bytes, cluster: Callable[[], str]) -> None:
        self.key = key
        self.cluster = cluster

    def compute(self, job: Job) -> Fingerprint:
        """
        The fingerprint of a job's request; stored in the job, as hashing a long body takes time.

        """
        if job.fingerprint is None:
            caller = job.organisation.name if job.organisation is not None else job.caller.key
            job.fingerprint = self.for_request(job.exchange.request, caller)
        return job.fingerprint

    def for_request(self, request: Request, caller: str) -> Fingerprint:
        """
        The fingerprint of a request; `caller` is the caller's organisation or API key.

        """
        return fingerprint_of(
            self.key, self.cluster(), (caller, request.method, request.path), request.body
        )
