"""
The replicas' side of the quarantine: a list that outlasts every process.

Suspicions are kept in memory. A loss of power of the whole fleet would forget them, and a
request that had ended three back ends would end three more; so the leader writes down
which requests are at fault, and takes that back when an answer has cleared one.

"""

from collections.abc import Callable
from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.ids import Fingerprint
from millfork_core.logs import Part, logger
from millfork_core.verdicts import Refused
from millfork_registry.suspects import Suspects, Suspicion, decode_epoch, encode_epoch
from millfork_scheduling.quarantine import is_at_fault
from millfork_state.commands import AnyCommand, Apply, Change, Raise, decode_versioned
from millfork_state.keys import QUARANTINE_PREFIX, quarantine_key
from millfork_state.leader_client import LeaderClient
from millfork_state.view import StoredValue, View

LOOK_EVERY_S: Final = 0.25
PATIENCE_S: Final = 0.9
# A request is taken off the list after a day, as software is replaced that fails on a request.
HELD_MS: Final = 24 * 3600 * 1000
# With a key and a value of some ten bytes each, 0.1 MB of state.
MOST_HELD: Final = 1000
ID_BITS: Final = 128

log = logger(Part.CONTROL)


class QuarantineList:
    """
    Keeps the list in the replicated state; only the leader acts.

    """

    def __init__(
        self,
        env: Environment,
        view: View,
        suspects: Suspects,
        proposals: LeaderClient,
        leads: Callable[[], bool],
        now_ms: Callable[[], int],
    ) -> None:
        self.env = env
        self.view = view
        self.suspects = suspects
        self.proposals = proposals
        self.leads = leads
        self.now_ms = now_ms

    async def keep(self) -> None:
        """
        The task that puts requests on the list and takes them off.

        """
        while True:
            await curio.sleep(LOOK_EVERY_S)
            self.suspects.forget_old()
            if self.leads():
                await self.settle()

    async def settle(self) -> None:
        """
        Bring the replicated state up to what is known now.

        """
        for suspicion in list(self.suspects.table.values()):
            held = self.view.items.get(quarantine_key(suspicion.fingerprint))
            if held is None and is_at_fault(suspicion):
                await self._add(suspicion)
                continue
            if held is not None and suspicion.epoch > _epoch_of(held):
                await self._remove(suspicion.fingerprint, 'an answer came whole')
        await self._forget_old()

    async def _add(self, suspicion: Suspicion) -> None:
        key = quarantine_key(suspicion.fingerprint)
        listing = Raise(key, self.now_ms(), encode_epoch(suspicion.epoch))
        if await self._propose(listing):
            log.warning(
                'Request in quarantine. fingerprint={} ends={}',
                suspicion.fingerprint,
                suspicion.ends,
            )

    async def _remove(self, fingerprint: Fingerprint, reason: str) -> None:
        change = Change(quarantine_key(fingerprint))
        command_id = f'{self.env.random.getrandbits(ID_BITS):x}'
        if await self._propose(Apply(command_id, [change])):
            log.notice('Request out of quarantine. fingerprint={} reason={}', fingerprint, reason)

    async def _forget_old(self) -> None:
        held = self.view.values_with_prefix(QUARANTINE_PREFIX)
        given = {key: decode_versioned(value).version for key, value in held.items()}
        oldest_first = sorted(given, key=lambda key: given[key])
        over = len(given) - MOST_HELD
        for number, key in enumerate(oldest_first):
            if number >= over and self.now_ms() - given[key] < HELD_MS:
                return
            await self._remove(Fingerprint(key.removeprefix(QUARANTINE_PREFIX)), 'old')

    async def _propose(self, command: AnyCommand) -> bool:
        try:
            await self.proposals.propose(command, PATIENCE_S)
        except Refused as error:
            log.info('The quarantine list was not changed: {}.', error)
            return False
        return True


def _epoch_of(held: StoredValue) -> int:
    return decode_epoch(decode_versioned(held.value).body)
