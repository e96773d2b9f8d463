"""
A caller's request and a back end's answer, as the entry needs to know them.

"""

from dataclasses import dataclass
from typing import Final

from millfork_core.ids import UNTOLD_INCARNATION, Incarnation


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """
    What a caller's head says. `deadline_ms` is how long it will wait;
    `last_event_id` is the event after which a stream is to go on (None: from
    its beginning); tokens are those of the prompt and the most to be written;
    `prefix_parts` are the prompt's parts in order, each with its id and tokens.

    """

    request_id: str
    host: str
    path: str
    key: str = ''
    deadline_ms: int | None = None
    model: str = ''
    prompt_tokens: int = 0
    answer_tokens: int = 0
    prefix_parts: tuple[tuple[str, int], ...] = ()
    last_event_id: int | None = None


@dataclass(frozen=True, slots=True)
class PathSegment:
    """
    One back end of a path, and its layers from `first` to before `end`.

    """

    host: str
    port: int
    first: int
    end: int


@dataclass(frozen=True, slots=True)
class ForwardOptions:
    """
    What the entry adds to a request for one back end. Versions are those of
    weights; `resume_after` is the last event that the caller has. A caller's
    key is withheld where the entry has checked it. A path names the back ends
    that share a model's layers, the one addressed first.

    """

    instance: str
    deadline_ms: int
    organisation: str = ''
    omits_api_key: bool = False
    version: int | None = None
    priority: int | None = None
    resume_after: int | None = None
    path: tuple[PathSegment, ...] = ()


@dataclass(frozen=True, slots=True)
class Backpressure:
    """
    What a back end states about itself in the headers of a response: the requests per second
    that it accepts from all entries together (None: no limit), whether it is leaving, and for
    how many seconds the sender must not send it requests (None: it asks for no such pause).
    `invalid_headers` lists the headers that could not be parsed.

    """

    limit_per_s: float | None = None
    leaving: bool = False
    rest_s: float | None = None
    invalid_headers: str = ''


NO_BACKPRESSURE: Final = Backpressure()


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """
    What the head of a back end's answer says.

    `not_run` is the back end's word that it did not run the request; it
    also holds for an answer by another back end at the same address.
    `keep_alive_s` is how long an idle connection lasts (None: not told).

    """

    status: int
    request_id: str = ''
    not_run: bool = False
    misdirected: bool = False
    has_signature: bool = False
    closes_connection: bool = False
    keep_alive_s: float | None = None
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
    incarnation: Incarnation = UNTOLD_INCARNATION
    backpressure: Backpressure = NO_BACKPRESSURE


@dataclass(frozen=True, slots=True)
class PieceList:
    """
    The pieces of one version of a model: SHA-256 digests in hex, in order.

    """

    model: str
    version: int
    digests: tuple[str, ...]
