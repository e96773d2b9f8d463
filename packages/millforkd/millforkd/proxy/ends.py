"""
Which back ends have ended, and under which requests.

An answer that breaks off may be the fault of a connection, of a link, or of one answer.
Whether the back end ended may show seconds later, so a request stays under suspicion until
its back end is known to have ended, or to live on. All that this entry had there then broke
off with it, so they are looked at together.

"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Final

from millfork_core.environment import Environment
from millfork_core.ids import Fingerprint, IncarnationKey
from millfork_core.logs import Part, logger
from millfork_registry.suspicion_store import Suspicion, SuspicionStore
from millfork_scheduling.fates import Fate, fate_of
from millfork_scheduling.server import Server
from millforkd.suspecting import Suspecting
from millforkd.watching import (
    LEFT_WATCHED_S,
    WATCH_EVERY_S,
    WATCHED_S,
    Address,
    Break,
    Watch,
    look_at,
)

log = logger(Part.PROXY)


# Requests whose callers left, of which it is remembered for so long.
LEFT_REMEMBERED_S: Final = 60.0
MOST_LEFT: Final = 1024


@dataclass(frozen=True, slots=True)
class Left:
    """
    A request whose caller left, at a moment in monotonic seconds; `before` is what was known
    of it when it was sent.

    """

    at: float
    server: Server
    before: Suspicion


@dataclass(frozen=True, slots=True)
class Sent:
    """
    A request as it was sent to a back end; `before` is what was known of it then. Its answer
    broke off, or its caller left before it came.

    """

    before: Suspicion
    caller_left: bool = False


def key_of(server: Server) -> IncarnationKey:
    return IncarnationKey(f'{server.instance}/{server.incarnation}')


class Ends:
    """
    Looks at each back end under which answers broke off, once for all of them.

    """

    def __init__(
        self,
        env: Environment,
        suspects: SuspicionStore,
        fate: Callable[[Server, float], Fate] = fate_of,
    ) -> None:
        self.env = env
        self.fate = fate
        self.suspecting = Suspecting(env, suspects)
        self.watches: dict[IncarnationKey, Watch[Sent]] = {}
        # When the caller of a request last left, and what had it then, by request.
        self.left: dict[Fingerprint, Left] = {}

    async def note_left(self, server: Server, before: Suspicion) -> None:
        """
        A caller left, or its time was up, before its back end answered. Nothing breaks off
        then if the back end ends, so from the second time on it is looked at.

        """
        now = self.env.monotonic()
        last = self.left.pop(before.fingerprint, None)
        self.left[before.fingerprint] = Left(now, server, before)
        if len(self.left) > MOST_LEFT:
            del self.left[next(iter(self.left))]
        if last is None or now - last.at > LEFT_REMEMBERED_S:
            return
        await self._add(server, Sent(before, caller_left=True))
        if now - last.at < LEFT_WATCHED_S:
            await self._add(last.server, Sent(last.before, caller_left=True))

    async def note_broken(self, server: Server, before: Suspicion) -> None:
        """
        An answer of a back end broke off; `before` is what was known of the request when
        it was sent there. Returns once the back end was looked at, or soon.

        """
        watch = await self._add(server, Sent(before))
        await self.suspecting.note_broken(before.fingerprint, key_of(server))
        await watch.until_looked()

    async def _add(self, server: Server, sent: Sent) -> Watch[Sent]:
        key = key_of(server)
        watch = self.watches.get(key)
        is_new = watch is None
        if watch is None:
            watch = self._watch(server, key)
            self.watches[key] = watch
        held = watch.breaks.get(sent.before.fingerprint)
        if held is not None:
            before = max(held.item.before, sent.before, key=lambda item: item.order)
            sent = Sent(before, sent.caller_left and held.item.caller_left)
        await watch.add(sent.before.fingerprint, sent, at_once=not sent.caller_left)
        if is_new:
            await self.env.spawn(self._keep, watch, key)
        return watch

    def _watch(self, server: Server, key: IncarnationKey) -> Watch[Sent]:
        return Watch(
            self.env,
            partial(self._look, server),
            partial(self._fate, server),
            partial(self._settle, key),
            WATCH_EVERY_S,
            WATCHED_S,
        )

    def _fate(self, server: Server, broken: Break[Sent]) -> Fate:
        fate = self.fate(server, broken.at)
        if fate is Fate.ENDED or not broken.item.caller_left:
            return fate
        # It may go on with the request while it answers others.
        is_over = self.env.monotonic() - broken.at > LEFT_WATCHED_S
        return Fate.LIVES if is_over else Fate.UNKNOWN

    async def _keep(self, watch: Watch[Sent], key: IncarnationKey) -> None:
        try:
            await watch.run()
        finally:
            del self.watches[key]

    async def _settle(self, key: IncarnationKey, fate: Fate, broken: list[Break[Sent]]) -> None:
        if fate is Fate.ENDED:
            self._log_end(key, broken)
        if fate is Fate.UNKNOWN:
            log.info('Never known whether a back end ended. incarnation={}', key)
        for item in broken:
            if fate is Fate.ENDED:
                if item.item.caller_left:
                    await self.suspecting.note_broken(item.item.before.fingerprint, key)
                await self.suspecting.note_end(item.item.before, key)
                continue
            await self.suspecting.note_no_end(item.item.before.fingerprint, key)

    def _log_end(self, key: IncarnationKey, broken: list[Break[Sent]]) -> None:
        log.info(
            'Back end ended. incarnation={} requests={} after_ms={:.0f} fingerprints={}',
            key,
            len(broken),
            (self.env.monotonic() - min(item.at for item in broken)) * 1000,
            ','.join(sorted(item.item.before.fingerprint for item in broken)),
        )

    async def _look(self, server: Server) -> Address:
        found = await self.look(server)
        if found is Address.ANSWERS:
            self.env.metrics.count(self.env.metrics.connections, event='probe')
        return found

    async def look(self, server: Server) -> Address:
        """
        What becomes of a connection to a back end's address.

        """
        return await look_at(server.host, server.port)
