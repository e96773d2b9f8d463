"""
Requests that entries reserved at an endpoint, from `Reserve` to `End`.

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
    How far a request has progressed at this endpoint. STARTED: the entry sent `Start`, but the
    request may still wait for a slot. SENT: the request was sent to the back end.

    """

    RESERVED = 'reserved'
    STARTED = 'started'
    SENT = 'sent'


@dataclass(slots=True)
class Reservation:
    """
    One request from its `Reserve` to its `End`. `deadline` is in monotonic seconds of this
    process. `version` is the version of the weights that the request was admitted to, empty for a
    plain service. `response` is the complete answer, kept only for a request with an idempotency
    key. `parts` and `bytes` count the parts of the answer's body that were sent to the entry, and
    their bytes.

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
    # The number of the back end's incarnation that the request was sent to.
    incarnation_number: int = 0
    # The incarnation that broke off the answer, if it ended or may have ended; else empty.
    interrupted_incarnation: IncarnationKey = NO_INCARNATION

    @property
    def verdict(self) -> Verdict:
        """
        The verdict if the request is cancelled at its present stage: NOT_RUN unless the request
        was sent to the back end.

        """
        return Verdict.MAY_HAVE_RUN if self.stage is Stage.SENT else Verdict.NOT_RUN
