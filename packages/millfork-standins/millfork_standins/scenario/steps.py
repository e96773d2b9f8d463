"""
Steps of a scenario, typed.

"""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Step:
    """
    Base of all steps; `line` is where it stands in the file.

    """

    line: int


@dataclass(frozen=True, slots=True)
class MakeFleet(Step):
    """
    Lay out a fleet of a deployment's shape with options.

    """

    shape: str
    options: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class StartAll(Step):
    """
    Start every process and wait until all are ready.

    """


@dataclass(frozen=True, slots=True)
class OnProcess(Step):
    """
    Base of the steps that act on one process.

    """

    name: str


@dataclass(frozen=True, slots=True)
class StartInstance(OnProcess):
    """Start a daemon again."""


@dataclass(frozen=True, slots=True)
class Stop(OnProcess):
    """Send the stop signal; go on at once."""


@dataclass(frozen=True, slots=True)
class Kill(OnProcess):
    """End a process at once."""


@dataclass(frozen=True, slots=True)
class Freeze(OnProcess):
    """Halt a process without its knowing."""


@dataclass(frozen=True, slots=True)
class Thaw(OnProcess):
    """Let a frozen process go on."""


@dataclass(frozen=True, slots=True)
class LoseDisk(OnProcess):
    """Remove all files of a stopped daemon."""


@dataclass(frozen=True, slots=True)
class TearLog(OnProcess):
    """Cut the end of a stopped replica's log."""


@dataclass(frozen=True, slots=True)
class Leave(OnProcess):
    """Put an instance on the platform's list as leaving."""


@dataclass(frozen=True, slots=True)
class Deafen(OnProcess):
    """Let an instance hear of no change of the platform's list."""


@dataclass(frozen=True, slots=True)
class Cut(Step):
    """Cut these pairs of zones, join all others."""

    pairs: tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True)
class StallLinks(Step):
    """Let no bytes pass between these pairs of zones."""

    pairs: tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True)
class Heal(Step):
    """Join all zones."""


@dataclass(frozen=True, slots=True)
class Corrupt(Step):
    """Let this share of the origin's chunks be corrupt."""

    share: float


@dataclass(frozen=True, slots=True)
class StallOrigin(Step):
    """Let the origin send nothing, or send again."""

    stalled: bool


@dataclass(frozen=True, slots=True)
class ChangeVersion(Step):
    """Let the origin have other bytes under a version's name."""

    version: str
    seed: int


@dataclass(frozen=True, slots=True)
class Organisations(Step):
    """Apply the organisations of the shape."""


@dataclass(frozen=True, slots=True)
class Apply(Step):
    """Apply the deployment of a version to all engines."""

    version: str


@dataclass(frozen=True, slots=True)
class ApplyMany(Step):
    """Apply so many small changes, one after the other."""

    count: int


@dataclass(frozen=True, slots=True)
class StartCallers(Step):
    """Start callers, of all kinds or of those named."""

    count: int
    kinds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class HaltCallers(Step):
    """Stop the callers and wait for their last answers."""


@dataclass(frozen=True, slots=True)
class Call(Step):
    """Ask once, of one entry, and keep the answer."""

    kind: str
    entry: str


@dataclass(frozen=True, slots=True)
class Wait(Step):
    """Base of all waits: `within` is the bound, in seconds."""

    within: float


@dataclass(frozen=True, slots=True)
class WaitServing(Wait):
    """Until a version serves on so many endpoints."""

    version: str
    count: int


@dataclass(frozen=True, slots=True)
class WaitReady(Wait):
    """Until a daemon is ready."""

    name: str


@dataclass(frozen=True, slots=True)
class WaitExit(Wait):
    """Until a daemon that was told to stop has ended well."""

    name: str


@dataclass(frozen=True, slots=True)
class WaitInForce(Wait):
    """Until the last accepted revision is in force, on all or on those named."""

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class WaitVoters(Wait):
    """Until so many running replicas are voters."""

    count: int


@dataclass(frozen=True, slots=True)
class WaitAnswers(Wait):
    """Until the callers have had so many more answers."""

    count: int


@dataclass(frozen=True, slots=True)
class WaitIdle(Wait):
    """Until an endpoint begins nothing new for half a second."""

    name: str


@dataclass(frozen=True, slots=True)
class ExpectClean(Step):
    """No answer wrong, mixed, lost or doubled, and at least one right."""


@dataclass(frozen=True, slots=True)
class ExpectUncut(Step):
    """No caller's connection ended without a whole answer."""


@dataclass(frozen=True, slots=True)
class ExpectNoLeader(Step):
    """A linearizable read is refused, asked so many times in a row."""

    times: int


@dataclass(frozen=True, slots=True)
class ExpectCopies(Step):
    """Copies of a version that the origin sent."""

    version: str
    operator: str
    copies: float


@dataclass(frozen=True, slots=True)
class ExpectAnswer(Step):
    """The kept answer's status or reason."""

    answer: str


@dataclass(frozen=True, slots=True)
class ExpectNewWork(Step):
    """Most requests an endpoint began since it was last found idle."""

    name: str
    most: int
