"""
A caller's request between an entry and an endpoint, in two steps.

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
    # Of the back end, where the answer broke off and it ended, or may have.
    incarnation: str = ''


@dataclass(slots=True)
class BackEndFate(Message):
    """
    What became of a back end under which a request broke off, once that is known.

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
    # Of the back end, if it had the request.
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
    # When the endpoint's process started, in ns since 1970.
    start: int = 0
