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
    how long the caller waits (None: unspecified); `last_event_id` is the event after which a
    stream is to be resumed (None: from its beginning); `answer_tokens` is the maximum number of
    tokens to be generated; `prefix_parts` lists the parts of the prompt in order, each as its id
    and its number of tokens.

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
    One of several back ends that share a model's layers: it computes the layers from `first` up
    to, but not including, `end`.

    """

    host: str
    port: int
    first: int
    end: int


@dataclass(frozen=True, slots=True)
class ForwardOptions:
    """
    What the entry changes in the headers of a caller's request for one back end. `version` is
    the version of the weights; `resume_after` is the last event that the caller has received
    (None: the caller's own header stays); `omits_api_key` is set if the entry has checked the
    caller's key; `path` lists the back ends that share a model's layers, starting with the one to
    which the request is sent.

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
    What a back end signals in the headers of a response. `limit_per_s`: how many requests per
    second it accepts from all entries together (None: no limit). `leaving`: whether it is
    leaving. `rest_s`: for how many seconds the entry must send it no requests (None: no pause).
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

    `request_id` is the id of the request that the response answers (empty: none, or several that
    differ). `not_run` means that the back end did not run the request. `misdirected` means that the
    response came from another back end than the addressed one, at the same address; `not_run` is
    then set too. `has_signature` means that the response has the header by which a back end
    identifies itself, and `is_encoded` that its body has a content coding. `keep_alive_s` is how
    long the back end keeps an idle connection (None: unspecified).

    """

    status: int
    request_id: str = ''
    not_run: bool = False
    misdirected: bool = False
    has_signature: bool = False
    is_encoded: bool = False
    closes_connection: bool = False
    keep_alive_s: float | None = None
    backpressure: Backpressure = NO_BACKPRESSURE


@dataclass(frozen=True, slots=True)
class EngineReport:
    """
    An engine's state. `tokens_used` and `tokens_total` measure engine memory in tokens times
    layers: the part that cannot be freed, and the total. Each item of `served` holds a model, its
    version, the first layer and the exclusive end of the layers (None: all layers). If `pace` is
    above 1, the engine is slower than its declared speed; if `busy` is set, the engine is carrying
    out a load order. A changed `incarnation` means that the engine restarted and lost its memory
    and the load orders sent to it. `orders` counts the orders that the engine has begun since then;
    None if the engine doesn't tell.

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
    orders: int | None = None


@dataclass(frozen=True, slots=True)
class PieceList:
    """
    The SHA-256 digests, in hex, of the pieces into which one version of a model's weights is
    split, in the order of the pieces.

    """

    model: str
    version: int
    digests: tuple[str, ...]
