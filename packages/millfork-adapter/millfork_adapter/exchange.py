"""
Callers' requests, back ends' responses and engines' reports as typed values.

"""

from dataclasses import dataclass
from typing import Final

from millfork_core.ids import UNKNOWN_INCARNATION, Incarnation


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """
    The request line and headers of a caller's request. `key` is the API key; `deadline_ms` is
    how long the caller waits; `last_event_id` is the event after which a stream is to be
    resumed (None: from its beginning); `answer_tokens` is the maximum number of tokens to be
    generated; `prefix_parts` lists the parts of the prompt in order, each as id and tokens.

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
    One back end of a path; it computes the layers from `first` up to, but not including, `end`.

    """

    host: str
    port: int
    first: int
    end: int


@dataclass(frozen=True, slots=True)
class ForwardOptions:
    """
    The headers that the entry changes in a request for one back end. `version` is the version
    of the weights; `resume_after` is the last event that the caller has received;
    `omits_api_key` is set if the entry has checked the caller's key; `path` lists the back
    ends that share a model's layers, first the one to which the request is sent.

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
    The signals of a back end in the headers of a response: the requests per second
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
    The status and headers of a back end's response.

    `not_run` means that the back end did not run the request. It is also set if the response
    is `misdirected`: another back end than the one addressed answered at the same address.
    `keep_alive_s` is how long the back end keeps an idle connection (None: unspecified).

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
    An engine's state. Each entry of `served` holds a model, its version, the first layer and
    the exclusive end of the layers (None: all layers). The engine is slower than its declared
    speed if `pace` is above 1, and is carrying out an order if `busy` is set. A changed
    `incarnation` means that the engine restarted: its memory and the orders sent to it are lost.

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
    The pieces of one version of a model: their SHA-256 digests in hex, in order.

    """

    model: str
    version: int
    digests: tuple[str, ...]
