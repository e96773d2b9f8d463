"""
What a process that sends requests learns of back ends under which they broke off.

"""

from typing import Final

from millfork_core.environment import Environment
from millfork_core.ids import Fingerprint, IncarnationKey
from millfork_core.windows import Allowance
from millfork_registry.suspicion_store import Suspicion, SuspicionStore
from millfork_scheduling.quarantine import ends_after

# So many first breaks of requests are told to others at once, and within which time. Where
# many answers break off at back ends that live on, most are cleared before anybody is told.
TOLD_AT_ONCE: Final = 4
TOLD_WITHIN_S: Final = 20.0


class Suspecting:
    """
    Keeps its suspicions up to date.

    """

    def __init__(self, env: Environment, suspects: SuspicionStore) -> None:
        self.env = env
        self.suspects = suspects
        self.told_at_once = Allowance(TOLD_AT_ONCE, TOLD_WITHIN_S)

    async def note_broken(self, fingerprint: Fingerprint, incarnation: IncarnationKey) -> None:
        """
        A request broke off at an incarnation of a back end.

        """
        known = self.suspects.get(fingerprint)
        self.suspects.record_privately(known.with_broken_answer(incarnation))
        if not known.is_clear or self.told_at_once.spend(self.env.monotonic()):
            await self.suspects.publish(fingerprint)

    async def note_end(self, before: Suspicion, incarnation: IncarnationKey) -> None:
        """
        The incarnation has ended; `before` is what was known of the request when it was
        sent there.

        """
        known = self.suspects.get(before.fingerprint)
        if incarnation in known.broken:
            await self.suspects.record(known.with_ends(ends_after(before, known, incarnation)))
            return
        # It was cleared meanwhile.
        await self.suspects.record(before.with_end())

    async def note_no_end(self, fingerprint: Fingerprint, incarnation: IncarnationKey) -> None:
        """
        The incarnation lives on, or nothing is known of it for too long.

        """
        known = self.suspects.get(fingerprint)
        if incarnation in known.broken:
            await self.suspects.withdraw(known.without_broken(incarnation))
