"""
Which back ends have ended, and under which requests.

An answer that breaks off may be the fault of a connection, of a link, or of one answer;
only a back end whose address takes no connections any more has ended. All that this
entry had there then broke off with it, so they are looked at together.

"""

from dataclasses import dataclass, field
from enum import Enum
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
# Zones are a few milliseconds apart; silence tells nothing yet, as behind a cut.
PROBE_TIMEOUT_S: Final = 0.4
# A request waits for the answer this long before it goes to the next back end: what it
# ended there is to count for it, and a look takes some ms where the address answers.
PROVE_WITHIN_S: Final = 0.05

# One that is silent is looked at again so often and for so long: an instance that lost power
# is back within seconds, and leases of what is behind a cut run out meanwhile.
WATCH_EVERY_S: Final = 0.5
WATCHED_S: Final = 20.0

log = logger(Part.PROXY)


class Address(Enum):
    """
    What becomes of a connection to an address.

    """

    ANSWERS = 'answers'
    REFUSES = 'refuses'
    SILENT = 'silent'


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
            found = await self._look_closely(server)
        finally:
            del self.looks[server.instance]
        if found is Address.REFUSES:
            await self._note_end(server, look)
        elif found is Address.SILENT:
            await self.env.spawn(self._watch, server, look)
        await look.done.set()

    async def _note_end(self, server: Server, look: _Look) -> None:
        log.info(
            'Back end ended. server={} requests={} fingerprints={}',
            server.instance,
            len(look.broken),
            ','.join(sorted(look.broken)),
        )
        for before in look.broken.values():
            await self.suspects.note(before.with_end())

    async def _watch(self, server: Server, look: _Look) -> None:
        """
        Look again at a back end that is silent, until it is known whether it ended: behind a
        cut it will be heard again, after a loss of power its address refuses at first.

        """
        began = self.env.monotonic()
        while self.env.monotonic() - began < WATCHED_S:
            await curio.sleep(WATCH_EVERY_S)
            if server.heard_at > began:
                return
            found = Address.REFUSES if server.replaced else await self.look(server)
            if found is Address.SILENT:
                continue
            if found is Address.REFUSES:
                await self._note_end(server, look)
            return
        log.info('Never known whether a back end ended. server={}', server.instance)

    async def _look_closely(self, server: Server) -> Address:
        """
        Look twice, as an address that closes may take one more connection.

        """
        found = Address.ANSWERS
        for _ in range(LOOKS):
            await curio.sleep(GATHER_S)
            found = Address.REFUSES if server.replaced else await self.look(server)
            if found is not Address.ANSWERS:
                break
        return found

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
