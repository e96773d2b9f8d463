"""
Removes the digests of old versions of weights from the replicated state.

"""

from collections.abc import Callable
from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_state.leader_client import LeaderClient
from millfork_state.view import View
from millforkd.digest_keys import KEPT_VERSIONS, digest_keys_by_model
from millforkd.replica.key_removal import remove_keys

CHECK_PERIOD_S: Final = 2.0


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
        await remove_keys(
            self.leader_client, self.env.random, self._old_keys(), 'the digests of old versions'
        )

    def _old_keys(self) -> list[str]:
        return [
            keys[version]
            for keys in digest_keys_by_model(self.view).values()
            for version in sorted(keys)[:-KEPT_VERSIONS]
        ]
