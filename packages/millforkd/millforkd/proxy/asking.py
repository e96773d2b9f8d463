"""
Asking the daemons beside a few engines for what runs and waits there now.

An engine is chosen by reports that are up to 0.3 s old; where that may mislead, the daemons
beside the engines compared are asked first. Nobody is waited for long: an answer that comes
late is taken for the next choice, and its daemon is not waited for again for a while.

"""

from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.ids import Incarnation
from millfork_core.logs import Part, logger
from millfork_scheduling.asking import is_worth_asking
from millfork_scheduling.book import ServerBook
from millfork_scheduling.server import Load, Server
from millfork_wire.connection import Connection
from millfork_wire.messages import AskLoad, EngineLoad
from millfork_wire.peers import Peers
from millforkd.proxy.questions import Questions

# A caller waits for loads this long at most.
WAIT_S: Final = 0.02
# After this an answer says no more than the next report will.
ANSWER_TIMEOUT_S: Final = 0.15
# A daemon that did not answer in time is not asked again for so long.
PASSED_OVER_S: Final = 0.5

log = logger(Part.PROXY)


class LoadQuestions:
    """
    What one entry asks the daemons beside engines.

    """

    def __init__(self, env: Environment, peers: Peers, book: ServerBook) -> None:
        self.env = env
        self.book = book
        self.questions = Questions(env, peers, 'load_untold', PASSED_OVER_S)

    async def refresh(self, servers: list[Server]) -> None:
        """
        Bring the loads of some engines up to date where the choice may hang on them; returns
        once all that were asked have answered, or after `WAIT_S`.

        """
        if not is_worth_asking(servers, self.env.monotonic(), self.book.entries()):
            return
        asked = []
        for server in servers:
            if not server.daemon:
                continue
            connection = await self.questions.connection(server.daemon)
            if connection is None:
                continue
            asked.append(await self.env.spawn(self._ask, server, connection))
        try:
            async with curio.timeout_after(WAIT_S):
                for task in asked:
                    await task.wait()
        except curio.TaskTimeout:
            self.env.metrics.count(self.env.metrics.wire, event='load_late')

    async def _ask(self, server: Server, connection: Connection) -> None:
        asked_at = self.env.monotonic()
        daemon = server.daemon
        mine, mine_unread = server.mine, server.mine_unread
        reply = await self.questions.ask(daemon, connection, AskLoad(), ANSWER_TIMEOUT_S)
        now = self.env.monotonic()
        if reply is None or now - asked_at > WAIT_S:
            self.questions.silent.mark_silent(daemon)
        if not isinstance(reply, EngineLoad) or not reply.known:
            return
        if server.is_another(Incarnation(reply.incarnation)):
            log.info('Told of the load of another engine. server={}', server.instance)
            return
        load = Load(reply.running, reply.queued, reply.pace_percent / 100, mine, mine_unread)
        server.take_load(load, now)
