"""
Which back ends have ended, and under which requests.

An answer that breaks off may be the fault of a connection, of a link, or of one answer.
Whether the back end ended may show seconds later, so a request stays under suspicion until
its back end is known to have ended, or to live on. All that this entry had there then broke
off with it, so they are looked at together.

"""

from collections.abc import Callable
from functools import partial

from millfork_core.environment import Environment
from millfork_core.ids import IncarnationKey
from millfork_core.logs import Part, logger
from millfork_registry.suspects import Suspects, Suspicion
from millfork_scheduling.fates import Fate, fate_of
from millfork_scheduling.server import Server
from millforkd.suspecting import Suspecting
from millforkd.watching import WATCH_EVERY_S, WATCHED_S, Address, Break, Watch, look_at

log = logger(Part.PROXY)


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
        self.fate = fate
        self.suspecting = Suspecting(env, suspects)
        self.watches: dict[IncarnationKey, Watch[Suspicion]] = {}

    async def note_broken(self, server: Server, before: Suspicion) -> None:
        """
        An answer of a back end broke off; `before` is what was known of the request when
        it was sent there. Returns once the back end was looked at, or soon.

        """
        key = key_of(server)
        watch = self.watches.get(key)
        is_new = watch is None
        if watch is None:
            watch = self._watch(server, key)
            self.watches[key] = watch
        held = watch.breaks.get(before.fingerprint)
        if held is not None:
            before = max(held.item, before, key=lambda item: item.order)
        await watch.add(before.fingerprint, before)
        if is_new:
            await self.env.spawn(self._keep, watch, key)
        await self.suspecting.note_broken(before.fingerprint, key)
        await watch.until_looked()

    def _watch(self, server: Server, key: IncarnationKey) -> Watch[Suspicion]:
        return Watch(
            self.env,
            partial(self._look, server),
            lambda broken: self.fate(server, broken.at),
            partial(self._settle, key),
            WATCH_EVERY_S,
            WATCHED_S,
        )

    async def _keep(self, watch: Watch[Suspicion], key: IncarnationKey) -> None:
        try:
            await watch.run()
        finally:
            del self.watches[key]

    async def _settle(
        self, key: IncarnationKey, fate: Fate, broken: list[Break[Suspicion]]
    ) -> None:
        if fate is Fate.ENDED:
            self._log_end(key, broken)
        if fate is Fate.UNKNOWN:
            log.info('Never known whether a back end ended. incarnation={}', key)
        for item in broken:
            if fate is Fate.ENDED:
                await self.suspecting.note_end(item.item, key)
                continue
            await self.suspecting.note_no_end(item.item.fingerprint, key)

    def _log_end(self, key: IncarnationKey, broken: list[Break[Suspicion]]) -> None:
        log.info(
            'Back end ended. incarnation={} requests={} after_ms={:.0f} fingerprints={}',
            key,
            len(broken),
            (self.env.monotonic() - min(item.at for item in broken)) * 1000,
            ','.join(sorted(item.item.fingerprint for item in broken)),
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
