"""
Asking whether a request was turned away before.

Callers come back to any entry of their zone. What was turned away is remembered by one of
the few entries that every entry of the zone is told of, chosen by what the request says:
told there without waiting, and asked there only where an answer decides whether the request
is sent. Without an answer in time it counts as a first try.

"""

from collections.abc import Callable
from typing import Final

from millfork_core.environment import Environment
from millfork_core.logs import Part, logger
from millfork_core.ranks import rank
from millfork_scheduling.turned_away import TurnedAway
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

# The way within a zone takes 1 ms to 3 ms there and back. A twentieth of the shortest aims.
ASK_TIMEOUT_S: Final = 0.02
# So many bytes of a fingerprint tell the requests of some seconds apart.
FINGERPRINT_PREFIX_BYTES: Final = 8

log = logger(Part.PROXY)


class TurnedAwayDirectory:
    """
    What this entry and the others of its zone remember of requests turned away.

    """

    def __init__(
        self,
        env: Environment,
        peers: Peers,
        list_entries: Callable[[], list[CacheAddress]],
        fingerprints: Fingerprints,
    ) -> None:
        self.env = env
        # The entries that others are told of.
        self.list_entries = list_entries
        self.fingerprints = fingerprints
        self.first_tries = TurnedAway()
        self.queries = PeerQueries(env, peers, 'first_try_unknown')

    async def note(self, job: Job) -> None:
        """
        Remember that a job was turned away; returns at once.

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
        Milliseconds since a job's first try; 0 if this is it, or nobody knows.

        """
        fingerprint = self._short_fingerprint(job)
        owner = self._owner_of(fingerprint)
        if owner == str(self.env.instance):
            return self.first_tries.elapsed_ms(fingerprint, self.env.monotonic()) or 0
        return await self._ask(owner, AskTurnedAway(fingerprint))

    def on_note(self, message: NoteTurnedAway) -> None:
        """
        Another entry turned a request away.

        """
        self.first_tries.note(message.fingerprint, message.elapsed_ms, self.env.monotonic())

    def on_ask(self, message: AskTurnedAway) -> TurnedAwayBefore:
        """
        Another entry asks whether a request was turned away.

        """
        elapsed_ms = self.first_tries.elapsed_ms(message.fingerprint, self.env.monotonic())
        return TurnedAwayBefore(elapsed_ms is not None, elapsed_ms or 0)

    def _short_fingerprint(self, job: Job) -> bytes:
        return bytes.fromhex(self.fingerprints.of(job))[:FINGERPRINT_PREFIX_BYTES]

    def _owner_of(self, fingerprint: bytes) -> str:
        """
        Who remembers a request: all entries of a zone find the same one.

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
        connection = await self.queries.open_connection(owner)
        if connection is None:
            return 0
        reply = await self.queries.ask(owner, connection, message, ASK_TIMEOUT_S)
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
            log.info('Not told of one that was turned away. to={} why={}', owner, error)
