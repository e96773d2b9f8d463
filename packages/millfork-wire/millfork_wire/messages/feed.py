"""
Messages between the replicas of a seeded fleet and their followers: discovery, leases, reports.

"""

from dataclasses import dataclass, field

from millfork_wire.messages.base import Message


@dataclass(slots=True)
class VersionSwitch(Message):
    """
    A recently named version of a model's weights, and for how many ms requests may still
    begin on an older version.

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
    An instance that caches pieces of weights for the daemons of its zone.

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
    # The recently named versions that the replica knows of.
    switches: list[VersionSwitch] = field(default_factory=list)


@dataclass(slots=True)
class Follow(Message):
    role: str = ''
    cluster: str = ''
    revision: int = 0


@dataclass(slots=True)
class AskFeed(Message):
    """
    Asks another follower for the feed while no replica can be reached: configuration since
    `revision`, and changes of leases, reports and suspicions since the given versions of the
    asked follower's tables.

    """

    cluster: str = ''
    revision: int = 0
    lease_version: int = 0
    report_version: int = 0
    suspicion_version: int = 0


@dataclass(slots=True)
class FeedSent(Message):
    """
    The feed was sent, up to these versions of the tables. Not `ok`: the asked follower
    receives nothing from replicas either.

    """

    ok: bool = False
    lease_version: int = 0
    report_version: int = 0
    # The recently named versions that the asked follower knows of.
    switches: list[VersionSwitch] = field(default_factory=list)
    suspicion_version: int = 0


@dataclass(slots=True)
class Leases(Message):
    full: bool = False
    settled: bool = False
    # The number of entries known now; `most_entries` is the highest number known recently.
    entries: int = 0
    leases: bytes = b''
    reports: bytes = b''
    most_entries: int = 0
    # Requests during which back ends ended.
    suspicions: bytes = b''


@dataclass(slots=True)
class EndpointReport(Message):
    body: bytes = b''


@dataclass(slots=True)
class SuspicionReport(Message):
    """
    The suspicions known to an entry: requests during which back ends ended.

    """

    body: bytes = b''


@dataclass(slots=True)
class AskSuspicions(Message):
    """
    Sent to other entries by an entry that starts, in a listed fleet. The answer is a
    `SuspicionReport` with all suspicions of the other entry.

    """
