"""
Which back ends have ended, and under which requests.

An answer that breaks off may be the fault of a connection, of a link, or of one answer.
Whether the back end ended may show seconds later, so a request stays under suspicion until
its back end is known to have ended, or to live on. All that this entry had there then broke
off with it, so they are looked at together.

"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.ids import Fingerprint, IncarnationKey
from millfork_core.logs import Part, logger
from millfork_core.sockets import connect
from millfork_core.windows import Allowance
from millfork_registry.suspects import Suspects, Suspicion
from millfork_scheduling.fates import Fate, fate_of
from millfork_scheduling.quarantine import ends_after
from millfork_scheduling.server import Server

# All that breaks off with a back end does so within a few milliseconds; and an address that
# closes at this moment may reset a connection before it refuses the next.
GATHER_S: Final = 0.01
LOOKS: Final = 2
# Zones are a few milliseconds apart; silence tells nothing yet, as behind a cut.
PROBE_TIMEOUT_S: Final = 0.4
# A request waits for the answer this long before it goes to the next back end: what it
# ended there is to count for it, and a look takes some ms where the address answers.
PROVE_WITHIN_S: Final = 0.05

# A back end of which nothing is known is looked at again, at least so often and for so long:
# an instance that lost power is back within seconds, and leases of what is behind a cut run
# out meanwhile.
WATCH_EVERY_S: Final = 0.5
WATCHED_S: Final = 20.0
# So many first breaks of requests are told to others at once, and within which time. Where
# many answers break off at back ends that live on, most are cleared before anybody is told.
TOLD_AT_ONCE: Final = 4
TOLD_WITHIN_S: Final = 20.0
# The others are told after this time.
TELL_AFTER_S: Final = 1.5

log = logger(Part.PROXY)


class Address(Enum):
    """
    What becomes of a connection to an address.

    """

    ANSWERS = 'answers'
    REFUSES = 'refuses'
    SILENT = 'silent'


@dataclass(slots=True)
class _Break:
    """
    A request whose answer broke off; `before` is what was known of it when it was sent. `at`
    is in monotonic seconds.

    """

    before: Suspicion
    at: float
    looks: int = 0


@dataclass(slots=True)
class _Watch:
    """
    The looks at one back end, until its fate is known.

    """

    server: Server
    key: IncarnationKey
    breaks: dict[Fingerprint, _Break] = field(default_factory=dict)
    looks: int = 0
    # Set by each break, as what breaks off now may be a back end that ends now.
    hurry: curio.Event = field(default_factory=curio.Event)
    # Set once its fate is known, or not to be had within moments.
    looked: curio.Event = field(default_factory=curio.Event)

    def add(self, before: Suspicion, now: float) -> None:
        held = self.breaks.get(before.fingerprint)
        if held is not None:
            before = max(held.before, before, key=lambda item: item.order)
        self.breaks[before.fingerprint] = _Break(before, now)
        self.looks = 0
        self.looked.clear()

    @property
    def pause_s(self) -> float:
        """
        The time until the next look, longer from one to the next.

        """
        return min(GATHER_S * 2.0 ** max(self.looks - 1, 0), WATCH_EVERY_S)


def key_of(server: Server) -> IncarnationKey:
    return IncarnationKey(f'{server.instance}/{server.incarnation}')


class Ends:
    """
    Looks at each back end under which answers broke off, once for all of them.

    """

    def __init__(
        self,
        env: Environment,
        suspects: Suspects,
        fate: Callable[[Server, float], Fate] = fate_of,
    ) -> None:
        self.env = env
        self.suspects = suspects
        self.fate = fate
        self.watches: dict[IncarnationKey, _Watch] = {}
        self.told_at_once = Allowance(TOLD_AT_ONCE, TOLD_WITHIN_S)

    async def note_broken(self, server: Server, before: Suspicion) -> None:
        """
        An answer of a back end broke off; `before` is what was known of the request when
        it was sent there. Returns once the back end was looked at, or soon.

        """
        key = key_of(server)
        watch = self.watches.get(key)
        if watch is None:
            watch = _Watch(server, key)
            self.watches[key] = watch
            await self.env.spawn(self._keep_watch, watch)
        watch.add(before, self.env.monotonic())
        await self._suspect(watch, before.fingerprint)
        await watch.hurry.set()
        try:
            async with curio.timeout_after(PROVE_WITHIN_S):
                await watch.looked.wait()
        except curio.TaskTimeout:
            log.debug('Not known yet whether a back end ended. server={}', server.instance)

    async def _suspect(self, watch: _Watch, fingerprint: Fingerprint) -> None:
        known = self.suspects.of(fingerprint)
        self.suspects.note_privately(known.with_broken(watch.key))
        if not known.is_clear or self.told_at_once.spend(self.env.monotonic()):
            await self.suspects.publish(fingerprint)

    async def _keep_watch(self, watch: _Watch) -> None:
        """
        Look at a back end until it is known of each request whether it ended it.

        """
        try:
            while watch.breaks:
                await self._pause(watch)
                await self._settle(watch, self.env.monotonic(), Address.ANSWERS)
                if not watch.breaks:
                    break
                looked_at = self.env.monotonic()
                found = await self.look(watch.server)
                watch.looks += 1
                await self._settle(watch, looked_at, found)
                if watch.looks >= LOOKS:
                    await watch.looked.set()
        finally:
            del self.watches[watch.key]
            await watch.looked.set()

    async def _pause(self, watch: _Watch) -> None:
        try:
            async with curio.timeout_after(watch.pause_s):
                await watch.hurry.wait()
        except curio.TaskTimeout:
            return
        watch.hurry.clear()
        await curio.sleep(GATHER_S)

    async def _settle(self, watch: _Watch, looked_at: float, found: Address) -> None:
        """
        Take what a look at an address found, and what became known of its back end.

        """
        ended = []
        for fingerprint, item in list(watch.breaks.items()):
            fate = self.fate(watch.server, item.at)
            if fate is Fate.UNKNOWN and found is Address.REFUSES and item.at <= looked_at:
                fate = Fate.ENDED
            if fate is Fate.UNKNOWN:
                await self._go_on(watch, item)
                continue
            del watch.breaks[fingerprint]
            if fate is Fate.LIVES:
                await self._dispel(watch, item)
                continue
            ended.append(item)
        if ended:
            await self._note_end(watch, ended)

    async def _go_on(self, watch: _Watch, item: _Break) -> None:
        watched_s = self.env.monotonic() - item.at
        if watched_s > TELL_AFTER_S:
            await self.suspects.publish(item.before.fingerprint)
        if watched_s > WATCHED_S:
            log.info('Never known whether a back end ended. server={}', watch.server.instance)
            del watch.breaks[item.before.fingerprint]
            await self._dispel(watch, item)

    async def _dispel(self, watch: _Watch, item: _Break) -> None:
        known = self.suspects.of(item.before.fingerprint)
        if watch.key in known.broken:
            await self.suspects.withdraw(known.without(watch.key))

    async def _note_end(self, watch: _Watch, ended: list[_Break]) -> None:
        fingerprints = sorted(item.before.fingerprint for item in ended)
        log.info(
            'Back end ended. server={} incarnation={} requests={} after_ms={:.0f} fingerprints={}',
            watch.server.instance,
            watch.server.incarnation,
            len(ended),
            (self.env.monotonic() - min(item.at for item in ended)) * 1000,
            ','.join(fingerprints),
        )
        for item in ended:
            known = self.suspects.of(item.before.fingerprint)
            if watch.key in known.broken:
                await self.suspects.note(known.with_ends(ends_after(item.before, known)))
                continue
            # It was cleared meanwhile.
            await self.suspects.note(item.before.with_end())

    async def look(self, server: Server) -> Address:
        """
        What becomes of a connection to a back end's address.

        """
        try:
            async with curio.timeout_after(PROBE_TIMEOUT_S):
                sock = await connect(server.host, server.port)
        except ConnectionRefusedError:
            return Address.REFUSES
        except (OSError, curio.TaskTimeout) as error:
            log.info(
                'Not known whether a back end ended. server={} error={}',
                server.instance,
                type(error).__name__,
            )
            return Address.SILENT
        await sock.close()
        self.env.metrics.count(self.env.metrics.connections, event='probe')
        return Address.ANSWERS
