"""
Which back ends have ended, and under which requests.

An answer that breaks off may be the fault of a connection, of a link, or of one answer;
only a back end whose address takes no connections any more has ended. All that this
entry had there then broke off with it, so they are looked at together.

"""

from dataclasses import dataclass, field
from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.ids import Fingerprint, InstanceId
from millfork_core.logs import Part, logger
from millfork_core.sockets import connect
from millfork_registry.suspects import Suspects, Suspicion
from millfork_scheduling.server import Server

# All that breaks off with a back end does so within a few milliseconds; and an address that
# closes at this moment may reset a connection before it refuses the next.
GATHER_S: Final = 0.01
LOOKS: Final = 2
# Zones are a few milliseconds apart; silence tells nothing, as behind a cut.
PROBE_TIMEOUT_S: Final = 0.4
# A request waits for the answer this long before it goes to the next back end: what it
# ended there is to count for it, and a look takes some ms where the address answers.
PROVE_WITHIN_S: Final = 0.05

log = logger(Part.PROXY)


@dataclass(slots=True)
class _Look:
    """
    One look at a back end, with what is known of the requests that broke off there from
    before they were sent.

    """

    broken: dict[Fingerprint, Suspicion] = field(default_factory=dict)
    done: curio.Event = field(default_factory=curio.Event)

    def add(self, before: Suspicion) -> None:
        held = self.broken.get(before.fingerprint, before)
        self.broken[before.fingerprint] = max(held, before, key=lambda item: item.order)


class Ends:
    """
    Looks at each back end under which answers broke off, once for all of them.

    """

    def __init__(self, env: Environment, suspects: Suspects) -> None:
        self.env = env
        self.suspects = suspects
        self.looks: dict[InstanceId, _Look] = {}

    async def note_broken(self, server: Server, before: Suspicion) -> None:
        """
        An answer of a back end broke off; `before` is what was known of the request when
        it was sent there. Returns once the back end was looked at, or soon.

        """
        look = self.looks.get(server.instance)
        if look is None:
            look = _Look()
            self.looks[server.instance] = look
            await self.env.spawn(self._look_at, server, look)
        look.add(before)
        try:
            async with curio.timeout_after(PROVE_WITHIN_S):
                await look.done.wait()
        except curio.TaskTimeout:
            log.debug('Not known yet whether a back end ended. server={}', server.instance)

    async def _look_at(self, server: Server, look: _Look) -> None:
        try:
            ended = await self._has_ended(server)
        finally:
            del self.looks[server.instance]
        if ended:
            log.info(
                'Back end ended. server={} requests={} fingerprints={}',
                server.instance,
                len(look.broken),
                ','.join(sorted(look.broken)),
            )
            for before in look.broken.values():
                await self.suspects.note(before.with_end())
        await look.done.set()

    async def _has_ended(self, server: Server) -> bool:
        for _ in range(LOOKS):
            await curio.sleep(GATHER_S)
            if server.replaced or await self._refuses(server):
                return True
        return False

    async def _refuses(self, server: Server) -> bool:
        """
        Whether nothing takes connections at a back end's address.

        """
        try:
            async with curio.timeout_after(PROBE_TIMEOUT_S):
                sock = await connect(server.host, server.port)
        except ConnectionRefusedError:
            return True
        except (OSError, curio.TaskTimeout) as error:
            log.info(
                'Not known whether a back end ended. server={} error={}',
                server.instance,
                type(error).__name__,
            )
            return False
        await sock.close()
        self.env.metrics.count(self.env.metrics.connections, event='probe')
        return False
