"""
Messages about the replicated state: elections, the consensus log, proposals, and the distribution
of the configuration.

"""

from dataclasses import dataclass, field

from millfork_wire.messages.base import Message


@dataclass(slots=True)
class Member(Message):
    instance: str = ''
    disk: str = ''


@dataclass(slots=True)
class VoteRequest(Message):
    cluster: str = ''
    term: int = 0
    candidate: str = ''
    last_index: int = 0
    last_term: int = 0


@dataclass(slots=True)
class VoteReply(Message):
    term: int = 0
    granted: bool = False
    disk: str = ''


@dataclass(slots=True)
class Entry(Message):
    term: int = 0
    index: int = 0
    payload: bytes = b''


@dataclass(slots=True)
class AppendRequest(Message):
    cluster: str = ''
    term: int = 0
    leader: str = ''
    prev_index: int = 0
    prev_term: int = 0
    entries: list[Entry] = field(default_factory=list)
    commit: int = 0


@dataclass(slots=True)
class AppendReply(Message):
    term: int = 0
    ok: bool = False
    match: int = 0
    disk: str = ''
    # Whether the replica is about to stop and asks to be removed from the voters.
    leaving: bool = False


@dataclass(slots=True)
class InstallRequest(Message):
    cluster: str = ''
    term: int = 0
    leader: str = ''
    last_index: int = 0
    last_term: int = 0
    snapshot: bytes = b''


@dataclass(slots=True)
class Identify(Message):
    pass


@dataclass(slots=True)
class Identity(Message):
    disk: str = ''
    cluster: str = ''
    empty: bool = False


@dataclass(slots=True)
class Genesis(Message):
    cluster: str = ''
    members: list[Member] = field(default_factory=list)


@dataclass(slots=True)
class Propose(Message):
    command: bytes = b''


@dataclass(slots=True)
class Proposed(Message):
    ok: bool = False
    result: bytes = b''
    reason: str = ''
    leader: str = ''


@dataclass(slots=True)
class ReadState(Message):
    what: str = ''


@dataclass(slots=True)
class StateView(Message):
    ok: bool = False
    body: bytes = b''
    leader: str = ''


@dataclass(slots=True)
class Item(Message):
    key: str = ''
    value: bytes = b''
    revision: int = 0


@dataclass(slots=True)
class Subscribe(Message):
    cluster: str = ''
    revision: int = 0


@dataclass(slots=True)
class Update(Message):
    cluster: str = ''
    from_revision: int = 0
    revision: int = 0
    full: bool = False
    items: list[Item] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)
    age_ms: int = 0


@dataclass(slots=True)
class AskRevision(Message):
    pass


@dataclass(slots=True)
class RevisionIs(Message):
    cluster: str = ''
    revision: int = 0
    age_ms: int = 0


@dataclass(slots=True)
class Report(Message):
    instance: str = ''
    incarnation: int = 0
    sequence: int = 0
    body: bytes = b''


@dataclass(slots=True)
class Reports(Message):
    reports: list[Report] = field(default_factory=list)
    revision: int = 0
