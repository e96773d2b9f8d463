"""
Planned stops: requests in progress finish, unless a second stop signal comes.

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
    A daemon that can finish the requests in progress and stop.

    """

    @property
    def in_progress(self) -> int: ...

    async def drain(self) -> None: ...


async def drain_until_second_signal(
    env: Environment, daemon: Drainable, signals: StopSignals
) -> None:
    """
    Drain a daemon. A second stop signal ends the drain and cuts off the requests in progress.

    """
    drain = await curio.spawn(daemon.drain)
    second_signal = await curio.spawn(_wait_for_stop_signal, signals)
    async with curio.TaskGroup([drain, second_signal], wait=any) as group:
        pass
    if group.completed is second_signal:
        log.warning('Second signal: {} requests are cut off.', daemon.in_progress)
        env.metrics.count(env.metrics.requests, outcome='cut_off_by_signal')


async def _wait_for_stop_signal(signals: StopSignals) -> None:
    while await signals.get() is signal.SIGHUP:
        continue
