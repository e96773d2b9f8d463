"""
Types of the steps of a scenario.

"""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Step:
    """
    Base of all steps; `line` is the number of the line with the step.

    """

    line: int


@dataclass(frozen=True, slots=True)
class MakeFleet(Step):
    """
    Create a fleet with the shape of a deployment (a name in `SHAPES`) and these options.

    """

    shape: str
    options: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class StartAll(Step):
    """
    Start every process and wait until all daemons are ready.

    """


@dataclass(frozen=True, slots=True)
class OnProcess(Step):
    """
    Base of the steps that act on one process.

    """

    name: str


@dataclass(frozen=True, slots=True)
class StartInstance(OnProcess):
    """
    Start a daemon, or a back end (`NAME.backend`).

    """


@dataclass(frozen=True, slots=True)
class Stop(OnProcess):
    """
    Send SIGTERM to a process without waiting until the process has ended.

    """


@dataclass(frozen=True, slots=True)
class Kill(OnProcess):
    """
    Send SIGKILL to a process.

    """


@dataclass(frozen=True, slots=True)
class Freeze(OnProcess):
    """
    Send SIGSTOP to a process.

    """


@dataclass(frozen=True, slots=True)
class Thaw(OnProcess):
    """
    Send SIGCONT to a process.

    """


@dataclass(frozen=True, slots=True)
class LoseDisk(OnProcess):
    """
    Remove the data folder of a stopped daemon.

    """


@dataclass(frozen=True, slots=True)
class TearLog(OnProcess):
    """
    Remove the last bytes of a stopped replica's consensus log.

    """


@dataclass(frozen=True, slots=True)
class Leave(OnProcess):
    """
    Mark an instance as leaving in the platform's list.

    """


@dataclass(frozen=True, slots=True)
class Deafen(OnProcess):
    """
    Make the platform show an instance no further changes of the list of instances.

    """


@dataclass(frozen=True, slots=True)
class Cut(Step):
    """
    Cut the links between these pairs of zones and restore all other cut links.

    """

    pairs: tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True)
class StallLinks(Step):
    """
    Stop the traffic between these pairs of zones, with the connections left open, and let the
    traffic flow again on all other frozen links.

    """

    pairs: tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True)
class Heal(Step):
    """
    Restore the links between all zones.

    """


@dataclass(frozen=True, slots=True)
class Corrupt(Step):
    """
    Corrupt one byte in this share of the ranges of bytes that the origin sends.

    """

    share: float


@dataclass(frozen=True, slots=True)
class StallOrigin(Step):
    """
    Make the origin hold back all manifests and weights, or let the origin send again.

    """

    stalled: bool


@dataclass(frozen=True, slots=True)
class ChangeVersion(Step):
    """
    Replace the bytes of a version at the origin by bytes generated from `seed`.

    """

    version: str
    seed: int


@dataclass(frozen=True, slots=True)
class ApplyOrganisations(Step):
    """
    Apply a declaration of the shape's organisations.

    """


@dataclass(frozen=True, slots=True)
class ApplyDeployment(Step):
    """
    Apply a declaration that deploys a version on all engines.

    """

    version: str


@dataclass(frozen=True, slots=True)
class ApplyMany(Step):
    """
    Apply `count` changes of one label, one after another.

    """

    count: int


@dataclass(frozen=True, slots=True)
class StartCallers(Step):
    """
    Start `count` callers that send requests of these kinds (empty: of all kinds).

    """

    count: int
    kinds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class HaltCallers(Step):
    """
    Stop the callers and wait for their last answers.

    """


@dataclass(frozen=True, slots=True)
class Call(Step):
    """
    Send one request to an entry and store the answer for `ExpectAnswer`.

    """

    kind: str
    entry: str


@dataclass(frozen=True, slots=True)
class Wait(Step):
    """
    Base of all waits; a wait that takes longer than `timeout_s` fails.

    """

    timeout_s: float


@dataclass(frozen=True, slots=True)
class WaitServing(Wait):
    """
    Wait until at least `count` endpoints serve a version.

    """

    version: str
    count: int


@dataclass(frozen=True, slots=True)
class WaitReady(Wait):
    """
    Wait until a daemon is ready.

    """

    name: str


@dataclass(frozen=True, slots=True)
class WaitExit(Wait):
    """
    Wait until a stopping daemon has ended; its exit status must be 0.

    """

    name: str


@dataclass(frozen=True, slots=True)
class WaitInForce(Wait):
    """
    Wait until the revision of the last applied declaration is in force on these instances
    (empty: on all instances).

    """

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class WaitVoters(Wait):
    """
    Wait until at least `count` running replicas are voters.

    """

    count: int


@dataclass(frozen=True, slots=True)
class WaitAnswers(Wait):
    """
    Wait until the callers have received `count` more right answers.

    """

    count: int


@dataclass(frozen=True, slots=True)
class WaitIdle(Wait):
    """
    Wait until an endpoint has started no request for half a second.

    """

    name: str


@dataclass(frozen=True, slots=True)
class ExpectClean(Step):
    """
    Expect at least one right answer, and no request that `RunSummary` counts as wrong, mixed,
    lost, doubled or missing.

    """


@dataclass(frozen=True, slots=True)
class ExpectUncut(Step):
    """
    Expect that every attempt of a caller whose connection was not refused got a complete answer.

    """


@dataclass(frozen=True, slots=True)
class ExpectNoLeader(Step):
    """
    Expect that none of `attempts` linearizable reads succeeds.

    """

    attempts: int


@dataclass(frozen=True, slots=True)
class ExpectCopies(Step):
    """
    Expect that the origin sent at most (`<=`) or at least (`>=`) `copies` copies of a version.

    """

    version: str
    operator: str
    copies: float


@dataclass(frozen=True, slots=True)
class ExpectAnswer(Step):
    """
    Expect this status or reason in the answer to the last `Call`.

    """

    answer: str


@dataclass(frozen=True, slots=True)
class ExpectNewWork(Step):
    """
    Expect that an endpoint has started at most `max_requests` requests since its `WaitIdle`.

    """

    name: str
    max_requests: int
