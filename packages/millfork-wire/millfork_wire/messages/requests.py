"""
Messages about a caller's request between an entry and an endpoint. An entry reserves a slot
for the request first, then starts the request.

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
    # under which the entry claimed it; both empty if no key was claimed.
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
    # The incarnation of the back end that ran the request, if the response broke off and the back
    # end ended or may have ended; otherwise empty.
    incarnation: str = ''


@dataclass(slots=True)
class BackEndFate(Message):
    """
    Tells an entry whether the back end whose response to a request broke off has ended. The
    endpoint sends this event once it has determined the status of the back end.

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
    # The incarnation of the back end, if the request had been sent to the back end; otherwise
    # empty.
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
