"""
A planned stop: what is in progress ends, unless a second signal comes.

"""

import signal
from typing import Protocol

import curio

from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_core.signals import StopSignals

log = logger(Component.DAEMON)


class Drainable(Protocol):
    """
    A daemon that can be stopped.

    """

    @property
    def in_progress(self) -> int: ...

    async def drain(self) -> None: ...


async def drain_until_second_signal(
    env: Environment, daemon: Drainable, signals: StopSignals
) -> None:
    """
    Let a daemon drain; a second stop signal ends the drain.

    """
    drain = await curio.spawn(daemon.drain)
    second = await curio.spawn(_second_stop, signals)
    async with curio.TaskGroup([drain, second], wait=any) as group:
        pass
    if group.completed is second:
        log.warning('Second signal: {} requests are cut off.', daemon.in_progress)
        env.metrics.count(env.metrics.requests, outcome='cut_off_by_signal')


async def _second_stop(signals: StopSignals) -> None:
    while await signals.get() is signal.SIGHUP:
        continue
