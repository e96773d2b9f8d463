"""
The state of one caller's request: its requirements, attempts and answer.

"""

from dataclasses import dataclass, field
from typing import Final

from millfork_adapter.exchange import CallerRequest
from millfork_core.ids import Fingerprint, InstanceId
from millfork_core.verdicts import Verdict
from millfork_routing.documents import Organisation, Route
from millfork_scheduling.admission import NO_START_ESTIMATE, StartEstimate
from millfork_scheduling.placement import Requirements
from millfork_web.exchange import Exchange
from millfork_web.framing import Framing
from millforkd.proxy.attempts import AnswerRace, FailedAttempt

# The urgency (queue rank at an engine; 0 is served first) of a request with the usual priority.
USUAL_URGENCY: Final = 5
# The priority of a route or organisation that maps to USUAL_URGENCY.
USUAL_PRIORITY: Final = 1
# The highest queue rank that a request is sent with; engines serve it last.
LEAST_URGENCY: Final = 9
# The greatest number of parts of a prompt that a log line names.
MAX_LOGGED_PARTS: Final = 8


@dataclass(frozen=True, slots=True)
class HeldAnswer:
    """
    An error answer of a back end, passed on to the caller only if all further attempts fail.

    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes


@dataclass(slots=True)
class Job:
    """
    One caller's request. Moments are in monotonic seconds; `deadline` is the earlier of the
    caller's and the route's deadline.

    """

    exchange: Exchange
    caller: CallerRequest
    route: Route
    organisation: Organisation | None
    requirements: Requirements
    priority: int
    received_at: float
    deadline: float
    document_version: int
    # The time between the caller's first try and `received_at`; 0 if this is the first try, or if
    # no earlier one is known.
    elapsed_ms: int = 0
    # Set if the caller's deadline doesn't show whether this is the first try, and the turned-away
    # directory (the requests that entries of the zone refused recently) wasn't asked yet.
    needs_first_try_lookup: bool = False
    # The expected start at an engine, as of the last decision on whether to send the job.
    start_estimate: StartEstimate = NO_START_ESTIMATE
    # The back ends to which the request was sent, or to which no connection could be opened.
    tried: list[InstanceId] = field(default_factory=list)
    failures: list[FailedAttempt] = field(default_factory=list)
    # The version of the weights that the last attempt requested (0: none).
    sent_version: int = 0
    # The time in ms from the last send to an engine until requests for `sent_version` that have not
    # begun are cancelled; infinity if no newer version was known.
    version_remaining_ms: float = float('inf')
    held_answer: HeldAnswer | None = None
    # The status of the back end's answer that was passed on; 0 if there was none.
    status: int = 0
    # What ended the body of the answer that was passed on last; None if there was none.
    framing: Framing | None = None
    # The number of bytes after the last complete event of a stream that was passed on to its end.
    unfinished_bytes: int = 0
    first_byte_at: float | None = None
    # The id of the last event passed on to the caller; None if no event with an id was passed on.
    last_event: int | None = None
    answer_started: bool = False
    caller_gone: bool = False
    # Whether a second attempt was sent beside a slow one.
    had_second_attempt: bool = False
    # Whether it was recorded that the caller left, or the deadline passed, before an answer.
    left_recorded: bool = False
    # None until the fingerprint of the request is first needed.
    fingerprint: Fingerprint | None = None
    # The fingerprints of the parts of the prompt; None until they are first needed.
    part_fingerprints: tuple[Fingerprint, ...] | None = None
    # The parts of the prompt for which the job was refused.
    quarantined_parts: tuple[Fingerprint, ...] = ()
    race: AnswerRace = field(default_factory=AnswerRace)
    # Whether the next attempt needs no retry from the budget: one was reserved for it, or taken for
    # an attempt that then sent nothing.
    retry_paid: bool = False
    # Whether a connection to a back end was opened for the job, so that it may have been sent.
    was_connected: bool = False
    # Whether the entry has stopped before the job had an answer.
    ended_by_stop: bool = False
    # The quarantined parts of a trial that was claimed for an attempt which then sent nothing.
    unsent_trial: tuple[Fingerprint, ...] = ()

    @property
    def urgency(self) -> int | None:
        """
        The queue rank at an engine (0 is served first); None for a service without engines. The
        rank depends only on the priority of the route or organisation: an engine serves requests
        of one rank in order of arrival, and the predicted time to the first token relies on that.

        """
        if self.requirements.engine is None:
            return None
        return min(max(USUAL_URGENCY + self.priority - USUAL_PRIORITY, 0), LEAST_URGENCY)

    @property
    def may_have_run(self) -> bool:
        return any(failed.verdict is not Verdict.NOT_RUN for failed in self.failures)

    @property
    def may_be_repeated(self) -> bool:
        """
        Whether another back end may run the request after one has: only for repeatable routes, and
        once an answer has begun only if it is a stream that can be resumed after its last event.

        """
        if not self.route.repeatable:
            return False
        return not self.answer_started or self.last_event is not None

    @property
    def resume_after(self) -> int | None:
        """
        The id of the event after which another back end resumes the stream; None if the stream
        starts from its beginning.

        """
        return self.last_event if self.last_event is not None else self.caller.last_event_id

    @property
    def logged_parts(self) -> str:
        """
        The fingerprints of the first parts of the prompt, for log lines; empty if none was needed.

        """
        return ','.join((self.part_fingerprints or ())[:MAX_LOGGED_PARTS])

    def remaining_s(self, now: float) -> float:
        return self.deadline - now
