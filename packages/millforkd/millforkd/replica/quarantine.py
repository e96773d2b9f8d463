"""
The replicas' side of the quarantine: the list, in the replicated state, of the requests and the
parts of prompts that are refused because they crash back ends.

Suspicions (records of the back ends that ended while they ran a request) are kept in memory, so a
loss of power of the whole fleet would lose them, and a request that had crashed three back ends
would crash three more. The leader therefore lists the requests at fault (those that crashed three
or more back ends) and parts in the replicated state, and removes those that a complete answer
clears, with the count of their trials.

"""

from collections.abc import Callable
from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.ids import Fingerprint
from millfork_core.logs import Component, logger
from millfork_core.verdicts import Refused
from millfork_registry.suspicion_store import SuspicionStore
from millfork_registry.suspicions import Suspicion, decode_epoch, encode_epoch
from millfork_scheduling.quarantine import is_at_fault_among
from millfork_state.commands import (
    AnyCommand,
    Apply,
    Change,
    Raise,
    decode_versioned,
    new_command_id,
)
from millfork_state.keys import QUARANTINE_PREFIX, TRIAL_PREFIX, quarantine_key, trial_key
from millfork_state.leader_client import LeaderClient
from millfork_state.view import StoredValue, View
from millforkd.replica.key_removal import old_keys

# How often the leader compares the list with the suspicions.
RECONCILE_PERIOD_S: Final = 0.25
# Timeout of one change of the list.
PROPOSAL_TIMEOUT_S: Final = 0.9
# A request is removed from the list after this time (one day), as software that crashes on the
# request has been replaced by then.
LISTED_MAX_AGE_MS: Final = 24 * 3600 * 1000
# If the list is longer than this, its oldest requests are removed. At this length, with keys and
# values of about ten bytes each, the list takes 0.1 MB of the replicated state.
MAX_LISTED: Final = 1000

log = logger(Component.CONTROL)


class QuarantineList:
    """
    Maintains the quarantine list in the replicated state. Only the leader changes the list.

    """

    def __init__(
        self,
        env: Environment,
        view: View,
        suspicion_store: SuspicionStore,
        leader_client: LeaderClient,
        leads: Callable[[], bool],
        now_ms: Callable[[], int],
    ) -> None:
        self.env = env
        self.view = view
        self.suspicion_store = suspicion_store
        self.leader_client = leader_client
        self.is_leader = leads
        # Returns the time of the wall clock, in ms since 1970.
        self.now_ms = now_ms

    async def run(self) -> None:
        """
        Task that forgets old suspicions and, on the leader, updates the list.

        """
        while True:
            await curio.sleep(RECONCILE_PERIOD_S)
            self.suspicion_store.forget_expired()
            if self.is_leader():
                await self.reconcile()

    async def reconcile(self) -> None:
        """
        Add the requests at fault to the list. Remove those whose suspicion has since entered a
        later epoch, those older than `LISTED_MAX_AGE_MS`, and the oldest beyond `MAX_LISTED`.

        """
        for suspicion in list(self.suspicion_store.table.values()):
            held = self.view.items.get(quarantine_key(suspicion.fingerprint))
            if held is None and is_at_fault_among(suspicion, self.suspicion_store):
                await self._add(suspicion)
                continue
            if held is not None and suspicion.epoch > _epoch_of(held):
                await self._remove(suspicion.fingerprint, 'complete answer')
        await self._remove_old()
        await self._remove_orphaned_trials()

    async def _add(self, suspicion: Suspicion) -> None:
        key = quarantine_key(suspicion.fingerprint)
        listing = Raise(key, self.now_ms(), encode_epoch(suspicion.epoch))
        if await self._propose(listing):
            if suspicion.witnesses:
                log.warning(
                    'Part of prompts in quarantine. fingerprint={} ends={} answered_before={} '
                    'witnesses={}',
                    suspicion.fingerprint,
                    suspicion.ends,
                    suspicion.answered_before,
                    ','.join(f'{seen.request}@{seen.incarnation}' for seen in suspicion.witnesses),
                )
                return
            log.warning(
                'Request in quarantine. fingerprint={} ends={}',
                suspicion.fingerprint,
                suspicion.ends,
            )

    async def _remove(self, fingerprint: Fingerprint, reason: str) -> None:
        changes = [Change(quarantine_key(fingerprint))]
        if trial_key(fingerprint) in self.view.items:
            changes.append(Change(trial_key(fingerprint)))
        if await self._propose(Apply(new_command_id(self.env.random), changes)):
            log.notice('Request out of quarantine. fingerprint={} reason={}', fingerprint, reason)

    async def _remove_old(self) -> None:
        held = self.view.values_with_prefix(QUARANTINE_PREFIX)
        listed_at_ms = {key: decode_versioned(value).version for key, value in held.items()}
        for key in old_keys(listed_at_ms, self.now_ms(), LISTED_MAX_AGE_MS, MAX_LISTED):
            await self._remove(Fingerprint(key.removeprefix(QUARANTINE_PREFIX)), 'old')

    async def _remove_orphaned_trials(self) -> None:
        """
        Remove the counts of trials that were claimed just after their parts left the list.

        """
        for key in self.view.values_with_prefix(TRIAL_PREFIX):
            fingerprint = Fingerprint(key.removeprefix(TRIAL_PREFIX))
            if quarantine_key(fingerprint) not in self.view.items:
                await self._propose(Apply(new_command_id(self.env.random), [Change(key)]))

    async def _propose(self, command: AnyCommand) -> bool:
        try:
            await self.leader_client.propose(command, PROPOSAL_TIMEOUT_S)
        except Refused as error:
            log.info('Cannot change the quarantine list: {}.', error)
            return False
        return True


def _epoch_of(held: StoredValue) -> int:
    return decode_epoch(decode_versioned(held.value).body)
