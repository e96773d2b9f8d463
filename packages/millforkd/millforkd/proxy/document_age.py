"""
How long the document that an entry serves by may have lacked an acknowledged change.

An entry without contact to up-to-date replicas can't tell a route or key that doesn't exist from
one that was added meanwhile. Before it refuses a request because of what its document lacks, it
checks that the document is recent enough, and asks the followed replica if that isn't known.

"""

from typing import Final

import curio

from millfork_core.clocks import MAX_AGE_MS
from millfork_core.environment import Environment
from millfork_core.ids import ClusterId, Revision
from millfork_registry.feed_client import FeedClient
from millfork_registry.version_cutoffs import MS_PER_S

# A request waits this long at most for a replica's answer, which takes one round trip between
# regions.
CONFIRM_TIMEOUT_S: Final = 0.2
# All requests together ask at most one question in this time, as refused requests may be many.
QUESTION_INTERVAL_S: Final = 0.5


class DocumentAge:
    """
    Tells whether all documents that were acknowledged more than `max_age_ms` ago are in force in
    this entry.

    The age counts from questions to replicas, not from messages of the feed: these may be read
    long after they were sent, for example once a stopped process continues.

    """

    def __init__(self, env: Environment, feed_client: FeedClient, max_age_ms: float) -> None:
        self.env = env
        self.feed_client = feed_client
        self.max_age_ms = max_age_ms
        # The configuration that this entry serves by.
        self.position = (ClusterId(''), Revision(0))
        self.position_changed = curio.Condition()
        # Held while a question is asked.
        self.asking = curio.Lock()
        self.next_question_at = env.monotonic()

    async def set_position(self, position: tuple[ClusterId, Revision]) -> None:
        """
        Record that the entry serves by the configuration at `position`.

        """
        if position == self.position:
            return
        async with self.position_changed:
            self.position = position
            await self.position_changed.notify_all()

    def age_ms(self, at: float) -> int:
        """
        Milliseconds from the last time at which the configuration was known to lack no
        acknowledged change until `at` (monotonic seconds).

        """
        current_at = self.feed_client.revision_times.up_to_date_at(*self.position)
        return int(min(max(at - current_at, 0.0) * MS_PER_S, MAX_AGE_MS))

    def is_recent(self, at: float) -> bool:
        """
        Whether no change that was acknowledged more than `max_age_ms` before `at` (monotonic
        seconds) is lacking.

        """
        return self.age_ms(at) <= self.max_age_ms

    async def confirm(self, at: float) -> bool:
        """
        The same as `is_recent`, after a question to the followed replica if necessary.

        """
        if self.is_recent(at):
            return True
        try:
            async with curio.timeout_after(CONFIRM_TIMEOUT_S):
                await self._ask(at)
        except curio.TaskTimeout:
            pass
        return self.is_recent(at)

    async def _ask(self, at: float) -> None:
        async with self.asking:
            # The answer to another request's question may have arrived.
            if self.is_recent(at) or self.env.monotonic() < self.next_question_at:
                return
            self.next_question_at = self.env.monotonic() + QUESTION_INTERVAL_S
            reply = await self.feed_client.ask_source()
            if reply is None or Revision(reply.revision) <= self.position[1]:
                return
            async with self.position_changed:
                # The feed sends what the replica has and this entry lacks.
                while Revision(reply.revision) > self.position[1]:
                    await self.position_changed.wait()
