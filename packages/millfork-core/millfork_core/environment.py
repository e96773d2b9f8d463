"""
The `Environment` that the components of a process share: clock, randomness, metrics and the start
of tasks. Components receive it as an argument, so that tests can replace it without globals.

"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import curio

from millfork_core.clocks import elapsed_s
from millfork_core.ids import InstanceId, ZoneId
from millfork_core.logs import Component, logger
from millfork_core.metrics import Metrics

log = logger(Component.DAEMON)


@dataclass
class Environment:
    """
    The identity, clock, randomness and metrics of one process, and methods to start its tasks.

    """

    instance: InstanceId
    zone: ZoneId
    metrics: Metrics = field(default_factory=Metrics)
    monotonic: Callable[[], float] = elapsed_s
    random: Random = field(default_factory=Random)
    # Set when an essential task fails.
    failed: curio.Event = field(default_factory=curio.Event)
    # Set when the process ends: a task that is being cancelled must not start another task.
    ended: bool = False

    async def spawn(self, task: Callable[..., Awaitable[object]], *args: object) -> curio.Task:
        """
        Start a task that is never joined; it may run until the process ends.

        :raises curio.TaskCancelled: if the process is ending.

        """
        if self.ended:
            raise curio.TaskCancelled('the process is ending')
        return await curio.spawn(task, *args, daemon=True)

    async def spawn_essential(self, task: Callable[..., Awaitable[object]], *args: object) -> None:
        """
        Start a task that the process can't work without. If the task fails, `failed` is set and
        the process ends: a daemon that only partly works does more harm than one that is down.

        """
        await self.spawn(self._run_essential, task, *args)

    async def _run_essential(self, task: Callable[..., Awaitable[object]], *args: object) -> None:
        try:
            await task(*args)
        except Exception:
            log.exception('An essential task failed; the process ends.')
            await self.failed.set()
