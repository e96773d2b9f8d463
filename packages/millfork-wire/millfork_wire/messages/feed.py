"""
What replicas of a seeded fleet tell each other and their followers.

"""

from dataclasses import dataclass, field

from millfork_wire.messages.base import Message


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
class AskSuspicions(Message):
    """
    Asked by an entry that starts, on a fleet with a list of instances; the answer is a
    report of all that the other one knows.

    """
