"""
The leave notices of back ends that replicas have acknowledged, in the replicated state.

A back end that has an acknowledgement may serve on, but must get no more requests. Leases
are kept in memory, so after a restart of all processes a delayed heartbeat would bring the back end
back. A notice of a drain is not recorded: the back end repeats it with each heartbeat.

"""

from collections.abc import Callable
from typing import Final

import msgspec

from millfork_core.environment import Environment
from millfork_core.ids import Incarnation
from millfork_registry.followers import Followers
from millfork_registry.registry import ENDED_RETENTION_S, RecordChange, Registry
from millfork_state.commands import Raise, Versioned, decode_versioned
from millfork_state.keys import DEPARTURE_PREFIX, departure_key
from millfork_state.leader_client import LeaderClient
from millfork_state.view import View
from millforkd.replica.key_removal import old_keys, remove_keys

# Timeout of one call to the leader. A back end asks another replica after one second.
PROPOSAL_TIMEOUT_S: Final = 0.6
# The longest pause between two checks for new notices, in case a change of the replicated state is
# missed, and how often the leader checks for old ones.
CHECK_PERIOD_S: Final = 0.5
# A notice is removed after this time. By then each replica that applied it has kept the ended lease
# for as long as a heartbeat may be delayed.
RETENTION_MS: Final = int(2 * ENDED_RETENTION_S * 1000)
# If there are more notices than this, the oldest are removed. At this length, with about 60 bytes
# each, they take 0.1 MB of the replicated state.
MAX_NOTICES: Final = 2000


class Notice(msgspec.Struct, frozen=True):
    """
    The value that is stored for a leave notice, with the incarnation that leaves as its version:
    when the notice arrived, in ms since 1970.

    """

    at_ms: int


class Departures:
    """
    Records leave notices, ends the leases of the back ends that sent them, and, on the leader,
    removes old notices.

    """

    def __init__(
        self,
        env: Environment,
        view: View,
        registry: Registry,
        followers: Followers,
        leader_client: LeaderClient,
        leads: Callable[[], bool],
        now_ms: Callable[[], int],
    ) -> None:
        self.env = env
        self.view = view
        self.registry = registry
        self.followers = followers
        self.leader_client = leader_client
        self.is_leader = leads
        # Returns the time of the wall clock, in ms since 1970.
        self.now_ms = now_ms
        # The notices that were applied to the registry, by key.
        self.applied: dict[str, Versioned] = {}

    async def record(self, instance: str, incarnation: Incarnation) -> None:
        """
        Record that an incarnation of a back end leaves. Returns once the notice is committed.

        :raises Refused: if it wasn't committed in time.

        """
        key = departure_key(instance)
        held = self.view.items.get(key)
        if held is not None and decode_versioned(held.value).version >= incarnation:
            return
        body = msgspec.msgpack.encode(Notice(self.now_ms()))
        await self.leader_client.propose(Raise(key, incarnation, body), PROPOSAL_TIMEOUT_S)

    async def run(self) -> None:
        """
        Task that applies new notices and, on the leader, removes old ones.

        """
        while True:
            position = self.view.position
            await self.apply()
            if self.is_leader():
                await self.remove_old()
            await self.view.wait_for_change(position, CHECK_PERIOD_S)

    async def apply(self) -> None:
        """
        End the leases of the back ends with new notices. Later incarnations are not concerned.

        """
        notices = {
            key: decode_versioned(value)
            for key, value in self.view.values_with_prefix(DEPARTURE_PREFIX).items()
        }
        new = [key for key, notice in notices.items() if self.applied.get(key) != notice]
        self.applied = notices
        changes = [
            self.registry.record_leave(
                key.removeprefix(DEPARTURE_PREFIX), Incarnation(notices[key].version)
            )
            for key in new
        ]
        if RecordChange.CHANGED in changes:
            await self.followers.wake()

    async def remove_old(self) -> None:
        at_ms = {
            key: msgspec.msgpack.decode(notice.body, type=Notice).at_ms
            for key, notice in self.applied.items()
        }
        old = old_keys(at_ms, self.now_ms(), RETENTION_MS, MAX_NOTICES)
        await remove_keys(self.leader_client, self.env.random, old, 'old leave notices')
