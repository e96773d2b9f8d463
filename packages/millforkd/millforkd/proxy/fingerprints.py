"""
Computes the fingerprints of requests in seeded fleets (keyed hashes of the caller and the content),
and those of the parts of their prompts.

"""

from collections.abc import Callable
from typing import Final

from millfork_adapter.exchange import CallerRequest
from millfork_core.ids import Fingerprint
from millfork_web.models import Request
from millforkd.fingerprints import fingerprint_of
from millforkd.proxy.job import Job

# The greatest number of parts of a prompt that get fingerprints; later parts are ignored. Hashing
# this many takes 0.2 ms.
MAX_PARTS: Final = 32


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

    def compute_parts(self, job: Job) -> tuple[Fingerprint, ...]:
        """
        The fingerprints of the parts of a job's prompt, in order and without the last part, which
        belongs to this request or its session; stored in the job.

        """
        if job.part_fingerprints is None:
            job.part_fingerprints = self.for_shared_parts(job.requirements.service, job.caller)
        return job.part_fingerprints

    def for_shared_parts(self, service: str, caller: CallerRequest) -> tuple[Fingerprint, ...]:
        """
        The fingerprints of the parts of a request's prompt, in order and without the last part.

        """
        shared = [name for name, _ in caller.prefix_parts[:-1]]
        return tuple(
            self.for_part(service, caller.model, name) for name in dict.fromkeys(shared[:MAX_PARTS])
        )

    def for_part(self, service: str, model: str, part: str) -> Fingerprint:
        """
        The fingerprint of a part of prompts. It is the same for all callers, routes and versions of
        the weights, but not for another service or model, which may be able to answer the part.

        """
        return fingerprint_of(self.key, self.cluster(), ('part', service, model, part), b'')
