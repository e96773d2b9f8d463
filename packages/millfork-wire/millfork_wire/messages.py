"""
Typed messages: one dataclass for each struct of `millfork.capnp`.

Field names are the schema's, in snake case.

"""

from dataclasses import dataclass, field

PROTOCOL_VERSION = 1


class Message:
    """
    Base of every message that may stand in a frame.

    """

    __slots__ = ()


@dataclass(slots=True)
class Hello(Message):
    version: int = 0
    instance: str = ''
    zone: str = ''
    role: str = ''
    nonce: bytes = b''
    target: str = ''


@dataclass(slots=True)
class Proof(Message):
    mac: bytes = b''


@dataclass(slots=True)
class Ping(Message):
    pass


@dataclass(slots=True)
class Done(Message):
    ok: bool = False


@dataclass(slots=True)
class Failure(Message):
    reason: str = ''
    detail: str = ''


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
class VersionSwitch(Message):
    """
    A version of a model's weights that was named lately, and for how long requests may
    still begin on an older one.

    """

    model: str = ''
    version: int = 0
    left_ms: int = 0


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


@dataclass(slots=True)
class Cancel(Message):
    request_id: str = ''


@dataclass(slots=True)
class Cancelled(Message):
    request_id: str = ''
    verdict: str = ''


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


@dataclass(slots=True)
class GetManifest(Message):
    digest: str = ''
    # Whether the one asked is to draw it from the origin, not to ask another.
    draw: bool = False


@dataclass(slots=True)
class Manifest(Message):
    found: bool = False
    body: bytes = b''
    whole: bool = False
    reason: str = ''


@dataclass(slots=True)
class GetChunk(Message):
    manifest: str = ''
    index: int = 0
    wait_ms: int = 0
    # Whether the one asked is to draw it from the origin, not to ask another.
    draw: bool = False


@dataclass(slots=True)
class Chunk(Message):
    found: bool = False
    data: bytes = b''
    reason: str = ''


@dataclass(slots=True)
class FindReplicas(Message):
    instance: str = ''
    cluster: str = ''
    entries: int = 0


@dataclass(slots=True)
class CacheAddress(Message):
    """
    An instance that keeps pieces of weights for the daemons of its zone.

    """

    instance: str = ''
    zone: str = ''


@dataclass(slots=True)
class Replicas(Message):
    cluster: str = ''
    leader: str = ''
    known: list[str] = field(default_factory=list)
    age_ms: int = 0
    entries: int = 0
    caches: list[CacheAddress] = field(default_factory=list)
    # The availability zone of the replica that answers.
    zone: str = ''
    # The versions named lately, as far as it was told of them.
    switches: list[VersionSwitch] = field(default_factory=list)


@dataclass(slots=True)
class Follow(Message):
    role: str = ''
    cluster: str = ''
    revision: int = 0


@dataclass(slots=True)
class AskFeed(Message):
    """
    Asked of another follower where no replica can be reached: configuration since a
    revision, and what changed of leases and reports since those versions of its tables.

    """

    cluster: str = ''
    revision: int = 0
    lease_version: int = 0
    report_version: int = 0
    suspicion_version: int = 0


@dataclass(slots=True)
class FeedSent(Message):
    """
    The feed was sent, up to these versions of the tables; not ok: the one asked hears
    no replica itself.

    """

    ok: bool = False
    lease_version: int = 0
    report_version: int = 0
    # The versions named lately, as far as it was told of them.
    switches: list[VersionSwitch] = field(default_factory=list)
    suspicion_version: int = 0


@dataclass(slots=True)
class Leases(Message):
    full: bool = False
    settled: bool = False
    # Entries known now, and the most known lately.
    entries: int = 0
    leases: bytes = b''
    reports: bytes = b''
    most_entries: int = 0
    # Requests under which back ends ended.
    suspicions: bytes = b''


@dataclass(slots=True)
class EndpointReport(Message):
    body: bytes = b''


@dataclass(slots=True)
class SuspicionReport(Message):
    """
    Requests under which back ends ended, as an entry knows them.

    """

    body: bytes = b''


@dataclass(slots=True)
class PushChunk(Message):
    manifest: str = ''
    index: int = 0
    data: bytes = b''
