"""
One caller's request on its way: what it needs, and what became of it so far.

"""

from dataclasses import dataclass, field
from typing import Final

from millfork_adapter.exchange import CallerRequest
from millfork_core.ids import Fingerprint, InstanceId
from millfork_core.verdicts import Reason, Verdict
from millfork_routing.documents import Organisation, Route
from millfork_scheduling.admission import NO_START_ESTIMATE, StartEstimate
from millfork_scheduling.placement import Choice, Requirements
from millfork_scheduling.server import Server
from millfork_web.server import Exchange

# The rank at an engine of a request whose route has the usual rank.
USUAL_URGENCY: Final = 5
USUAL_PRIORITY: Final = 1
LEAST_URGENCY: Final = 9


@dataclass(slots=True)
class Attempt:
    """
    One sending of a job, counted at its back end while it lasts.

    """

    choice: Choice
    began: float
    unread: bool = True

    @property
    def server(self) -> Server:
        return self.choice.server

    def begin(self) -> None:
        self.server.own_requests += 1
        self.server.own_unread += 1

    def note_first(self) -> None:
        """
        The first token is here.

        """
        if self.unread:
            self.unread = False
            self.server.own_unread -= 1

    def end(self) -> None:
        self.note_first()
        self.server.own_requests -= 1


@dataclass(frozen=True, slots=True)
class Failed:
    """
    One attempt that brought the caller no answer.

    """

    reason: Reason
    verdict: Verdict
    detail: str
    # False: nothing was sent, so the next sending repeats no more than this one would have.
    sent: bool = True


@dataclass(frozen=True, slots=True)
class HeldAnswer:
    """
    A back end's own failure, kept in case that no other does better.

    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes


@dataclass(slots=True)
class Job:
    """
    One request. Times are monotonic seconds; `deadline` is when the caller
    or the route gives it up, whichever is first.

    """

    exchange: Exchange
    caller: CallerRequest
    route: Route
    organisation: Organisation | None
    requirements: Requirements
    priority: int
    began: float
    deadline: float
    document_version: int
    # The time since the caller's first try, in ms, as far as is known; 0: this is it.
    elapsed_ms: int = 0
    # Whether what is left to the caller can't tell that, and nobody was asked yet.
    is_undecided: bool = False
    # What was expected of it when it was last weighed.
    start_estimate: StartEstimate = NO_START_ESTIMATE
    tried: list[InstanceId] = field(default_factory=list)
    failures: list[Failed] = field(default_factory=list)
    # The version of the weights that the last sending named (0: none), and how long before
    # its end that was, in ms (infinity: no newer one was named).
    sent_version: int = 0
    sent_before_end_ms: float = float('inf')
    held: HeldAnswer | None = None
    status: int = 0
    first_at: float | None = None
    # The last event that the caller has, once its answer has begun.
    last_event: int | None = None
    started: bool = False
    caller_gone: bool = False
    # What it says, once somebody asked.
    fingerprint: Fingerprint | None = None
    # The back ends that have it and did not answer yet.
    unanswered: tuple[Server, ...] = ()

    @property
    def urgency(self) -> int | None:
        """
        The rank at an engine (0 first), by the rank of route or organisation
        alone: an engine serves those of one rank in the order in which they
        come, which is what the time to a first token is predicted from.

        """
        if self.requirements.engine is None:
            return None
        return min(max(USUAL_URGENCY + self.priority - USUAL_PRIORITY, 0), LEAST_URGENCY)

    @property
    def may_have_run(self) -> bool:
        return any(failed.verdict is not Verdict.NOT_RUN for failed in self.failures)

    @property
    def resume_after(self) -> int | None:
        """
        The event after which another back end is to go on.

        """
        return self.last_event if self.last_event is not None else self.caller.last_event_id

    def left_s(self, now: float) -> float:
        return self.deadline - now
