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
from millforkd.proxy.questions import Questions

# The way within a zone takes 1 ms to 3 ms there and back. A twentieth of the shortest aims.
ASK_TIMEOUT_S: Final = 0.02
# So many bytes of a fingerprint tell the requests of some seconds apart.
TOLD_BYTES: Final = 8

log = logger(Part.PROXY)


class Recall:
    """
    What this entry and the others of its zone remember of requests turned away.

    """

    def __init__(
        self,
        env: Environment,
        peers: Peers,
        known: Callable[[], list[CacheAddress]],
        fingerprints: Fingerprints,
    ) -> None:
        self.env = env
        # The entries that others are told of.
        self.known = known
        self.fingerprints = fingerprints
        self.table = TurnedAwayRequests()
        self.questions = Questions(env, peers, 'first_try_unknown')

    async def note(self, job: Job) -> None:
        """
        Remember that a job was turned away; returns at once.

        """
        now = self.env.monotonic()
        elapsed_ms = job.elapsed_ms + int((now - job.began) * 1000)
        message = NoteTurnedAway(self._told(job), elapsed_ms)
        keeper = self._keeper(message.fingerprint)
        if keeper == str(self.env.instance):
            self.on_note(message)
            return
        await self.env.spawn(self._tell, keeper, message)

    async def elapsed_ms(self, job: Job) -> int:
        """
        Milliseconds since a job's first try; 0 if this is it, or nobody knows.

        """
        fingerprint = self._told(job)
        keeper = self._keeper(fingerprint)
        if keeper == str(self.env.instance):
            return self.table.elapsed_ms(fingerprint, self.env.monotonic()) or 0
        return await self._ask(keeper, AskTurnedAway(fingerprint))

    def on_note(self, message: NoteTurnedAway) -> None:
        """
        Another entry turned a request away.

        """
        self.table.note(message.fingerprint, message.elapsed_ms, self.env.monotonic())

    def on_ask(self, message: AskTurnedAway) -> TurnedAwayBefore:
        """
        Another entry asks whether a request was turned away.

        """
        elapsed_ms = self.table.elapsed_ms(message.fingerprint, self.env.monotonic())
        return TurnedAwayBefore(elapsed_ms is not None, elapsed_ms or 0)

    def _told(self, job: Job) -> bytes:
        return bytes.fromhex(self.fingerprints.of(job))[:TOLD_BYTES]

    def _keeper(self, fingerprint: bytes) -> str:
        """
        Who remembers a request: all entries of a zone find the same one.

        """
        zone = str(self.env.zone)
        names = [
            entry.instance
            for entry in self.known()
            if entry.zone == zone and not self.questions.silent.is_silent(entry.instance)
        ]
        key = fingerprint.hex()
        return max(names, key=lambda name: rank(key, name), default=str(self.env.instance))

    async def _ask(self, keeper: str, message: AskTurnedAway) -> int:
        connection = await self.questions.connection(keeper)
        if connection is None:
            return 0
        reply = await self.questions.ask(keeper, connection, message, ASK_TIMEOUT_S)
        if not isinstance(reply, TurnedAwayBefore) or not reply.found:
            return 0
        return reply.elapsed_ms

    async def _tell(self, keeper: str, message: NoteTurnedAway) -> None:
        connection = await self.questions.connect(keeper)
        if connection is None:
            return
        try:
            await connection.notify(message)
        except PeerLost as error:
            log.info('Not told of one that was turned away. to={} why={}', keeper, error)
