"""
What a running process needs, passed in so that tests need no globals.

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
    The identity, clock, randomness and metrics of one process.

    """

    instance: InstanceId
    zone: ZoneId
    metrics: Metrics = field(default_factory=Metrics)
    monotonic: Callable[[], float] = elapsed_s
    random: Random = field(default_factory=Random)
    failed: curio.Event = field(default_factory=curio.Event)
    # Set at the end: what is cancelled then must start nothing in its place.
    ended: bool = False

    async def spawn(self, task: Callable[..., Awaitable[object]], *args: object) -> curio.Task:
        """
        Start a task that lives as long as the process.

        """
        if self.ended:
            raise curio.TaskCancelled('the process ends')
        return await curio.spawn(task, *args, daemon=True)

    async def spawn_essential(self, task: Callable[..., Awaitable[object]], *args: object) -> None:
        """
        Start a task that the process can't do without: should it fail, the
        process ends, as half a daemon is worse than none.

        """
        await self.spawn(self._run_essential, task, *args)

    async def _run_essential(self, task: Callable[..., Awaitable[object]], *args: object) -> None:
        try:
            await task(*args)
        except Exception:
            log.exception('A task failed that the process can not do without.')
            await self.failed.set()
