"""
Removes the digests of old versions of weights from the replicated state.

"""

from collections.abc import Callable
from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_core.verdicts import Refused
from millfork_state.commands import Apply, Change, new_command_id
from millfork_state.leader_client import LeaderClient
from millfork_state.view import View
from millforkd.digest_records import KEPT_VERSIONS, record_keys

CHECK_PERIOD_S: Final = 2.0
PROPOSAL_TIMEOUT_S: Final = 0.9

log = logger(Component.CONTROL)


class DigestRetention:
    """
    Keeps the digests of the newest `KEPT_VERSIONS` versions of each model. Only the leader removes
    others.

    """

    def __init__(
        self,
        env: Environment,
        view: View,
        leader_client: LeaderClient,
        leads: Callable[[], bool],
    ) -> None:
        self.env = env
        self.view = view
        self.leader_client = leader_client
        self.is_leader = leads

    async def run(self) -> None:
        while True:
            await curio.sleep(CHECK_PERIOD_S)
            if self.is_leader():
                await self.remove_old()

    async def remove_old(self) -> None:
        old = self._old_keys()
        if not old:
            return
        command_id = new_command_id(self.env.random)
        try:
            await self.leader_client.propose(
                Apply(command_id, [Change(key) for key in old]), PROPOSAL_TIMEOUT_S
            )
        except Refused as error:
            log.info('Cannot remove the digests of old versions: {}.', error)
            return
        log.info('Digests of old versions removed. keys={}', ','.join(old))

    def _old_keys(self) -> list[str]:
        return [
            keys[version]
            for keys in record_keys(self.view).values()
            for version in sorted(keys)[:-KEPT_VERSIONS]
        ]
