"""
Applies, logs and counts the backpressure signals of back ends.

"""

from collections.abc import Iterable

from millfork_adapter.exchange import AnswerHead
from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_scheduling.availability import SignalChange, SignalSource
from millfork_scheduling.server import Server
from millforkd.proxy.job import Job

log = logger(Component.PROXY)


class BackpressureRecorder:
    """
    Updates the availability of back ends from the signals in their answers. Logs and counts the
    changes of signals, including changes that endpoint daemons reported.

    """

    def __init__(self, env: Environment) -> None:
        self.env = env

    def record_answer(self, job: Job, server: Server, head: AnswerHead, sent_at: float) -> None:
        """
        Apply the signals in a back end's answer to a job that was sent at `sent_at` (monotonic
        seconds), and record whether the back end accepted the job or turned it away. A job that the
        back end refused as sent to the wrong back end (`misdirected`) counts as neither.

        """
        signals = head.backpressure
        if signals.invalid_headers:
            self.env.metrics.count(
                self.env.metrics.backpressure, signal='unread', event='', told_by='answer'
            )
            log.warning(
                'A backpressure signal cannot be read. server={} id={} {}',
                server.instance,
                job.caller.request_id,
                signals.invalid_headers,
            )
        now = self.env.monotonic()
        changes = server.availability.apply_answer(signals, sent_at, now, head.not_run)
        self.record(server, changes, SignalSource.ANSWER, job.caller.request_id)
        if not head.not_run:
            server.record_accepted(sent_at)
        elif not head.misdirected:
            server.record_turned_away(sent_at, now)

    def record(
        self,
        server: Server,
        changes: Iterable[SignalChange],
        source: SignalSource,
        request_id: str = '',
    ) -> None:
        """
        Log and count changes of a back end's signals that were learned from `source`.

        """
        for change in changes:
            self.env.metrics.count(
                self.env.metrics.backpressure,
                signal=change.signal.value,
                event=change.event.value,
                told_by=source.value,
            )
            log.info(
                'Back end signal. server={} incarnation={} signal={} event={} value={:g} '
                'told_by={} id={}',
                server.instance,
                server.incarnation,
                change.signal.value,
                change.event.value,
                change.value,
                source.value,
                request_id,
            )
