"""
What back ends say of themselves: taken from their answers, logged and counted.

"""

from collections.abc import Iterable

from millfork_adapter.exchange import AnswerHead
from millfork_core.environment import Environment
from millfork_core.logs import Part, logger
from millfork_scheduling.availability import SignalChange, ToldBy
from millfork_scheduling.server import Server
from millforkd.proxy.job import Job

log = logger(Part.PROXY)


class BackpressureRecorder:
    """
    Takes what was told of back ends.

    """

    def __init__(self, env: Environment) -> None:
        self.env = env

    def take_answer(self, job: Job, server: Server, head: AnswerHead, sent_at: float) -> None:
        """
        Take what an answer says of the back end that gave it, to a job that was sent there at
        a moment (monotonic seconds).

        """
        told = head.backpressure
        if told.unread:
            self.env.metrics.count(
                self.env.metrics.backpressure, signal='unread', event='', told_by='answer'
            )
            log.warning(
                'A back end says of itself what can not be read. server={} id={} {}',
                server.instance,
                job.caller.request_id,
                told.unread,
            )
        now = self.env.monotonic()
        changes = server.availability.take_answer(told, sent_at, now, head.not_run)
        self.note(server, changes, ToldBy.ANSWER, job.caller.request_id)
        if not head.not_run:
            server.note_taken(sent_at)
        elif not head.elsewhere:
            server.note_turned_away(sent_at, now)

    def note(
        self,
        server: Server,
        changes: Iterable[SignalChange],
        told_by: ToldBy,
        request_id: str = '',
    ) -> None:
        """
        Log and count what changed.

        """
        for change in changes:
            self.env.metrics.count(
                self.env.metrics.backpressure,
                signal=change.signal.value,
                event=change.event.value,
                told_by=told_by.value,
            )
            log.info(
                'Back end signal. server={} incarnation={} signal={} event={} value={:g} '
                'told_by={} id={}',
                server.instance,
                server.incarnation,
                change.signal.value,
                change.event.value,
                change.value,
                told_by.value,
                request_id,
            )
