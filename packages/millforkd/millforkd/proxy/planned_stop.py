"""
The planned stop of an entry: which requests come too late for it, and how the requests are refused
that are in progress at its end.

"""

from typing import Final

from millfork_core.environment import Environment
from millfork_core.verdicts import Reason, Refusal, Verdict
from millforkd.proxy.job import Job

# A request that is complete later than this after the beginning of a planned stop may be cut off
# only by its own deadline.
LATE_IN_STOP_S: Final = 3.0
# The wait of a caller that is refused because this entry stops. Other entries can serve it at once.
STOPPING_WAIT_MS: Final = 100


class PlannedStop:
    """
    When the planned stop of this entry began, and when it has to end (monotonic seconds; infinity
    before its beginning).

    """

    def __init__(self, env: Environment) -> None:
        self.env = env
        self.began_at = float('inf')
        self.ends_at = float('inf')

    def begin(self, ends_at: float) -> None:
        """
        Begin the stop; its grace period ends at `ends_at` (monotonic seconds).

        """
        self.began_at = self.env.monotonic()
        self.ends_at = ends_at

    def may_cut_off(self, job: Job) -> bool:
        """
        Whether a job came so late in the stop that it might be cut off at the end. It has not run,
        and another entry can serve it.

        """
        is_late = job.received_at - self.began_at > LATE_IN_STOP_S
        return is_late and job.deadline > self.ends_at

    def late_refusal(self) -> Refusal:
        """
        The refusal of a job that comes too late.

        """
        return Refusal(
            Reason.STOPPING, detail='this entry is stopping', retry_after_ms=STOPPING_WAIT_MS
        )

    def final_refusal(self, job: Job) -> Refusal:
        """
        The refusal of a job that is in progress at the end of the stop.

        """
        may_have_run = job.was_connected or job.may_have_run
        return Refusal(
            Reason.STOPPING,
            Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN,
            'this entry has stopped',
            STOPPING_WAIT_MS,
        )
