"""
A directory of requests that were turned away, distributed over the entries of a zone.

Callers that were turned away retry at any entry of their zone. Each request that was turned away
is recorded at its owner: one of the few entries that all entries of the zone know of, chosen by
the request's fingerprint. An entry doesn't wait for the owner to record a request, and queries the
owner only where the answer decides whether a request is sent. If the answer doesn't arrive in time,
the request counts as a first try.

"""

from collections.abc import Callable
from typing import Final

from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_core.ranks import rank
from millfork_scheduling.turned_away import TurnedAwayRequests
from millfork_wire.connection import PeerLost
from millfork_wire.messages import (
    AskTurnedAway,
    CacheAddress,
    NoteTurnedAway,
    TurnedAwayBefore,
)
from millfork_wire.peers import Peers
from millforkd.proxy.fingerprints import Fingerprints
from millforkd.proxy.job import Job
from millforkd.proxy.peer_queries import PeerQueries

# The timeout of a query to an owner. A round trip within a zone takes 1 ms to 3 ms, and the timeout
# is a twentieth of the shortest target times to the first token.
QUERY_TIMEOUT_S: Final = 0.02
# The directory identifies a request by this many leading bytes of the fingerprint: enough to
# distinguish the requests of several seconds.
FINGERPRINT_PREFIX_BYTES: Final = 8

log = logger(Component.PROXY)


class TurnedAwayDirectory:
    """
    Records and looks up requests that entries of this zone turned away.

    """

    def __init__(
        self,
        env: Environment,
        peers: Peers,
        list_entries: Callable[[], list[CacheAddress]],
        fingerprints: Fingerprints,
    ) -> None:
        self.env = env
        # Returns, for each zone, the few entries that all entries of the zone know of.
        self.list_entries = list_entries
        self.fingerprints = fingerprints
        self.requests = TurnedAwayRequests()
        self.queries = PeerQueries(env, peers, 'first_try_unknown')

    async def record(self, job: Job) -> None:
        """
        Record that a job was turned away, at the owner of the request; doesn't wait for the owner.

        """
        now = self.env.monotonic()
        elapsed_ms = job.elapsed_ms + int((now - job.received_at) * 1000)
        message = NoteTurnedAway(self._short_fingerprint(job), elapsed_ms)
        owner = self._owner_of(message.fingerprint)
        if owner == str(self.env.instance):
            self.on_note(message)
            return
        await self.env.spawn(self._notify, owner, message)

    async def elapsed_ms(self, job: Job) -> int:
        """
        Milliseconds since a job's first try; 0 if this is the first try or the time is unknown.

        """
        fingerprint = self._short_fingerprint(job)
        owner = self._owner_of(fingerprint)
        if owner == str(self.env.instance):
            return self.requests.elapsed_ms(fingerprint, self.env.monotonic()) or 0
        return await self._ask(owner, AskTurnedAway(fingerprint))

    def on_note(self, message: NoteTurnedAway) -> None:
        """
        As the owner of a request, record that an entry of this zone turned the request away.

        """
        self.requests.record(message.fingerprint, message.elapsed_ms, self.env.monotonic())

    def on_ask(self, message: AskTurnedAway) -> TurnedAwayBefore:
        """
        As the owner of a request, tell another entry whether the request was turned away recently,
        and how long ago the first try was.

        """
        elapsed_ms = self.requests.elapsed_ms(message.fingerprint, self.env.monotonic())
        return TurnedAwayBefore(elapsed_ms is not None, elapsed_ms or 0)

    def _short_fingerprint(self, job: Job) -> bytes:
        return bytes.fromhex(self.fingerprints.compute(job))[:FINGERPRINT_PREFIX_BYTES]

    def _owner_of(self, fingerprint: bytes) -> str:
        """
        The instance of the entry that records the requests with this fingerprint. All entries of a
        zone choose the same owner, except for entries that found that owner silent recently. This
        entry is chosen if no candidate is left.

        """
        zone = str(self.env.zone)
        names = [
            entry.instance
            for entry in self.list_entries()
            if entry.zone == zone and not self.queries.silent.is_silent(entry.instance)
        ]
        key = fingerprint.hex()
        return max(names, key=lambda name: rank(key, name), default=str(self.env.instance))

    async def _ask(self, owner: str, message: AskTurnedAway) -> int:
        connection = await self.queries.get_open_connection(owner)
        if connection is None:
            return 0
        reply = await self.queries.ask(owner, connection, message, QUERY_TIMEOUT_S)
        if not isinstance(reply, TurnedAwayBefore) or not reply.found:
            return 0
        return reply.elapsed_ms

    async def _notify(self, owner: str, message: NoteTurnedAway) -> None:
        connection = await self.queries.connect(owner)
        if connection is None:
            return
        try:
            await connection.notify(message)
        except PeerLost as error:
            log.info(
                'A turned-away request was not recorded at its owner. to={} why={}', owner, error
            )
