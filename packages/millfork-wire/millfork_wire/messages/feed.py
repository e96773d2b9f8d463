"""
Messages between the replicas of a seeded fleet (one whose processes start from a few replica
addresses) and the processes that follow these replicas: discovery of replicas, leases, reports
and suspicions.

"""

from dataclasses import dataclass, field

from millfork_wire.messages.base import Message


@dataclass(slots=True)
class VersionSwitch(Message):
    """
    A version of a model's weights that was set in the configuration: the model's newest version,
    or an earlier one whose cutoff is still to come. The cutoff is the time from which requests may
    no longer begin on older versions, and `left_ms` the time until then (0: it has passed).

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
    # The version switches that the replica knows of.
    switches: list[VersionSwitch] = field(default_factory=list)
    # The revision of the replica's configuration, whose age is `age_ms`; 0 if the sender doesn't
    # tell.
    revision: int = 0


@dataclass(slots=True)
class Follow(Message):
    role: str = ''
    cluster: str = ''
    revision: int = 0


@dataclass(slots=True)
class AskFeed(Message):
    """
    Asks another follower of replicas for the feed (the stream of updates from a replica) while no
    replica can be reached. The asked follower sends the changes of the configuration since
    `revision`, and the leases, reports and suspicions that changed since the given versions of
    its own tables.

    """

    cluster: str = ''
    revision: int = 0
    lease_version: int = 0
    report_version: int = 0
    suspicion_version: int = 0


@dataclass(slots=True)
class FeedSent(Message):
    """
    Reply to `AskFeed`: the feed was sent, up to these versions of the asked follower's tables.
    `ok` is not set if the asked follower is not connected to a replica either.

    """

    ok: bool = False
    lease_version: int = 0
    report_version: int = 0
    # The version switches that the asked follower knows of.
    switches: list[VersionSwitch] = field(default_factory=list)
    suspicion_version: int = 0


@dataclass(slots=True)
class Leases(Message):
    # Whether this message contains all leases and reports of the sender, not only changed ones.
    full: bool = False
    # Whether the sender's registry holds the leases of all back ends.
    settled: bool = False
    # The number of entry processes known now. `most_entries` is the highest recent number.
    entries: int = 0
    leases: bytes = b''
    reports: bytes = b''
    most_entries: int = 0
    # Encoded suspicions. A suspicion is the record of the back ends that ended one after another
    # while they ran a request with the same fingerprint (a keyed hash of the request).
    suspicions: bytes = b''


@dataclass(slots=True)
class EndpointReport(Message):
    body: bytes = b''


@dataclass(slots=True)
class SuspicionReport(Message):
    """
    Encoded suspicions (see `Leases.suspicions`) that an entry sends to a replica or to another
    entry.

    """

    body: bytes = b''


@dataclass(slots=True)
class AskSuspicions(Message):
    """
    Sent by a starting entry to the other entries of a listed fleet (one whose instances the
    platform lists). Each of them replies with a `SuspicionReport` of the suspicions that it knows,
    except those that it has not sent to other entries yet.

    """
