"""
Looking at a back end under which answers broke off, until its fate is known.

"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Final, Generic, TypeVar

import curio

from millfork_core.environment import Environment
from millfork_core.logs import Part, logger
from millfork_core.sockets import connect
from millfork_scheduling.fates import Fate

# All that breaks off with a back end does so within a few milliseconds; and an address that
# closes at this moment may reset a connection before it refuses the next.
BATCH_DELAY_S: Final = 0.01
LOOKS: Final = 2
# Where there is no hurry, looks begin at the pace that follows so many.
LATER_LOOKS: Final = 4
# Zones are a few milliseconds apart; silence tells nothing yet, as behind a cut.
PROBE_TIMEOUT_S: Final = 0.4
# Who waits for the fate of a back end waits no longer than this: it may not be known for
# seconds, and takes some ms where the address answers.
PROVE_WITHIN_S: Final = 0.05

# A back end of which nothing is known is looked at again, at least so often and for so long:
# an instance that lost power is back within seconds, and leases of what is behind a cut run
# out meanwhile.
WATCH_EVERY_S: Final = 0.5
WATCHED_S: Final = 20.0

# An end within this time after its caller left counts for a request: a back end that goes on
# with it has finished it by then, or has ended.
LEFT_WATCHED_S: Final = 2.0

log = logger(Part.DAEMON)

Item = TypeVar('Item')


class Address(Enum):
    """
    What becomes of a connection to an address.

    """

    ANSWERS = 'answers'
    REFUSES = 'refuses'
    SILENT = 'silent'


async def look_at(host: str, port: int) -> Address:
    """
    What becomes of a connection to an address.

    """
    try:
        async with curio.timeout_after(PROBE_TIMEOUT_S):
            sock = await connect(host, port)
    except ConnectionRefusedError:
        return Address.REFUSES
    except (OSError, curio.TaskTimeout) as error:
        log.info(
            'Not known whether a back end ended. address={}:{} error={}',
            host,
            port,
            type(error).__name__,
        )
        return Address.SILENT
    await sock.close()
    return Address.ANSWERS


@dataclass(slots=True)
class Break(Generic[Item]):
    """
    Something that broke off at a back end, at a moment in monotonic seconds.

    """

    item: Item
    at: float


@dataclass(slots=True)
class Watch(Generic[Item]):
    """
    The looks at one back end. `look` tries its address, `fate` tells what is known of it by
    other means since something broke off, `settle` takes the fate of what broke off:
    unknown only after `most_s`.

    """

    env: Environment
    look: Callable[[], Awaitable[Address]]
    fate: Callable[[Break[Item]], Fate]
    settle: Callable[[Fate, list[Break[Item]]], Awaitable[None]]
    every_s: float = WATCH_EVERY_S
    most_s: float = WATCHED_S
    breaks: dict[str, Break[Item]] = field(default_factory=dict)
    looks: int = 0
    # Set by each break, as what breaks off now may be a back end that ends now.
    hurry: curio.Event = field(default_factory=curio.Event)
    # Set once its fate is known, or not to be had within moments.
    looked: curio.Event = field(default_factory=curio.Event)

    async def add(self, key: str, item: Item, at_once: bool = True) -> None:
        """
        Something broke off at this moment; it takes the place of what had the same key. Where
        its back end may end only later, it need not be looked at at once.

        """
        was_idle = not self.breaks
        self.breaks[key] = Break(item, self.env.monotonic())
        if at_once:
            self.looks = 0
            self.looked.clear()
            await self.hurry.set()
            return
        if was_idle:
            self.looks = LATER_LOOKS

    async def until_looked(self) -> None:
        """
        Return once its fate is known, or soon.

        """
        try:
            async with curio.timeout_after(PROVE_WITHIN_S):
                await self.looked.wait()
        except curio.TaskTimeout:
            log.debug('Not known yet whether a back end ended.')

    async def run(self) -> None:
        """
        Look until the fate is known of all that broke off.

        """
        while self.breaks:
            await self._pause()
            await self._settle(self.env.monotonic(), Address.ANSWERS)
            if self.breaks:
                looked_at = self.env.monotonic()
                found = await self.look()
                self.looks += 1
                await self._settle(looked_at, found)
            if self.looks >= LOOKS or not self.breaks:
                await self.looked.set()

    async def _pause(self) -> None:
        """
        Wait for the next look, longer from one to the next.

        """
        pause_s = min(BATCH_DELAY_S * 2.0 ** max(self.looks - 1, 0), self.every_s)
        try:
            async with curio.timeout_after(pause_s):
                await self.hurry.wait()
        except curio.TaskTimeout:
            return
        self.hurry.clear()
        await curio.sleep(BATCH_DELAY_S)

    async def _settle(self, looked_at: float, found: Address) -> None:
        settled: dict[Fate, list[Break[Item]]] = {}
        for key, item in list(self.breaks.items()):
            fate = self.fate(item)
            if fate is Fate.UNKNOWN and found is Address.REFUSES and item.at <= looked_at:
                fate = Fate.ENDED
            if fate is Fate.UNKNOWN and self.env.monotonic() - item.at <= self.most_s:
                continue
            del self.breaks[key]
            settled.setdefault(fate, []).append(item)
        for fate, items in settled.items():
            await self.settle(fate, items)
