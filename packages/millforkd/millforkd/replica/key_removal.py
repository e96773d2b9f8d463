"""
Chooses and removes keys of the replicated state that are no longer needed.

"""

from collections.abc import Collection, Mapping
from random import Random
from typing import Final

from millfork_core.logs import Component, logger
from millfork_core.verdicts import Refused
from millfork_state.commands import Apply, Change, new_command_id
from millfork_state.leader_client import LeaderClient

PROPOSAL_TIMEOUT_S: Final = 0.9

log = logger(Component.CONTROL)


def old_keys(
    times_ms: Mapping[str, int], now_ms: int, max_age_ms: int, max_count: int
) -> list[str]:
    """
    The keys that are `max_age_ms` old or older, and the oldest beyond `max_count`; oldest first.
    `times_ms` has the time of each key, in ms since 1970.

    """
    oldest_first = sorted(times_ms, key=lambda key: times_ms[key])
    excess = len(oldest_first) - max_count
    return [
        key
        for number, key in enumerate(oldest_first)
        if number < excess or now_ms - times_ms[key] >= max_age_ms
    ]


async def remove_keys(
    leader_client: LeaderClient, random: Random, keys: Collection[str], description: str
) -> None:
    """
    Remove keys, which the log calls `description`. If that fails, it is logged; the caller tries
    again at its next check.

    """
    if not keys:
        return
    command = Apply(new_command_id(random), [Change(key) for key in keys])
    try:
        await leader_client.propose(command, PROPOSAL_TIMEOUT_S)
    except Refused as error:
        log.info('Cannot remove {}: {}.', description, error)
        return
    log.info('Removed {}. keys={}', description, len(keys))
