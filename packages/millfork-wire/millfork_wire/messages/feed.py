"""
Messages between the replicas of a seeded fleet and the processes that follow them: discovery of
replicas, leases, reports and suspicions.

"""

from dataclasses import dataclass, field

from millfork_wire.messages.base import Message


@dataclass(slots=True)
class VersionSwitch(Message):
    """
    A version of a model's weights that was recently set in the configuration. Requests may
    still begin on older versions for `left_ms`.

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
    An instance that caches pieces of weights for the endpoint daemons of its zone.

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
    # The versions that were recently set in the configuration, as far as the replica knows.
    switches: list[VersionSwitch] = field(default_factory=list)


@dataclass(slots=True)
class Follow(Message):
    role: str = ''
    cluster: str = ''
    revision: int = 0


@dataclass(slots=True)
class AskFeed(Message):
    """
    Asks another follower for the feed (the stream of updates from a replica) while no replica can
    be reached. The follower sends the configuration since `revision`, and the leases, reports and
    suspicions that changed since the given versions of the follower's tables.

    """

    cluster: str = ''
    revision: int = 0
    lease_version: int = 0
    report_version: int = 0
    suspicion_version: int = 0


@dataclass(slots=True)
class FeedSent(Message):
    """
    Reply to `AskFeed`: the feed was sent, up to these versions of the follower's tables. `ok` is
    not set if the follower receives nothing from replicas either.

    """

    ok: bool = False
    lease_version: int = 0
    report_version: int = 0
    # The versions that were recently set in the configuration, as far as the follower knows.
    switches: list[VersionSwitch] = field(default_factory=list)
    suspicion_version: int = 0


@dataclass(slots=True)
class Leases(Message):
    full: bool = False
    settled: bool = False
    # The number of entry processes known now. `most_entries` is the highest recent number.
    entries: int = 0
    leases: bytes = b''
    reports: bytes = b''
    most_entries: int = 0
    # Encoded suspicions: records of requests during which back ends ended.
    suspicions: bytes = b''


@dataclass(slots=True)
class EndpointReport(Message):
    body: bytes = b''


@dataclass(slots=True)
class SuspicionReport(Message):
    """
    The suspicions known to an entry: records of requests during which back ends ended.

    """

    body: bytes = b''


@dataclass(slots=True)
class AskSuspicions(Message):
    """
    Sent by a starting entry to the other entries of a listed fleet. Each replies with a
    `SuspicionReport` of all its suspicions.

    """
