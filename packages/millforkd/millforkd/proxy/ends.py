"""
Which back ends have ended, and under which requests.

An answer that breaks off may be the fault of a connection, of a link, or of one answer;
only a back end whose address takes no connections any more has ended. All that this
entry had there then broke off with it, so they are looked at together.

"""

from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.ids import Fingerprint, InstanceId
from millfork_core.logs import Part, logger
from millfork_core.sockets import connect
from millfork_scheduling.server import Server

# All that breaks off with a back end does so within a few milliseconds.
GATHER_S: Final = 0.01
# An address that closes at this moment may reset a connection before it refuses the next.
LOOKS: Final = 2
# Zones are a few milliseconds apart; silence tells nothing, as behind a cut.
PROBE_TIMEOUT_S: Final = 0.4

log = logger(Part.PROXY)


class Ends:
    """
    Looks at each back end under which answers broke off, once for all of them.

    """

    def __init__(self, env: Environment) -> None:
        self.env = env
        # By back end that is being looked at: the requests that broke off there.
        self.broken: dict[InstanceId, set[Fingerprint]] = {}

    async def note_broken(self, server: Server, fingerprint: Fingerprint) -> None:
        """
        An answer of a back end broke off, after a request was sent to it.

        """
        gathered = self.broken.get(server.instance)
        if gathered is not None:
            gathered.add(fingerprint)
            return
        self.broken[server.instance] = {fingerprint}
        await self.env.spawn(self._look_at, server)

    async def _look_at(self, server: Server) -> None:
        try:
            ended = False
            for _ in range(LOOKS):
                await curio.sleep(GATHER_S)
                ended = ended or server.replaced or await self._refuses(server)
        finally:
            fingerprints = self.broken.pop(server.instance)
        if not ended:
            return
        log.info(
            'Back end ended. server={} requests={} fingerprints={}',
            server.instance,
            len(fingerprints),
            ','.join(sorted(fingerprints)),
        )

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
