"""
Updates suspicions of requests when answers break off and when back ends end.

The suspicion of a request records the back ends that ended one after another while they ran it.

"""

from typing import Final

from millfork_core.environment import Environment
from millfork_core.ids import Fingerprint, IncarnationKey
from millfork_core.windows import RateLimit
from millfork_registry.suspicion_store import SuspicionStore
from millfork_registry.suspicions import Suspicion
from millfork_scheduling.quarantine import count_ends

# At most this many new suspicions within IMMEDIATE_REPORTS_WINDOW_S are sent to other processes
# immediately, the rest after a delay. If many answers break off at back ends that stay alive, most
# suspicions are cleared within the delay and never sent.
IMMEDIATE_REPORTS: Final = 4
IMMEDIATE_REPORTS_WINDOW_S: Final = 20.0


class SuspicionUpdater:
    """
    Updates the suspicions held by one entry from what the entry observes of its back ends.

    """

    def __init__(self, env: Environment, suspicion_store: SuspicionStore) -> None:
        self.env = env
        self.suspicion_store = suspicion_store
        self.immediate_reports = RateLimit(IMMEDIATE_REPORTS, IMMEDIATE_REPORTS_WINDOW_S)

    async def record_broken_connection(
        self, fingerprint: Fingerprint, incarnation: IncarnationKey
    ) -> None:
        """
        Record that an answer to a request broke off at an incarnation (one process life) of a
        back end. The suspicion is sent to other processes immediately if the request was
        suspected before or `immediate_reports` allows it.

        """
        known = self.suspicion_store.get(fingerprint)
        self.suspicion_store.record_privately(known.with_broken_answer(incarnation))
        if not known.is_clear or self.immediate_reports.try_acquire(self.env.monotonic()):
            await self.suspicion_store.publish(fingerprint)

    async def record_end(self, before: Suspicion, incarnation: IncarnationKey) -> None:
        """
        Record that an incarnation ended while it ran a request. `before` is the suspicion of
        the request when it was sent to that incarnation.

        """
        known = self.suspicion_store.get(before.fingerprint)
        if incarnation in known.broken:
            await self.suspicion_store.record(
                known.with_ends(count_ends(before, known, incarnation))
            )
            return
        # The suspicion was cleared or reduced after the request broke off, which began a new
        # epoch. `record` merges `before` into the known suspicion and keeps the later epoch.
        await self.suspicion_store.record(before.with_end())

    async def record_no_end(self, fingerprint: Fingerprint, incarnation: IncarnationKey) -> None:
        """
        Remove from a request's suspicion an incarnation at which the request broke off, because
        the incarnation is alive or it stayed unknown for too long whether the incarnation ended.

        """
        known = self.suspicion_store.get(fingerprint)
        if incarnation in known.broken:
            await self.suspicion_store.withdraw(known.without_broken(incarnation))
