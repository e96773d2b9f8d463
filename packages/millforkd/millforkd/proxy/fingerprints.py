"""
The fingerprints of requests of seeded fleets.

"""

from collections.abc import Callable

from millfork_core.ids import Fingerprint
from millfork_web.models import Request
from millforkd.fingerprints import fingerprint_of
from millforkd.proxy.job import Job


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
        return fingerprint_of(
            self.key, self.cluster(), (caller, request.method, request.path), request.body
        )
