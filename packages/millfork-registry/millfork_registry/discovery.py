"""
Discovery of the replicas by a process that has no list of them.

The process asks its seeds, which are a few replica addresses in its settings. Each replica that
answers lists the replicas that it knows. A seed may be wrong, slow or gone.

"""

from dataclasses import dataclass
from typing import Final

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId
from millfork_core.logs import Component, logger
from millfork_core.ranks import rank
from millfork_wire.connection import PeerError
from millfork_wire.messages import CacheAddress, FindReplicas, Replicas
from millfork_wire.peers import PeerAddress, Peers

# Timeout of one query to a replica.
QUERY_TIMEOUT_S: Final = 0.6
# A replica that fails to answer, and last answered longer ago than this, is removed from the known
# replicas, as it may have been replaced. Seeds are never removed.
UNANSWERED_RETENTION_S: Final = 30.0

log = logger(Component.REGISTRY)


def address_of(instance: str) -> PeerAddress:
    """
    Parse an instance's id, which is `HOST:PORT`, the address at which the instance listens for
    peers.

    :raises ValueError: if the id has another form.

    """
    host, _, port = instance.rpartition(':')
    if not host:
        raise ValueError(f'instance id {instance!r} is not of the form HOST:PORT')
    return PeerAddress(InstanceId(instance), host, int(port))


@dataclass(slots=True)
class KnownReplica:
    """
    A replica's address, its last answer, and when that answer arrived (monotonic seconds).

    Until the first answer, `answered_at` is the time when the replica became known.

    """

    address: PeerAddress
    answered_at: float
    answer: Replicas | None = None

    @property
    def zone(self) -> str:
        return self.answer.zone if self.answer is not None else ''


class Discovery:
    """
    The replicas known to this process, and their latest answers.

    """

    def __init__(self, env: Environment, peers: Peers, seeds: list[str]) -> None:
        self.env = env
        self.peers = peers
        self.seeds: list[PeerAddress] = []
        self.known: dict[InstanceId, KnownReplica] = {}
        self.set_seeds(seeds)

    def set_seeds(self, seeds: list[str]) -> None:
        """
        Replace the seeds. Replicas that were seeds before stay known while they answer.

        """
        self.seeds = [address_of(seed) for seed in seeds if seed != self.env.instance]
        for address in self.seeds:
            self.add_replica(address.instance)

    def add_replica(self, instance: str) -> None:
        """
        Add a replica by its id, if it isn't known yet. An id that is not of the form `HOST:PORT`
        is logged and ignored.

        """
        if instance == self.env.instance or InstanceId(instance) in self.known:
            return
        try:
            address = address_of(instance)
        except ValueError as error:
            log.warning('Ignored the id of a replica: {}.', error)
            return
        self.known[address.instance] = KnownReplica(address, self.env.monotonic())

    def addresses(self) -> list[PeerAddress]:
        """
        Return the known replicas, the preferred ones first. Replicas known to be in this
        process's zone come before all others, because traffic between zones costs money. Within
        each group, the order differs from process to process, which distributes the load.

        """
        own = str(self.env.instance)
        zone = str(self.env.zone)
        found = sorted(
            self.known.values(),
            key=lambda known: (known.zone != zone, rank(own, known.address.instance)),
        )
        return [known.address for known in found]

    def zone_of(self, instance: str) -> str:
        """
        Return the zone of a replica; empty if the replica is unknown or has not answered yet.

        """
        known = self.known.get(InstanceId(instance))
        return known.zone if known is not None else ''

    def answered_within(self, within_s: float) -> list[str]:
        """
        Return the ids of the replicas that answered within the last `within_s` seconds.

        """
        return [str(instance) for instance in self._answers(within_s)]

    def _answers(self, within_s: float) -> dict[InstanceId, Replicas]:
        now = self.env.monotonic()
        return {
            instance: known.answer
            for instance, known in self.known.items()
            if known.answer is not None and now - known.answered_at < within_s
        }

    def caches(self) -> list[CacheAddress]:
        """
        Return the caches of weights listed in the latest answer that any replica gave; empty
        before the first answer.

        """
        answered = [known for known in self.known.values() if known.answer is not None]
        latest = max(answered, key=lambda known: known.answered_at, default=None)
        return latest.answer.caches if latest is not None and latest.answer is not None else []

    def caches_listed_within(self, within_s: float) -> list[CacheAddress]:
        """
        Return the caches listed by the replicas that answered within the last `within_s` seconds.

        """
        return [cache for answer in self._answers(within_s).values() for cache in answer.caches]

    async def ask(self, address: PeerAddress, question: FindReplicas) -> Replicas | None:
        """
        Ask a replica which replicas it knows, record the answer and add the replicas listed in
        it. Returns None if there is no valid answer. A replica that fails to answer, and last
        answered more than `UNANSWERED_RETENTION_S` ago, is removed unless it is a seed.

        """
        try:
            reply = await self.peers.call(address, question, QUERY_TIMEOUT_S)
        except PeerError as error:
            log.debug('No answer from replica {}: {}.', address.instance, error)
            self._remove_if_silent(address.instance)
            return None
        if not isinstance(reply, Replicas):
            return None
        self.add_replica(str(address.instance))
        known = self.known[address.instance]
        known.answered_at = self.env.monotonic()
        known.answer = reply
        for instance in reply.known:
            self.add_replica(instance)
        return reply

    def _remove_if_silent(self, instance: InstanceId) -> None:
        known = self.known.get(instance)
        if known is None or known.address in self.seeds:
            return
        if self.env.monotonic() - known.answered_at > UNANSWERED_RETENTION_S:
            del self.known[instance]
            log.info('Removed replica {}, which no longer answers.', instance)
