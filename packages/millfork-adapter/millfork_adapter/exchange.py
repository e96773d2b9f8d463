"""
A caller's request and a back end's answer, as the entry needs to know them.

"""

from dataclasses import dataclass
from typing import Final

from millfork_core.ids import UNKNOWN_INCARNATION, Incarnation


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """
    What a caller's head says. `deadline_ms` is how long it will wait;
    `last_event_id` is the event after which a stream is to go on (None: from
    its beginning); tokens are those of the prompt and the most to be written;
    `parts` are the prompt's parts in order, each with its id and tokens.

    """

    request_id: str
    host: str
    path: str
    key: str = ''
    deadline_ms: int | None = None
    model: str = ''
    prompt_tokens: int = 0
    answer_tokens: int = 0
    parts: tuple[tuple[str, int], ...] = ()
    last_event_id: int | None = None


@dataclass(frozen=True, slots=True)
class PathPart:
    """
    One back end of a path, and its layers from `first` to before `end`.

    """

    host: str
    port: int
    first: int
    end: int


@dataclass(frozen=True, slots=True)
class SendOrders:
    """
    What the entry adds to a request for one back end. Versions are those of
    weights; `resume_after` is the last event that the caller has. A caller's
    key is withheld where the entry has checked it. A path names the back ends
    that share a model's layers, the one addressed first.

    """

    instance: str
    deadline_ms: int
    organisation: str = ''
    withholds_key: bool = False
    version: int | None = None
    priority: int | None = None
    resume_after: int | None = None
    path: tuple[PathPart, ...] = ()


@dataclass(frozen=True, slots=True)
class Backpressure:
    """
    What a back end says of itself in the head of an answer: the requests a second that it
    takes from all entries together (None: no limit), whether it leaves, and for how many
    seconds it wants nothing of the one it answers (None: it asks for no rest). `unread` tells
    what makes no sense.

    """

    limit_per_s: float | None = None
    leaving: bool = False
    rest_s: float | None = None
    unread: str = ''


NO_BACKPRESSURE: Final = Backpressure()


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """
    What the head of a back end's answer says.

    `not_run` is the back end's word that it did not run the request; it
    also holds for an answer by another back end at the same address.
    `keep_s` is how long an idle connection lasts (None: not told).

    """

    status: int
    request_id: str = ''
    not_run: bool = False
    elsewhere: bool = False
    signed: bool = False
    closing: bool = False
    keep_s: float | None = None
    backpressure: Backpressure = NO_BACKPRESSURE


@dataclass(frozen=True, slots=True)
class EngineReport:
    """
    An engine's state. `served` names model, version, first layer, and the
    layer before which it ends (None: the model whole). The memory of an incarnation
    before this one is gone, and its orders.

    """

    running: int
    queued: int
    tokens_used: int
    tokens_total: int
    pace: float
    busy: bool
    served: tuple[tuple[str, int, int, int | None], ...]
    incarnation: Incarnation = UNKNOWN_INCARNATION
    backpressure: Backpressure = NO_BACKPRESSURE


@dataclass(frozen=True, slots=True)
class PieceList:
    """
    The pieces of one version of a model: SHA-256 digests in hex, in order.

    """

    model: str
    version: int
    digests: tuple[str, ...]
