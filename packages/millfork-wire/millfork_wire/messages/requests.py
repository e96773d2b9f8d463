"""
Messages between an entry and an endpoint, about a caller's request and about the endpoint's load.
An entry reserves a slot for a request first, then starts the request.

"""

from dataclasses import dataclass, field

from millfork_wire.messages.base import Message


@dataclass(slots=True)
class Header(Message):
    name: str = ''
    value: str = ''


@dataclass(slots=True)
class Reserve(Message):
    request_id: str = ''
    organisation: str = ''
    service: str = ''
    deadline_ms: int = 0
    priority: int = 0
    method: str = ''
    path: str = ''
    headers: list[Header] = field(default_factory=list)
    body: bytes = b''
    # The key under which the replicated state stores the request's idempotency key, and the id
    # under which the entry claimed the idempotency key; both empty if the entry claimed none.
    key: str = ''
    attempt: str = ''


@dataclass(slots=True)
class Reserved(Message):
    ok: bool = False
    reason: str = ''
    detail: str = ''
    retry_after_ms: int = 0
    version: str = ''


@dataclass(slots=True)
class Start(Message):
    request_id: str = ''


@dataclass(slots=True)
class Head(Message):
    request_id: str = ''
    status: int = 0
    headers: list[Header] = field(default_factory=list)


@dataclass(slots=True)
class Part(Message):
    request_id: str = ''
    sequence: int = 0
    data: bytes = b''


@dataclass(slots=True)
class End(Message):
    request_id: str = ''
    parts: int = 0
    bytes: int = 0
    reason: str = ''
    verdict: str = ''
    detail: str = ''
    # The key of the incarnation (process life) of the back end that ran the request, if the
    # response broke off and the back end ended or may have ended; otherwise empty.
    incarnation: str = ''


@dataclass(slots=True)
class BackEndFate(Message):
    """
    Tells an entry whether the back end of an interrupted request has ended. A request is
    interrupted if its response broke off, or if the entry cancelled the request. The endpoint sends
    this event once it has determined the status of the back end; `ended` is not set if the back end
    lives or its status stays unknown.

    """

    request_id: str = ''
    ended: bool = False


@dataclass(slots=True)
class Cancel(Message):
    request_id: str = ''


@dataclass(slots=True)
class Cancelled(Message):
    request_id: str = ''
    verdict: str = ''
    # The key of the incarnation (process life) of the back end, if the request had been sent to
    # the back end; otherwise empty.
    incarnation: str = ''


@dataclass(slots=True)
class Leaving(Message):
    instance: str = ''


@dataclass(slots=True)
class ServedVersion(Message):
    service: str = ''
    version: str = ''


@dataclass(slots=True)
class Load(Message):
    running: int = 0
    queued: int = 0
    limit: int = 0
    leaving: bool = False
    served: list[ServedVersion] = field(default_factory=list)
    # The start time of the endpoint's process, in ns since 1970.
    start: int = 0
