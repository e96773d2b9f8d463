"""
Requests that an entry reserved a place for.

"""

from dataclasses import dataclass, field
from enum import Enum

import curio

from millfork_core.ids import NO_INCARNATION, IncarnationKey
from millfork_core.verdicts import Verdict
from millfork_routing.limits import Waiter
from millfork_web.models import Response
from millfork_wire.connection import Connection
from millfork_wire.messages import Reserve


class Stage(Enum):
    """
    How far a request has come here.

    """

    RESERVED = 'reserved'
    STARTED = 'started'
    SENT = 'sent'


@dataclass(slots=True)
class Reservation:
    """
    One request from its `Reserve` to its `End`; `deadline` is its deadline on
    this process's monotonic clock, `version` the weights it was admitted to.
    `response` gathers the answer of a request with an idempotency key.

    """

    request: Reserve
    connection: Connection
    version: str
    deadline: float
    waiter: Waiter
    stage: Stage = Stage.RESERVED
    started: curio.Event = field(default_factory=curio.Event)
    task: curio.Task | None = None
    parts: int = 0
    bytes: int = 0
    response: Response | None = None
    # The number of the back end's incarnation that it was sent to.
    incarnation_number: int = 0
    # The back end's incarnation, if the answer broke off and it ended, or may have.
    interrupted_incarnation: IncarnationKey = NO_INCARNATION

    @property
    def verdict(self) -> Verdict:
        """
        What can be said if it ends now: before anything went to the back
        end, nothing ran.

        """
        return Verdict.MAY_HAVE_RUN if self.stage is Stage.SENT else Verdict.NOT_RUN
