"""
Waiting for an answer to begin, and when to wait no longer.

"""

from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.verdicts import Reason, Verdict
from millforkd.proxy.admission import Admission
from millforkd.proxy.connections import SendFailed, ServerConnection
from millforkd.proxy.job import Attempt, Job

# A request that waits for its answer is looked after this often.
HEAD_POLL_S: Final = 0.25
# Under load a server sends this entry something many times in this time.
SILENT_SERVER_S: Final = 1.2
# A server that answers what was sent this much later has passed a request over, or
# its connection is silent while others work: requests of one rank begin in turn, and
# reading the longest prompt takes 0.2 s.
OVERTAKEN_S: Final = 0.3


class Waiting:
    """
    Looks after requests that were sent and have no answer yet.

    """

    def __init__(self, env: Environment, admission: Admission) -> None:
        self.env = env
        self.admission = admission

    async def read_head(
        self, job: Job, attempt: Attempt, connection: ServerConnection, version: int | None
    ) -> None:
        """
        Wait for an answer to begin. A request that may run again is taken
        back from a back end that will not begin it soon.

        """
        if not job.route.repeatable:
            await connection.read_head()
            return
        while True:
            try:
                async with curio.timeout_after(HEAD_POLL_S):
                    await connection.read_head()
                return
            except curio.TaskTimeout:
                self.check_engine(job, attempt, version)
                self.check_silence(job, attempt, connection)

    def check_engine(self, job: Job, attempt: Attempt, version: int | None) -> None:
        """
        :raises SendFailed: if the back end will not begin the request soon.

        """
        now = self.env.monotonic()
        engine = job.requirements.engine
        if engine is not None and version is not None:
            ends = self.admission.versions.ends_at(engine.model, version)
            if ends is not None and now > ends - HEAD_POLL_S:
                detail = f'version {version} ends before the request began'
                raise SendFailed(Reason.VERSION_MISMATCH, Verdict.MAY_HAVE_RUN, detail)
        for server in attempt.choice.servers:
            if server.replaced:
                detail = f'{server.instance} has started again'
                raise SendFailed(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, detail)
            if server.changing:
                detail = 'the engine changes its weights first'
                raise SendFailed(Reason.NOT_SERVABLE, Verdict.MAY_HAVE_RUN, detail)

    def check_silence(self, job: Job, attempt: Attempt, connection: ServerConnection) -> None:
        """
        :raises SendFailed: if nothing came for too long from the back end, or on
            this connection while the back end answers later requests.

        """
        now = self.env.monotonic()
        server = attempt.server
        silent_s = now - max(attempt.began, server.last_received_at)
        if server.answered_since(job.urgency, attempt.began + OVERTAKEN_S):
            silent_s = now - attempt.began
        if silent_s > SILENT_SERVER_S:
            connection.lost = True
            detail = f'nothing from the server for {silent_s:.1f} s'
            raise SendFailed(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, detail)
